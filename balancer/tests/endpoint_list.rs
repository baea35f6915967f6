//! The endpoint list: subsets, polls and watches of discovery, and invalid input.

mod common;
use balancer::*;
use common::*;

/// The endpoints to which a balancer with little traffic sends its next 16 requests, at two a second.
fn next_endpoints(harness: &mut Harness) -> std::collections::BTreeSet<EndpointId> {
    let endpoints = (0..16).map(|_| {
        let id = harness.request(0);
        harness.advance(20.0);
        harness.finish_attempt(id, 0, Outcome::Served);
        harness.advance(480.0);
        harness.endpoint_of(id, 0)
    });
    endpoints.collect()
}

/// Each of 100 balancers with little traffic uses a small subset of the endpoints. With subsets drawn at
/// random, some endpoints would be in many of them and be overloaded by the fleet.
#[test]
fn subsets_cover_endpoints_evenly() {
    let mut settings = settings();
    settings.balancer_count = 100;
    let mut subset_counts = std::collections::BTreeMap::new();
    for balancer_index in 0..100 {
        let mut harness = Harness::with_seed(
            Settings { balancer_index, ..settings.clone() },
            endpoints(20),
            u64::from(balancer_index),
        );
        next_endpoints(&mut harness)
            .into_iter()
            .for_each(|endpoint| *subset_counts.entry(endpoint).or_insert(0) += 1);
    }
    let (min, max) = (subset_counts.values().min(), subset_counts.values().max());
    assert!(
        subset_counts.len() == 20 && min >= Some(&8) && max <= Some(&12),
        "each endpoint should be in about 10 subsets: {subset_counts:?}"
    );
}

/// When an endpoint of the subset is ejected, another one takes its place.
#[test]
fn ejected_endpoint_is_replaced_in_subset() {
    let mut harness = Harness::new(Settings { balancer_count: 100, ..settings() }, endpoints(20));
    let before = next_endpoints(&mut harness);
    let failing_endpoint = *before.first().expect("no endpoint was used");
    let attempt_end = |endpoint: EndpointId, _: f64| {
        if endpoint == failing_endpoint { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) }
    };
    run_load(&mut harness, 12_000.0, 500.0, attempt_end);
    let count = run_load(&mut harness, 12_000.0, 500.0, attempt_end);
    let others = count.keys().filter(|endpoint| **endpoint != failing_endpoint).count();
    assert!(others >= before.len(), "before: {before:?}, after: {count:?}");
}

#[test]
fn failed_watch_is_retried_with_backoff() {
    let mut settings = settings();
    settings.discovery_mode = DiscoveryMode::Pull;
    settings.contract.max_notification_delay = Some(10_000.0);
    let mut harness = Harness::new(settings, endpoints(2));
    let watches = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Watch).count();
    assert_eq!(watches(&harness), 1);
    harness.update_endpoints(EndpointUpdate::Failed);
    assert_eq!(watches(&harness), 1, "retried without backoff");
    harness.advance(1000.0);
    assert_eq!(watches(&harness), 2);
    for _ in 0..6 {
        harness.update_endpoints(EndpointUpdate::Failed);
        harness.advance(100.0);
    }
    assert!(watches(&harness) < 8, "retried without increasing backoff");
    harness.advance(8000.0);
    let watches_before = watches(&harness);
    harness.update_endpoints(EndpointUpdate::Changes(Vec::new()));
    harness.advance(20_000.0);
    assert_eq!(watches(&harness), watches_before, "established a second watch");
}

/// When discovery fails, a whole fleet retries its watches. Without jitter all would retry at the same time,
/// and their requests would queue up until discovery responds to none in time. The backoff must also be short
/// enough to notice changes in time: a change counts as notified 6 s after discovery had it and could be
/// reached, and 3.2 s of that are for the request itself.
#[test]
fn large_fleet_spreads_discovery_retries() {
    let mut settings = settings();
    settings.balancer_count = 100;
    settings.discovery_mode = DiscoveryMode::Pull;
    settings.contract.max_notification_delay = Some(10_000.0);
    let fleet = (0..100).map(|balancer_index| {
        Harness::with_seed(
            Settings { balancer_index, ..settings.clone() },
            endpoints(2),
            u64::from(balancer_index),
        )
    });
    let mut fleet: Vec<Harness> = fleet.collect();
    let watches = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Watch).count();
    let (mut watches_seen, mut last_step) = (vec![0; fleet.len()], vec![0; fleet.len()]);
    let retries_per_step: Vec<usize> = (0..200)
        .map(|step| {
            let before = watches_seen.iter().sum::<usize>();
            for (harness, (watches_seen, last_step)) in
                fleet.iter_mut().zip(watches_seen.iter_mut().zip(&mut last_step))
            {
                if watches(harness) > *watches_seen {
                    (*watches_seen, *last_step) = (watches(harness), step);
                    harness.update_endpoints(EndpointUpdate::Failed);
                }
                assert!(step - *last_step <= 29, "backoff longer than 2.8 s");
                harness.advance(100.0);
            }
            watches_seen.iter().sum::<usize>() - before
        })
        .collect();
    let (max, total) =
        (retries_per_step.iter().max().expect("some steps"), retries_per_step.iter().sum::<usize>());
    // With full jitter over 2.8 s, each balancer retries every 1.4 s on average, and hardly ever do three
    // times as many retry in one step as that.
    assert!(*max <= 17 && total < 1400, "at most {max} retries in 100 ms, {total} in 20 s");
    // A balancer that knows no endpoint must not wait.
    settings.balancer_index = 7;
    assert_eq!(watches(&Harness::new(settings, Vec::new())), 1);
}

/// Changes are missed while a watch is stalled. It takes 2 s to detect that, which leaves less time for the
/// backoff before the watch is renewed.
#[test]
fn broken_watch_is_renewed_within_800_ms() {
    let settings = Settings { balancer_count: 300, discovery_mode: DiscoveryMode::Pull, ..settings() };
    for balancer_index in 0..100 {
        let mut harness = Harness::with_seed(
            Settings { balancer_index, ..settings.clone() },
            Vec::new(),
            u64::from(balancer_index),
        );
        let watches = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Watch).count();
        harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(2)));
        let before = watches(&harness);
        harness.update_endpoints(EndpointUpdate::Failed);
        assert_eq!(watches(&harness), before, "retried without backoff");
        harness.advance(800.0);
        assert_eq!(watches(&harness), before + 1, "balancer {balancer_index}");
    }
}

/// A late response to a superseded poll says nothing about the poll that failed since: if it counted as a
/// running watch, discovery would never be polled again.
#[test]
fn superseded_response_does_not_end_the_poll_backoff() {
    let settings = Settings { discovery_mode: DiscoveryMode::Pull, ..settings() };
    let changed = EndpointEntry { state: EndpointState::Draining, ..endpoints(2).remove(0) };
    let snapshot = EndpointUpdate::SupersededSnapshot(vec![changed.clone(), endpoints(2).remove(1)]);
    for update in [EndpointUpdate::SupersededChanges(vec![changed]), snapshot] {
        let mut harness = Harness::new(settings.clone(), endpoints(2));
        let watches = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Watch).count();
        harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(2)));
        harness.update_endpoints(EndpointUpdate::Failed);
        let before = watches(&harness);
        harness.update_endpoints(update.clone());
        harness.advance(800.0);
        assert_eq!(watches(&harness), before + 1, "{update:?}");
        let used = next_endpoints(&mut harness);
        assert_eq!(used, [endpoints(2)[1].endpoint].into(), "the draining endpoint gets no request");
    }
}

#[test]
fn failed_watch_keeps_endpoint_list() {
    let mut settings = settings();
    settings.discovery_mode = DiscoveryMode::Pull;
    let mut harness = Harness::new(settings, endpoints(2));
    harness.update_endpoints(EndpointUpdate::Failed);
    let id = harness.request(0);
    assert_eq!(harness.requests[&id].attempts.len(), 1);
}

#[test]
fn automatic_discovery_is_never_polled() {
    let mut harness = Harness::new(settings(), endpoints(2));
    harness.update_endpoints(EndpointUpdate::Failed);
    harness.advance(20_000.0);
    assert!(!harness.actions.iter().any(|a| matches!(a, Action::Watch | Action::Fetch)));
}

/// A restarted endpoint is not held responsible for the failures of its previous process.
#[test]
fn restart_ends_ejection() {
    let mut harness = Harness::new(settings(), endpoints(4));
    run_load(&mut harness, 2000.0, 5.0, first_endpoint_fails);
    let warm_up = harness.settings.contract.warm_up;
    harness.update_endpoints(EndpointUpdate::Changes(vec![EndpointEntry {
        started_at: Some(harness.now - warm_up),
        ..endpoint(1)
    }]));
    let count = run_load(&mut harness, 1000.0, 5.0, |_, _| (20.0, Outcome::Served));
    assert!(count[&EndpointId(1)] > 20, "{count:?}");
}

#[test]
fn invalid_settings_name_the_field() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 8] = [
        ("classes", |s| s.classes.clear()),
        ("zone", |s| s.zone = 5),
        ("balancers", |s| s.balancer_count = 0),
        ("limits.attempts", |s| s.limits.max_attempts = 0),
        ("tick", |s| s.timer_resolution = -1.0),
        ("contract.fall", |s| s.contract.overload_window = f64::NAN),
        ("classes[0].aim", |s| s.classes[0].latency_objective = f64::INFINITY),
        ("prices.waste", |s| s.prices.waste = -0.1),
    ];
    for (field, change) in cases {
        let mut settings = settings();
        change(&mut settings);
        let error = Balancer::new(settings, 1).err().expect(field);
        assert_eq!(error.field(), field);
        assert!(error.to_string().contains(field));
    }
}

#[test]
fn events_for_unknown_ids_are_ignored() {
    let mut harness = Harness::new(settings(), endpoints(2));
    let id = RequestId(999);
    let end = AttemptEnd {
        id,
        attempt: 3,
        outcome: Outcome::Served,
        latency: 1.0,
        request_ended: true,
        load_report: LoadReport::default(),
        cannot_resend: false,
    };
    let events = [
        Event::AttemptFinished(end),
        Event::FirstByte { id, attempt: 0 },
        Event::ClientDisconnected { id },
        Event::TimerFired { token: 123_456 },
        Event::PeerMessage { from: 7, content: vec![1, 2, 3] },
        Event::ProbeFinished {
            endpoint: EndpointId(77),
            outcome: Outcome::Served,
            latency: 1.0,
            load_report: LoadReport::default(),
        },
    ];
    for event in events {
        assert!(harness.handle_event(event.clone()).is_empty(), "{event:?}");
    }
    let served = harness.request(0);
    harness.finish_attempt(served, 0, Outcome::Served);
    let duplicate = AttemptEnd { id: served, attempt: 0, ..end };
    assert!(
        harness.handle_event(Event::AttemptFinished(duplicate)).is_empty(),
        "the attempt has already ended"
    );
}

#[test]
fn unknown_class_is_rejected() {
    let mut harness = Harness::new(settings(), endpoints(2));
    let id = harness.request(7);
    assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Rejected));
}

/// A balancer with little traffic that spreads it over a large fleet gets too few responses from each
/// endpoint to learn anything about it.
#[test]
fn low_traffic_balancer_uses_endpoint_subset() {
    let endpoints_used = |interval: f64| {
        let mut harness = Harness::new(settings(), endpoints(40));
        run_load(&mut harness, 5000.0, interval, |_, _| (20.0, Outcome::Served));
        let count = run_load(&mut harness, 10_000.0, interval, |_, _| (20.0, Outcome::Served));
        count.len()
    };
    let (few, all) = (endpoints_used(500.0), endpoints_used(4.0));
    assert!(few <= 6, "{few}");
    assert_eq!(all, 40);
}
