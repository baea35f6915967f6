//! Input that clients may send, and the responses to it.

mod common;

use std::io::{ErrorKind, Write};

use common::*;
use serde_json::json;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f\r\n";

fn upstream() -> Upstream {
    Upstream::start(|_| Reply::Send(http_response("200 OK", "", "fine")))
}

#[test]
fn ready_requires_an_endpoint_list() {
    let upstream = upstream();
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    assert_eq!(proxy.client().round_trip(READY_REQUEST).status(), 200);

    // Discovery never responds, and no list is known from an earlier process.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let proxy = Proxy::start(&config(silent.local_addr().expect("no local address"), settings()));
    assert_eq!(proxy.client().round_trip(READY_REQUEST).status(), 503);
}

/// Malformed input is rejected at once with a 4xx or 505, never with the 503 of overload, and other clients
/// are still served.
#[test]
fn bad_requests_disturb_no_other_client() {
    let upstream = upstream();
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let good = look_request(3000);
    let cases = [
        ("no class", good.replace("X-Lane: look\r\n", ""), 400),
        ("unknown class", good.replace("X-Lane: look", "X-Lane: nothing"), 400),
        ("no tenant", good.replace("X-Org: acme\r\n", ""), 400),
        ("unknown tenant", good.replace("X-Org: acme", "X-Org: nobody"), 400),
        ("no id", good.replace("X-Txn: t1\r\n", ""), 400),
        ("no time", good.replace("X-Remaining-Ms: 3000\r\n", ""), 400),
        ("time is no number", good.replace("Ms: 3000", "Ms: soon"), 400),
        ("time is negative", good.replace("Ms: 3000", "Ms: -5"), 400),
        ("time is zero", good.replace("Ms: 3000", "Ms: 0"), 400),
        ("time is absurd", good.replace("Ms: 3000", "Ms: 99999999999999999999999"), 400),
        ("time is days", good.replace("Ms: 3000", "Ms: 400000000"), 400),
        ("keyed without a key", post("keep", 3000, "", ""), 400),
        ("unsafe as GET", good.replace("X-Lane: look", "X-Lane: pay"), 400),
        (
            "keyed by another method",
            post("keep", 3000, IDEMPOTENCY_KEY_HEADER, "").replacen("POST", "PUT", 1),
            405,
        ),
        ("unsafe by another method", post("pay", 3000, "", "").replacen("POST", "DELETE", 1), 400),
        ("unsafe with a key", post("pay", 3000, IDEMPOTENCY_KEY_HEADER, ""), 405),
        (
            "two keys",
            post("keep", 3000, &format!("{IDEMPOTENCY_KEY_HEADER}{IDEMPOTENCY_KEY_HEADER}"), ""),
            405,
        ),
        ("two ids", good.replace("X-Txn: t1\r\n", "X-Txn: t1\r\nX-Txn: t9\r\n"), 400),
        ("two classes", good.replace("X-Lane: look\r\n", "X-Lane: look\r\nX-Lane: pay\r\n"), 400),
        ("path of another class", good.replace("GET /look", "GET /pay"), 400),
        ("time with a sign", good.replace("Ms: 3000", "Ms: +3000"), 400),
        ("no host", good.replace("Host: origin.svc\r\n", ""), 400),
        ("older HTTP", good.replace("HTTP/1.1", "HTTP/1.0"), 505),
        (
            "a chunk without a length",
            format!(
                "{}Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
                post("pay", 3000, "", "").split("Content-Length").next().expect("no message head")
            ),
            400,
        ),
        ("no HTTP", "what is this\r\n\r\n".into(), 400),
        ("a bad header", "GET / HTTP/1.1\r\nno colon here\r\n\r\n".into(), 400),
    ];
    for (case, text, status) in cases {
        let mut client = proxy.client();
        assert_eq!(client.round_trip(&text).status(), status, "{case}");
        assert_eq!(proxy.client().round_trip(&good).status(), 200, "after: {case}");
        assert_eq!(upstream.next_request().1.start, "GET /look/7?q=1 HTTP/1.1", "forwarded: {case}");
        assert_eq!(upstream.take_request_count(), 0, "forwarded: {case}");
    }
    // A client that stalls in the middle of its request delays no other client.
    proxy.client().write("GET /look HTTP/1.1\r\nX-La");
    assert_eq!(proxy.client().round_trip(&good).status(), 200);
}

/// A client that sends requests without reading the responses would keep its slot for good.
#[test]
fn client_that_reads_no_responses_is_disconnected() {
    let upstream = upstream();
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut peer = proxy.client();
    peer.stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
    let requests = READY_REQUEST.repeat(1000);
    // Once the send buffer to this client is full, nothing more is read from it, so the write blocks until
    // the connection is closed.
    let error = loop {
        if let Err(error) = peer.stream.write_all(requests.as_bytes()) {
            break error;
        }
    };
    assert!(matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{error}");
}

/// Bytes that follow a bad request, such as its body, could be taken for a request that no client sent.
#[test]
fn nothing_behind_a_bad_request_is_forwarded() {
    let upstream = upstream();
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    for status in [400, 405] {
        let bad = match status {
            400 => look_request(3000).replace("X-Lane: look\r\n", ""),
            _ => post("pay", 3000, IDEMPOTENCY_KEY_HEADER, "")
                .replace("Content-Length: 0", "Content-Length: 70000"),
        };
        let mut client = proxy.client();
        client.write(&(bad + &look_request(3000)));
        assert_eq!(client.read().expect("no response").status(), status);
        assert!(client.read_until_closed(), "{status}");
    }
    assert_eq!(upstream.take_request_count(), 0);
}

/// A client that never completes a request would keep its slot for good, whatever deadline it names.
#[test]
fn client_without_complete_request_is_disconnected() {
    let upstream = upstream();
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let half = post("pay", 600_000, "", "abc").replace("abc", "a");
    for (case, text) in [
        ("nothing", ""),
        ("half a head", "GET /look HTTP/1.1\r\nX-La"),
        ("half a body", &half),
        ("one request, then nothing", READY_REQUEST),
    ] {
        let mut client = proxy.client();
        client.write(text);
        assert!(client.read_until_closed(), "still open: {case}");
    }
    assert_eq!(upstream.take_request_count(), 0);
}

/// A request that cannot be sent anywhere is rejected in time, and `Retry-After` says when to retry.
#[test]
fn rejection_has_retry_after() {
    let (proxy, _discovery) = Proxy::with_upstreams(&[]);
    let rejected = proxy.client().round_trip(&look_request(1000));
    assert_eq!((rejected.status(), rejected.header("Retry-After")), (503, Some("0.250")));
}

/// A chunked body that arrives in several parts must not be forwarded without its later chunks.
#[test]
fn chunked_body_is_forwarded_complete() {
    let upstream = upstream();
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let text = post("pay", 3000, "", "");
    let head = text.split("Content-Length").next().expect("no message head");
    let mut client = proxy.client();
    client.write(&format!("{head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    client.write("2\r\nde\r\n0\r\n\r\n");
    assert_eq!(client.read().expect("no response").status(), 200);
    assert_eq!(upstream.next_request().1.body, b"abcde");
}

/// Without a limit on clients, the process would run out of descriptors. Clients beyond the limit wait;
/// those within it are served, since sockets for upstream connections are reserved.
#[test]
fn clients_beyond_socket_budget_wait() {
    let upstream = upstream();
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", upstream.address, "SERVING")]));
    let mut config = config(discovery_server.address, settings());
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    let mut clients: Vec<Client> = (0..80).map(|_| proxy.client()).collect();
    assert_eq!(clients[0].round_trip(&look_request(3000)).status(), 200);
    clients.truncate(1);
    assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
}
