//! Slow start of one endpoint: what a balancer sends it while it warms up.

mod common;
use balancer::*;
use common::*;

/// Guards against a cold endpoint pushed over: within every window it gets no more than the ramped part of
/// what a warm one gets, however few the others are.
#[test]
fn a_cold_endpoint_gets_its_ramped_part_of_a_warm_one() {
    let s = settings();
    let (overload_window, cold, from) =
        (s.contract.overload_window, s.contract.warm_up, s.contract.initial_capacity);
    let mut rig = Rig::new(s, endpoints(4));
    let started = rig.now + 2000.0;
    let sends = rig.drive(6000, 2.0, (1000, endpoint(9)), |_| 20.0);
    assert_eq!(rig.list[&EndpointId(9)].started_at, Some(started));
    let in_window = |to: f64, cold_one: bool| {
        let hit = |(at, h): &&(f64, EndpointId)| {
            *at > to - overload_window && *at <= to && (*h == EndpointId(9)) == cold_one
        };
        sends.iter().filter(hit).count() as f64
    };
    let mut to = started + 100.0;
    while to < started + cold - 100.0 {
        let ramp = from + (1.0 - from) * (to - started) / cold;
        let warm = in_window(to, false) / 4.0;
        // A quarter of a window may be saved up; all of it stays far below the multiple that fells an
        // endpoint.
        let allowed = 1.5 * ramp * warm + 2.0;
        assert!(in_window(to, true) <= allowed, "{} > {allowed} at {to}", in_window(to, true));
        to += 50.0;
    }
    assert!(in_window(started + cold - 100.0, true) > 50.0, "it is warmed up, not starved");
}

#[test]
fn many_heavy_requests_cannot_spend_a_cold_budget_at_once() {
    let mut rig = Rig::new(settings(), endpoints(4));
    rig.serve(200, 0, |_| 20.0);
    let fresh = EndpointEntry { started_at: Some(rig.now), ..endpoint(9) };
    rig.news(EndpointUpdate::Changes(vec![fresh]));
    rig.pass(100.0);
    let sent = rig.sent_at_once(50, |_| {});
    assert!(sent.iter().filter(|h| **h == EndpointId(9)).count() <= 2, "{sent:?}");
}

/// Guards against a small endpoint pushed over: what a warm endpoint gets is counted for each kind.
#[test]
fn a_small_cold_endpoint_gets_its_part_of_a_small_warm_one() {
    let mut s = settings();
    s.kind_count = 2;
    let small = |id: u32| EndpointEntry { kind: 1, ..endpoint(id) };
    let mut rig = Rig::new(s.clone(), endpoints(4).into_iter().chain([small(5), small(6)]).collect());
    let started = rig.now + 1500.0;
    // Small endpoints take three times as long, so they get far less than the others.
    let sends = rig.drive(3500, 1.0, (1500, small(9)), |h| if h.0 > 4 { 24.0 } else { 8.0 });
    let to = |ids: &[u32]| sends.iter().filter(|(at, h)| *at >= started && ids.contains(&h.0)).count() as f64;
    let (cold, warm) = (to(&[9]), to(&[5, 6]) / 2.0);
    let ramp =
        s.contract.initial_capacity + (1.0 - s.contract.initial_capacity) * 2000.0 / s.contract.warm_up;
    assert!(warm > 20.0 && cold <= ramp * warm + 2.0, "{cold} of {warm}");
}

/// Guards against a cold endpoint that something else slows down as well: it gets less than its ramp.
#[test]
fn a_cold_endpoint_that_answers_slowly_gets_less() {
    let sent_to_cold = |latency: f64| {
        let mut s = settings();
        s.zone_count = 2;
        let far = (1..=4).map(|id| EndpointEntry { zone: 1, ..endpoint(id) });
        let mut rig = Rig::new(s, far.collect());
        let settled = rig.now + 3000.0;
        let sends =
            rig.drive(3000, 2.0, (1000, endpoint(9)), |h| if h == EndpointId(9) { latency } else { 60.0 });
        sends.iter().filter(|(at, h)| *at >= settled && *h == EndpointId(9)).count()
    };
    let (sound, slow) = (sent_to_cold(60.0), sent_to_cold(300.0));
    assert!(sound > 100 && slow * 5 < sound, "{slow} of {sound}");
}

/// Guards against a fleet that is cold as a whole: with no warm endpoint to go by, one at a time is safe.
#[test]
fn where_no_endpoint_was_ever_warm_each_gets_one_request_at_a_time() {
    let started = Some(1000.0);
    let mut rig = Rig::new(
        settings(),
        endpoints(3).into_iter().map(|h| EndpointEntry { started_at: started, ..h }).collect(),
    );
    rig.pass(200.0);
    let mut served = 0;
    for _ in 0..20 {
        let ids: Vec<RequestId> = (0..2).map(|_| rig.request(0)).collect();
        rig.pass(30.0);
        for id in ids {
            for attempt in rig.open(id) {
                rig.finish(id, attempt, Outcome::Served);
                served += 1;
            }
        }
        rig.pass(100.0);
    }
    assert!(served >= 30, "{served}");
    let sent = rig.sent_at_once(20, |_| {});
    assert!(sent.len() <= 3, "{sent:?}");
}

/// Guards against hints that are too low: the budget of a cold endpoint would pick just those requests out.
#[test]
fn small_hints_do_not_stretch_a_cold_budget() {
    let mut rig = Rig::new(settings(), endpoints(4));
    for _ in 0..200 {
        let id = rig.request_with(0, |r| r.metadata.size_hint = Some(20.0));
        rig.pass(20.0);
        rig.finish(id, 0, Outcome::Served);
    }
    rig.news(EndpointUpdate::Changes(vec![EndpointEntry { started_at: Some(rig.now), ..endpoint(9) }]));
    rig.pass(500.0);
    let sent = rig.sent_at_once(50, |r| r.metadata.size_hint = Some(0.5));
    assert!(sent.iter().filter(|h| **h == EndpointId(9)).count() <= 2, "{sent:?}");
}

/// Guards against a release in which the last warm endpoint is home to every key.
#[test]
fn cold_endpoints_are_home_to_their_part_of_the_keys() {
    let mut s = settings();
    s.key_affinity = true;
    let mut rig = Rig::new(s, endpoints(8));
    let serve = |rig: &mut Rig, n: u32| {
        let mut to_first = 0;
        for step in 0..n {
            let id = rig.request_with(0, |new| new.metadata.key = Some(format!("key:{}", step % 40)));
            to_first += u32::from(rig.endpoint_of(id, 0) == EndpointId(1));
            rig.pass(10.0);
            for attempt in rig.open(id) {
                rig.finish(id, attempt, Outcome::Served);
            }
        }
        to_first
    };
    serve(&mut rig, 300);
    let started = Some(rig.now);
    rig.news(EndpointUpdate::Changes(
        (2..9).map(|n| EndpointEntry { started_at: started, ..endpoint(n) }).collect(),
    ));
    serve(&mut rig, 600);
    let last = serve(&mut rig, 150);
    assert!(last < 60, "{last} of 150 to the only warm host");
}

/// Guards against cold endpoints that idle while the warm ones jam: their reports tell of the whole fleet's
/// load.
#[test]
fn a_cold_endpoint_with_little_load_gets_more_and_a_busy_one_no_more() {
    let sent = |busy: f64| {
        let mut rig = Rig::new(settings(), endpoints(2));
        stream(&mut rig, 3000.0, 10.0, |_, _| (20.0, Outcome::Served));
        let started = Some(rig.now);
        rig.news(EndpointUpdate::Changes(vec![EndpointEntry { started_at: started, ..endpoint(3) }]));
        let mut count = 0;
        for _ in 0..300 {
            let id = rig.request(0);
            rig.pass(10.0);
            if rig.open(id).contains(&0) {
                let report = LoadReport { utilization: Some(busy), ..LoadReport::default() };
                count += u32::from(rig.endpoint_of(id, 0) == EndpointId(3));
                rig.finish_with(id, 0, Outcome::Served, report);
            }
        }
        count
    };
    let (idle, half, busy) = (sent(0.1), sent(0.7), sent(1.0));
    assert!(idle * 4 > half * 5, "{idle} where it idles, {half} where it is well used");
    assert!(busy <= half + 3, "{busy} where it is full, {half} where it is well used");
}

/// Guards against a cold endpoint that gets nothing since the only warm one of its kind rests: it is needed
/// most then.
#[test]
fn a_cold_endpoint_is_used_while_its_warm_kin_rests() {
    let mut s = settings();
    s.kind_count = 2;
    let list = endpoints(5)
        .into_iter()
        .map(|endpoint| EndpointEntry { kind: usize::from(endpoint.endpoint.0 > 1), ..endpoint });
    let mut rig = Rig::new(s, list.collect());
    let drive = |rig: &mut Rig, fails: bool| {
        let mut cold = 0;
        for _ in 0..400 {
            // So many at once that each endpoint is wanted.
            let ids: Vec<RequestId> = (0..6).map(|_| rig.request(0)).collect();
            rig.pass(20.0);
            for id in ids {
                while let (None, Some(attempt)) = (rig.requests[&id].ending, rig.open(id).first().copied()) {
                    let endpoint = rig.endpoint_of(id, attempt as usize);
                    cold += usize::from(endpoint == EndpointId(9));
                    let outcome =
                        if fails && endpoint == EndpointId(1) { Outcome::Error } else { Outcome::Served };
                    rig.finish(id, attempt, outcome);
                }
            }
            rig.pass(5.0);
        }
        cold
    };
    drive(&mut rig, false);
    drive(&mut rig, true);
    rig.news(EndpointUpdate::Changes(vec![EndpointEntry {
        started_at: Some(rig.now),
        kind: 0,
        ..endpoint(9)
    }]));
    let cold = drive(&mut rig, true);
    // 85 where the rate of its kin that rests counted.
    assert!(cold > 200, "{cold} in the ten seconds in which it becomes warm");
}
