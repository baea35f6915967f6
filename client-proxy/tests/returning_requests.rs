//! A request whose client has left and that comes again under its id, on a new connection or at the other
//! process of an upgrade: it must not take effect twice.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::*;
use serde_json::json;

const KEY: &str = "Idempotency-Key: 5c0f\r\n";

fn returning_post(class: &str) -> String {
    post_with_id("returning", class, 3_900, if class == "keep" { KEY } else { "" }, "")
}

/// The ids of the requests that have come to the endpoint so far.
fn forwarded_ids(upstream: &Upstream) -> Vec<String> {
    let id_of = |event| match event {
        Event::Request(_, message) => Some(message.header("X-Txn").expect("no id").to_owned()),
        _ => None,
    };
    upstream.events.try_iter().filter_map(id_of).collect()
}

/// The first one may have been executed, so that the answer is neither a refusal nor a response to another
/// attempt.
#[test]
fn returning_request_is_forwarded_once() {
    for class in ["pay", "keep"] {
        for is_answered in [false, true] {
            let upstream = Upstream::start(move |n| {
                if is_answered || n > 0 {
                    Reply::Send(http_response("200 OK", "", "fine"))
                } else {
                    Reply::Stall
                }
            });
            let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
            let mut leaving = proxy.client();
            leaving.write(&returning_post(class));
            upstream.next_request();
            leaving.close();
            wait_until_processed(&proxy);
            let status = proxy.client().round_trip(&returning_post(class)).status();
            assert_eq!(status, 502, "{class}, answered: {is_answered}");
            assert_eq!(proxy.client().round_trip(&post("pay", 3_900, "", "")).status(), 200, "another one");
            assert!(!forwarded_ids(&upstream).iter().any(|id| id == "returning"), "{class}: forwarded again");
        }
    }
}

/// A request that was certainly not executed may come again.
#[test]
fn returning_request_that_was_rejected_is_forwarded() {
    let rejects = Arc::new(AtomicBool::new(true));
    let is_rejecting = Arc::clone(&rejects);
    let upstream = Upstream::start(move |_| {
        let rejected = http_response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
        let is_rejecting = is_rejecting.load(Ordering::SeqCst);
        Reply::Send(if is_rejecting { rejected } else { http_response("200 OK", "", "fine") })
    });
    let (proxy, _discovery) = Proxy::with_upstreams(&[&upstream]);
    assert_eq!(proxy.client().round_trip(&returning_post("pay")).status(), 503);
    rejects.store(false, Ordering::SeqCst);
    assert_eq!(proxy.client().round_trip(&returning_post("pay")).status(), 200);
}

#[test]
fn request_returning_to_other_process_of_upgrade_is_forwarded_once() {
    let upstream = Upstream::start(|n| match n {
        0 => Reply::Stall,
        _ => Reply::Send(http_response("200 OK", "", "fine")),
    });
    let platform = Platform::new();
    let discovery_server = DiscoveryServer::start(json!([endpoint("h0", upstream.address, "SERVING")]));
    let mut config = config(discovery_server.address, settings());
    config["listen"] = json!(platform.listener.local_addr().expect("no local address").to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    let wait_until_ready = |proxy: &Proxy| while proxy.admin_command("PING") != "+OK ready\n" {};
    let old = platform.start(&config);
    wait_until_ready(&old);
    let mut leaving = old.client();
    leaving.write(&returning_post("pay"));
    upstream.next_request();
    let new = platform.start(&config);
    wait_until_ready(&new);
    old.terminate();
    // Once a connection is accepted by the new process, the old one has stopped accepting.
    let is_forwarded_by_new = || new.metrics()["dispatches"].as_u64().is_some_and(|count| count > 0);
    while !is_forwarded_by_new() {
        assert_eq!(new.client().round_trip(&post("pay", 3_900, "", "")).status(), 200);
    }
    forwarded_ids(&upstream);
    leaving.close();
    assert_eq!(new.client().round_trip(&returning_post("pay")).status(), 502);
    assert_eq!(forwarded_ids(&upstream), [""; 0]);
}
