//! Counts the attempts that endpoints get for clients that disconnect.

use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use super::*;

/// Most attempts for one request, by [`settings`].
pub const MAX_ATTEMPTS: usize = 3;
/// Number of requests of [`serve_past_retry_interval`].
pub const REQUESTS_PAST_RETRY_INTERVAL: usize = 15;

/// An upstream that sends one response for each use of the sender.
pub fn gated_upstream(response: fn(usize) -> String) -> (Upstream, Sender<()>) {
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let upstream = Upstream::start(move |n| {
        let _ = gate.lock().expect("another thread panicked").recv();
        Reply::Send(response(n))
    });
    (upstream, go)
}

/// Response 200 with a short body.
pub fn http_ok(_: usize) -> String {
    http_response("200 OK", "", "fine")
}

/// Two endpoints reject all requests, the first one after `leave` has made its client leave. Returns how many
/// attempts each endpoint gets after the first: those of a second request, and retries of the first.
pub fn attempts_after_departure(leave: impl FnOnce(&Proxy, Client)) -> [usize; 2] {
    let rejected = |_| http_response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
    let ((one, release_one), (two, release_two)) = (gated_upstream(rejected), gated_upstream(rejected));
    let (proxy, _discovery) = Proxy::with_upstreams(&[&one, &two]);
    let mut client = proxy.client();
    client.write(&post("pay", 15_000, "", ""));
    let has_request = |upstream: &Upstream| matches!(upstream.events.try_recv(), Ok(Event::Request(..)));
    while !has_request(&one) && !has_request(&two) {
        std::thread::yield_now();
    }
    leave(&proxy, client);
    for go in [&release_one, &release_two] {
        for _ in 0..=MAX_ATTEMPTS {
            go.send(()).expect("the upstream thread has ended");
        }
    }
    // Once another request has been answered, the response to the first, or its cancellation, has been
    // processed.
    assert_eq!(proxy.client().round_trip(&post("pay", 15_000, "", "")).status(), 503);
    [&one, &two].map(Upstream::take_request_count)
}

/// Has some requests served for longer than the 100 ms after which a request that waits for an endpoint is
/// retried.
pub fn serve_past_retry_interval(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..REQUESTS_PAST_RETRY_INTERVAL {
        assert_eq!(client.round_trip(&look_request(3000)).status(), 200);
        std::thread::sleep(Duration::from_millis(20));
    }
}
