//! Client proxies that poll relays: which list they name, and where they go when a relay fails.

mod common;

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};

use common::{
    Message, Proxy, Reply, TEST_TIMEOUT, Upstream, config, endpoint, http_response, look_request,
    read_message, settings,
};
use serde_json::json;

/// A relay whose responses the test writes one by one.
struct Relay(TcpListener);

impl Relay {
    fn start() -> Relay {
        Relay(TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port"))
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("no local address")
    }

    /// The next connection, and the poll on it. Fails if none comes in time.
    fn next_poll(&self) -> (TcpStream, Message) {
        let socket = socket2::SockRef::from(&self.0);
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the accept timeout");
        let (stream, _) = self.0.accept().expect("accept failed");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
        let poll = next_poll_on(&stream);
        (stream, poll)
    }
}

fn next_poll_on(stream: &TcpStream) -> Message {
    read_message(&mut BufReader::new(stream.try_clone().expect("could not clone the socket")))
        .expect("no poll")
}

fn write(stream: &mut TcpStream, text: &str) {
    std::io::Write::write_all(stream, text.as_bytes()).expect("could not write");
}

fn send_list(stream: &mut TcpStream, index: u64, snapshot: bool, endpoints: serde_json::Value) {
    let list = json!({"index": index, "snapshot": snapshot, "endpoints": endpoints});
    write(stream, &http_response("200 OK", "", &list.to_string()));
}

fn upstream(name: &'static str) -> Upstream {
    Upstream::start(move |_| Reply::Send(http_response("200 OK", "", name)))
}

/// A client proxy that watches the near relay and has received `remaining` and `leaving` in version 41.
fn proxy_watching(mode: &str, near: &Relay, far: &Relay, upstreams: [&Upstream; 2]) -> (Proxy, TcpStream) {
    let mut settings = settings();
    settings["discovery"] = json!(mode);
    settings["contract"]["askWithin"] = json!(10_000.0);
    // No process listens at the discovery address of the platform, which must not be polled.
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .expect("could not bind a loopback port")
        .local_addr()
        .expect("no local address");
    let fleet_toml = format!(
        "[discovery]\nnear = [\"{}\"]\nfar = [\"{}\"]\nauthority = \"shop.lists\"",
        near.address(),
        far.address()
    );
    let proxy = Proxy::start_with_fleet_config(&config(unused_address, settings), &fleet_toml);
    let (mut stream, poll) = near.next_poll();
    assert_eq!(poll.header("host"), Some("shop.lists"));
    assert_eq!(poll.start, "GET /v1/endpoints HTTP/1.1");
    let [remaining, leaving] = upstreams.map(|upstream| upstream.address);
    send_list(
        &mut stream,
        41,
        true,
        json!([endpoint("remaining", remaining, "SERVING"), endpoint("leaving", leaving, "SERVING")]),
    );
    assert!(next_poll_on(&stream).start.contains("after=41&"), "the watch goes on");
    (proxy, stream)
}

/// A relay has ended, stalls, rejects or responds badly. The client proxy must leave it for the next one
/// and poll there only for what is newer than its current version.
#[test]
fn watch_resumes_at_other_relay() {
    for mode in ["subscribe", "automatic"] {
        for failure in ["ended", "silent", "refused", "closed", "half"] {
            let (remaining, leaving) = (upstream("remaining"), upstream("leaving"));
            let (near, far) = (Relay::start(), Relay::start());
            let (proxy, mut watch) = proxy_watching(mode, &near, &far, [&remaining, &leaving]);
            let _open = match failure {
                "ended" => {
                    drop((near, watch));
                    None
                }
                "refused" => {
                    write(&mut watch, &http_response("503 Service Unavailable", "Retry-After: 1\r\n", ""));
                    Some((near, watch))
                }
                "closed" => {
                    // As a relay does when it shuts down: a response without changes, and a close.
                    let list = json!({"index": 41, "snapshot": false, "endpoints": []});
                    write(&mut watch, &http_response("200 OK", "Connection: close\r\n", &list.to_string()));
                    drop((near, watch));
                    None
                }
                "half" => {
                    write(&mut watch, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\": 42");
                    drop(watch);
                    None
                }
                _ => Some((near, watch)),
            };
            let (mut stream, poll) = far.next_poll();
            assert_eq!(poll.header("host"), Some("shop.lists"));
            if failure == "half" {
                // The truncated response may have been a full snapshot, so a full snapshot is requested.
                assert_eq!(poll.start, "GET /v1/endpoints HTTP/1.1", "{mode}");
                send_list(
                    &mut stream,
                    42,
                    true,
                    json!([endpoint("remaining", remaining.address, "SERVING")]),
                );
            } else {
                assert_eq!(poll.start, "GET /v1/endpoints?after=41&wait_ms=0 HTTP/1.1", "{mode}, {failure}");
                send_list(&mut stream, 42, false, json!([endpoint("leaving", leaving.address, "DRAINING")]));
            }
            assert!(next_poll_on(&stream).start.contains("after=42&"), "{mode}, {failure}");
            let mut client = proxy.client();
            for _ in 0..10 {
                assert_eq!(client.round_trip(&look_request(3000)).body, b"remaining", "{mode}, {failure}");
            }
        }
    }
}

/// With no relay left, the client proxy must keep its current list rather than take an empty one, and
/// follow the first relay that is back.
#[test]
fn current_list_is_kept_without_relay() {
    let (remaining, leaving) = (upstream("remaining"), upstream("leaving"));
    let (near, far) = (Relay::start(), Relay::start());
    let (proxy, watch) = proxy_watching("subscribe", &near, &far, [&remaining, &leaving]);
    let address = far.address();
    drop((near, watch));
    // The far relay ends before it is polled, or in the middle of a poll.
    drop(far);
    let mut client = proxy.client();
    for _ in 0..20 {
        assert_eq!(client.round_trip(&look_request(3000)).status(), 200);
    }
    let restarted = Relay(TcpListener::bind(address).expect("could not bind the same port"));
    let (mut stream, poll) = restarted.next_poll();
    assert!(poll.start.contains("after=41&wait_ms=0"), "{}", poll.start);
    send_list(&mut stream, 42, false, json!([endpoint("leaving", leaving.address, "DRAINING")]));
    assert!(next_poll_on(&stream).start.contains("after=42&"));
    for _ in 0..10 {
        assert_eq!(client.round_trip(&look_request(3000)).body, b"remaining");
    }
}
