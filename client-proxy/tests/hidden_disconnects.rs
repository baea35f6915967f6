//! Clients that disconnect behind so much unread data that the end of their stream does not arrive.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

use common::departures::*;
use common::*;
use serde_json::json;

/// For how long a client is gone before an attempt for it could begin.
const GONE_FOR: Duration = Duration::from_millis(250);

/// Leaves a connection.
type Leave = fn(Client);

/// Shuts down the sending side and keeps the connection open.
fn half_close(client: Client) {
    client.stream.shutdown(Shutdown::Write).expect("could not shut down the sending side");
    std::mem::forget(client);
}

/// Writes as much as the system takes. What lies behind it in the stream does not reach the client proxy.
fn fill_buffers(client: &mut Client) {
    let flood = look_request(3000).repeat(10_000);
    let socket = socket2::SockRef::from(&client.stream);
    // Bounds what the system takes.
    socket.set_send_buffer_size(256 * 1024).expect("could not set the buffer size");
    client.stream.set_nonblocking(true).expect("could not make the socket non-blocking");
    let mut is_full = false;
    while !is_full {
        is_full = client.stream.write(flood.as_bytes()).is_err();
    }
    client.stream.set_nonblocking(false).expect("could not make the socket blocking");
}

/// Guards against a retry for a client that has left behind more than all buffers hold, so that its end of
/// the stream does not arrive.
#[test]
fn hidden_disconnect_prevents_retry() {
    let departures: [(&str, Leave); 3] =
        [("close", Client::close), ("reset", Client::reset), ("half-close", half_close)];
    let late = departures.into_iter().filter_map(|(departure, leave)| {
        let attempts = attempts_after_departure(|_, mut client| {
            fill_buffers(&mut client);
            leave(client);
            std::thread::sleep(GONE_FOR);
        });
        (attempts.iter().sum::<usize>() > MAX_ATTEMPTS).then_some((departure, attempts))
    });
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "more than {MAX_ATTEMPTS} attempts: {late:?}");
}

/// Guards against an attempt of a long request whose client has left long before: the end of the stream is
/// only visible behind the complete body. A client that waits must get its response.
#[test]
fn hidden_disconnect_behind_long_body_prevents_attempt() {
    const BODY_BYTES: usize = 1 << 20;
    let body = "x".repeat(BODY_BYTES);
    let with_length = post("pay", 15_000, "", &body);
    let chunked = post("pay", 15_000, "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
        + &format!("{BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n");
    for (request, is_gone) in
        [(&with_length, true), (&with_length, false), (&chunked, true), (&chunked, false)]
    {
        let upstream = Upstream::start(|n| Reply::Send(http_ok(n)));
        let discovery_server = DiscoveryServer::start(json!([]));
        let proxy = Proxy::start(&config(discovery_server.address, settings()));
        discovery_server.wait_until_list_received();
        let mut client = proxy.client();
        client.stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("could not set the write timeout");
        client.write(request);
        let mut client = Some(client);
        if is_gone {
            client.take().into_iter().for_each(Client::close);
        }
        std::thread::sleep(GONE_FOR);
        discovery_server.publish(json!([endpoint("h", upstream.address, "SERVING")]), true);
        discovery_server.wait_until_list_received();
        if let Some(client) = &mut client {
            assert_eq!(client.read().expect("no response").status(), 200);
            assert_eq!(upstream.take_request_count(), 1);
        } else {
            serve_past_retry_interval(&proxy);
            let requests = upstream.take_request_count();
            assert_eq!(requests, REQUESTS_PAST_RETRY_INTERVAL, "an attempt for a client that had left");
        }
    }
}
