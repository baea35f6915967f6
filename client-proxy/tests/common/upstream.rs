//! Scripted endpoints.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use socket2::{Domain, Socket, Type};

use super::*;

/// What an upstream does with a complete request.
#[derive(Clone)]
pub enum Reply {
    /// Writes this text.
    Send(String),
    /// Writes this text and closes the connection.
    SendThenClose(String),
    /// Writes this text and resets the connection.
    SendThenReset(String),
    /// Closes the connection without a response.
    Close,
    /// Never responds; the connection stays open until the client proxy closes it.
    Stall,
}

/// An event at an upstream, reported in order.
#[derive(Debug)]
pub enum Event {
    /// A connection was opened; connections are numbered from 0.
    Opened(usize),
    /// A complete request arrived on this connection.
    Request(usize, Message),
    /// Either side closed this connection.
    Closed(usize),
}

pub struct Upstream {
    pub address: SocketAddr,
    pub events: Receiver<Event>,
}

impl Upstream {
    /// An upstream that delays its first response until the sender is used, and responds to all requests
    /// with this body.
    pub fn with_gated_first_response(body: &'static str) -> (Upstream, Sender<()>) {
        let (release, gate) = channel();
        let gate = Mutex::new(gate);
        let upstream = Upstream::start(move |number| {
            if number == 0 {
                let _ = gate.lock().expect("another thread panicked").recv();
            }
            Reply::Send(http_response("200 OK", "", body))
        });
        (upstream, release)
    }

    /// Starts an upstream that treats each request as `reply` says for its number, counted from 0 over all
    /// connections.
    pub fn start(reply: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let (sender, events) = channel();
        let (reply, count) = (Arc::new(reply), Arc::new(Mutex::new(0)));
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (sender, reply, count) = (sender.clone(), Arc::clone(&reply), Arc::clone(&count));
                let stream = stream.expect("accept failed");
                std::thread::spawn(move || serve(connection, stream, &sender, &*reply, &count));
            }
        });
        Upstream { address, events }
    }

    pub fn next_event(&self) -> Event {
        self.events.recv_timeout(TEST_TIMEOUT).expect("no further event at the upstream")
    }

    /// Waits for the next complete request; with the number of its connection.
    pub fn next_request(&self) -> (usize, Message) {
        loop {
            if let Event::Request(connection, message) = self.next_event() {
                return (connection, message);
            }
        }
    }

    /// Waits until a connection has been closed and returns its number.
    pub fn wait_for_close(&self) -> usize {
        loop {
            if let Event::Closed(connection) = self.next_event() {
                return connection;
            }
        }
    }

    /// Takes all events reported so far and returns how many of them are requests.
    pub fn take_request_count(&self) -> usize {
        self.events.try_iter().filter(|event| matches!(event, Event::Request(..))).count()
    }
}

fn serve(
    connection: usize,
    mut stream: TcpStream,
    sender: &Sender<Event>,
    reply: &dyn Fn(usize) -> Reply,
    count: &Mutex<usize>,
) {
    let _ = sender.send(Event::Opened(connection));
    let mut reader = BufReader::new(stream.try_clone().expect("could not clone the socket"));
    while let Some(message) = read_message(&mut reader) {
        let number = {
            let mut count = count.lock().expect("another thread panicked");
            *count += 1;
            *count - 1
        };
        let _ = sender.send(Event::Request(connection, message));
        match reply(number) {
            Reply::Send(text) => stream.write_all(text.as_bytes()).unwrap_or_default(),
            Reply::SendThenClose(text) => {
                stream.write_all(text.as_bytes()).unwrap_or_default();
                break;
            }
            Reply::SendThenReset(text) => {
                stream.write_all(text.as_bytes()).unwrap_or_default();
                // A reset discards data that the peer has not read yet, so the peer gets time to read it.
                std::thread::sleep(Duration::from_millis(30));
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap_or_default();
                let _ = sender.send(Event::Closed(connection));
                return;
            }
            Reply::Close => break,
            Reply::Stall => {}
        }
    }
    // A process that another test starts holds copies of all descriptors until it has executed. Dropping
    // ours would not close the connection while such a copy is open.
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = sender.send(Event::Closed(connection));
}

/// An upstream with a full accept queue, so that a dial to it stays pending until the queue has a free
/// slot.
pub struct FullBacklog {
    socket: Socket,
    filler: TcpStream,
    pub address: SocketAddr,
}

impl FullBacklog {
    pub fn start() -> FullBacklog {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("invalid socket");
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("invalid address").into())
            .expect("could not bind a loopback port");
        socket.listen(0).expect("could not listen");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the accept timeout");
        let address = socket.local_addr().expect("no local address").as_socket().expect("invalid address");
        let filler = TcpStream::connect(address).expect("could not fill the accept queue");
        FullBacklog { socket, filler, address }
    }

    /// A client proxy that knows only this upstream, and a client with an unsafe request for which the
    /// client proxy is dialing.
    pub fn proxy_dialing(&self, cancelling: bool) -> (DiscoveryServer, Proxy, Client) {
        let mut settings = settings();
        settings["limits"]["dialTimeout"] = json!(15_000.0);
        settings["limits"]["cancelling"] = json!(cancelling);
        let discovery_server = DiscoveryServer::start(json!([endpoint("full", self.address, "SERVING")]));
        let proxy = Proxy::start(&config(discovery_server.address, settings));
        discovery_server.wait_until_list_received();
        let mut client = proxy.client();
        client.write(&post("pay", 18_000, "", ""));
        // The response to a later request shows that the first request has been processed and its dial has
        // begun.
        assert_eq!(proxy.client().round_trip(READY_REQUEST).status(), 200);
        (discovery_server, proxy, client)
    }

    /// Empties the accept queue, accepts the pending dial, which the system retries by itself, and returns
    /// all bytes that arrive on it.
    pub fn accept_pending_dial(self) -> Vec<u8> {
        let listener: TcpListener = self.socket.into();
        drop(listener.accept().expect("could not accept the queued connection"));
        drop(self.filler);
        let (mut late, _) = listener.accept().expect("could not accept the pending dial");
        let mut bytes = Vec::new();
        late.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
        let _ = late.read_to_end(&mut bytes);
        bytes
    }
}

/// An upstream whose responses have its name as their body.
pub fn named_upstream(name: &'static str) -> Upstream {
    Upstream::start(move |_| Reply::Send(http_response("200 OK", "", name)))
}
