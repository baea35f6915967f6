//! Helpers for the end of a client proxy: what its clients have received by the earliest SIGKILL, and
//! endpoints that fill its memory.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::*;

/// Deadline of all classes, so long that no response in these tests is caused by it.
pub const DEADLINE_MS: u64 = 60_000;

/// Earliest SIGKILL after SIGTERM: the longest deadline, which counts as at most 3 s, plus 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// Time after SIGTERM at which idle connections are closed.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);

pub fn long_deadline_settings() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("missing classes") {
        class["hardLimit"] = json!(DEADLINE_MS as f64);
        class["aim"] = json!(DEADLINE_MS as f64 / 4.0);
    }
    // A dial that a busy machine delays must not count as a failure of its endpoint.
    settings["limits"]["dialTimeout"] = json!(15_000.0);
    settings
}

/// Starts a client proxy with [`long_deadline_settings`].
pub fn start_proxy(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Proxy {
    let mut config = config(discovery, long_deadline_settings());
    change(&mut config);
    Proxy::start(&config)
}

/// Lists one endpoint under eight names, since the number of requests in flight in these tests is more than
/// one endpoint is given.
pub fn eight_endpoints_at(address: SocketAddr) -> Value {
    (0..8).map(|n| endpoint(&format!("h{n}"), address, "SERVING")).collect()
}

pub fn pay_request(remaining_ms: u64) -> String {
    post("pay", remaining_ms, "", "")
}

/// A client proxy that has been sent SIGTERM, with one request in flight that is answered only just before
/// the earliest SIGKILL.
pub struct TerminatingProxy {
    pub proxy: Proxy,
    pub hung: Client,
    pub terminated: Instant,
}

impl TerminatingProxy {
    /// Sends SIGTERM. `hung` has a request in flight to an endpoint that never responds.
    pub fn start(proxy: Proxy, hung: Client) -> TerminatingProxy {
        let terminated = Instant::now();
        proxy.terminate();
        TerminatingProxy { proxy, hung, terminated }
    }

    /// True if all that was written so far certainly precedes the close of idle connections.
    pub fn is_before_idle_close(&self) -> bool {
        self.terminated.elapsed() < IDLE_CLOSE_DELAY
    }

    pub fn sleep_until(&self, after_sigterm: Duration) {
        std::thread::sleep(after_sigterm.saturating_sub(self.terminated.elapsed()));
    }

    /// Sends SIGKILL at the earliest time allowed, but not before the process has had the processor for all
    /// responses that precede it: the speed of the machine must not decide the result of a test.
    pub fn kill(mut self) {
        assert_eq!(self.hung.read().expect("no response before the earliest SIGKILL").status(), 502);
        wait_until_sleeping(self.proxy.child.id());
        self.sleep_until(EARLIEST_KILL);
        self.proxy.child.kill().expect("could not kill the process");
        self.proxy.child.wait().expect("could not wait for the process");
    }
}

/// Waits until the process has slept through one interval, or has gone to sleep many times.
pub fn wait_until_sleeping(pid: u32) {
    const MANY_SLEEPS: u64 = 50;
    // Longer than any timer that delays a response.
    const INTERVAL: Duration = Duration::from_millis(20);
    let sleep_count_if_asleep = || {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process has ended");
        let value = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name)).expect("missing field");
            value.trim_start_matches(':').trim().to_owned()
        };
        let is_asleep = !value("State").starts_with('R');
        let sleep_count: u64 = value("voluntary_ctxt_switches").parse().expect("not a number");
        is_asleep.then_some(sleep_count)
    };
    let mut first = None;
    loop {
        let before = sleep_count_if_asleep();
        std::thread::sleep(INTERVAL);
        let after = sleep_count_if_asleep();
        first = first.or(before);
        let has_slept_often = first.zip(after).is_some_and(|(first, after)| after >= first + MANY_SLEEPS);
        if has_slept_often || before.is_some() && before == after {
            return;
        }
    }
}

/// Waits until the first byte of a response has arrived, without reading it.
pub fn wait_until_response_begins(client: &Client) {
    loop {
        match client.stream.peek(&mut [0]) {
            Ok(1) => return,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => panic!("the response did not begin: {other:?}"),
        }
    }
}

/// How a connection ended.
#[derive(Debug, PartialEq)]
pub enum End {
    /// A plain close: the client proxy had read everything that its client sent.
    Closed,
    /// A reset: something was left unread, or the client proxy aborted the connection.
    Reset,
}

/// Reads the status of each response and how the connection ended. Nothing may have been read from the
/// client before.
pub fn read_outcome(client: &Client) -> (Vec<u16>, End) {
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    let end = loop {
        match (&client.stream).read(&mut piece) {
            Ok(0) => break End::Closed,
            Ok(read) => bytes.extend_from_slice(&piece[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break End::Reset,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("{error}"),
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    let codes = text.split("HTTP/1.1 ").skip(1).map(|rest| rest[..3].parse().expect("invalid status"));
    (codes.collect(), end)
}

/// Asserts that this client, which has read nothing yet, receives exactly one final response to each of
/// `requests` requests.
pub fn assert_final_responses(client: &Client, requests: usize, context: &str) -> Vec<u16> {
    let (statuses, end) = read_outcome(client);
    assert_eq!(statuses.len(), requests, "{context}: {statuses:?}, {end:?}");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 502 | 503)), "{context}: {statuses:?}");
    statuses
}

/// An endpoint that reads without end and reports once `THRESHOLD_BYTES` have arrived on a connection.
/// It responds to GET requests only, with `response_head` and an endless body; if that is empty, it never
/// responds.
pub struct Sink {
    pub address: SocketAddr,
    pub threshold_reached: Receiver<()>,
    pub heads: Receiver<String>,
}

/// More than the longest body that the client proxy buffers.
pub const THRESHOLD_BYTES: usize = 64 * 1024;

pub const ENDLESS_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";

impl Sink {
    pub fn start(response_head: &'static str) -> Sink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let ((threshold_sender, threshold_reached), (head_sender, heads)) = (channel(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, threshold_sender, head_sender) =
                    (stream.expect("accept failed"), threshold_sender.clone(), head_sender.clone());
                std::thread::spawn(move || {
                    let (mut received, mut piece) = (0, vec![0; 16 * 1024]);
                    while let Ok(read @ 1..) = stream.read(&mut piece) {
                        if received == 0 {
                            let head = String::from_utf8_lossy(&piece[..read]).into_owned();
                            if head.starts_with("GET ") {
                                let response_stream = stream.try_clone().expect("could not clone the socket");
                                std::thread::spawn(move || trickle(&response_stream, response_head));
                            }
                            let _ = head_sender.send(head);
                        }
                        if received < THRESHOLD_BYTES && received + read >= THRESHOLD_BYTES {
                            let _ = threshold_sender.send(());
                        }
                        received += read;
                    }
                });
            }
        });
        Sink { address, threshold_reached, heads }
    }

    pub fn wait_until_threshold(&self) {
        self.threshold_reached
            .recv_timeout(TEST_TIMEOUT)
            .expect("the endpoint received less than the threshold");
    }

    pub fn wait_for_head(&self) {
        self.heads.recv_timeout(TEST_TIMEOUT).expect("the endpoint received no request");
    }
}

/// Writes `head`, unless it is empty, and then small pieces without end.
pub fn trickle(mut stream: &TcpStream, head: &str) {
    if head.is_empty() || stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    while stream.write_all(&[b'x'; 4096]).is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Clients whose bodies take all of the memory for buffered bodies.
pub fn fill_memory(proxy: &Proxy, sink: &Sink) -> Vec<Client> {
    let mut holders: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    for holder in &mut holders {
        holder.write(&post("pay", DEADLINE_MS, "", &"x".repeat(64 * 1024)));
        sink.wait_until_threshold();
    }
    holders
}

/// A client proxy with little memory, its one endpoint, and a request in flight to it.
pub fn with_little_memory(sink: &Sink) -> (Proxy, Client, DiscoveryServer) {
    let discovery_server = DiscoveryServer::start(eight_endpoints_at(sink.address));
    let proxy = start_proxy(discovery_server.address, |config| config["limits"]["memory_mb"] = json!(1));
    discovery_server.wait_until_list_received();
    let mut hung = proxy.client();
    hung.write(&pay_request(DEADLINE_MS));
    sink.wait_for_head();
    (proxy, hung, discovery_server)
}
