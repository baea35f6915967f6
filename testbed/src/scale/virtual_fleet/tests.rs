use super::*;
use crate::chance;

fn fleet(watchers: u32, service_time: Millis) -> Fleet {
    let mut fleet =
        Fleet::new(watchers, service_time, &mut chance::stream(5, "test")).expect("settings are valid");
    fleet.run_until(WARM_UP_MS);
    fleet
}

/// A watcher whose long poll ends without a change has to poll again at once. If it stopped, the idle figures
/// would be those of a fleet that does not watch.
#[test]
fn idle_watchers_keep_polling_without_failures() {
    let mut fleet = fleet(20, 1.0);
    fleet.counts = Counts::default();
    fleet.run_until(WARM_UP_MS + 15_000.0);
    // 15 s hold ten long polls of 1.5 s with their round trips, for each of the 20 watchers.
    assert!((190.0..=200.0).contains(&fleet.counts.polls), "{:?}", fleet.counts);
    assert_eq!(fleet.counts.failed, 0.0);
    assert!(fleet.watchers.iter().all(|watcher| watcher.current_version == 1));
}

/// Discovery sends the responses to a change one after another, each after half of the service time. A model
/// that sent them at once, or left a watcher out, would report propagation times that are too short.
#[test]
fn change_reaches_all_watchers_in_turn() {
    let mut fleet = fleet(20, 1.0);
    let from = fleet.now();
    fleet.set_target_version(2);
    fleet.change_endpoint(4);
    fleet.run_until(from + FOLLOW_CHANGE_MS);
    let (mut elapsed_s, missing) = fleet.elapsed_s(from, |watcher| watcher.reached);
    elapsed_s.sort_by(f64::total_cmp);
    assert_eq!(missing, 0.0);
    assert!(elapsed_s[0] >= 0.5e-3 + ROUND_TRIP_MS / 1e3 && elapsed_s[19] >= 20.0 * 0.5e-3, "{elapsed_s:?}");
}

/// Polls fail during an outage and time out when discovery is overloaded (400 watchers at 50 ms each). After
/// an outage every watcher has to reconnect; one that gave up would be missing from all later figures.
#[test]
fn polls_fail_in_outage_and_overload() {
    let mut fleet = fleet(30, 1.0);
    fleet.stop_discovery();
    fleet.counts = Counts::default();
    fleet.run_until(fleet.now() + OUTAGE_MS);
    assert!(fleet.counts.failed >= 30.0 && fleet.counts.bytes == 0.0, "{:?}", fleet.counts);
    fleet.down = false;
    let from = fleet.now();
    fleet.watchers.iter_mut().for_each(|watcher| watcher.first_response = None);
    fleet.run_until(from + RECOVERY_LIMIT_MS);
    assert_eq!(fleet.elapsed_s(from, |watcher| watcher.first_response).1, 0.0);

    let mut overloaded = self::fleet(400, 50.0);
    overloaded.counts = Counts::default();
    overloaded.run_until(overloaded.now() + 10_000.0);
    assert!(overloaded.counts.failed > 0.0, "{:?}", overloaded.counts);
}

/// A response has exactly the entries that changed after the watcher's version: an entry too few leaves the
/// watcher with an outdated list, an entry too many counts too many bytes.
#[test]
fn response_has_only_newer_entries() {
    let mut fleet = fleet(1, 1.0);
    [3, 5, 3].into_iter().for_each(|endpoint| fleet.change_endpoint(endpoint));
    let since_ms = |response_body: Rc<str>| -> Vec<u64> {
        let list: discovery_proto::EndpointList =
            serde_json::from_str(&response_body).expect("response is an endpoint list");
        list.endpoints.iter().map(|entry| entry["since_ms"].as_u64().expect("since_ms is a number")).collect()
    };
    assert_eq!(since_ms(fleet.response_body(Some(1), 4)), [4, 3]);
    assert_eq!(since_ms(fleet.response_body(Some(3), 4)), [4]);
    assert_eq!(since_ms(fleet.response_body(None, 2)), [1, 1, 1, 2, 1, 1, 1, 1, 1]);
    assert_eq!(since_ms(fleet.response_body(Some(4), 4)), [] as [u64; 0]);
}
