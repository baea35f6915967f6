//! The wall clock of the machine is stepped: before the start, while the client proxy runs, and between two
//! processes of an upgrade. That must neither skip nor prolong slow start.

mod common;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::faults::Faults;
use common::*;
use serde_json::{Value, json};

const HOUR_MS: i64 = 3_600_000;
const STEPS_MS: [i64; 5] = [0, HOUR_MS, -HOUR_MS, 20_000, -20_000];
/// A slow start that no test outlasts, and one that every test outlasts.
const LONG_SLOW_START_MS: f64 = 600_000.0;
const SHORT_SLOW_START_MS: f64 = 1_000.0;
const REQUESTS: usize = 300;
/// Of four endpoints, one in slow start gets about a twentieth of the requests, a warmed-up one a quarter.
const SLOW_START_MAX: usize = REQUESTS / 8;
const WARMED_UP_MIN: usize = REQUESTS / 6;

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970").as_millis() as i64
}

/// Four endpoints, the first of which can be listed as just started.
struct Fleet {
    endpoints: Vec<Upstream>,
}

impl Fleet {
    fn start() -> Fleet {
        let endpoint = |n: usize| {
            Upstream::start(move |_| {
                // Without a minimum duration, chance delays of a busy machine would make one endpoint look
                // much slower than the others.
                std::thread::sleep(Duration::from_millis(1));
                Reply::Send(http_response("200 OK", "", &format!("h{n}")))
            })
        };
        Fleet { endpoints: (0..4).map(endpoint).collect() }
    }

    fn entry(&self, n: usize, since_ms: i64) -> Value {
        let mut entry = endpoint(&format!("h{n}"), self.endpoints[n].address, "SERVING");
        entry["since_ms"] = json!(since_ms);
        entry
    }

    /// The full list, with these start times.
    fn list(&self, since_ms: [i64; 4]) -> Value {
        (0..).zip(since_ms).map(|(n, since_ms)| self.entry(n, since_ms)).collect()
    }
}

fn settings_with_slow_start(slow_start_ms: f64) -> Value {
    let mut settings = settings();
    settings["contract"]["cold"] = json!(slow_start_ms);
    settings["contract"]["coldFrom"] = json!(0.1);
    settings
}

fn clock_step(by_ms: i64) -> Value {
    json!({"realtime_offset_ms": by_ms})
}

/// Sends `REQUESTS` requests and counts those that the first endpoint gets.
fn first_endpoint_requests(proxy: &Proxy) -> usize {
    let mut client = proxy.client();
    (0..REQUESTS).filter(|_| client.round_trip(&look_request(3000)).body == b"h0").count()
}

/// Waits until the first endpoint gets the share of a warmed-up one.
fn wait_until_warmed_up(proxy: &Proxy, context: &str) {
    let begun = Instant::now();
    while first_endpoint_requests(proxy) < WARMED_UP_MIN {
        assert!(begun.elapsed() < TEST_TIMEOUT, "the endpoint did not warm up: {context}");
    }
}

/// How the client proxy learns of the endpoint that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announcement {
    Notified,
    NotifiedAfterTheStep,
    Snapshot,
}

/// A client proxy whose wall clock is stepped and that has just been notified of the new endpoint.
fn proxy_notified_of_new_endpoint(
    announcement: Announcement,
    by_ms: i64,
    since_ms: i64,
    slow_start_ms: f64,
) -> (Faults, DiscoveryServer, Proxy) {
    let fleet = Fleet::start();
    let first = if announcement == Announcement::Snapshot { since_ms } else { 0 };
    let discovery_server = DiscoveryServer::start(fleet.list([first, 0, 0, 0]));
    let faults =
        Faults::new(clock_step(if announcement == Announcement::NotifiedAfterTheStep { 0 } else { by_ms }));
    let proxy = faults.start(&config(discovery_server.address, settings_with_slow_start(slow_start_ms)));
    discovery_server.wait_until_list_received();
    // By then the load of the warmed-up endpoints is known.
    first_endpoint_requests(&proxy);
    if announcement != Announcement::Snapshot {
        faults.replace_plan(clock_step(by_ms));
        discovery_server.publish(json!([fleet.entry(0, since_ms)]), false);
        discovery_server.wait_until_list_received();
    }
    (faults, discovery_server, proxy)
}

/// By the stepped clock of the client proxy the endpoint may have started an hour ago. Slow start must not
/// be skipped for that.
#[test]
fn clock_steps_do_not_skip_slow_start() {
    for announcement in [Announcement::Notified, Announcement::NotifiedAfterTheStep, Announcement::Snapshot] {
        for by_ms in STEPS_MS {
            let (_faults, _discovery, proxy) =
                proxy_notified_of_new_endpoint(announcement, by_ms, unix_ms(), LONG_SLOW_START_MS);
            let count = first_endpoint_requests(&proxy);
            assert!(
                count <= SLOW_START_MAX,
                "{announcement:?}, stepped by {by_ms} ms: {count} of {REQUESTS}"
            );
        }
    }
}

/// By the stepped clock of the client proxy, or because the clock of the endpoint was ahead, the endpoint
/// may seem to start only in an hour. Slow start must not last until then.
#[test]
fn clock_steps_do_not_prolong_slow_start() {
    for announcement in [Announcement::Notified, Announcement::Snapshot] {
        for (by_ms, ahead_ms) in [(-HOUR_MS, 0), (-20_000, 0), (0, HOUR_MS)] {
            let (_faults, _discovery, proxy) = proxy_notified_of_new_endpoint(
                announcement,
                by_ms,
                unix_ms() + ahead_ms,
                SHORT_SLOW_START_MS,
            );
            wait_until_warmed_up(
                &proxy,
                &format!("{announcement:?}, stepped by {by_ms} ms, {ahead_ms} ms ahead"),
            );
        }
    }
}

/// Without the time of discovery, all endpoints would be in slow start at each start of a client proxy. If
/// the response has a `Date` header, old endpoints are warmed up at once.
#[test]
fn dated_snapshot_separates_old_and_new_endpoints() {
    for by_ms in STEPS_MS {
        for age_ms in [HOUR_MS, 0] {
            let fleet = Fleet::start();
            let now = 1_700_000_000_000;
            let discovery_server = DiscoveryServer::start(fleet.list([now - age_ms, 0, 0, 0]));
            discovery_server.add_headers("Date: Tue, 14 Nov 2023 22:13:20 GMT\r\n");
            let faults = Faults::new(clock_step(by_ms));
            let proxy =
                faults.start(&config(discovery_server.address, settings_with_slow_start(LONG_SLOW_START_MS)));
            discovery_server.wait_until_list_received();
            let context = format!("{age_ms} ms old, stepped by {by_ms} ms");
            if age_ms == 0 {
                first_endpoint_requests(&proxy);
                let count = first_endpoint_requests(&proxy);
                assert!(count <= SLOW_START_MAX, "{context}: {count} of {REQUESTS}");
            } else {
                wait_until_warmed_up(&proxy, &context);
            }
        }
    }
}

/// The wall clock is stepped between two processes of an upgrade. An endpoint that was enabled again must
/// neither be warmed up at once at the next process nor be in slow start for an hour. The same holds if the
/// process before was of an earlier version.
#[test]
fn reenabled_endpoint_keeps_slow_start_after_upgrade() {
    for earlier_version in [false, true] {
        for (by_ms, slow_start_ms) in
            [(HOUR_MS, LONG_SLOW_START_MS), (-HOUR_MS, LONG_SLOW_START_MS), (-HOUR_MS, SHORT_SLOW_START_MS)]
        {
            let context = format!(
                "stepped by {by_ms} ms, slow start {slow_start_ms} ms, earlier version {earlier_version}"
            );
            let fleet = Fleet::start();
            let platform = Platform::new();
            let discovery_server = DiscoveryServer::start(fleet.list([0; 4]));
            let mut config = config(discovery_server.address, settings_with_slow_start(slow_start_ms));
            config["listen"] = json!(platform.listener.local_addr().expect("no local address").to_string());
            config["admin_addr"] = json!("127.0.0.1:0");
            let mut old = platform.start(&config);
            while old.admin_command("PING") != "+OK ready\n" {}
            assert_eq!(old.admin_command("DETACH h0"), "+OK out of use\n");
            assert_eq!(old.admin_command("ATTACH h0"), "+OK in use\n");
            old.terminate();
            assert!(old.child.wait().expect("could not wait for the process").success());
            let path = platform.dir.join(format!("{STATE_FILE_PREFIX}.json"));
            let mut state: Value =
                serde_json::from_slice(&std::fs::read(&path).expect("could not read the file"))
                    .expect("invalid JSON");
            let put_back = state["back"]["h0"].as_f64().expect("no wall-clock time for earlier versions");
            assert!((put_back - unix_ms() as f64).abs() < 60_000.0, "{put_back}");
            if earlier_version {
                state.as_object_mut().expect("not an object").remove("back_monotonic");
                std::fs::write(&path, state.to_string()).expect("could not write");
            }
            let faults = Faults::new(clock_step(by_ms));
            let new = faults.start_on(&platform, &config);
            while new.admin_command("PING") != "+OK ready\n" {}
            if slow_start_ms == LONG_SLOW_START_MS {
                first_endpoint_requests(&new);
                let count = first_endpoint_requests(&new);
                assert!(count <= SLOW_START_MAX, "{context}: {count} of {REQUESTS}");
            } else {
                wait_until_warmed_up(&new, &context);
            }
        }
    }
}

/// Deadlines and waits are durations: no response may come early, late or never because the clock is
/// stepped back and forth.
#[test]
fn deadlines_are_unaffected_by_clock_steps() {
    let slow = Upstream::start(|_| {
        std::thread::sleep(Duration::from_millis(150));
        Reply::Send(http_response("200 OK", "", "done"))
    });
    let discovery_server = DiscoveryServer::start(json!([endpoint("h0", slow.address, "SERVING")]));
    let faults = Faults::new(clock_step(0));
    let proxy = faults.start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    for by_ms in STEPS_MS.into_iter().cycle().take(2 * STEPS_MS.len()) {
        client.write(&look_request(3000));
        slow.next_request();
        faults.replace_plan(clock_step(by_ms));
        let response = client.read().expect("no response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"done"[..]),
            "stepped by {by_ms} ms"
        );
    }
}
