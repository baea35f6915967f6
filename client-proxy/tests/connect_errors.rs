//! Connections to endpoints cannot be opened, for reasons on this machine, in the network or at the endpoint.

mod common;

use std::time::Duration;

use common::faults::{Faulty, LOCAL_ERRORS, LONG_DEADLINE_MS, healthy_upstream};
use common::*;
use serde_json::json;

#[test]
fn local_connect_errors_use_up_no_attempt() {
    for call in ["connect", "socket"] {
        for error in LOCAL_ERRORS {
            let upstream = healthy_upstream();
            let faulty = Faulty::start(&[&upstream], |_| ());
            // More failures than a request has attempts.
            faulty.faults.replace_plan(json!({"rules": [{"call": call, "error": error, "count": 4}]}));
            let status = faulty.proxy.client().round_trip(&post("pay", LONG_DEADLINE_MS, "", "")).status();
            assert_eq!((status, faulty.faults.trigger_count(0)), (200, 4), "{call} {error}");
            assert_eq!(upstream.take_request_count(), 1);
        }
    }
}

/// All calls to `connect` fail for two seconds with a local error. Requests must neither be lost nor be
/// retried in a busy loop.
#[test]
fn local_connect_outage_loses_no_request() {
    let upstreams: Vec<Upstream> = (0..4).map(|_| healthy_upstream()).collect();
    let faulty = Faulty::start(&upstreams.iter().collect::<Vec<_>>(), |_| ());
    faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": "EADDRNOTAVAIL"}]}));
    // Few enough that none is rejected for overload.
    const CLIENTS: usize = 8;
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| faulty.proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.write(&look_request(LONG_DEADLINE_MS)));
    let outage = Duration::from_secs(2);
    std::thread::sleep(outage);
    let failed_calls = faulty.faults.trigger_count(0);
    faulty.faults.replace_plan(json!({}));
    for client in &mut clients {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    // The time that these requests waited has a local cause. It must not count as slowness of the
    // upstreams, for which later requests would be rejected.
    for _ in 0..5 {
        clients.iter_mut().for_each(|client| client.write(&look_request(LONG_DEADLINE_MS)));
        for client in &mut clients {
            assert_eq!(client.read().expect("no response").status(), 200);
        }
    }
    // Each request retries three times at once and then every 100 ms. The backoff is a lower bound, so a
    // slow machine makes fewer calls.
    let max_calls = CLIENTS as u64 * (outage.as_millis() as u64 / 100 + 3) * 2;
    assert!(failed_calls >= CLIENTS as u64 && failed_calls <= max_calls, "{failed_calls} calls failed");
}

#[test]
fn unreachable_network_leaves_other_endpoints_in_use() {
    for error in ["ENETUNREACH", "EPERM"] {
        let upstreams = [healthy_upstream(), healthy_upstream()];
        let faulty = Faulty::start(&[&upstreams[0], &upstreams[1]], |_| ());
        faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": error, "count": 3}]}));
        let status = faulty.proxy.client().round_trip(&post("pay", LONG_DEADLINE_MS, "", "")).status();
        assert_eq!((status, faulty.faults.trigger_count(0)), (200, 3), "{error}");
    }
}

/// Attempts that were never sent must not count against the limit: the request would be rejected although
/// its client has time left.
#[test]
fn long_network_outage_uses_up_no_attempt() {
    for error in ["ENETUNREACH", "ENETDOWN", "EPERM"] {
        let upstream = healthy_upstream();
        let faulty =
            Faulty::start(&[&upstream], |config| config["settings"]["limits"]["dialTimeout"] = json!(20.0));
        // Far more failures than three attempts make within their dial timeouts.
        faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": error, "count": 20}]}));
        let status = faulty.proxy.client().round_trip(&post("pay", LONG_DEADLINE_MS, "", "")).status();
        assert_eq!((status, faulty.faults.trigger_count(0)), (200, 20), "{error}");
        assert_eq!(upstream.take_request_count(), 1);
    }
}

/// Dials that never succeed must neither busy-loop nor keep a request beyond its deadline.
#[test]
fn permanent_network_outage_ends_request_in_time() {
    let upstream = healthy_upstream();
    let faulty =
        Faulty::start(&[&upstream], |config| config["settings"]["limits"]["dialTimeout"] = json!(20.0));
    faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": "ENETUNREACH"}]}));
    assert_eq!(faulty.proxy.client().round_trip(&look_request(1000)).status(), 503);
    // Three retries at once, the others at least 100 ms apart. A slow machine makes fewer.
    let failed_calls = faulty.faults.trigger_count(0);
    assert!((4..=3 + 10).contains(&failed_calls), "{failed_calls} calls failed");
    faulty.faults.replace_plan(json!({}));
    assert_eq!(faulty.proxy.client().round_trip(&look_request(LONG_DEADLINE_MS)).status(), 200);
}

#[test]
fn refused_connection_counts_as_endpoint_failure() {
    for error in ["ECONNREFUSED", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"] {
        let upstream = healthy_upstream();
        let faulty = Faulty::start(&[&upstream], |_| ());
        faulty.faults.replace_plan(json!({"rules": [{"call": "connect", "error": error}]}));
        // Each failure uses up one of the three attempts of the request.
        assert_eq!(
            faulty.proxy.client().round_trip(&look_request(LONG_DEADLINE_MS)).status(),
            503,
            "{error}"
        );
        assert!(
            (1..=3).contains(&faulty.faults.trigger_count(0)),
            "{error}: {}",
            faulty.faults.trigger_count(0)
        );
    }
}
