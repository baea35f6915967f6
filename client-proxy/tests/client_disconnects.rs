//! Clients that disconnect while their requests wait: nothing more is sent for them, whatever lies unread
//! behind the request. A client that has only shut down its sending side still gets its response.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;

use common::departures::*;
use common::*;
use serde_json::json;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It closes, with nothing behind its request.
    Plain,
    /// It closes behind its next request, which nobody has read.
    Pipelined,
    /// It closes behind more requests than the client proxy reads ahead.
    Flooded,
    /// It resets the connection behind its next request, which nobody has read.
    Reset,
}

const DEPARTURES: [Departure; 4] =
    [Departure::Plain, Departure::Pipelined, Departure::Flooded, Departure::Reset];

/// Writes what follows the request in progress, and disconnects.
fn leave(mut client: Client, departure: Departure) {
    match departure {
        Departure::Plain => {}
        Departure::Flooded => client.write(&look_request(3000).repeat(400)),
        Departure::Pipelined | Departure::Reset => client.write(&look_request(3000)),
    }
    if matches!(departure, Departure::Reset) {
        client.reset();
    } else {
        client.close();
    }
}

/// A burst of requests waits for an upstream, and all clients disconnect before one is listed. Sending
/// their requests then would be work for nobody.
#[test]
fn disconnect_before_first_upstream_prevents_attempt() {
    for departure in DEPARTURES {
        let upstream = Upstream::start(|n| Reply::Send(http_ok(n)));
        let discovery_server = DiscoveryServer::start(json!([]));
        let proxy = Proxy::start(&config(discovery_server.address, settings()));
        discovery_server.wait_until_list_received();
        let mut burst: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
        burst.iter_mut().for_each(|client| client.write(&look_request(15_000)));
        // The response to a later request shows that these have been processed.
        wait_until_processed(&proxy);
        burst.into_iter().for_each(|client| leave(client, departure));
        discovery_server.publish(json!([endpoint("h", upstream.address, "SERVING")]), true);
        discovery_server.wait_until_list_received();
        serve_past_retry_interval(&proxy);
        assert_eq!(upstream.take_request_count(), REQUESTS_PAST_RETRY_INTERVAL, "{departure:?}");
    }
}

/// A dial completes long after its client has disconnected. Nothing may be written on it, even where
/// attempts are not cancelled.
#[test]
fn disconnect_during_dial_prevents_write() {
    for cancelling in [true, false] {
        for departure in DEPARTURES {
            let full = FullBacklog::start();
            let (_discovery, proxy, client) = full.proxy_dialing(cancelling);
            leave(client, departure);
            // The response to another request shows that the disconnect has been noticed.
            wait_until_processed(&proxy);
            // With cancelling, the dial of a client that reset its connection is aborted.
            if !cancelling || !matches!(departure, Departure::Reset) {
                assert_eq!(full.accept_pending_dial(), b"", "{departure:?}, cancelling {cancelling}");
            }
        }
    }
}

/// A client disconnects during its first attempt. A retry would be work for nobody.
#[test]
fn no_retry_after_client_disconnects() {
    for departure in DEPARTURES {
        let attempts = attempts_after_departure(|proxy, client| {
            leave(client, departure);
            wait_until_processed(proxy);
        });
        assert!(attempts.iter().sum::<usize>() <= MAX_ATTEMPTS, "{departure:?}: {attempts:?}");
    }
}

/// A client that shuts down its sending side and waits for its response has not disconnected.
#[test]
fn half_closed_client_gets_its_response() {
    let (upstream, go) = gated_upstream(http_ok);
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    for behind in ["", "GET /look/8 HT"] {
        let mut client = proxy.client();
        client.write(&look_request(15_000));
        upstream.next_request();
        client.write(behind);
        client.stream.shutdown(Shutdown::Write).expect("could not shut down the sending side");
        wait_until_processed(&proxy);
        go.send(()).expect("the upstream thread has ended");
        assert_eq!(client.read().expect("no response").body, b"fine", "{behind:?}");
        assert!(client.read_until_closed(), "{behind:?}");
    }
}

/// A client shuts down its sending side while its request waits for an endpoint. There must be no attempt
/// for it any more, and it must get a response before its deadline is over.
#[test]
fn half_closed_client_without_endpoint_is_rejected() {
    let upstream = Upstream::start(|n| Reply::Send(http_ok(n)));
    let discovery_server = DiscoveryServer::start(json!([]));
    let proxy = Proxy::start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    client.write(&look_request(600_000));
    wait_until_processed(&proxy);
    client.stream.shutdown(Shutdown::Write).expect("could not shut down the sending side");
    assert_eq!(client.read().expect("no response").status(), 503);
    // The same result if the end comes together with the request.
    let mut client = proxy.client();
    client.write(&look_request(600_000));
    client.stream.shutdown(Shutdown::Write).expect("could not shut down the sending side");
    discovery_server.publish(json!([endpoint("h", upstream.address, "SERVING")]), true);
    discovery_server.wait_until_list_received();
    let status = client.read().expect("no response").status();
    assert!(matches!(status, 200 | 503), "{status}");
}

/// A client disconnects in the middle of a streamed body, before any endpoint is listed. No attempt may
/// begin for it once there is one.
#[test]
fn disconnect_in_partial_body_prevents_attempt() {
    for reset in [false, true] {
        // An endpoint that reports the first four bytes on each connection, whether or not a complete
        // request follows.
        let (sender, received) = channel();
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, sender) = (stream.expect("accept failed"), sender.clone());
                std::thread::spawn(move || {
                    let mut bytes = [0; 4];
                    while stream.read_exact(&mut bytes).is_ok() {
                        let _ = sender.send(bytes);
                        if &bytes != b"GET " {
                            return;
                        }
                        let mut head = Vec::new();
                        while !head.ends_with(b"\r\n\r\n") {
                            head.resize(head.len() + 1, 0);
                            let last = head.len() - 1;
                            stream.read_exact(&mut head[last..]).expect("no message head");
                        }
                        stream.write_all(http_ok(0).as_bytes()).expect("could not write");
                    }
                });
            }
        });
        let discovery_server = DiscoveryServer::start(json!([]));
        let proxy = Proxy::start(&config(discovery_server.address, settings()));
        discovery_server.wait_until_list_received();
        let mut client = proxy.client();
        let body = "x".repeat(400_000);
        let request = post("pay", 15_000, "", &body);
        // More than the client proxy reads before there is an endpoint, and than it reads ahead. If more
        // than the system buffers were unsent, the close would not even be transmitted.
        client.write(&request[..100_000]);
        wait_until_processed(&proxy);
        leave(client, if reset { Departure::Reset } else { Departure::Plain });
        wait_until_processed(&proxy);
        discovery_server.publish(json!([endpoint("h", address, "SERVING")]), true);
        discovery_server.wait_until_list_received();
        serve_past_retry_interval(&proxy);
        assert!(received.try_iter().all(|bytes| &bytes == b"GET "), "reset {reset}");
    }
}

/// A client sends its request and disconnects while the process is stopped, so that the process notices
/// both at once. There must be no attempt for it.
#[test]
fn disconnect_while_process_stopped_prevents_attempt() {
    for departure in DEPARTURES {
        let upstream = Upstream::start(|n| Reply::Send(http_ok(n)));
        let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
        let mut client = proxy.client();
        assert_eq!(client.round_trip(&look_request(3000)).status(), 200);
        proxy.signal("-STOP");
        client.write(&look_request(15_000));
        leave(client, departure);
        proxy.signal("-CONT");
        assert_eq!(proxy.client().round_trip(&look_request(15_000)).status(), 200);
        assert_eq!(upstream.take_request_count(), 2, "{departure:?}");
    }
}

/// A client proxy with this value of `limit`, and one endpoint.
fn with_limit(limit: &str, value: u64, address: std::net::SocketAddr) -> (Proxy, DiscoveryServer) {
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", address, "SERVING")]));
    let mut config = config(discovery_server.address, settings());
    config["limits"][limit] = json!(value);
    let proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    (proxy, discovery_server)
}

/// A client disconnects while its request waits for buffer memory for its body. There must be no attempt
/// for it.
#[test]
fn disconnect_during_memory_wait_prevents_attempt() {
    for departure in DEPARTURES {
        let upstream = Upstream::start(|n| Reply::Send(http_ok(n)));
        let (proxy, _discovery) = with_limit("memory_mb", 1, upstream.address);
        // If the client proxy, delayed by a busy machine, gave up the wait, the round shows nothing and is
        // repeated.
        let has_waited = (0..20).any(|_| {
            let mut holders: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
            let request = post("pay", 15_000, "", &"x".repeat(64 * 1024));
            holders.iter_mut().for_each(|holder| holder.write(&request[..1000]));
            wait_until_processed(&proxy);
            let (mut leaving, mut remaining) = (proxy.client(), proxy.client());
            leaving.write(&post("pay", 15_000, "X-Mark: leaving\r\n", &"x".repeat(2000)));
            remaining.write(&post("pay", 15_000, "", &"x".repeat(2000)));
            wait_until_processed(&proxy);
            leave(leaving, departure);
            wait_until_processed(&proxy);
            drop(holders);
            remaining.read().expect("no response").status() == 200
        });
        assert!(has_waited);
        let is_of_leaving =
            |event: Event| matches!(event, Event::Request(_, message) if message.header("x-mark").is_some());
        assert!(!upstream.events.try_iter().any(is_of_leaving), "{departure:?}");
    }
}

/// The same for a long body, which is streamed and waits for its part of the memory.
#[test]
fn disconnect_during_memory_wait_prevents_streamed_attempt() {
    const BODY_BYTES: usize = 100_000;
    /// More than the client proxy reads before an attempt begins, so that part of the streamed rest has
    /// been read.
    const THRESHOLD_BYTES: usize = 88_000;
    for departure in [Departure::Plain, Departure::Reset] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let (head_sender, heads) = channel();
        let (threshold_sender, threshold_reached) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, head_sender, threshold_sender) =
                    (stream.expect("accept failed"), head_sender.clone(), threshold_sender.clone());
                std::thread::spawn(move || {
                    let (mut received, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
                    while let Ok(read @ 1..) = stream.read(&mut piece) {
                        let before = received.len();
                        received.extend_from_slice(&piece[..read]);
                        if before == 0 {
                            let _ = head_sender.send(String::from_utf8_lossy(&received).to_lowercase());
                        }
                        if before < THRESHOLD_BYTES && received.len() >= THRESHOLD_BYTES {
                            let _ = threshold_sender.send(());
                        }
                        if before < BODY_BYTES && received.len() >= BODY_BYTES {
                            let _ = stream.write_all(http_ok(0).as_bytes());
                        }
                    }
                });
            }
        });
        let (proxy, _discovery) = with_limit("memory_mb", 1, address);
        let marked_request = |mark: &str| post("pay", 15_000, mark, &"x".repeat(BODY_BYTES));
        let mut holders: Vec<Client> = (0..5).map(|_| proxy.client()).collect();
        for holder in &mut holders {
            holder.write(&marked_request("")[..THRESHOLD_BYTES + 2000]);
            threshold_reached
                .recv_timeout(TEST_TIMEOUT)
                .expect("the endpoint did not receive enough of the body");
        }
        let (mut leaving, mut remaining) = (proxy.client(), proxy.client());
        leaving.write(&marked_request("X-Mark: leaving\r\n")[..THRESHOLD_BYTES]);
        wait_until_processed(&proxy);
        remaining.write(&marked_request("X-Mark: remaining\r\n"));
        wait_until_processed(&proxy);
        assert!(!heads.try_iter().any(|head| head.contains("x-mark")), "the request did not wait for memory");
        if matches!(departure, Departure::Reset) {
            leaving.reset();
        } else {
            leaving.close();
        }
        wait_until_processed(&proxy);
        drop(holders);
        assert_eq!(remaining.read().expect("no response").status(), 200, "{departure:?}");
        assert!(!heads.try_iter().any(|head| head.contains("x-mark: leaving")), "{departure:?}");
    }
}
