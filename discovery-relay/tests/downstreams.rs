//! Downstreams and sources that misbehave, many downstreams at once, and the shutdown of a relay.

mod common;

use std::time::Duration;

use common::{Behavior, FakeSource, Relay, TestConnection, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::task::JoinSet;

fn endpoint_names(service: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{service}-{n}")).collect()
}

async fn start_source(names: &[String]) -> FakeSource {
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    FakeSource::start(&names).await
}

/// When many downstreams reconnect at once, they request more full snapshots than the relay writes
/// concurrently. None of them may starve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_simultaneous_downstreams_get_full_snapshot() {
    let source = start_source(&endpoint_names("shop", 500)).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    let mut downstreams = JoinSet::new();
    for _ in 0..300 {
        let address = relay.address;
        downstreams.spawn(async move {
            // Retries after a 503, as a client proxy does.
            loop {
                let mut connection = TestConnection::dial(address).await;
                let response = connection.get("shop", "/v1/endpoints").await.expect("a response");
                if response.status != 503 {
                    return response.list().2.len();
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        });
    }
    while let Some(endpoint_count) = downstreams.join_next().await {
        assert_eq!(endpoint_count.expect("no panic"), 500);
    }
}

/// While the relay is busy, half of a zone's client proxies may connect at once. The kernel has to queue
/// their connections, as far as its limit allows; otherwise they would time out.
#[tokio::test]
async fn connections_to_busy_relay_are_queued() {
    let max_backlog = std::fs::read_to_string("/proc/sys/net/core/somaxconn").expect("a readable limit");
    let count = max_backlog.trim().parse::<usize>().expect("a number").min(2000);
    let source = start_source(&endpoint_names("shop", 3)).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    relay.signal("STOP");
    let mut connections = Vec::new();
    for n in 0..count {
        // Connecting times out if the queue is full.
        connections.push(
            TestConnection::try_dial(relay.address)
                .await
                .unwrap_or_else(|| panic!("connection {n} timed out")),
        );
    }
    relay.signal("CONT");
    let last = connections.last_mut().expect("at least one connection");
    assert_eq!(last.get("shop", "/v1/endpoints").await.expect("a response").list().2.len(), 3);
}

/// Downstreams that send requests and never read would fill the relay's buffers without bound and block
/// others. Their connections have to be closed, and others have to be served meanwhile.
#[tokio::test]
async fn connection_that_never_reads_is_closed() {
    let source = start_source(&endpoint_names("shop", 20_000)).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    let mut stalled = Vec::new();
    for _ in 0..8 {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a valid size");
        let mut stream = socket.connect(relay.address).await.expect("a connection");
        let requests = b"GET /v1/endpoints HTTP/1.1\r\nHost: shop\r\n\r\n".repeat(8);
        stream.write_all(&requests).await.expect("the requests are sent");
        stalled.push(stream);
    }
    let response =
        TestConnection::dial(relay.address).await.get("shop", "/v1/endpoints").await.expect("a response");
    assert_eq!(response.list().2.len(), 20_000);
    let length = response.body.len();
    // Nothing is read from these; a write fails once the relay has closed the connection.
    for stream in stalled {
        let is_open = || async {
            let written = stream.try_write(b"GET /v1/endpoints HTTP/1.1\r\nHost: shop\r\n\r\n");
            !matches!(&written, Err(error) if error.kind() != std::io::ErrorKind::WouldBlock)
        };
        wait_until("the connection is closed", || async { !is_open().await }).await;
    }
    assert!(length > 2_000_000, "{length}");
    let response =
        TestConnection::dial(relay.address).await.get("shop", "/v1/endpoints?after=10&wait_ms=0").await;
    assert_eq!(response.expect("a response").status, 200);
}

/// An invalid request must not affect the connections of others, and its response has to say what is wrong.
#[tokio::test]
async fn invalid_request_gets_error_and_affects_no_other() {
    let source = start_source(&endpoint_names("shop", 3)).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    let mut watch = TestConnection::dial(relay.address).await;
    watch.send("shop", "/v1/endpoints?after=10&wait_ms=60000").await.expect("the request is sent");
    for (request, status, reason) in [
        ("GET /v1/endpoints HTTP/1.1\r\nHost: bank\r\n\r\n", 404, "not known"),
        ("GET /v1/endpoints HTTP/1.1\r\nHost: 127.0.0.1:80\r\n\r\n", 421, "Host"),
        ("GET /v1/endpoints HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", 421, "Host"),
        ("GET /v1/endpoints HTTP/1.1\r\nHost: a b\r\n\r\n", 400, "Host"),
        ("GET /v1/endpoints HTTP/1.1\r\n\r\n", 400, "Host"),
        ("GET /v1/endpoints?after=x HTTP/1.1\r\nHost: shop\r\n\r\n", 400, "after"),
        ("GET /v1/endpoints?after=1&wait_ms=-1 HTTP/1.1\r\nHost: shop\r\n\r\n", 400, "wait_ms"),
        ("GET /v1/other HTTP/1.1\r\nHost: shop\r\n\r\n", 404, "/v1/endpoints"),
        ("POST /v1/endpoints HTTP/1.1\r\nHost: shop\r\ncontent-length: 0\r\n\r\n", 405, "GET"),
        ("\u{16}\u{3}\u{1} nothing that is HTTP\r\n\r\n", 400, ""),
    ] {
        let mut connection = TestConnection::dial(relay.address).await;
        connection.stream.write_all(request.as_bytes()).await.expect("the request is sent");
        let response = connection.read_response().await.expect("a response");
        let body = String::from_utf8_lossy(&response.body);
        assert!(response.status == status && body.contains(reason), "{request}: {} {body}", response.status);
    }
    source.change(&["shop-1"], "DRAINING");
    assert_eq!(watch.read_response().await.expect("a response").list().2.len(), 1);
}

/// Idle connections could use up the connection limit and lock others out. At the limit the longest idle one
/// is closed; a connection with an open watch is not idle.
#[tokio::test]
async fn idle_connections_close_at_limit_watches_stay() {
    let source = start_source(&endpoint_names("shop", 3)).await;
    let relay = Relay::start(&[source.address], "connections = 30");
    relay.wait_for_list().await;
    let mut watches = Vec::new();
    for _ in 0..20 {
        let mut connection = TestConnection::dial(relay.address).await;
        connection.send("shop", "/v1/endpoints?after=10&wait_ms=60000").await.expect("the request is sent");
        watches.push(connection);
    }
    // A response to a later request shows that the relay has read all of these.
    TestConnection::dial(relay.address)
        .await
        .get("shop", "/v1/endpoints?after=10&wait_ms=50")
        .await
        .expect("a response");
    let mut idle = Vec::new();
    for _ in 0..200 {
        idle.push(TestConnection::dial(relay.address).await);
    }
    idle[0].wait_for_close().await;
    for _ in 0..5 {
        let mut connection = TestConnection::dial(relay.address).await;
        assert_eq!(connection.get("shop", "/v1/endpoints").await.expect("a response").list().2.len(), 3);
    }
    source.change(&["shop-1"], "DRAINING");
    for watch in &mut watches {
        assert_eq!(watch.read_response().await.expect("a response").list().2.len(), 1);
    }
}

/// A source may send invalid, endless, slow or truncated responses, reject polls or stall. Meanwhile the
/// relay has to go on serving its list, and the changes once the source has recovered.
#[tokio::test]
async fn relay_survives_misbehaving_source() {
    let names = endpoint_names("shop", 10);
    let source = start_source(&names).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    let invalid_entry = r#"{"index":99,"snapshot":true,"endpoints":[{"name":"shop-1"}]}"#.to_owned();
    let behaviors = [
        Behavior::Body("{\"index\":".to_owned()),
        Behavior::Body(invalid_entry),
        Behavior::Body("<html>no list</html>".to_owned()),
        Behavior::EndlessBody,
        Behavior::SlowBody,
        Behavior::TruncatedBody,
        Behavior::Stalled,
        Behavior::Unavailable,
    ];
    for (behavior, name) in behaviors.into_iter().zip(&names) {
        source.set_behavior(behavior.clone());
        source.wait_for_poll().await;
        let snapshot =
            TestConnection::dial(relay.address).await.get("shop", "/v1/endpoints").await.expect("a response");
        assert_eq!(snapshot.list().2.len(), 10, "{behavior:?}");
        let version = source.change(&[name], "DRAINING");
        source.wait_for_poll().await;
        source.set_behavior(Behavior::Healthy);
        wait_until("the relay has the change", || async {
            let path = format!("/v1/endpoints?after={}&wait_ms=0", version - 1);
            let response =
                TestConnection::dial(relay.address).await.get("shop", &path).await.expect("a response");
            response.status == 200 && response.list().2 == [(name.clone(), "DRAINING".to_owned())]
        })
        .await;
    }
}

/// Downstreams must not miss a change when their relay shuts down. Each open watch gets a response, and the
/// version in it lets the downstream fetch from another relay what changed meanwhile.
#[tokio::test]
async fn shutdown_answers_watches_that_resume_elsewhere() {
    let source = start_source(&endpoint_names("shop", 3)).await;
    let (mut stopping, other) = (Relay::start(&[source.address], ""), Relay::start(&[source.address], ""));
    stopping.wait_for_list().await;
    other.wait_for_list().await;
    let mut idle = TestConnection::dial(stopping.address).await;
    idle.get("shop", "/v1/endpoints").await.expect("a response");
    let mut watches = JoinSet::new();
    let (address, other_address) = (stopping.address, other.address);
    for _ in 0..50 {
        let mut connection = TestConnection::dial(address).await;
        connection.send("shop", "/v1/endpoints?after=10&wait_ms=60000").await.expect("the request is sent");
        watches.spawn(async move {
            let response = connection.read_response().await.expect("a response before the close");
            let closes =
                response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            let (index, full_snapshot, entries) = response.list();
            connection.wait_for_close().await;
            if entries.is_empty() {
                let path = format!("/v1/endpoints?after={index}&wait_ms=60000");
                let response =
                    TestConnection::dial(other_address).await.get("shop", &path).await.expect("a response");
                return (closes, full_snapshot, response.list().2);
            }
            (closes, full_snapshot, entries)
        });
    }
    // A response to a later request shows that the relay has read all fifty.
    TestConnection::dial(address)
        .await
        .get("shop", "/v1/endpoints?after=10&wait_ms=50")
        .await
        .expect("a response");
    stopping.signal("TERM");
    idle.wait_for_close().await;
    wait_until("no connection is accepted any more", || async {
        TestConnection::try_dial(address).await.is_none()
    })
    .await;
    source.change(&["shop-1"], "DRAINING");
    while let Some(result) = watches.join_next().await {
        let (closes, full_snapshot, entries) = result.expect("no panic");
        assert!(closes && !full_snapshot, "{closes} {full_snapshot}");
        assert_eq!(entries, [("shop-1".to_owned(), "DRAINING".to_owned())]);
    }
    assert!(stopping.wait_for_exit().await);
}
