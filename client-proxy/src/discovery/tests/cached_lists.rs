//! A process that starts with a list from before.

use super::*;

/// A restarted process has to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);

fn cached_list(is_followed: bool) -> CachedList {
    let endpoints = json!([{"name": "old", "address": "127.0.0.1:9", "status": "SERVING"}]);
    CachedList { list: json!({"index": 41, "snapshot": true, "endpoints": endpoints}), is_followed }
}

fn settings_with(mode: Mode) -> balancer::Settings {
    balancer::Settings { discovery_mode: mode, ..settings() }
}

/// However long the agent does not respond, the process is ready in time, but knows no endpoint until then: the
/// agent may have received that the old one drains.
#[test]
fn unconfirmed_pushed_list_delays_readiness_only_for_a_while() {
    for outage in [0, 1, 4, 8, 60].map(Duration::from_secs) {
        run(async {
            let rejecting =
                ServerBehavior { is_rejecting: !outage.is_zero(), ..ServerBehavior::immediate(42, "new") };
            let (address, behavior_sender) = discovery(rejecting).await;
            let started = Instant::now();
            let (client, ready) = DiscoveryClient::start_with_cache(
                settings_with(Mode::Push),
                1,
                address,
                Some(cached_list(false)),
            );
            let mut ready_after = None;
            while started.elapsed() < outage {
                advance_time().await;
                if *ready.borrow() {
                    ready_after.get_or_insert_with(|| started.elapsed());
                }
                assert_eq!(client.endpoints.endpoint_ids(), [], "{outage:?}: served by an unconfirmed list");
            }
            behavior_sender.send_modify(|behavior| behavior.is_rejecting = false);
            let took = client.wait_until_listed("new").await;
            assert!(took <= Duration::from_secs(1), "{outage:?}: confirmed {took:?} after the outage");
            assert!(*ready.borrow(), "{outage:?}");
            let ready_after = ready_after.unwrap_or_else(|| started.elapsed());
            assert!(ready_after <= READY_WITHIN, "{outage:?}: ready after {ready_after:?}");
        });
    }
}

/// Neither a list that another running process follows nor one of a polled discovery waits for a response: both
/// are held to be current for longer than the start takes.
#[test]
fn current_cached_list_is_served_at_once() {
    for (mode, is_followed) in [(Mode::Push, true), (Mode::Pull, false)] {
        run(async {
            let rejecting = ServerBehavior { is_rejecting: true, ..ServerBehavior::immediate(42, "new") };
            let (address, _behavior_sender) = discovery(rejecting).await;
            let (client, mut ready) = DiscoveryClient::start_with_cache(
                settings_with(mode),
                1,
                address,
                Some(cached_list(is_followed)),
            );
            let started = Instant::now();
            let is_ready = timeout(READY_WITHIN, ready.wait_for(|ready| *ready)).await;
            assert!(is_ready.is_ok_and(|ready| ready.is_ok()), "{mode:?}");
            assert!(started.elapsed() <= FIRST_POLL_TIMEOUT + Duration::from_millis(1), "{mode:?}");
            assert!(client.has("old"), "{mode:?}");
        });
    }
}

/// The first poll of a new process in a large fleet is lost. The list from before the start is then replaced
/// while a drain that it does not have may still be unknown: 6 s until it counts as received, and the grace.
#[test]
fn polled_list_is_replaced_in_time_after_a_lost_first_poll() {
    const DRAIN_GRACE: Duration = Duration::from_millis(1_500);
    for seed in 0..24 {
        run(async {
            let (listener, started) = (listen().await, Instant::now());
            let mut settings = settings_with(Mode::Pull);
            settings.balancer_count = 300;
            settings.contract.max_notification_delay = Some(10_000.0);
            let address = listener.local_addr().expect("no local address");
            let (client, _ready) =
                DiscoveryClient::start_with_cache(settings, seed, address, Some(cached_list(false)));
            let (_lost, first_poll_after) = accept_poll(&listener).await;
            let (_behavior_sender, behavior) = watch::channel(ServerBehavior::immediate(42, "new"));
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve_polls(stream, behavior.clone()));
                }
            });
            client.wait_until_listed("new").await;
            let took = started.elapsed();
            assert!(
                took <= EFFECTIVE_WITHIN + DRAIN_GRACE,
                "seed {seed}: first poll after {first_poll_after:?}, in effect after {took:?}"
            );
        });
    }
}
