use super::*;

fn started(periodic_evaluation: PeriodicEvaluation) -> (ControlOnlyProxy, Vec<NextStep>) {
    let (mut proxy, mut next_steps) =
        (ControlOnlyProxy::new(3, 1, 7, periodic_evaluation).expect("usable"), Vec::new());
    proxy.start(0.0, None, &mut next_steps);
    (proxy, next_steps)
}

fn entries(count: u32) -> Vec<String> {
    (0..count).map(|endpoint| entry_json(endpoint, 5, "SERVING")).collect()
}

/// The polls have to be those of the client proxy: a full snapshot first, then a watch, and after a failure a
/// resync, sent once the balancer's backoff timer fires. Otherwise the measured load on discovery is not the
/// real one.
#[test]
fn polls_match_the_client_proxy() {
    let (mut proxy, mut next_steps) = started(PeriodicEvaluation::Disabled);
    assert_eq!(next_steps, [NextStep::Poll { delay_ms: 0.0 }]);
    assert_eq!(proxy.next_poll().after, None);
    next_steps.clear();
    let snapshot = list_json(4, true, &entries(3));
    assert_eq!(proxy.on_response(9.0, 1.0, snapshot.as_bytes(), &mut next_steps).expect("a list"), Some(4));
    assert_eq!(next_steps, [NextStep::Poll { delay_ms: 0.0 }]);
    assert_eq!((proxy.next_poll().after, proxy.next_poll().wait.is_zero()), (Some(4), false));
    assert_eq!(proxy.subscription.reader().endpoints.endpoint_ids().len(), 3);
    next_steps.clear();
    proxy.on_failure(20.0, false, &mut next_steps);
    let [NextStep::Timer { at, token }] = next_steps[..] else { panic!("{next_steps:?}") };
    assert!(at > 20.0);
    // With `PollTiming::QUEUED`, the resync is also the start of the next watch.
    assert_eq!(proxy.next_poll().path(), "/v1/endpoints?after=4&wait_ms=100");
    next_steps.clear();
    proxy.on_timer(at, token, &mut next_steps);
    assert_eq!(next_steps, [NextStep::Poll { delay_ms: 0.0 }]);
}

/// Without a delay, a discovery that answers watches at once, sends rejected responses or sends invalid lists
/// would be polled in a tight loop.
#[test]
fn useless_response_delays_next_poll() {
    let (mut proxy, mut next_steps) = started(PeriodicEvaluation::Disabled);
    proxy.on_response(1.0, 0.0, list_json(4, true, &entries(3)).as_bytes(), &mut next_steps).expect("a list");
    next_steps.clear();
    proxy.on_response(2.0, 1.0, list_json(4, false, &[]).as_bytes(), &mut next_steps).expect("a list");
    proxy.on_response(900.0, 2.0, list_json(4, false, &[]).as_bytes(), &mut next_steps).expect("a list");
    let rejected = list_json(3, false, &entries(1));
    assert_eq!(proxy.on_response(901.0, 900.0, rejected.as_bytes(), &mut next_steps).expect("a list"), None);
    assert_eq!(
        next_steps,
        [REPOLL_DELAY_MS, 0.0, REPOLL_DELAY_MS].map(|delay_ms| NextStep::Poll { delay_ms })
    );
    next_steps.clear();
    assert!(proxy.on_response(950.0, 901.0, b"{", &mut next_steps).is_err());
    assert!(matches!(next_steps[..], [NextStep::Timer { .. }]), "{next_steps:?}");
    assert_eq!(proxy.next_poll().after, None);
}

/// The evaluation is recognised by its timer token. If another timer were mistaken for it, or its token were
/// lost, the periodic evaluation would stop, and the idle CPU would be measured too low.
#[test]
fn evaluation_timer_rearms_every_100_ms() {
    let (mut proxy, mut next_steps) = started(PeriodicEvaluation::Enabled);
    for round in 1..=5 {
        let timers: Vec<_> = next_steps
            .iter()
            .filter(|next_step| matches!(next_step, NextStep::Timer { .. }))
            .copied()
            .collect();
        let [NextStep::Timer { at, token }] = timers[..] else { panic!("{next_steps:?}") };
        assert_eq!(at, f64::from(round) * 100.0);
        next_steps.clear();
        proxy.on_timer(at, token, &mut next_steps);
    }
}

/// An entry that the client proxy cannot parse would be skipped, so the run would measure a shorter list than
/// it says.
#[test]
fn all_generated_entries_are_parsed() {
    let (mut proxy, mut next_steps) = started(PeriodicEvaluation::Disabled);
    proxy
        .on_response(1.0, 0.0, list_json(1, true, &entries(500)).as_bytes(), &mut next_steps)
        .expect("a list");
    assert_eq!(
        (proxy.subscription.entry_errors().len(), proxy.subscription.reader().endpoints.endpoint_ids().len()),
        (0, 500)
    );
    let removed = list_json(2, false, &[entry_json(17, 5, "DELETED"), entry_json(18, 5, "DRAINING")]);
    proxy.on_response(1.0, 0.0, removed.as_bytes(), &mut next_steps).expect("a list");
    assert_eq!(
        (proxy.subscription.entry_errors().len(), proxy.subscription.reader().endpoints.endpoint_ids().len()),
        (0, 499)
    );
}
