//! The rules that the harness checks on every action, each in a test of its own: a final response in time, no
//! repeated effects, the attempt limit, and no attempts to endpoints that are draining, removed or disabled.

mod common;
use balancer::*;
use common::*;

fn keyed(scope: KeyScope, ttl: f64) -> Class {
    class(Effect::Keyed { scope, ttl })
}

#[test]
fn request_without_endpoints_is_rejected_by_deadline() {
    let mut harness = Harness::new(settings(), Vec::new());
    let id = harness.request(0);
    assert_eq!(
        harness.requests[&id].final_outcome, None,
        "rejected at once instead of waiting for an endpoint"
    );
    harness.advance(1005.0);
    assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Rejected));
    assert!(harness.requests[&id].ended_at <= harness.requests[&id].deadline);
}

/// If a request waited for an endpoint until its deadline, its client would have no time left to retry. A
/// request that could not be sent is rejected at half its deadline, with `Retry-After` where settings allow
/// it.
#[test]
fn unsent_request_is_rejected_with_retry_after() {
    for retry_after_allowed in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = retry_after_allowed;
        let mut harness = Harness::new(settings, Vec::new());
        let id = harness.request(0);
        harness.advance(500.0);
        assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Rejected));
        let retry_after = retry_after_allowed.then_some(50.0); // a quarter of the latency objective
        assert!(harness.actions.contains(&Action::Reject { id, retry_after }), "{:?}", harness.actions);
    }
}

#[test]
fn waiting_request_is_sent_to_new_endpoint() {
    let mut harness = Harness::new(settings(), Vec::new());
    let id = harness.request(0);
    harness.update_endpoints(EndpointUpdate::Changes(endpoints(1)));
    harness.advance(200.0);
    assert_eq!(harness.requests[&id].attempts.len(), 1);
}

#[test]
fn unsafe_request_fails_at_deadline() {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Unsafe)];
    let mut harness = Harness::new(settings, endpoints(3));
    let id = harness.request(0);
    harness.advance(1000.0);
    assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Failed));
}

#[test]
fn disconnected_client_gets_no_retry() {
    let mut harness = Harness::new(settings(), endpoints(3));
    let id = harness.request(0);
    harness.disconnect_client(id);
    harness.finish_attempt(id, 0, Outcome::Error);
    harness.advance(2000.0);
    assert_eq!(harness.requests[&id].attempts.len(), 1);
}

#[test]
fn unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled, Outcome::Unknown] {
        let mut settings = settings();
        settings.classes = vec![class(Effect::Unsafe)];
        let mut harness = Harness::new(settings, endpoints(3));
        let id = harness.request(0);
        harness.advance(5.0);
        harness.finish_attempt(id, 0, outcome);
        assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Failed), "{outcome:?}");
        assert_eq!(harness.requests[&id].attempts.len(), 1);
    }
}

#[test]
fn unsafe_request_that_never_ran_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent] {
        let mut settings = settings();
        settings.classes = vec![class(Effect::Unsafe)];
        let mut harness = Harness::new(settings, endpoints(3));
        let id = harness.request(0);
        harness.finish_attempt(id, 0, outcome);
        assert_eq!(harness.requests[&id].attempts.len(), 2, "{outcome:?}");
        assert_ne!(
            harness.endpoint_of(id, 0),
            harness.endpoint_of(id, 1),
            "retried on the endpoint that failed"
        );
    }
}

/// Ends each attempt of a request as never sent, for `duration` or until the request ends. Returns the times
/// at which attempts began.
fn never_send(harness: &mut Harness, id: RequestId, duration: f64) -> Vec<f64> {
    let until = harness.now + duration;
    while harness.now < until && harness.requests[&id].final_outcome.is_none() {
        for attempt in harness.attempts_in_flight(id) {
            harness.finish_attempt(id, attempt, Outcome::NeverSent);
        }
        harness.advance(1.0);
    }
    harness.requests[&id].attempts.iter().map(|attempt| attempt.sent_at).collect()
}

/// An attempt of which no byte was written does not count towards the limit of three. Otherwise the request
/// would be rejected though its client still has time. Since such attempts can end at once, they are spaced
/// out so that they do not spin.
#[test]
fn never_sent_attempts_are_not_counted() {
    // With a single endpoint only one failure: two would eject it.
    for (effect, endpoint_count, failures) in [(Effect::Unsafe, 6, 2), (Effect::Safe, 1, 1)] {
        let mut settings = settings();
        settings.classes = vec![class(effect)];
        let mut harness = Harness::new(settings, endpoints(endpoint_count));
        let id = harness.request(0);
        let send_times = never_send(&mut harness, id, 700.0);
        assert!((6..=10).contains(&send_times.len()), "{send_times:?}");
        assert!(send_times[2..].windows(2).all(|pair| pair[1] - pair[0] >= 100.0), "{send_times:?}");
        harness.advance(100.0);
        // All three counted attempts are still left.
        for _ in 0..failures {
            let attempt = *harness.attempts_in_flight(id).first().expect("no attempt in flight");
            harness.finish_attempt(id, attempt, Outcome::ConnectFailed);
        }
        let attempt = *harness.attempts_in_flight(id).first().expect("no attempt in flight");
        harness.finish_attempt(id, attempt, Outcome::Served);
        assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Served));
    }
}

/// A request of which no attempt can be sent must still get its final response before the deadline, and soon
/// after its client has half-closed the connection. Nothing must be sent for it afterwards.
#[test]
fn never_sent_request_ends_by_deadline() {
    let mut harness = Harness::new(settings(), endpoints(3));
    let id = harness.request(0);
    never_send(&mut harness, id, 2000.0);
    let request = &harness.requests[&id];
    assert_eq!(request.final_outcome, Some(FinalOutcome::Rejected));
    assert!(request.ended_at <= request.deadline && request.ended_at >= request.deadline - 150.0);
    for between_attempts in [true, false] {
        let id = harness.request(0);
        let before = never_send(&mut harness, id, 250.0).len();
        if between_attempts {
            harness.handle_event(Event::ClientHalfClosed { id });
        } else {
            harness.advance(100.0);
            harness.handle_event(Event::ClientHalfClosed { id });
            harness
                .attempts_in_flight(id)
                .into_iter()
                .for_each(|attempt| drop(harness.finish_attempt(id, attempt, Outcome::NeverSent)));
        }
        assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Rejected));
        harness.advance(1000.0);
        assert!(harness.requests[&id].attempts.len() <= before + 1, "sent after its client half-closed");
    }
}

/// What a warmed-up endpoint is sent determines the budget of one in slow start. If attempts that were never
/// sent counted, the endpoint in slow start would get too much.
#[test]
fn never_sent_attempts_add_no_slow_start_budget() {
    let mut list = endpoints(2);
    list[1].started_at = Some(1000.0);
    let sent_to_second = |never_sent: usize| {
        let mut harness = Harness::new(settings(), list.clone());
        let mut to_second = 0;
        for _ in 0..400 {
            let id = harness.request(0);
            for _ in 0..never_sent {
                harness
                    .attempts_in_flight(id)
                    .into_iter()
                    .for_each(|attempt| drop(harness.finish_attempt(id, attempt, Outcome::NeverSent)));
            }
            harness.advance(5.0);
            for attempt in harness.attempts_in_flight(id) {
                to_second += usize::from(harness.endpoint_of(id, attempt as usize) == EndpointId(2));
                harness.finish_attempt(id, attempt, Outcome::Served);
            }
        }
        to_second
    };
    let (without, with) = (sent_to_second(0), sent_to_second(2));
    assert!(
        with <= without + without / 10,
        "{with} of 400 requests with never sent attempts, {without} without"
    );
}

#[test]
fn cell_keyed_retry_stays_in_cell() {
    let mut settings = settings();
    settings.classes = vec![keyed(KeyScope::Cell, 5000.0)];
    let mut list = endpoints(6);
    for (n, entry) in list.iter_mut().enumerate() {
        entry.cell = n as u32 / 2;
    }
    let mut harness = Harness::new(settings, list);
    for _ in 0..40 {
        let id = harness.request(0);
        harness.advance(1.0);
        harness.finish_attempt(id, 0, Outcome::Error);
        for attempt in harness.attempts_in_flight(id) {
            harness.advance(10.0);
            harness.finish_attempt(id, attempt, Outcome::Served);
        }
    }
    harness.advance(2000.0);
    harness.assert_all_requests_ended();
    let retried = harness.requests.values().filter(|request| request.attempts.len() > 1).count();
    assert!(retried > 0, "no request was retried on the other endpoint of its cell");
}

#[test]
fn keyed_request_is_not_retried_after_ttl() {
    let mut settings = settings();
    settings.classes = vec![keyed(KeyScope::All, 300.0)];
    let mut harness = Harness::new(settings, endpoints(3));
    let id = harness.request(0);
    harness.advance(250.0);
    for attempt in harness.attempts_in_flight(id) {
        if harness.requests[&id].final_outcome.is_none() {
            harness.finish_attempt(id, attempt, Outcome::Reset);
        }
    }
    // A retry would have to arrive within 300 ms of the first attempt, and connecting may take 100 ms.
    assert!(
        harness.requests[&id].attempts.iter().all(|attempt| attempt.sent_at < 1200.0),
        "{:?}",
        harness.requests[&id]
    );
    assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Failed));
}

#[test]
fn allowed_hedging_is_not_used() {
    let mut settings = settings();
    settings.limits.hedging = true;
    let mut harness = Harness::new(settings, endpoints(3));
    harness.serve_sequentially(20, 0, |_| 20.0);
    let id = harness.request(0);
    harness.advance(900.0);
    assert!(harness.attempts_in_flight(id).len() <= 1);
}

#[test]
fn attempt_limit_is_kept() {
    let mut harness = Harness::new(settings(), endpoints(9));
    let id = harness.request(0);
    for attempt in 0..3 {
        harness.finish_attempt(id, attempt, Outcome::ConnectFailed);
    }
    assert_eq!(harness.requests[&id].attempts.len(), 3);
    assert_eq!(harness.requests[&id].final_outcome, Some(FinalOutcome::Rejected));
}

#[test]
fn draining_or_removed_endpoint_gets_nothing() {
    let mut harness = Harness::new(settings(), endpoints(3));
    for state in [EndpointState::Draining, EndpointState::Removed] {
        harness.update_endpoints(EndpointUpdate::Changes(vec![EndpointEntry { state, ..endpoint(2) }]));
        let count = harness.serve_sequentially(60, 0, |_| 5.0);
        assert!(!count.contains_key(&EndpointId(2)), "{state:?}");
        harness.update_endpoints(EndpointUpdate::Changes(vec![endpoint(2)]));
        assert!(
            harness.serve_sequentially(60, 0, |_| 5.0).contains_key(&EndpointId(2)),
            "not used again after it returned"
        );
    }
}

#[test]
fn full_snapshot_removes_absent_endpoints() {
    let mut harness = Harness::new(settings(), endpoints(3));
    harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(2)));
    assert!(!harness.serve_sequentially(60, 0, |_| 5.0).contains_key(&EndpointId(3)));
}

/// Discovery does not override an operator: an endpoint stays disabled until the operator enables it, even if
/// the list says that it serves or has restarted.
#[test]
fn list_updates_do_not_enable_disabled_endpoint() {
    let mut harness = Harness::new(settings(), endpoints(3));
    let actions = harness.handle_event(Event::Disabled { endpoint: EndpointId(2) });
    assert!(actions.contains(&Action::CloseIdleConnections { endpoint: EndpointId(2) }), "{actions:?}");
    assert_eq!(harness.balancer.excluded_endpoints(harness.now).collect::<Vec<_>>(), [EndpointId(2)]);
    let restarted = EndpointEntry { started_at: Some(harness.now), ..endpoint(2) };
    let draining = EndpointEntry { state: EndpointState::Draining, ..endpoint(2) };
    for update in [
        EndpointUpdate::Changes(vec![endpoint(2)]),
        EndpointUpdate::Changes(vec![draining]),
        EndpointUpdate::Changes(vec![restarted]),
        EndpointUpdate::FullSnapshot(endpoints(1)),
        EndpointUpdate::FullSnapshot(endpoints(3)),
        EndpointUpdate::Failed,
    ] {
        let description = format!("{update:?}");
        harness.update_endpoints(update);
        assert!(!harness.serve_sequentially(60, 0, |_| 5.0).contains_key(&EndpointId(2)), "{description}");
    }
    // Disabled twice, it has to be enabled only once.
    harness.handle_event(Event::Disabled { endpoint: EndpointId(2) });
    harness.handle_event(Event::Enabled { endpoint: EndpointId(2), at: harness.now });
    assert_eq!(harness.balancer.excluded_endpoints(harness.now).count(), 0);
    assert!(
        harness.serve_sequentially(60, 0, |_| 5.0).contains_key(&EndpointId(2)),
        "not used after it was enabled"
    );
}

/// After a start of the process, an operator override can be known before discovery has sent a list. The
/// endpoint must not get requests once the list names it.
#[test]
fn endpoint_can_be_disabled_before_listing() {
    let mut harness = Harness::new(settings(), endpoints(2));
    harness.handle_event(Event::Disabled { endpoint: EndpointId(9) });
    harness.update_endpoints(EndpointUpdate::Changes(vec![endpoint(9)]));
    assert!(!harness.serve_sequentially(60, 0, |_| 5.0).contains_key(&EndpointId(9)));
}

/// Operators restart an endpoint while it is disabled, and the list shows its new start time late. Without
/// slow start from the moment it is enabled, it would be overloaded.
#[test]
fn enabled_endpoint_begins_slow_start() {
    let mut harness = Harness::new(settings(), endpoints(4));
    harness.serve_sequentially(400, 0, |_| 20.0);
    harness.handle_event(Event::Disabled { endpoint: EndpointId(2) });
    harness.advance(3000.0);
    let enabled_at = harness.now;
    harness.handle_event(Event::Enabled { endpoint: EndpointId(2), at: enabled_at });
    // Lists without the restart, or with an earlier one, do not end its slow start.
    harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(4)));
    harness.update_endpoints(EndpointUpdate::Changes(vec![EndpointEntry {
        started_at: Some(enabled_at - 2500.0),
        ..endpoint(2)
    }]));
    let counts = harness.serve_sequentially(400, 0, |_| 20.0);
    let count_of = |id| f64::from(counts.get(&EndpointId(id)).copied().unwrap_or(0) as u32);
    assert!(count_of(2) > 0.0 && count_of(2) < 0.7 * count_of(1), "{counts:?}");
}

/// A retry after a part of the body was consumed would send a truncated body as if it were complete.
#[test]
fn request_with_consumed_body_is_not_retried() {
    let mut harness = Harness::new(settings(), endpoints(5));
    for cannot_resend in [false, true] {
        let id = harness.request_with(0, |new| new.body_pending = true);
        harness.requests.get_mut(&id).expect("unknown request").attempts[0].outcome =
            Some(Outcome::ConnectFailed);
        let end = AttemptEnd {
            id,
            attempt: 0,
            outcome: Outcome::ConnectFailed,
            latency: 5.0,
            request_ended: false,
            load_report: LoadReport::default(),
            cannot_resend,
        };
        harness.handle_event(Event::AttemptFinished(end));
        assert_eq!(
            harness.requests[&id].attempts.len(),
            if cannot_resend { 1 } else { 2 },
            "cannot resend: {cannot_resend}"
        );
        assert_eq!(
            harness.requests[&id].final_outcome,
            cannot_resend.then_some(FinalOutcome::Rejected),
            "cannot resend: {cannot_resend}"
        );
    }
}
