//! Retries and attempt timeouts: retry budget, attempt limit, streamed responses, and cancelled attempts.

mod common;
use balancer::*;
use common::*;

#[test]
fn retries_stay_within_budget() {
    let mut harness = Harness::new(settings(), endpoints(6));
    run_load(&mut harness, 1000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let before: usize =
        harness.requests.values().map(|request| request.attempts.len().saturating_sub(1)).sum();
    let first = harness.requests.len();
    run_load(&mut harness, 5000.0, 5.0, |_, _| (2.0, Outcome::Error));
    let after: usize =
        harness.requests.values().map(|request| request.attempts.len().saturating_sub(1)).sum();
    let share = (after - before) as f64 / (harness.requests.len() - first) as f64;
    assert!(share > 0.02 && share < 0.25, "{share}");
}

#[test]
fn unsent_attempts_need_no_retry_budget() {
    for outcome in [Outcome::ConnectFailed, Outcome::NeverSent] {
        let mut harness = Harness::new(settings(), endpoints(6));
        let exhausted = (0..200).any(|_| {
            let id = harness.request(0);
            harness.finish_attempt(id, 0, Outcome::Rejected);
            for attempt in harness.attempts_in_flight(id) {
                harness.finish_attempt(id, attempt, Outcome::Served);
            }
            harness.requests[&id].attempts.len() == 1
        });
        assert!(exhausted, "the retry budget was never exhausted");
        let id = harness.request(0);
        harness.finish_attempt(id, 0, outcome);
        assert_eq!(harness.requests[&id].attempts.len(), 2, "{outcome:?}");
    }
}

#[test]
fn started_stream_is_not_retried_or_cancelled() {
    let mut settings = settings();
    settings.classes[0].streamed = true;
    let mut harness = Harness::new(settings, endpoints(3));
    let id = harness.request(0);
    harness.requests.get_mut(&id).unwrap().streaming = true;
    harness.handle_event(Event::FirstByte { id, attempt: 0 });
    harness.advance(5000.0);
    assert_eq!(harness.requests[&id].final_outcome, None);
    assert_eq!(harness.requests[&id].attempts.len(), 1);
    assert!(!harness.actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
    harness.finish_attempt(id, 0, Outcome::Reset);
    harness.advance(100.0);
    assert_eq!(harness.requests[&id].attempts.len(), 1);
}

#[test]
fn disconnect_cancels_attempt_if_allowed() {
    for allowed in [true, false] {
        let mut settings = settings();
        settings.limits.cancellation = allowed;
        let mut harness = Harness::new(settings, endpoints(3));
        let id = harness.request(0);
        let actions = harness.disconnect_client(id);
        assert_eq!(actions.contains(&Action::Cancel { id, attempt: 0 }), allowed);
    }
}

/// Many balancers that each keep a connection they hardly use would fill the connection tables of the
/// endpoints.
#[test]
fn rarely_used_connections_are_closed() {
    let closed_count = |interval: f64| {
        let mut harness = Harness::new(settings(), endpoints(3));
        run_load(&mut harness, 10_000.0, interval, |_, _| (20.0, Outcome::Served));
        harness.actions.iter().filter(|a| matches!(a, Action::CloseIdleConnections { .. })).count()
    };
    assert!(closed_count(2000.0) >= 4);
    assert_eq!(closed_count(30.0), 0);
}

/// Hedging is not allowed, and part of the responses is lost. Once the balancer has seen that overdue
/// attempts get no response, it sets a timeout that leaves time for a retry within the latency objective.
#[test]
fn lost_responses_time_out_early() {
    let settings = settings();
    let mut harness = Harness::new(settings, endpoints(6));
    let mut attempts = 0;
    let mut run = |harness: &mut Harness, rounds: usize| {
        let mut timed_out_early = 0;
        for _ in 0..rounds {
            let id = harness.request(0);
            while let Some(attempt) = harness.attempts_in_flight(id).first().copied() {
                attempts += 1;
                let timeout = harness.requests[&id].attempts[attempt as usize].timeout;
                if attempts % 4 > 0 {
                    harness.advance(20.0);
                    harness.finish_attempt(id, attempt, Outcome::Served);
                } else if let Some(timeout) = timeout {
                    timed_out_early += 1;
                    assert!(timeout < 200.0, "timeout after the latency objective");
                    harness.advance(timeout);
                    harness.finish_attempt(id, attempt, Outcome::TimedOut);
                } else {
                    harness.advance(1000.0); // the attempt times out at the client's deadline
                }
            }
        }
        timed_out_early
    };
    assert_eq!(run(&mut harness, 12), 0, "timed out early before any response was known to be lost");
    run(&mut harness, 20);
    assert!(run(&mut harness, 40) >= 8, "too few lost responses timed out early");
}

/// After an attempt timed out early, each retry fails as soon as it begins. The request must not get more
/// attempts than the limit, and it must end.
#[test]
fn instant_failures_after_timeout_keep_attempt_limit() {
    for outcome in [Outcome::Reset, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Error] {
        let mut harness = Harness::new(settings(), endpoints(6));
        // Lets the balancer see that overdue attempts get no response, and accumulates a retry budget.
        for n in 0..40 {
            let id = harness.request(0);
            let is_lost = n % 4 == 0;
            harness.advance(if is_lost { 1000.0 } else { 20.0 });
            let outcome = if is_lost { Outcome::TimedOut } else { Outcome::Served };
            harness
                .attempts_in_flight(id)
                .into_iter()
                .for_each(|attempt| drop(harness.finish_attempt(id, attempt, outcome)));
            // Retries after the timeout are served.
            harness
                .attempts_in_flight(id)
                .into_iter()
                .for_each(|attempt| drop(harness.finish_attempt(id, attempt, Outcome::Served)));
        }
        let id = harness.request(0);
        let timeout = harness.requests[&id].attempts[0].timeout.expect("no early timeout");
        harness.advance(timeout);
        harness.finish_attempt(id, 0, Outcome::TimedOut);
        while let Some(attempt) = harness.attempts_in_flight(id).first().copied() {
            harness.finish_attempt(id, attempt, outcome);
        }
        let request = &harness.requests[&id];
        assert_eq!(request.attempts.len(), harness.settings.limits.max_attempts as usize, "{outcome:?}");
        assert_eq!(request.final_outcome, Some(FinalOutcome::Rejected), "{outcome:?}");
        assert!(request.ended_at < request.deadline, "{outcome:?}");
    }
}

/// If long attempts do get their responses in the end, none must time out early: retries would make endpoints
/// run long requests twice.
#[test]
fn long_requests_do_not_time_out_early() {
    let settings = settings();
    let mut harness = Harness::new(settings, endpoints(6));
    for n in 0..100 {
        let id = harness.request(0);
        let is_long = n % 5 == 4;
        harness.advance(if is_long { 300.0 } else { 20.0 });
        harness
            .attempts_in_flight(id)
            .iter()
            .for_each(|attempt| drop(harness.finish_attempt(id, *attempt, Outcome::Served)));
        assert!(
            harness.requests[&id].attempts.iter().all(|attempt| attempt.timeout.is_none()),
            "request {n}"
        );
    }
}
