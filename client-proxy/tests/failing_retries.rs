//! Retries that fail at once: the limit on attempts holds, nothing busy-loops, and there is one final
//! response.

mod common;

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::*;
use serde_json::{Value, json};

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f\r\n";
/// The same as in the settings.
const MAX_ATTEMPTS: usize = 3;
/// More than [`MAX_ATTEMPTS`], so that it is the limit that ends a request.
const ENDPOINTS: usize = 6;

/// How an endpoint fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Resets each new connection without reading from it.
    ResetUnread,
    /// Resets each connection once it has read a request.
    ResetRead,
    /// Closes each connection once it has read a request.
    Close,
    /// Rejects the request with the header that says that it was not run.
    Reject,
}

/// Endpoints that all fail in the same way, with the total of connections and complete requests.
struct Failing {
    addresses: Vec<SocketAddr>,
    opened: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Failing {
    fn start(failure: Failure) -> Failing {
        let (opened, requests) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
        let addresses = (0..ENDPOINTS).map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
            let address = listener.local_addr().expect("no local address");
            let (opened, requests) = (Arc::clone(&opened), Arc::clone(&requests));
            std::thread::spawn(move || {
                for stream in listener.incoming() {
                    opened.fetch_add(1, Ordering::SeqCst);
                    fail(stream.expect("accept failed"), failure, &requests);
                }
            });
            address
        });
        Failing { addresses: addresses.collect(), opened, requests }
    }
}

fn fail(stream: TcpStream, failure: Failure, requests: &AtomicUsize) {
    let mut reader = BufReader::new(stream);
    if failure != Failure::ResetUnread {
        match read_message(&mut reader) {
            Some(_) => requests.fetch_add(1, Ordering::SeqCst),
            None => return,
        };
    }
    let stream = reader.get_mut();
    match failure {
        Failure::ResetUnread | Failure::ResetRead => {
            socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
        }
        Failure::Close => {}
        Failure::Reject => {
            let rejected =
                http_response("503 Service Unavailable", "X-Turned-Away: 1\r\nConnection: close\r\n", "");
            std::io::Write::write_all(stream, rejected.as_bytes()).unwrap_or_default();
            stream.shutdown(std::net::Shutdown::Both).unwrap_or_default();
        }
    }
}

/// Each retry fails as soon as it has begun. That must not lead to attempts beyond the limit, to a second
/// effect, or to more than one final response.
#[test]
fn instantly_failing_retries_respect_attempt_limit() {
    for failure in [Failure::ResetUnread, Failure::ResetRead, Failure::Close, Failure::Reject] {
        for class in ["look", "keep", "pay"] {
            let failing = Failing::start(failure);
            let entries: Vec<Value> = (0..)
                .zip(&failing.addresses)
                .map(|(i, address)| endpoint(&format!("h{i}"), *address, "SERVING"))
                .collect();
            let discovery_server = DiscoveryServer::start(json!(entries));
            let proxy = Proxy::start(&config(discovery_server.address, settings()));
            discovery_server.wait_until_list_received();
            let mut client = proxy.client();
            let text = match class {
                "look" => look_request(600).replace("X-Remaining", "Connection: close\r\nX-Remaining"),
                "keep" => post("keep", 600, &format!("{IDEMPOTENCY_KEY_HEADER}Connection: close\r\n"), ""),
                _ => post("pay", 600, "Connection: close\r\n", ""),
            };
            client.write(&text);
            let mut received = String::new();
            client.stream.read_to_string(&mut received).expect("no response and close");
            assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{failure:?}, {class}: {received}");
            assert!(received.starts_with("HTTP/1.1 50"), "{failure:?}, {class}: {received}");
            let opened = failing.opened.load(Ordering::SeqCst);
            let requests = failing.requests.load(Ordering::SeqCst);
            assert!((1..=MAX_ATTEMPTS).contains(&opened), "{failure:?}, {class}: {opened} connections");
            if class == "pay" && failure != Failure::Reject {
                assert!(requests <= 1, "{failure:?}: sent {requests} times");
            }
        }
    }
}
