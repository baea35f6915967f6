//! Slow start of one endpoint: what a single balancer sends it while it warms up.

mod common;
use balancer::*;
use common::*;

/// In slow start an endpoint gets, within every overload window, at most its present fraction of what a
/// warmed-up endpoint gets. With more it could be overloaded, in particular if there are few others.
#[test]
fn slow_start_endpoint_gets_growing_share() {
    let settings = settings();
    let (overload_window, warm_up, initial_capacity) =
        (settings.contract.overload_window, settings.contract.warm_up, settings.contract.initial_capacity);
    let mut harness = Harness::new(settings, endpoints(4));
    let started_at = harness.now + 2000.0;
    let sends = harness.run_with_starting_endpoint(6000, 2.0, (1000, endpoint(9)), |_| 20.0);
    assert_eq!(harness.endpoint_list[&EndpointId(9)].started_at, Some(started_at));
    let in_window = |to: f64, to_new: bool| {
        let counted = |(at, endpoint): &&(f64, EndpointId)| {
            *at > to - overload_window && *at <= to && (*endpoint == EndpointId(9)) == to_new
        };
        sends.iter().filter(counted).count() as f64
    };
    let mut to = started_at + 100.0;
    while to < started_at + warm_up - 100.0 {
        let capacity = initial_capacity + (1.0 - initial_capacity) * (to - started_at) / warm_up;
        let per_other = in_window(to, false) / 4.0;
        // The budget of a quarter of the window may be accumulated. Together this is far below the multiple
        // that overloads an endpoint.
        let allowed = 1.5 * capacity * per_other + 2.0;
        assert!(
            in_window(to, true) <= allowed,
            "{} requests, {allowed} allowed, in the window up to {to}",
            in_window(to, true)
        );
        to += 50.0;
    }
    assert!(
        in_window(started_at + warm_up - 100.0, true) > 50.0,
        "too few requests near the end of slow start"
    );
}

#[test]
fn burst_does_not_exceed_slow_start_budget() {
    let mut harness = Harness::new(settings(), endpoints(4));
    harness.serve_sequentially(200, 0, |_| 20.0);
    let new_entry = EndpointEntry { started_at: Some(harness.now), ..endpoint(9) };
    harness.update_endpoints(EndpointUpdate::Changes(vec![new_entry]));
    harness.advance(100.0);
    let sent = harness.request_burst(50, |_| {});
    assert!(sent.iter().filter(|endpoint| **endpoint == EndpointId(9)).count() <= 2, "{sent:?}");
}

/// What warmed-up endpoints get is measured for each kind. An average over all kinds would overload a small
/// endpoint in slow start.
#[test]
fn slow_start_share_is_measured_per_kind() {
    let mut settings = settings();
    settings.kind_count = 2;
    let small = |id: u32| EndpointEntry { kind: 1, ..endpoint(id) };
    let mut harness =
        Harness::new(settings.clone(), endpoints(4).into_iter().chain([small(5), small(6)]).collect());
    let started_at = harness.now + 1500.0;
    // Small endpoints take three times as long, so they get far fewer requests than the others.
    let sends = harness.run_with_starting_endpoint(3500, 1.0, (1500, small(9)), |endpoint| {
        if endpoint.0 > 4 { 24.0 } else { 8.0 }
    });
    let to = |ids: &[u32]| {
        sends.iter().filter(|(at, endpoint)| *at >= started_at && ids.contains(&endpoint.0)).count() as f64
    };
    let (to_new, to_other) = (to(&[9]), to(&[5, 6]) / 2.0);
    let capacity = settings.contract.initial_capacity
        + (1.0 - settings.contract.initial_capacity) * 2000.0 / settings.contract.warm_up;
    assert!(
        to_other > 20.0 && to_new <= capacity * to_other + 2.0,
        "{to_new} to the new endpoint, {to_other} to another"
    );
}

/// If an endpoint in slow start is slowed down by something else as well, it gets less than its share.
#[test]
fn slow_responses_reduce_slow_start_share() {
    let sent_to_new = |latency: f64| {
        let mut settings = settings();
        settings.zone_count = 2;
        let far = (1..=4).map(|id| EndpointEntry { zone: 1, ..endpoint(id) });
        let mut harness = Harness::new(settings, far.collect());
        let settled = harness.now + 3000.0;
        let sends = harness.run_with_starting_endpoint(3000, 2.0, (1000, endpoint(9)), |endpoint| {
            if endpoint == EndpointId(9) { latency } else { 60.0 }
        });
        sends.iter().filter(|(at, endpoint)| *at >= settled && *endpoint == EndpointId(9)).count()
    };
    let (normal, slow) = (sent_to_new(60.0), sent_to_new(300.0));
    assert!(normal > 100 && slow * 5 < normal, "{slow} with slow responses, {normal} with normal ones");
}

/// If all endpoints are in slow start, there is no warmed-up one to compare with. One request at a time to
/// each is safe.
#[test]
fn starting_endpoints_get_one_request_each() {
    let started_at = Some(1000.0);
    let mut harness = Harness::new(
        settings(),
        endpoints(3).into_iter().map(|entry| EndpointEntry { started_at, ..entry }).collect(),
    );
    harness.advance(200.0);
    let mut served = 0;
    for _ in 0..20 {
        let ids: Vec<RequestId> = (0..2).map(|_| harness.request(0)).collect();
        harness.advance(30.0);
        for id in ids {
            for attempt in harness.attempts_in_flight(id) {
                harness.finish_attempt(id, attempt, Outcome::Served);
                served += 1;
            }
        }
        harness.advance(100.0);
    }
    assert!(served >= 30, "{served}");
    let sent = harness.request_burst(20, |_| {});
    assert!(sent.len() <= 3, "{sent:?}");
}

/// If requests with too small a size hint cost little budget, an endpoint in slow start would get just those,
/// and too many of them.
#[test]
fn small_size_hints_do_not_extend_budget() {
    let mut harness = Harness::new(settings(), endpoints(4));
    for _ in 0..200 {
        let id = harness.request_with(0, |new| new.metadata.size_hint = Some(20.0));
        harness.advance(20.0);
        harness.finish_attempt(id, 0, Outcome::Served);
    }
    harness.update_endpoints(EndpointUpdate::Changes(vec![EndpointEntry {
        started_at: Some(harness.now),
        ..endpoint(9)
    }]));
    harness.advance(500.0);
    let sent = harness.request_burst(50, |new| new.metadata.size_hint = Some(0.5));
    assert!(sent.iter().filter(|endpoint| **endpoint == EndpointId(9)).count() <= 2, "{sent:?}");
}

/// Where endpoints cache by key, all endpoints but one restart in a release. The last warmed-up one must not
/// get all keys.
#[test]
fn slow_start_endpoints_get_their_share_of_keys() {
    let mut settings = settings();
    settings.key_affinity = true;
    let mut harness = Harness::new(settings, endpoints(8));
    let serve = |harness: &mut Harness, count: u32| {
        let mut to_first = 0;
        for step in 0..count {
            let id = harness.request_with(0, |new| new.metadata.key = Some(format!("key:{}", step % 40)));
            to_first += u32::from(harness.endpoint_of(id, 0) == EndpointId(1));
            harness.advance(10.0);
            for attempt in harness.attempts_in_flight(id) {
                harness.finish_attempt(id, attempt, Outcome::Served);
            }
        }
        to_first
    };
    serve(&mut harness, 300);
    let started_at = Some(harness.now);
    harness.update_endpoints(EndpointUpdate::Changes(
        (2..9).map(|n| EndpointEntry { started_at, ..endpoint(n) }).collect(),
    ));
    serve(&mut harness, 600);
    let last = serve(&mut harness, 150);
    assert!(last < 60, "{last} of 150 to the only warmed-up endpoint");
}

/// Load reports cover the load from the whole fleet. With low utilization an endpoint in slow start gets
/// more; otherwise it would idle while the warmed-up ones are overloaded.
#[test]
fn utilization_raises_slow_start_share_if_low() {
    let sent_to_new = |utilization: f64| {
        let mut harness = Harness::new(settings(), endpoints(2));
        run_load(&mut harness, 3000.0, 10.0, |_, _| (20.0, Outcome::Served));
        let started_at = Some(harness.now);
        harness.update_endpoints(EndpointUpdate::Changes(vec![EndpointEntry { started_at, ..endpoint(3) }]));
        let mut count = 0;
        for _ in 0..300 {
            let id = harness.request(0);
            harness.advance(10.0);
            if harness.attempts_in_flight(id).contains(&0) {
                let report = LoadReport { utilization: Some(utilization), ..LoadReport::default() };
                count += u32::from(harness.endpoint_of(id, 0) == EndpointId(3));
                harness.finish_attempt_with_report(id, 0, Outcome::Served, report);
            }
        }
        count
    };
    let (idle, half, busy) = (sent_to_new(0.1), sent_to_new(0.7), sent_to_new(1.0));
    assert!(idle * 4 > half * 5, "{idle} at utilization 0.1, {half} at 0.7");
    assert!(busy <= half + 3, "{busy} at utilization 1.0, {half} at 0.7");
}

/// The only warmed-up endpoint of a kind is ejected. An endpoint of this kind in slow start is needed most
/// then, so its share must not be derived from what the ejected one gets.
#[test]
fn slow_start_endpoint_replaces_ejected_one() {
    let mut settings = settings();
    settings.kind_count = 2;
    let list = endpoints(5)
        .into_iter()
        .map(|entry| EndpointEntry { kind: usize::from(entry.endpoint.0 > 1), ..entry });
    let mut harness = Harness::new(settings, list.collect());
    let run = |harness: &mut Harness, first_fails: bool| {
        let mut to_new = 0;
        for _ in 0..400 {
            // So many at once that each endpoint is used.
            let ids: Vec<RequestId> = (0..6).map(|_| harness.request(0)).collect();
            harness.advance(20.0);
            for id in ids {
                while let (None, Some(attempt)) =
                    (harness.requests[&id].final_outcome, harness.attempts_in_flight(id).first().copied())
                {
                    let endpoint = harness.endpoint_of(id, attempt as usize);
                    to_new += usize::from(endpoint == EndpointId(9));
                    let outcome = if first_fails && endpoint == EndpointId(1) {
                        Outcome::Error
                    } else {
                        Outcome::Served
                    };
                    harness.finish_attempt(id, attempt, outcome);
                }
            }
            harness.advance(5.0);
        }
        to_new
    };
    run(&mut harness, false);
    run(&mut harness, true);
    harness.update_endpoints(EndpointUpdate::Changes(vec![EndpointEntry {
        started_at: Some(harness.now),
        kind: 0,
        ..endpoint(9)
    }]));
    let to_new = run(&mut harness, true);
    // 85 if the rate of the ejected endpoint counted.
    assert!(to_new > 200, "{to_new} requests in the 10 s in which it warms up");
}
