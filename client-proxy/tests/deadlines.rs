//! The deadline that is forwarded to an endpoint: never more than the client has left, never 0, and never
//! taken from a header without a valid one.

mod common;

use std::time::Duration;

use common::*;

fn forwarded_deadline_ms(message: &Message) -> u64 {
    message.header("x-remaining-ms").and_then(|ms| ms.parse().ok()).expect("no valid X-Remaining-Ms header")
}

/// A request whose id is its remaining deadline, since an upstream may report it only after the next one
/// has been sent.
fn tagged_look_request(remaining_ms: u64) -> String {
    look_request(remaining_ms).replace("X-Txn: t1", &format!("X-Txn: {remaining_ms}"))
}

/// Asserts that each [`tagged_look_request`] that has arrived so far was given more than 0 ms and no more
/// than it had left.
fn assert_forwarded_within_deadline(upstream: &Upstream) {
    for seen in upstream.events.try_iter() {
        let Event::Request(_, message) = seen else { continue };
        let remaining_ms: u64 =
            message.header("x-txn").and_then(|digits| digits.parse().ok()).expect("no numeric X-Txn header");
        let forwarded_ms = forwarded_deadline_ms(&message);
        assert!((1..=remaining_ms).contains(&forwarded_ms), "{forwarded_ms} of {remaining_ms} ms");
    }
}

/// A retry that is given the deadline of the first attempt would run on after the client has stopped
/// waiting.
#[test]
fn retry_is_given_only_the_time_left() {
    const DELAY: Duration = Duration::from_millis(300);
    let upstream = || {
        Upstream::start(|_| {
            std::thread::sleep(DELAY);
            Reply::Send(http_response("503 Service Unavailable", "X-Turned-Away: 1\r\n", ""))
        })
    };
    let (one, two) = (upstream(), upstream());
    let (proxy, _discovery) = Proxy::with_upstreams(&[&one, &two]);
    assert_eq!(proxy.client().round_trip(&post("pay", 15_000, "", "")).status(), 503);
    let mut forwarded_ms: Vec<u64> = [&one, &two]
        .iter()
        .flat_map(|upstream| upstream.events.try_iter())
        .filter_map(|seen| {
            if let Event::Request(_, message) = seen { Some(forwarded_deadline_ms(&message)) } else { None }
        })
        .collect();
    forwarded_ms.sort_unstable_by(|a, b| b.cmp(a));
    assert!(forwarded_ms.len() > 1, "no retry was made");
    for (retries, forwarded_ms) in forwarded_ms.iter().enumerate() {
        let spent_ms = DELAY.as_millis() as u64 * retries as u64;
        assert!(*forwarded_ms <= 15_000 - spent_ms, "retry {retries}: {forwarded_ms} ms");
    }
}

/// With a few milliseconds left, rounding could forward 0 ms or more than is left, or the deadline could
/// pass before any final response.
#[test]
fn short_deadline_is_never_forwarded_as_zero() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "fine")));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    for remaining_ms in (1..=3).cycle().take(60).chain(4..=50) {
        let status = client.round_trip(&tagged_look_request(remaining_ms)).status();
        assert!(matches!(status, 200 | 502 | 503), "{remaining_ms} ms: {status}");
        assert_forwarded_within_deadline(&upstream);
    }
}

/// A header that is malformed or given twice must not be read as a deadline.
#[test]
fn invalid_deadline_header_is_rejected() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "fine")));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let duplicated = "3000\r\nX-Remaining-Ms: 3000";
    let overflowing = "18446744073709551616";
    for value in [
        "",
        "-5",
        "+5",
        "1.5",
        "1e3",
        "3 000",
        "0x10",
        "3000,3000",
        "\u{663}",
        "nan",
        "600001",
        overflowing,
        duplicated,
    ] {
        let request = look_request(3000).replace("Ms: 3000", &format!("Ms: {value}"));
        assert_eq!(proxy.client().round_trip(&request).status(), 400, "{value:?}");
    }
    assert_eq!(upstream.take_request_count(), 0);
    // Optional whitespace around the value is allowed.
    let request = look_request(3000).replace("Ms: 3000", "Ms: \t 3000  ");
    assert_eq!(proxy.client().round_trip(&request).status(), 200);
    assert!(forwarded_deadline_ms(&upstream.next_request().1) <= 3000);
}

/// The time that a first request spends in the accept queue counts against its deadline. Time in which a
/// client is connected without having sent a request does not.
#[test]
fn accept_queue_wait_reduces_the_forwarded_deadline() {
    const QUEUE_WAIT: Duration = Duration::from_millis(1_000);
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "fine")));
    let discovery_server =
        DiscoveryServer::start(serde_json::json!([endpoint("h", upstream.address, "SERVING")]));
    let mut config = config(discovery_server.address, settings());
    config["limits"]["sockets"] = serde_json::json!(64);
    let proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    // All client slots are taken, so later connections wait in the accept queue.
    let mut occupants: Vec<Client> = (0..40).map(|_| proxy.client()).collect();
    assert_eq!(occupants[0].round_trip(&look_request(3000)).status(), 200);
    assert!(forwarded_deadline_ms(&upstream.next_request().1) > 1000, "it has not waited");
    let mut queued: Vec<Client> = (0..3).map(|_| proxy.client()).collect();
    queued.iter_mut().for_each(|client| client.write(&look_request(3000)));
    std::thread::sleep(QUEUE_WAIT);
    drop(occupants);
    for client in &mut queued {
        assert_eq!(client.read().expect("no response").status(), 200);
        let forwarded_ms = forwarded_deadline_ms(&upstream.next_request().1);
        assert!(forwarded_ms <= 3000 - QUEUE_WAIT.as_millis() as u64, "{forwarded_ms} ms");
    }
    // Here the queue is empty, and the request comes long after its connection.
    let mut idle = proxy.client();
    std::thread::sleep(2 * QUEUE_WAIT);
    assert_eq!(idle.round_trip(&look_request(600_000)).status(), 200);
    assert!(
        forwarded_deadline_ms(&upstream.next_request().1) > 598_000,
        "idle time must not be taken off the deadline"
    );
}

/// A request with a few milliseconds left meets an idle upstream connection that is just being closed. It
/// must get a final response and must not be forwarded with more time than it has.
#[test]
fn short_deadline_on_closing_connection_is_answered() {
    let upstream = Upstream::start(|_| Reply::SendThenClose(http_response("200 OK", "", "fine")));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    for remaining_ms in (1..=5).cycle().take(100) {
        // The connection to the endpoint, which closes it after each response, is idle or has just been
        // closed.
        let status = client.round_trip(&tagged_look_request(remaining_ms)).status();
        assert!(matches!(status, 200 | 502 | 503), "{remaining_ms} ms: {status}");
        assert_forwarded_within_deadline(&upstream);
    }
}

/// How long an endpoint delays its first response, behind which another request waits.
const DELAY: Duration = Duration::from_millis(1_500);
/// Longest time in which the client proxy, delayed by a busy machine, notices input.
const NOTICE_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// The deadlines that are forwarded for a request with `remaining_ms` that waits behind the first response,
/// and for the one after it. `send` is given the connection; the first request has to be at the endpoint
/// when it returns.
fn deadlines_behind_a_delayed_response(
    remaining_ms: u64,
    send: impl FnOnce(&mut Client, &Upstream),
) -> (u64, u64) {
    let (upstream, go) = Upstream::with_gated_first_response("fine");
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    send(&mut client, &upstream);
    std::thread::sleep(DELAY);
    go.send(()).expect("the upstream thread has ended");
    for _ in 0..2 {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    let behind_ms = forwarded_deadline_ms(&upstream.next_request().1);
    // The connection is now idle, for as long as the wait was.
    std::thread::sleep(DELAY);
    assert_eq!(client.round_trip(&post("pay", remaining_ms, "", "")).status(), 200);
    let after_ms = forwarded_deadline_ms(&upstream.next_request().1);
    client.close();
    (behind_ms, after_ms)
}

/// The time that a pipelined request waits behind an earlier response counts against its deadline. A
/// request that did not wait keeps all of its deadline.
#[test]
fn pipelined_wait_reduces_the_forwarded_deadline() {
    const REMAINING_MS: u64 = 600_000;
    let pay_request = || post("pay", REMAINING_MS, "", "");
    let after_wait_ms = REMAINING_MS - DELAY.as_millis() as u64;
    let nearly_all_ms = REMAINING_MS - NOTICE_DELAY_MAX.as_millis() as u64;
    let (behind_ms, after_ms) = deadlines_behind_a_delayed_response(REMAINING_MS, |client, upstream| {
        client.write(&(pay_request() + &pay_request()));
        upstream.next_request();
    });
    assert!(behind_ms <= after_wait_ms, "in the same segment: {behind_ms} ms");
    assert!(after_ms > nearly_all_ms, "{after_ms} ms");
    let (behind_ms, after_ms) = deadlines_behind_a_delayed_response(REMAINING_MS, |client, upstream| {
        client.write(&pay_request());
        upstream.next_request();
        client.write(&pay_request());
    });
    let notice_delay_ms = NOTICE_DELAY_MAX.as_millis() as u64;
    assert!(behind_ms <= after_wait_ms + notice_delay_ms, "while the first is answered: {behind_ms} ms");
    assert!(after_ms > nearly_all_ms, "{after_ms} ms");
}

/// The same for a request with a body of any length: its last byte may have arrived together with its head.
#[test]
fn pipelined_body_wait_reduces_forwarded_deadline() {
    const REMAINING_MS: u64 = 600_000;
    let after_wait_ms = REMAINING_MS - DELAY.as_millis() as u64;
    for length in [100, 70_000] {
        let (behind_ms, _) = deadlines_behind_a_delayed_response(REMAINING_MS, |client, upstream| {
            client.write(&post("pay", REMAINING_MS, "", ""));
            upstream.next_request();
            client.write(&post("pay", REMAINING_MS, "", &"x".repeat(length)));
        });
        let notice_delay_ms = NOTICE_DELAY_MAX.as_millis() as u64;
        assert!(behind_ms <= after_wait_ms + notice_delay_ms, "{length} bytes: {behind_ms} ms");
    }
}

/// The time for which a connection was idle, or in which a request was still arriving, is not taken off its
/// deadline.
#[test]
fn idle_time_does_not_reduce_deadline() {
    const REMAINING_MS: u64 = 600_000;
    let nearly_all_ms = REMAINING_MS - NOTICE_DELAY_MAX.as_millis() as u64;
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "fine")));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    let mut client = proxy.client();
    let mut forwarded_ms = |parts: &[&str]| {
        for part in parts {
            client.write(part);
            std::thread::sleep(DELAY);
        }
        assert_eq!(client.read().expect("no response").status(), 200);
        forwarded_deadline_ms(&upstream.next_request().1)
    };
    let length = post("pay", REMAINING_MS, "", "abc").len();
    for at in [length, length - 1, length - 30, 10, length] {
        let request = post("pay", REMAINING_MS, "", "abc");
        let (first, rest) = request.split_at(at);
        let forwarded_ms =
            if rest.is_empty() { forwarded_ms(&[first]) } else { forwarded_ms(&[first, rest]) };
        assert!(forwarded_ms > nearly_all_ms, "cut at {at}: {forwarded_ms} ms");
    }
}
