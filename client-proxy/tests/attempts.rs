//! Outcomes of attempts: which failures prove that the endpoint did not run the request, which requests may
//! be retried, and which connections are reused.

mod common;

use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use common::bodies::{raw_upstream, read_head};
use common::*;
use serde_json::json;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f\r\n";

fn ok(body: &str) -> Reply {
    Reply::Send(http_response("200 OK", "X-Pressure: util=0.61,qps=3,eps=x,odd\r\n", body))
}

/// Two upstreams that share one script: `script` gets the number of the request over both.
fn pair(script: fn(usize) -> Reply) -> (Upstream, Upstream) {
    let turn = Arc::new(AtomicUsize::new(0));
    let start = || {
        let turn = Arc::clone(&turn);
        Upstream::start(move |_| script(turn.fetch_add(1, Ordering::SeqCst)))
    };
    (start(), start())
}

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let upstream = Upstream::start(|_| ok("unchanged body"));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    let response = client.round_trip(
        &post_with_id("t2", "keep/9?deep=a%20b", 3000, "", "x")
            .replace("X-Lane: keep/9?deep=a%20b", "X-Lane: keep")
            .replace("Content-Length", "Idempotency-Key: 5c0f\r\nContent-Length"),
    );
    assert_eq!((response.status(), response.body.as_slice()), (200, b"unchanged body".as_slice()));
    let (_, seen) = upstream.next_request();
    assert_eq!(seen.start, "POST /keep/9?deep=a%20b HTTP/1.1");
    assert_eq!(seen.header("X-Txn"), Some("t2"));
    assert_eq!(seen.header("Idempotency-Key"), Some("5c0f"));
    assert_eq!(seen.body, b"x");
    let remaining_ms: u64 =
        seen.header("X-Remaining-Ms").expect("no X-Remaining-Ms header").parse().expect("not a number");
    assert!((1..3000).contains(&remaining_ms), "{remaining_ms}");
    // The next request reuses the connection and carries no header of the first.
    assert_eq!(client.round_trip(&look_request(3000)).status(), 200);
    let (connection, seen) = upstream.next_request();
    assert_eq!((connection, seen.start.as_str()), (0, "GET /look/7?q=1 HTTP/1.1"));
    assert_eq!(seen.header("Idempotency-Key"), None);
}

/// An endpoint that closes the connection after the last byte of the request may have run it. A retry of an
/// unsafe request could then cause a second effect.
#[test]
fn unsafe_request_is_not_retried_after_close() {
    let (one, two) = pair(|_| Reply::Close);
    let (proxy, _discovery) = Proxy::with_upstreams(&[&one, &two]);
    assert_eq!(proxy.client().round_trip(&post("pay", 3000, "", "")).status(), 502);
    assert_eq!(one.take_request_count() + two.take_request_count(), 1);
}

/// A 503 or 504 alone does not prove that the endpoint did not run the request; only `X-Turned-Away: 1`
/// does. Without it, a retry of an unsafe request could cause a second effect.
#[test]
fn unsafe_request_is_retried_only_if_rejected() {
    let (one, two) = pair(|_| Reply::Send(http_response("503 Service Unavailable", "", "")));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&one, &two]);
    assert_eq!(proxy.client().round_trip(&post("pay", 3000, "", "")).status(), 502);
    assert_eq!(one.take_request_count() + two.take_request_count(), 1);

    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        let turn = Arc::new(AtomicUsize::new(0));
        let start = || {
            let (turn, status) = (Arc::clone(&turn), status.to_owned());
            Upstream::start(move |_| match turn.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::Send(http_response(&status, "X-Turned-Away: 1\r\n", "")),
                _ => ok("taken"),
            })
        };
        let (one, two) = (start(), start());
        let (proxy, _discovery) = Proxy::with_upstreams(&[&one, &two]);
        assert_eq!(proxy.client().round_trip(&post("pay", 3000, "", "")).body, b"taken", "{status}");
    }
}

#[test]
fn refused_connection_allows_retry_of_unsafe_request() {
    let upstream = Upstream::start(|_| ok(""));
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .expect("could not bind a loopback port")
        .local_addr()
        .expect("no local address");
    let discovery_server = DiscoveryServer::start(json!([
        endpoint("gone", unused_address, "SERVING"),
        endpoint("here", upstream.address, "SERVING")
    ]));
    let proxy = Proxy::start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    for _ in 0..8 {
        assert_eq!(client.round_trip(&post("pay", 3000, "", "")).status(), 200);
    }
}

/// A response that ends before its `Content-Length` must not reach the client as a complete one.
#[test]
fn truncated_response_becomes_502() {
    let (one, two) =
        pair(|_| Reply::SendThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".into()));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&one, &two]);
    let response = proxy.client().round_trip(&post("pay", 3000, "", ""));
    assert_eq!((response.status(), response.body.len()), (502, 0));
    assert_eq!(one.take_request_count() + two.take_request_count(), 1);
}

/// The endpoint sends a response head whose body never follows. The client must not receive that head: it
/// could only wait.
#[test]
fn response_head_without_body_becomes_502() {
    for form in ["Transfer-Encoding: chunked", "Content-Length: 5", "Connection: close"] {
        let upstream = Upstream::start(move |_| Reply::Send(format!("HTTP/1.1 200 OK\r\n{form}\r\n\r\n")));
        let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
        assert_eq!(proxy.client().round_trip(&post("pay", 300, "", "")).status(), 502, "{form}");
        assert_eq!(upstream.take_request_count(), 1);
    }
}

/// The upstream closes each connection behind its response. A request written to such a stale connection
/// would be lost.
#[test]
fn closed_upstream_connection_is_not_reused() {
    let upstream = Upstream::start(|_| Reply::SendThenClose(http_response("200 OK", "", "once")));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    for connection in 0..5 {
        let response = client.round_trip(&post("pay", 3000, "", ""));
        assert_eq!((response.status(), response.body.as_slice()), (200, b"once".as_slice()), "{connection}");
        assert_eq!(upstream.next_request().0, connection);
        assert_eq!(upstream.wait_for_close(), connection);
    }
}

/// The client proxy closes idle connections before the upstream would, so that a request does not cross the
/// close.
#[test]
fn idle_upstream_connections_are_closed_first() {
    let upstream = Upstream::start(|_| ok(""));
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", upstream.address, "SERVING")]));
    let mut settings = settings();
    settings["limits"]["connIdle"] = json!(100.0);
    let proxy = Proxy::start(&config(discovery_server.address, settings));
    discovery_server.wait_until_list_received();
    assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
    assert_eq!(upstream.wait_for_close(), 0);
}

/// A second request on a connection that still carries one would wait behind the first.
#[test]
fn connection_carries_one_request_at_once() {
    let barrier = Arc::new(Barrier::new(2));
    let upstream = Upstream::start(move |_| {
        barrier.wait();
        ok("")
    });
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let (mut one, mut two) = (proxy.client(), proxy.client());
    one.write(&look_request(3000));
    two.write(&look_request(3000));
    // Neither upstream thread continues before the other has its request, so the two requests came on two
    // connections.
    assert_eq!(one.read().expect("no response").status(), 200);
    assert_eq!(two.read().expect("no response").status(), 200);
    assert_ne!(upstream.next_request().0, upstream.next_request().0);
}

/// When a client disconnects, its attempt would otherwise go on for nobody, and its late response could be
/// read as that of the next request on the same connection.
#[test]
fn attempt_is_cancelled_when_its_client_disconnects() {
    let upstream = Upstream::start(|n| if n == 0 { Reply::Stall } else { ok("fresh") });
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    client.write(&look_request(3000));
    assert_eq!(upstream.next_request().0, 0);
    drop(client);
    assert_eq!(upstream.wait_for_close(), 0);
    assert_eq!(proxy.client().round_trip(&look_request(3000)).body, b"fresh");
    assert_eq!(upstream.next_request().0, 1);
}

/// An upstream never responds. The client still gets a final response, and the connection is closed.
#[test]
fn stalled_upstream_ends_with_error_response() {
    let upstream = Upstream::start(|_| Reply::Stall);
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    assert_eq!(proxy.client().round_trip(&post("pay", 300, "", "")).status(), 502);
    assert_eq!(upstream.wait_for_close(), 0);
    // A safe request may be repeated, so 503 is correct: nothing had an effect.
    assert_eq!(proxy.client().round_trip(&look_request(300)).status(), 503);
    // A keyed request, of which an endpoint would drop a repeat. The first attempt may still be running, so
    // the client gets 502.
    assert_eq!(proxy.client().round_trip(&post("keep", 300, IDEMPOTENCY_KEY_HEADER, "")).status(), 502);
}

/// A truncated response must not reach the client as a complete one. A reset never ends a response,
/// wherever it comes; a close does so only if no header gives the length.
#[test]
fn reset_response_is_not_complete() {
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    ] {
        for reset in [true, false] {
            let upstream = Upstream::start(move |_| match reset {
                true => Reply::SendThenReset(cut.to_owned()),
                false => Reply::SendThenClose(cut.to_owned()),
            });
            let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
            let mut client = proxy.client();
            client.write(&post("pay", 3000, "Connection: close\r\n", ""));
            assert!(!is_complete(&mut client), "{cut:?}, reset {reset}");
            assert_eq!(upstream.take_request_count(), 1, "{cut:?}, reset {reset}");
        }
    }
    // Without a length, a close ends the response and a reset does not.
    let unbounded = || "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end".to_owned();
    let upstream = Upstream::start(move |n| {
        if n == 0 { Reply::SendThenClose(unbounded()) } else { Reply::SendThenReset(unbounded()) }
    });
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    client.write(&post("pay", 3000, "Connection: close\r\n", ""));
    assert!(is_complete(&mut client));
    let mut client = proxy.client();
    client.write(&post("pay", 3000, "Connection: close\r\n", ""));
    assert!(!is_complete(&mut client));
}

/// Whether the client takes what it receives for a complete response with status 200.
fn is_complete(client: &mut Client) -> bool {
    use std::io::Read;
    let mut received = Vec::new();
    let is_closed = client.stream.read_to_end(&mut received).is_ok();
    let text = String::from_utf8_lossy(&received);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length =
        head.lines().find_map(|line| line.to_lowercase().strip_prefix("content-length: ").map(str::to_owned));
    let is_ended = match length {
        Some(length) => body.len() == length.parse::<usize>().expect("invalid length"),
        None if head.to_lowercase().contains("chunked") => body.ends_with("0\r\n\r\n"),
        None => is_closed,
    };
    head.starts_with("HTTP/1.1 200 ") && is_ended
}

/// A refusal that an endpoint sends once more some milliseconds late must not be taken for the response to another
/// request, so none is written on its connection by then: it would be executed there and at another endpoint.
#[test]
fn connection_rests_after_a_refusal() {
    const SOME_MILLISECONDS: Duration = Duration::from_millis(10);
    let early = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&early);
    let address = raw_upstream(move |reader, writer| {
        let mut refused_at: Option<Instant> = None;
        while let Some(request) = read_head(reader) {
            let is_early = refused_at.is_some_and(|at| at.elapsed() < SOME_MILLISECONDS);
            counter.fetch_add(usize::from(is_early), Ordering::SeqCst);
            let is_refused = !request.starts_with("get ");
            refused_at = is_refused.then(Instant::now);
            let (status, headers) = match is_refused {
                false => ("200 OK", ""),
                true => ("503 Service Unavailable", "X-Turned-Away: 1\r\n"),
            };
            if writer.write_all(http_response(status, headers, "").as_bytes()).is_err() {
                return;
            }
        }
    });
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", address, "SERVING")]));
    let proxy = Proxy::start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    for _ in 0..20 {
        assert_eq!(client.round_trip(&look_request(3000)).status(), 200);
        assert!(client.round_trip(&post("pay", 3000, "", "")).status() >= 500);
    }
    assert_eq!(early.load(Ordering::SeqCst), 0, "requests right behind a refusal");
}

/// An upstream sends more than one response to a request. A connection on which unsolicited bytes arrive,
/// with the response or while it is idle, is closed before another request is written; otherwise the next
/// client would receive the response of another one.
#[test]
fn unsolicited_response_never_reaches_next_client() {
    // Together with the first response.
    let with_stray_response = |n: usize| {
        Reply::Send(http_response("200 OK", "", &format!("n{n}")) + &http_response("200 OK", "", "stray"))
    };
    let upstream = Upstream::start(with_stray_response);
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    for n in 0..40 {
        let response = client.round_trip(&post("pay", 3000, "", ""));
        assert_eq!(String::from_utf8_lossy(&response.body), format!("n{n}"));
    }
    // While the connection is idle: a complete response, or half a status line.
    for stray in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", "HTTP/1.1 20"] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let discovery_server = DiscoveryServer::start(json!([endpoint("h", address, "SERVING")]));
        let proxy = Proxy::start(&config(discovery_server.address, settings()));
        discovery_server.wait_until_list_received();
        let mut client = proxy.client();
        client.write(&post("pay", 3000, "", ""));
        for body in ["first", "second", "third"] {
            let (mut stream, _) = listener.accept().expect("no new connection");
            let mut reader = std::io::BufReader::new(stream.try_clone().expect("could not clone the socket"));
            read_message(&mut reader).expect("no request arrived");
            std::io::Write::write_all(&mut stream, http_response("200 OK", "", body).as_bytes())
                .expect("could not write");
            assert_eq!(client.read().expect("no response").body, body.as_bytes());
            // The next request and the stray bytes are both there when the program continues; the request
            // came first.
            proxy.signal("-STOP");
            client.write(&post("pay", 3000, "", ""));
            std::io::Write::write_all(&mut stream, stray.as_bytes()).expect("could not write");
            proxy.signal("-CONT");
        }
    }
}
