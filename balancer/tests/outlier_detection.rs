//! Outlier detection: ejection of endpoints that fail, stall, are slow or lose responses, and their return.

mod common;
use balancer::*;
use common::*;

#[test]
fn failing_endpoint_is_ejected_and_returns() {
    let mut harness = Harness::new(settings(), endpoints(6));
    run_load(&mut harness, 2000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let count = run_load(&mut harness, 5000.0, 5.0, first_endpoint_fails);
    let share = count[&EndpointId(1)] as f64 / 1000.0;
    assert!(share < 0.03, "{count:?}");
    run_load(&mut harness, 12_000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let count = run_load(&mut harness, 2000.0, 5.0, |_, _| (20.0, Outcome::Served));
    assert!(count[&EndpointId(1)] > 30, "not used again after it recovered: {count:?}");
}

#[test]
fn unsafe_requests_avoid_half_open_endpoint() {
    let mut settings = settings();
    settings.classes.push(class(Effect::Unsafe));
    let mut harness = Harness::new(settings, endpoints(4));
    run_load(&mut harness, 1000.0, 5.0, |_, _| (20.0, Outcome::Served));
    run_load(&mut harness, 1000.0, 5.0, first_endpoint_fails);
    harness.advance(1500.0); // the ejection has ended, and the endpoint is half-open
    for _ in 0..40 {
        let id = harness.request(1);
        assert_ne!(harness.endpoint_of(id, 0), EndpointId(1));
        harness.advance(10.0);
        harness.finish_attempt(id, 0, Outcome::Served);
    }
}

/// Panic threshold: if all endpoints fail, the last ones are not ejected.
#[test]
fn panic_threshold_limits_ejection() {
    let mut harness = Harness::new(settings(), endpoints(6));
    let count = run_load(&mut harness, 5000.0, 20.0, |_, _| (1.0, Outcome::Error));
    assert!(count.len() == 6);
    let late = run_load(&mut harness, 500.0, 20.0, |_, _| (1.0, Outcome::Error));
    assert!(late.len() >= 2, "{late:?}");
}

#[test]
fn slow_endpoint_keeps_little_traffic() {
    let mut harness = Harness::new(settings(), endpoints(6));
    run_load(&mut harness, 2000.0, 10.0, |_, _| (20.0, Outcome::Served));
    let slow = |endpoint: EndpointId, _: f64| {
        (if endpoint == EndpointId(1) { 120.0 } else { 20.0 }, Outcome::Served)
    };
    run_load(&mut harness, 2000.0, 10.0, slow);
    let count = run_load(&mut harness, 10_000.0, 10.0, slow);
    let sent = count[&EndpointId(1)];
    assert!(sent < 60, "an even share would be 166: {count:?}");
    assert!(sent > 0, "no trial requests: {count:?}");
}

#[test]
fn stalled_endpoint_is_avoided_before_timeouts() {
    let mut harness = Harness::new(settings(), endpoints(4));
    run_load(&mut harness, 2000.0, 10.0, |_, _| (20.0, Outcome::Served));
    let stalls = |endpoint: EndpointId, _: f64| {
        (if endpoint == EndpointId(1) { 5000.0 } else { 20.0 }, Outcome::Served)
    };
    run_load(&mut harness, 300.0, 10.0, stalls);
    let count = run_load(&mut harness, 600.0, 10.0, stalls);
    assert!(count.get(&EndpointId(1)).copied().unwrap_or(0) < 6, "{count:?}");
}

/// Trial requests to an endpoint that stays stalled become rarer. At a constant rate they would be harmless
/// from one balancer, but a steady loss from a hundred.
#[test]
fn stalled_endpoint_is_tried_less_often() {
    let settings = settings();
    let mut harness = Harness::new(settings, endpoints(4));
    run_load(&mut harness, 2000.0, 50.0, |_, _| (20.0, Outcome::Served));
    let stalls = |endpoint: EndpointId, _: f64| match endpoint {
        EndpointId(1) => (1000.0, Outcome::TimedOut),
        _ => (20.0, Outcome::Served),
    };
    run_load(&mut harness, 10_000.0, 50.0, stalls);
    let count = run_load(&mut harness, 60_000.0, 50.0, stalls);
    let trials = count.get(&EndpointId(1)).copied().unwrap_or(0);
    assert!((1..=6).contains(&trials), "{count:?}");
    run_load(&mut harness, 90_000.0, 50.0, |_, _| (20.0, Outcome::Served));
    let count = run_load(&mut harness, 4000.0, 50.0, |_, _| (20.0, Outcome::Served));
    assert!(count[&EndpointId(1)] > 10, "not used again after it recovered: {count:?}");
}

/// Instant errors must not attract traffic, even if so many endpoints fail that no more of them are ejected.
#[test]
fn errors_do_not_count_as_fast_beyond_panic_threshold() {
    let mut settings = settings();
    settings.kind_count = 2;
    settings.limits.max_attempts = 1;
    let list = endpoints(9)
        .into_iter()
        .map(|entry| EndpointEntry { kind: usize::from(entry.endpoint.0 > 3), ..entry })
        .collect();
    let mut harness = Harness::new(settings, list);
    let failing = |endpoint: EndpointId, _: f64| {
        if endpoint.0 > 3 { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) }
    };
    run_load(&mut harness, 6000.0, 40.0, failing);
    let count = run_load(&mut harness, 10_000.0, 40.0, failing);
    let to_serving: usize =
        count.iter().filter(|(endpoint, _)| endpoint.0 <= 3).map(|(_, count)| count).sum();
    assert!(to_serving > 90, "the kind that serves got {to_serving} of 250: {count:?}");
}

/// Panic threshold: if endpoints fail one after the other, not all of them are ejected.
#[test]
fn panic_threshold_keeps_fifth_failing_endpoint() {
    let mut harness = Harness::new(settings(), endpoints(6));
    for failed in 1..=5 {
        let failing = |endpoint: EndpointId, _: f64| match endpoint.0 <= failed {
            true => (1.0, Outcome::Error),
            false => (20.0, Outcome::Served),
        };
        run_load(&mut harness, 6000.0, 10.0, failing);
    }
    let failing = |endpoint: EndpointId, _: f64| {
        if endpoint.0 <= 5 { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) }
    };
    let count = run_load(&mut harness, 3000.0, 10.0, failing);
    assert!(count[&EndpointId(5)] > 15, "the fifth endpoint was ejected: {count:?}");
}

/// If most endpoints fail at once, none of them stands out from the others; they must be ejected all the
/// same.
#[test]
fn failed_majority_is_ejected() {
    let mut harness = Harness::new(settings(), endpoints(10));
    run_load(&mut harness, 3000.0, 2.0, |_, _| (20.0, Outcome::Served));
    let most_fail = |endpoint: EndpointId, _: f64| {
        if endpoint.0 <= 7 { (100.0, Outcome::ConnectFailed) } else { (20.0, Outcome::Served) }
    };
    run_load(&mut harness, 1000.0, 2.0, most_fail);
    let count = run_load(&mut harness, 1000.0, 2.0, most_fail);
    let to_failing: usize =
        count.iter().filter(|(endpoint, _)| endpoint.0 <= 7).map(|(_, count)| count).sum();
    assert!(to_failing < 25, "{to_failing} of 500: {count:?}");
}

/// A zone is overloaded, but this balancer has no attempts in flight there, and the latency of the kind is
/// averaged over all zones. Only the latency of the zone itself shows the overload.
#[test]
fn slow_zone_loses_traffic() {
    let mut settings = settings();
    settings.zone_count = 2;
    let list = (1..=8).map(|n| EndpointEntry { zone: n as usize % 2, cell: n % 2, ..endpoint(n) }).collect();
    let mut harness = Harness::new(settings, list);
    let latency = |endpoint: EndpointId| if endpoint.0.is_multiple_of(2) { 30.0 } else { 20.0 };
    harness.serve_sequentially(60, 0, latency);
    let count = harness.serve_sequentially(100, 0, latency);
    let to_slow: usize =
        count.iter().filter(|(endpoint, _)| endpoint.0.is_multiple_of(2)).map(|(_, count)| count).sum();
    assert!(to_slow < 25, "{count:?}");
}

/// An overloaded endpoint can stay slow until it gets no traffic for a while. But if half of all endpoints
/// are slow, the others could not carry their traffic, so only some of them are ejected.
#[test]
fn endpoint_that_stays_slow_is_ejected() {
    let ejected_count = |slow: u32| {
        let settings = settings();
        let mut harness = Harness::new(settings, endpoints(10));
        run_load(&mut harness, 3000.0, 4.0, |_, _| (20.0, Outcome::Served));
        let began = harness.now;
        let attempt_end =
            |endpoint: EndpointId, _: f64| (if endpoint.0 <= slow { 160.0 } else { 20.0 }, Outcome::Served);
        run_load(&mut harness, 12_000.0, 4.0, attempt_end);
        let longest_gap = |id: u32| {
            let attempts = harness
                .requests
                .values()
                .flat_map(|request| &request.attempts)
                .filter(|attempt| attempt.endpoint == EndpointId(id));
            let mut times: Vec<f64> = attempts
                .map(|attempt| attempt.sent_at)
                .filter(|at| *at > began)
                .chain([began, harness.now])
                .collect();
            times.sort_by(f64::total_cmp);
            times.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
        };
        (1..=10).filter(|id| longest_gap(*id) > 4500.0).count()
    };
    assert_eq!(ejected_count(1), 1);
    assert_eq!(ejected_count(5), 3);
}

/// If new connections are slow or refused, open ones carry the work, and their endpoints must not be ejected
/// for failed connects.
#[test]
fn open_connections_are_used_while_connects_fail() {
    let mut settings = settings();
    settings.prices.handshake = 0.05;
    let mut harness = Harness::new(settings, endpoints(8));
    // One after the other, so that one connection per endpoint is enough; some endpoints are never used.
    let used = harness.serve_sequentially(40, 0, |_| 20.0);
    let connected: Vec<EndpointId> = used.keys().copied().collect();
    assert!(connected.len() < 8, "ties did not go to open connections: {used:?}");
    let (mut connects, mut served) = (0, 0);
    for _ in 0..200 {
        let id = harness.request(0);
        harness.advance(20.0);
        while let Some(attempt) = harness.attempts_in_flight(id).first().copied() {
            let open = connected.contains(&harness.endpoint_of(id, attempt as usize));
            connects += u32::from(!open);
            harness.finish_attempt(id, attempt, if open { Outcome::Served } else { Outcome::ConnectFailed });
        }
        served += u32::from(harness.requests[&id].final_outcome == Some(FinalOutcome::Served));
    }
    assert!(served >= 195 && connects <= 10, "{served} served, {connects} connects");
}

/// If all classes are unsafe, an ejected endpoint must still return: well after its ejection has ended, one
/// request at a time may try it. The ejections grow longer while it keeps failing.
#[test]
fn ejected_endpoint_returns_with_unsafe_class_only() {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Unsafe)];
    let mut harness = Harness::new(settings, endpoints(3));
    let failing = EndpointId(1);
    let outcome = |endpoint: EndpointId, recovered: bool| {
        if endpoint == failing && !recovered { Outcome::ConnectFailed } else { Outcome::Served }
    };
    let run = |harness: &mut Harness, recovered: bool| {
        let mut trials = 0;
        for _ in 0..2000 {
            let id = harness.request(0);
            while let Some(attempt) = harness.attempts_in_flight(id).first().copied() {
                let endpoint = harness.endpoint_of(id, attempt as usize);
                trials += u32::from(endpoint == failing);
                harness.advance(5.0);
                harness.finish_attempt(id, attempt, outcome(endpoint, recovered));
            }
        }
        trials
    };
    run(&mut harness, false);
    let trials: u32 = (0..3).map(|_| run(&mut harness, false)).sum();
    assert!((1..12).contains(&trials), "{trials} trial requests to the failing endpoint in half a minute");
    for _ in 0..5 {
        run(&mut harness, true);
    }
    assert!(run(&mut harness, true) > 300, "did not get its full share again");
}

/// Some endpoints lose the responses to one class only. That class has to avoid them and the other class
/// keeps using them, and nothing is rejected as if the endpoints were overloaded.
#[test]
fn endpoints_are_avoided_by_failing_class_only() {
    let mut settings = settings();
    settings.classes.push(class(Effect::Unsafe));
    let mut harness = Harness::new(settings, endpoints(6));
    let loses = |endpoint: EndpointId| endpoint.0 <= 3;
    let mut in_flight: Vec<(f64, RequestId, Outcome)> = Vec::new();
    // By class, in the second half: attempts to the endpoints that lose responses to class 1, and all
    // attempts.
    let (mut to_losing, mut total) = ([0.0; 2], [0.0; 2]);
    for step in 0..800 {
        for class in 0..2 {
            let id = harness.request(class);
            let Some(attempt) = harness.requests[&id].attempts.first() else { continue };
            let lost = step >= 100 && class == 1 && loses(attempt.endpoint);
            let (latency, outcome) = if lost { (399.0, Outcome::TimedOut) } else { (20.0, Outcome::Served) };
            in_flight.push((harness.now + latency, id, outcome));
            if step >= 400 {
                to_losing[class] += f64::from(u8::from(loses(attempt.endpoint)));
                total[class] += 1.0;
            }
        }
        harness.advance(5.0);
        let (due, later): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|attempt| attempt.0 <= harness.now);
        in_flight = later;
        for (_, id, outcome) in due {
            if harness.attempts_in_flight(id).contains(&0) {
                harness.finish_attempt(id, 0, outcome);
            }
        }
    }
    assert!(to_losing[1] / total[1] < 0.05, "{to_losing:?} of {total:?}");
    assert!(to_losing[0] / total[0] > 0.4, "{to_losing:?} of {total:?}");
    assert_eq!(harness.rejections(), 0);
}
