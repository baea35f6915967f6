//! Several changes of discovery's address in a row.

use std::pin::pin;

use super::*;

/// The time that [`advance_time`] takes, and the resolution of timers.
const TIMER_RESOLUTION: Duration = Duration::from_millis(11);
/// After a reload, whatever discovery has to say counts as told this long after the signal.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// Of three address changes within half a second, with slow discoveries, the last must take effect in time. No
/// list may be applied out of order, and none of an earlier address later than that keeps its connections.
#[test]
fn last_of_three_address_changes_takes_effect() {
    const INTERVAL: Duration = Duration::from_millis(200);
    for mode in [Mode::Push, Mode::Pull] {
        for (delay_ms, last_delay_ms) in [(500, 0), (1000, 1000), (1000, 3000), (3000, 1000), (3000, 3000)] {
            for rejecting_s in [0, 3] {
                run(async {
                    let context = format!(
                        "{mode:?}, delay {delay_ms} ms, last {last_delay_ms} ms, rejecting {rejecting_s} s"
                    );
                    let (old, _behavior_sender) = discovery(ServerBehavior::immediate(41, "old")).await;
                    let client = DiscoveryClient::start(mode, delay_ms, old);
                    client.wait_until_listed("old").await;
                    let behavior = |index, endpoint, delay_ms| ServerBehavior {
                        delay: Duration::from_millis(delay_ms),
                        ..ServerBehavior::immediate(index, endpoint)
                    };
                    let (one, _behavior_sender) = discovery(behavior(900, "one", delay_ms)).await;
                    let (two, _behavior_sender) = discovery(behavior(800, "two", delay_ms)).await;
                    let is_rejecting = rejecting_s > 0;
                    let (three, behavior_sender) =
                        discovery(ServerBehavior { is_rejecting, ..behavior(42, "three", last_delay_ms) })
                            .await;
                    for address in [one, two, three] {
                        client.addresses_sender.send_replace(address);
                        sleep(INTERVAL).await;
                    }
                    let since = Instant::now();
                    let (mut took, mut newest) = (None, 0);
                    while since.elapsed() < Duration::from_secs(rejecting_s) + 2 * EFFECTIVE_WITHIN {
                        let order = ["old", "one", "two", "three"];
                        let current = order.iter().position(|name| client.has(name)).expect("no list");
                        assert!(current >= newest, "{context}: the list of an earlier address again");
                        let is_late = since.elapsed() > OLD_ADDRESS_OPEN + TIMER_RESOLUTION;
                        assert!(
                            current == newest || current == 3 || !is_late,
                            "{context}: the list of an earlier address came late"
                        );
                        newest = current;
                        if took.is_none() && since.elapsed() >= Duration::from_secs(rejecting_s) {
                            behavior_sender.send_if_modified(|behavior| {
                                std::mem::replace(&mut behavior.is_rejecting, false)
                            });
                            took = client.has("three").then(|| since.elapsed());
                        }
                        assert!(
                            took.is_none() || client.has("three"),
                            "{context}: replaced by an earlier list"
                        );
                        advance_time().await;
                    }
                    let took = took.unwrap_or_else(|| panic!("{context}: the list did not take effect"))
                        - Duration::from_secs(rejecting_s);
                    assert!(took <= EFFECTIVE_WITHIN, "{context}: {took:?}");
                });
            }
        }
    }
}

/// A slow discovery gets a new address again and again, each time before it has responded at the last one. A
/// change must take effect in time all the same: with each address the poll under way was dropped, and with
/// pushed lists so was one that timed out just before.
#[test]
fn changes_are_received_while_the_address_keeps_changing() {
    for mode in [Mode::Push, Mode::Pull] {
        for (delay_ms, interval_ms) in
            [(2_500, 2_400), (2_500, 2_000), (2_500, 1_200), (2_000, 600), (1_600, 400), (1_400, 100)]
        {
            for changed_after_ms in [0, 100, 900] {
                run(async {
                    let context =
                        format!("{mode:?}, {delay_ms} ms, each {interval_ms} ms, {changed_after_ms} ms");
                    let ms = Duration::from_millis;
                    let (behavior_sender, behavior) = watch::channel(ServerBehavior::immediate(41, "old"));
                    let client = DiscoveryClient::start(mode, delay_ms, discovery_address(&behavior).await);
                    client.wait_until_listed("old").await;
                    behavior_sender.send_modify(|behavior| behavior.delay = ms(delay_ms));
                    let (since, mut next_change) = (Instant::now(), ms(0));
                    while !client.has("new") && since.elapsed() < 4 * EFFECTIVE_WITHIN {
                        if since.elapsed() >= next_change {
                            client.addresses_sender.send_replace(discovery_address(&behavior).await);
                            next_change += ms(interval_ms);
                        }
                        if since.elapsed() >= ms(changed_after_ms) {
                            behavior_sender.send_if_modified(|behavior| {
                                let is_first = behavior.index == 41;
                                (behavior.index, behavior.endpoint) = (42, "new");
                                is_first
                            });
                        }
                        advance_time().await;
                    }
                    let took = since.elapsed();
                    assert!(took <= ms(changed_after_ms) + TOLD_AFTER_RELOAD, "{context}: {took:?}");
                });
            }
        }
    }
}

/// A new address that does not respond yet. What discovery writes at the old one must take effect during the
/// backoff after a failed poll too.
#[test]
fn response_of_old_address_is_applied_during_backoff() {
    for mode in [Mode::Push, Mode::Pull] {
        run(async {
            let (old, behavior_sender) = discovery(ServerBehavior::immediate(41, "old")).await;
            let client = DiscoveryClient::start(mode, 1, old);
            client.wait_until_listed("old").await;
            let since = Instant::now();
            while since.elapsed() < Duration::from_millis(300) {
                advance_time().await;
            }
            let refusing = listen().await.local_addr().expect("no local address");
            client.addresses_sender.send_replace(refusing);
            let since = Instant::now();
            while since.elapsed() < Duration::from_millis(200) {
                advance_time().await;
            }
            behavior_sender.send_modify(|behavior| (behavior.index, behavior.endpoint) = (42, "new"));
            let took = client.wait_until_listed("new").await;
            assert!(took <= 2 * TIMER_RESOLUTION, "{mode:?}: {took:?}");
        });
    }
}

/// The new address responds with a list from before a change that the old address has written meanwhile. The
/// list must not take the change back, also not until the next poll.
#[test]
fn response_from_before_a_change_does_not_undo_it() {
    for mode in [Mode::Push, Mode::Pull] {
        run(async {
            let (old, behavior_sender) = discovery(ServerBehavior::immediate(41, "old")).await;
            let client = DiscoveryClient::start(mode, 1, old);
            client.wait_until_listed("old").await;
            advance_time().await;
            let listener = listen().await;
            client.addresses_sender.send_replace(listener.local_addr().expect("no local address"));
            let (mut stream, _) = accept_poll(&listener).await;
            read_head(&mut stream).await.expect("no poll");
            behavior_sender.send_modify(|behavior| (behavior.index, behavior.endpoint) = (42, "new"));
            client.wait_until_listed("new").await;
            respond(&mut stream, &ServerBehavior::immediate(41, "old"), true)
                .await
                .expect("connection closed");
            let since = Instant::now();
            let mut next_poll = pin!(read_head(&mut stream));
            while timeout(Duration::ZERO, &mut next_poll).await.is_err() {
                assert!(client.has("new"), "{mode:?}: the change was undone");
                assert!(since.elapsed() < EFFECTIVE_WITHIN, "{mode:?}: no further poll");
                advance_time().await;
            }
            assert!(client.has("new"), "{mode:?}: the change was undone before the next poll");
        });
    }
}
