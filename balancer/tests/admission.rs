//! Admission: which requests are rejected so that the others are served in time.

mod common;
use balancer::*;
use common::*;

/// When all endpoints are overloaded, part of the requests is rejected, those of the lowest priority weight
/// first. Without shedding, queues would grow until every response is late.
#[test]
fn overload_sheds_lowest_priority_first() {
    let mut settings = settings();
    settings.classes.push(Class { priority_weight: 10.0, ..class(Effect::Safe) });
    let class = |step| usize::from(step % 4 == 0);
    let rejected_shares = overload(settings, |step| (class(step), class(step), false));
    assert!(rejected_shares[0] > 0.3 && rejected_shares[1] < 0.1, "{rejected_shares:?}");
}

/// Shedding has to stop with its cause: once latency has been normal for 6 s, nothing is rejected.
#[test]
fn shedding_stops_after_overload() {
    let mut harness = Harness::new(settings(), endpoints(3));
    run_load(&mut harness, 2000.0, 5.0, |_, _| (20.0, Outcome::Served));
    run_load(&mut harness, 4000.0, 5.0, |_, _| (300.0, Outcome::Served));
    run_load(&mut harness, 6000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let before = harness.rejections();
    assert!(before > 0, "nothing was rejected during the overload");
    run_load(&mut harness, 2000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let after = harness.rejections();
    assert_eq!(before, after);
}

/// Sends 400 requests at once, none of which gets a response. Returns the number of those that were admitted.
fn admitted(harness: &mut Harness) -> usize {
    harness.request_burst(400, |_| {}).len()
}

fn harness_after_normal_load() -> Harness {
    let settings = settings();
    let mut harness = Harness::new(settings, endpoints(8));
    run_load(&mut harness, 5000.0, 2.0, |_, _| (20.0, Outcome::Served));
    harness
}

/// Before the first response, nothing is known of the endpoints' capacity. Without an initial concurrency
/// limit, a burst at that moment would overload them.
#[test]
fn concurrency_limit_applies_before_first_response() {
    let mut settings = settings();
    settings.balancer_count = 4;
    let mut harness = Harness::new(settings, endpoints(8));
    let sent = admitted(&mut harness);
    assert!((4..100).contains(&sent), "{sent}");
}

/// When most endpoints are removed, the concurrency limit has to shrink. Otherwise the remaining endpoints
/// would get the work of the whole fleet and be overloaded.
#[test]
fn concurrency_limit_shrinks_with_endpoints() {
    let all = admitted(&mut harness_after_normal_load());
    assert!((15..100).contains(&all), "10 were in flight before: {all}");
    let mut harness = harness_after_normal_load();
    harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(3)));
    let few = admitted(&mut harness);
    assert!(few * 2 < all, "3 endpoints: {few}, 8 endpoints: {all}");
}

/// Endpoints in slow start count for their present fraction of capacity only. If they counted in full, a
/// fleet that scales up would admit more than it can serve.
#[test]
fn slow_start_endpoints_barely_raise_limit() {
    let all = admitted(&mut harness_after_normal_load());
    let mut harness = harness_after_normal_load();
    let started_at = Some(harness.now);
    harness.update_endpoints(EndpointUpdate::Changes(
        (11..19).map(|n| EndpointEntry { started_at, ..endpoint(n) }).collect(),
    ));
    let more = admitted(&mut harness);
    assert!(more as f64 <= 1.5 * all as f64, "{more} with 8 more endpoints, {all} without");
}

/// The overload signal sheds by itself, far below the concurrency limit: here one request is in flight at a
/// time, but each takes 190 ms of a latency objective of 200 ms.
#[test]
fn overload_signal_sheds_with_few_in_flight() {
    let settings = settings();
    let mut harness = Harness::new(settings, endpoints(3));
    let mut rejected = 0;
    for _ in 0..100 {
        let id = harness.request(0);
        harness.advance(190.0);
        for attempt in harness.attempts_in_flight(id) {
            harness.finish_attempt(id, attempt, Outcome::Served);
        }
        rejected += u32::from(harness.requests[&id].final_outcome == Some(FinalOutcome::Rejected));
    }
    assert!(rejected > 20, "{rejected}");
}

/// A balancer with little traffic has to stop shedding too. If it rejected everything, no response would show
/// that the overload is over, and it would shed for good.
#[test]
fn low_traffic_balancer_stops_shedding() {
    for seed in 0..6 {
        let settings = settings();
        let mut harness = Harness::with_seed(settings, endpoints(3), seed);
        run_load(&mut harness, 10_000.0, 100.0, |_, _| (900.0, Outcome::Served));
        assert!(harness.rejections() > 30, "{}", harness.rejections());
        // With little traffic the overload signal has a longer time constant, so this takes some seconds.
        run_load(&mut harness, 12_000.0, 1000.0, |_, _| (20.0, Outcome::Served));
        let before = harness.rejections();
        run_load(&mut harness, 8000.0, 1000.0, |_, _| (20.0, Outcome::Served));
        assert_eq!(harness.rejections(), before);
    }
}

/// Sends a request every 3 ms to endpoints that share one queue, which serves one request every 5 ms.
/// `offer(step)` gives the request's group (0 or 1), its class, and whether it is marked as a retry. Returns
/// the share of each group that is rejected.
fn overload(settings: Settings, offer: impl Fn(usize) -> (usize, usize, bool)) -> [f64; 2] {
    let mut harness = Harness::new(settings, endpoints(3));
    let (mut pending, mut busy_until) = (Vec::new(), harness.now);
    let (mut rejected, mut total) = ([0.0; 2], [0.0; 2]);
    for step in 0..3000 {
        let (group, class, is_retry) = offer(step);
        let id = harness.request_with(class, |new| new.metadata.is_retry = is_retry);
        if step > 1000 {
            total[group] += 1.0;
            rejected[group] +=
                f64::from(u8::from(harness.requests[&id].final_outcome == Some(FinalOutcome::Rejected)));
        }
        if !harness.requests[&id].attempts.is_empty() {
            busy_until = harness.now.max(busy_until) + 5.0;
            pending.push((busy_until, id));
        }
        harness.advance(3.0);
        harness.serve_due(&mut pending);
    }
    [rejected[0] / total[0], rejected[1] / total[1]]
}

/// Two classes of nearly the same priority weight (1 and 1.2) share the rejections. With a strict order, the
/// lower class would bear all of them for a negligible difference.
#[test]
fn similar_classes_are_shed_alike() {
    let mut settings = settings();
    settings.classes.push(Class { priority_weight: 1.2, ..class(Effect::Safe) });
    let rejected_shares = overload(settings, |step| (step % 2, step % 2, false));
    assert!(rejected_shares[0] > 0.2 && rejected_shares[1] > 0.2, "{rejected_shares:?}");
}

/// By priority weight alone, one class bears nearly all rejections. If the class that is served worst has an
/// objective weight of its own, both classes are shed alike.
#[test]
fn worst_class_weight_equalizes_shedding() {
    let mut settings = settings();
    settings.classes.push(Class { priority_weight: 3.0, ..class(Effect::Safe) });
    let rejected_shares = overload(settings.clone(), |step| (step % 2, step % 2, false));
    assert!(rejected_shares[0] > rejected_shares[1] + 0.3, "by priority weight alone: {rejected_shares:?}");
    settings.objective_weights =
        ObjectiveWeights { overall: 0.55, worst_class: 0.35, ..settings.objective_weights };
    let rejected_shares = overload(settings, |step| (step % 2, step % 2, false));
    assert!(
        (rejected_shares[0] - rejected_shares[1]).abs() < 0.1,
        "with a weight for the worst class: {rejected_shares:?}"
    );
}

/// A client's retry has used up part of its latency objective before it arrives, so its response is more
/// likely to be late. It is shed before first tries.
#[test]
fn client_retries_are_shed_first() {
    let settings = settings();
    let rejected_shares = overload(settings, |step| (step % 2, 0, step % 2 == 1));
    assert!(rejected_shares[1] > rejected_shares[0] + 0.3, "{rejected_shares:?}");
}

/// The initial concurrency limit must not decay while the balancer waits for its first request.
#[test]
fn initial_limit_survives_idle_second() {
    let mut settings = settings();
    settings.balancer_count = 4;
    let mut harness = Harness::new(settings, endpoints(8));
    harness.advance(1000.0);
    assert_eq!(harness.request_burst(12, |_| {}).len(), 12);
}

/// The overload signal of a busy balancer has a time constant of 400 ms. With one request every 500 ms, it
/// would retain next to nothing of earlier responses, and the balancer would not notice the overload.
#[test]
fn low_traffic_balancer_detects_overload() {
    let mut settings = settings();
    settings.limits.max_attempts = 1;
    let mut harness = Harness::new(settings, endpoints(30));
    run_load(&mut harness, 30_000.0, 500.0, |_, _| (190.0, Outcome::Served));
    assert!(harness.rejections() > 15, "{} of 60", harness.rejections());
}

/// Four of six endpoints lose the responses to class 1, so that this class overloads the other two. Class 0
/// is served everywhere; rejecting it because of the overload signal of class 1 would help nobody.
#[test]
fn overload_of_one_class_spares_other() {
    let mut settings = settings();
    settings.classes.push(Class { priority_weight: 4.0, ..class(Effect::Unsafe) });
    let mut harness = Harness::new(settings, endpoints(6));
    let mut in_flight: Vec<(f64, RequestId, Outcome)> = Vec::new();
    let (mut admitted, mut total) = (0.0, 0.0);
    for step in 0..1200 {
        // Class 1, which lacks endpoints, gets half as many requests: it overloads the two, but no backlog
        // grows.
        for class in 0..2 - step % 2 {
            let id = harness.request(class);
            let first = harness.requests[&id].attempts.first();
            if class == 0 && step >= 400 {
                admitted += f64::from(u8::from(first.is_some()));
                total += 1.0;
            }
            let Some(first) = first else { continue };
            let (latency, outcome) = match (class, first.endpoint.0) {
                _ if step < 100 => (20.0, Outcome::Served),
                (1, ..=4) => (399.0, Outcome::TimedOut),
                (1, _) => (190.0, Outcome::Served),
                _ => (20.0, Outcome::Served),
            };
            in_flight.push((harness.now + latency, id, outcome));
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
    // The concurrency limit still sheds some; the overload signal of class 1 would shed nearly all.
    assert!(admitted / total > 0.6, "{admitted} of {total}");
}

/// While a client still sends its body, the request's time has not begun and no endpoint works on it. If such
/// requests counted as slow, slow uploads would cause shedding.
#[test]
fn pending_bodies_do_not_signal_overload() {
    for body_pending in [true, false] {
        let mut harness = Harness::new(settings(), endpoints(3));
        harness.serve_sequentially(200, 0, |_| 20.0);
        let wait_long = |new: &mut NewRequest| (new.body_pending, new.timeout) = (body_pending, 20_000.0);
        let uploads: Vec<RequestId> = (0..30).map(|_| harness.request_with(0, wait_long)).collect();
        harness.advance(2000.0);
        let rejected = (0..50).filter(|_| {
            let id = harness.request(0);
            let rejected = harness.requests[&id].final_outcome == Some(FinalOutcome::Rejected);
            if !rejected {
                harness.finish_attempt(id, 0, Outcome::Served);
            }
            rejected
        });
        let rejected = rejected.count();
        assert_eq!(rejected > 0, !body_pending, "body pending: {body_pending}, {rejected} rejected");
        if body_pending {
            // Complete bodies are work like any other.
            for id in &uploads {
                harness.handle_event(Event::BodyComplete { id: *id, timeout: 1000.0 });
            }
            harness.advance(600.0);
            assert!((0..50).any(|_| {
                let id = harness.request(0);
                harness.requests[&id].final_outcome == Some(FinalOutcome::Rejected)
            }));
        }
    }
}
