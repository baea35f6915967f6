//! Which lists and changes a relay serves to its downstreams, through one relay and through two.

mod common;

use std::time::Duration;

use common::{Behavior, FakeSource, MAX_PROPAGATION, Relay, TEST_TIMEOUT, TestConnection, wait_until};
use tokio::time::{Instant, timeout};

/// Watches a list as a client proxy does, starting from `version`, until an endpoint has a status. Responses
/// with 503, closed connections and time-outs lead to another poll. Returns the version then, and the time it
/// took.
async fn wait_for_status(
    relay: &Relay,
    host: &str,
    mut version: u64,
    name: &str,
    status: &str,
) -> (u64, Duration) {
    let started = Instant::now();
    let mut connection = TestConnection::dial(relay.address).await;
    loop {
        assert!(started.elapsed() < TEST_TIMEOUT, "{name} does not become {status}");
        let path = format!("/v1/endpoints?after={version}&wait_ms=500");
        match timeout(Duration::from_secs(1), connection.get(host, &path)).await {
            Ok(Some(response)) if response.status == 200 => {
                let (index, full_snapshot, entries) = response.list();
                assert!(index >= version, "version {index} after {version}");
                assert!(!full_snapshot, "a full snapshot after version {version}");
                version = index;
                if entries.iter().any(|entry| *entry == (name.to_owned(), status.to_owned())) {
                    return (version, started.elapsed());
                }
            }
            Ok(Some(response)) if response.status == 503 => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            other => {
                let is_unexpected = !matches!(&other, Ok(None) | Err(_));
                assert!(!is_unexpected, "{other:?}");
                connection = TestConnection::dial(relay.address).await;
            }
        }
    }
}

/// A downstream must get the endpoints of the service or scope that the authority names, and changes of no
/// other service. An IP address selects all services only if the configuration allows it.
#[tokio::test]
async fn authority_selects_list() {
    let source = FakeSource::start(&["shop-1", "shop-2", "till-1"]).await;
    let relay = Relay::start(&[source.address], "whole = true\nscopes = { front = [\"shop\", \"bank\"] }");
    relay.wait_for_list().await;
    let mut connection = TestConnection::dial(relay.address).await;
    for (host, names) in [
        ("shop", &["shop-1", "shop-2"][..]),
        ("SHOP:8500", &["shop-1", "shop-2"]),
        ("till", &["till-1"]),
        ("front", &["shop-1", "shop-2"]),
        ("127.0.0.1:8500", &["shop-1", "shop-2", "till-1"]),
    ] {
        let (index, full_snapshot, entries) =
            connection.get(host, "/v1/endpoints").await.expect("a response").list();
        let listed: Vec<&str> = entries.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!((index, full_snapshot, &listed[..]), (10, true, names), "{host}");
    }
    // A change of another service yields an empty list of changes, with the source's new version.
    source.change(&["till-1"], "DRAINING");
    wait_for_status(&relay, "till", 10, "till-1", "DRAINING").await;
    let path = "/v1/endpoints?after=10&wait_ms=10";
    assert_eq!(connection.get("shop", path).await.expect("a response").list(), (11, false, Vec::new()));
    // However many requests the relay gets, it has one watch at the source.
    let polls = source.polls();
    let watches = polls.iter().filter(|poll| poll.ends_with("?after=10&wait_ms=500")).count();
    assert!(
        watches >= 1 && polls.iter().filter(|poll| poll.ends_with("/v1/endpoints")).count() == 1,
        "{polls:?}"
    );
    let scoped_only = Relay::start(&[source.address], "");
    scoped_only.wait_for_list().await;
    let rejected = TestConnection::dial(scoped_only.address).await.get("127.0.0.1", "/v1/endpoints").await;
    assert_eq!(rejected.expect("a response").status, 421);
}

/// A relay that stalls or loses its source must not delay a change beyond the bound. A drain has to arrive
/// through two relays in time while the source stalls, while its response is truncated and while the upper
/// relay is stopped.
#[tokio::test]
async fn change_arrives_in_time_through_two_relays() {
    let source = FakeSource::start(&["shop-1", "shop-2", "shop-3", "shop-4", "shop-5"]).await;
    let upper = Relay::start(&[source.address], "whole = true");
    let lower = Relay::start(&[upper.address], "");
    lower.wait_for_list().await;
    let (mut version, undisturbed) = {
        source.change(&["shop-1"], "DRAINING");
        wait_for_status(&lower, "shop", 10, "shop-1", "DRAINING").await
    };
    assert!(undisturbed < MAX_PROPAGATION, "{undisturbed:?}");
    // The source stalls, with the relay's watch open, and recovers right after the next poll.
    source.set_behavior(Behavior::Stalled);
    source.wait_for_poll().await;
    source.change(&["shop-2"], "DRAINING");
    let arrival = wait_for_status(&lower, "shop", version, "shop-2", "DRAINING");
    let recovery = async {
        // The stalled poll gets no response: the relay has to time it out and poll again.
        source.wait_for_poll().await;
        source.set_behavior(Behavior::Healthy);
    };
    let ((new_version, after_stall), ()) = tokio::join!(arrival, recovery);
    assert!(after_stall < MAX_PROPAGATION, "{after_stall:?}");
    version = new_version;
    // The source sends a truncated response and closes the connection.
    source.set_behavior(Behavior::TruncatedBody);
    source.wait_for_poll().await;
    source.change(&["shop-3"], "DRAINING");
    let arrival = wait_for_status(&lower, "shop", version, "shop-3", "DRAINING");
    let recovery = async {
        source.wait_for_poll().await;
        source.set_behavior(Behavior::Healthy);
    };
    let ((new_version, after_truncation), ()) = tokio::join!(arrival, recovery);
    assert!(after_truncation < MAX_PROPAGATION, "{after_truncation:?}");
    version = new_version;
    // The upper relay is stopped for a second. What it read before must not overwrite newer changes.
    upper.signal("STOP");
    source.change(&["shop-4"], "DRAINING");
    let arrival = wait_for_status(&lower, "shop", version, "shop-4", "DRAINING");
    let continuation = async {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        upper.signal("CONT");
    };
    let ((new_version, _), ()) = tokio::join!(arrival, continuation);
    version = new_version;
    source.change(&["shop-5"], "DELETED");
    wait_for_status(&lower, "shop", version, "shop-5", "DELETED").await;
}

/// A source that takes longer for each poll than the relay waits. Its late responses have to be used: each poll
/// was dropped when it timed out, and the relay never received a change.
#[tokio::test]
async fn change_of_slow_source_arrives_in_time() {
    let source = FakeSource::start(&["shop-1", "shop-2"]).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    source.change(&["shop-1"], "DRAINING");
    let (version, _) = wait_for_status(&relay, "shop", 10, "shop-1", "DRAINING").await;
    source.set_delay(Duration::from_millis(2_500));
    source.wait_for_poll().await;
    source.wait_for_poll().await;
    source.change(&["shop-2"], "DRAINING");
    let (_, arrival) = wait_for_status(&relay, "shop", version, "shop-2", "DRAINING").await;
    assert!(arrival < MAX_PROPAGATION, "{arrival:?}");
}

/// A downstream may move to a relay that has an older version. An older list would undo changes, so the relay
/// rejects the request until it has caught up.
#[tokio::test]
async fn relay_behind_downstream_responds_503_until_caught_up() {
    let source = FakeSource::start(&["shop-1"]).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    let mut connection = TestConnection::dial(relay.address).await;
    let behind = connection.get("shop", "/v1/endpoints?after=12&wait_ms=0").await.expect("a response");
    assert_eq!(behind.status, 503);
    assert!(behind.header("retry-after").is_some(), "{behind:?}");
    // The relay waits a little for changes that are on their way.
    source.change(&["shop-1"], "DRAINING");
    connection.send("shop", "/v1/endpoints?after=12&wait_ms=0").await.expect("the request is sent");
    source.change(&["shop-1"], "SERVING");
    let caught_up = connection.read_response().await.expect("a response");
    assert!(caught_up.status == 503 || caught_up.list().0 == 12, "{caught_up:?}");
    wait_until("the relay has caught up", || async {
        let mut connection = TestConnection::dial(relay.address).await;
        connection.get("shop", "/v1/endpoints?after=12&wait_ms=0").await.expect("a response").status == 200
    })
    .await;
}

/// A relay that has lost its source must not look up to date. It rejects watches, so that downstreams go to
/// another relay, but still serves its list, with its age, to those that have none, and removes no endpoint.
#[tokio::test]
async fn relay_without_source_rejects_watches_serves_snapshots() {
    let source = FakeSource::start(&["shop-1", "shop-2"]).await;
    let upper = Relay::start(&[source.address], "whole = true");
    let lower = Relay::start(&[upper.address], "");
    lower.wait_for_list().await;
    let mut watch = TestConnection::dial(lower.address).await;
    watch.send("shop", "/v1/endpoints?after=10&wait_ms=60000").await.expect("the request is sent");
    source.set_behavior(Behavior::Unavailable);
    assert_eq!(watch.read_response().await.expect("a response").status, 503, "an open watch is ended");
    let snapshot =
        TestConnection::dial(lower.address).await.get("shop", "/v1/endpoints").await.expect("a response");
    assert_eq!(snapshot.list().2.len(), 2);
    wait_until("the age is reported", || async {
        let snapshot =
            TestConnection::dial(lower.address).await.get("shop", "/v1/endpoints").await.expect("a response");
        let age = snapshot.header("age").expect("an age").parse::<u64>().expect("whole seconds");
        assert_eq!(snapshot.list().2.len(), 2);
        age >= 3
    })
    .await;
    // A relay that starts now gets the upper one's list, with its age.
    let new_relay = Relay::start(&[upper.address], "");
    new_relay.wait_for_list().await;
    let mut connection = TestConnection::dial(new_relay.address).await;
    let snapshot = connection.get("shop", "/v1/endpoints").await.expect("a response");
    assert!(
        snapshot.header("age").expect("an age").parse::<u64>().expect("whole seconds") >= 3,
        "{snapshot:?}"
    );
    assert_eq!(
        connection.get("shop", "/v1/endpoints?after=10&wait_ms=100").await.expect("a response").status,
        503
    );
    // After the recovery only the change is sent, without any full snapshot.
    source.change(&["shop-1"], "DRAINING");
    let snapshots = source.polls().iter().filter(|poll| poll.ends_with("/v1/endpoints")).count();
    source.set_behavior(Behavior::Healthy);
    wait_for_status(&lower, "shop", 10, "shop-1", "DRAINING").await;
    assert_eq!(source.polls().iter().filter(|poll| poll.ends_with("/v1/endpoints")).count(), snapshots);
}

/// A source that restarts may send one empty list, which must not remove every endpoint, or a lower version,
/// which downstreams have to follow in the end.
#[tokio::test]
async fn source_reset_is_followed_and_empty_list_ignored() {
    let names: Vec<String> = (0..20).map(|n| format!("shop-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let source = FakeSource::start(&names).await;
    let relay = Relay::start(&[source.address], "");
    relay.wait_for_list().await;
    source.set_behavior(Behavior::BodyOnce(r#"{"index":11,"snapshot":true,"endpoints":[]}"#.to_owned()));
    source.reset_to(12, None);
    wait_until("the relay follows without removals", || async {
        let mut connection = TestConnection::dial(relay.address).await;
        let response = connection.get("shop", "/v1/endpoints?after=10&wait_ms=0").await.expect("a response");
        if response.status == 503 {
            return false;
        }
        let (index, _, entries) = response.list();
        assert!(entries.iter().all(|(_, status)| status == "SERVING"), "{entries:?}");
        index == 12
    })
    .await;
    source.reset_to(4, Some(&names[..15]));
    wait_until("the relay follows the source to a lower version", || async {
        let mut connection = TestConnection::dial(relay.address).await;
        let response = connection.get("shop", "/v1/endpoints?after=12&wait_ms=0").await.expect("a response");
        response.status == 200 && {
            let (index, full_snapshot, entries) = response.list();
            index == 4 && full_snapshot && entries.len() == 15
        }
    })
    .await;
}

/// Downstreams take `Date` for discovery's clock. A relay's own wall clock may have been stepped, so a
/// response has discovery's unchanged `Date` with an `Age`, also through two relays, or no `Date` at all.
#[tokio::test]
async fn only_discoverys_date_is_passed_on() {
    let source = FakeSource::start(&["shop-1"]).await;
    let upper = Relay::start(&[source.address], "whole = true");
    upper.wait_for_list().await;
    let lower = Relay::start(&[upper.address], "whole = true");
    lower.wait_for_list().await;
    let date = "Tue, 14 Nov 2023 22:13:20 GMT";
    for path in ["/v1/endpoints", "/v1/endpoints?after=10&wait_ms=10", "/v1/nothing"] {
        let response = TestConnection::dial(lower.address).await.get("shop", path).await.expect("a response");
        assert_eq!(response.header("date"), None, "{path}");
    }
    source.add_headers(&format!("date: {date}\r\n"));
    wait_until("discovery's date is passed on", || async {
        let response =
            TestConnection::dial(lower.address).await.get("shop", "/v1/endpoints").await.expect("a response");
        assert!(response.header("age").is_some(), "{response:?}");
        let received_date = response.header("date");
        assert!(received_date.is_none() || received_date.as_deref() == Some(date), "{received_date:?}");
        received_date.is_some()
    })
    .await;
}
