//! The four rules, each by hand; the rig checks them on every action besides.

mod common;
use balancer::*;
use common::*;

fn keyed(scope: KeyScope, ttl: f64) -> Class {
    class(Effect::Keyed { scope, ttl })
}

#[test]
fn answers_a_request_when_no_endpoint_is_known() {
    let mut rig = Rig::new(settings(), Vec::new());
    let id = rig.request(0);
    assert_eq!(rig.requests[&id].ending, None, "it is held first: a host may come");
    rig.pass(1005.0);
    assert_eq!(rig.requests[&id].ending, Some(Ending::Refused));
    assert!(rig.requests[&id].ended_at <= rig.requests[&id].deadline);
}

/// Guards against a request held until its client can try no more: with nothing sent, it ends within half its
/// time and says when to come back.
#[test]
fn a_request_that_nothing_was_sent_for_is_refused_early_and_with_advice() {
    for told in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = told;
        let mut rig = Rig::new(settings, Vec::new());
        let id = rig.request(0);
        rig.pass(500.0);
        assert_eq!(rig.requests[&id].ending, Some(Ending::Refused));
        let advice = told.then_some(50.0); // a quarter of the latency objective
        assert!(rig.actions.contains(&Action::Reject { id, retry_after: advice }), "{:?}", rig.actions);
    }
}

#[test]
fn a_held_request_goes_out_when_an_endpoint_comes() {
    let mut rig = Rig::new(settings(), Vec::new());
    let id = rig.request(0);
    rig.news(EndpointUpdate::Changes(endpoints(1)));
    rig.pass(200.0);
    assert_eq!(rig.requests[&id].sent.len(), 1);
}

#[test]
fn answers_at_once_when_the_deadline_times_an_attempt_out() {
    let mut s = settings();
    s.classes = vec![class(Effect::Unsafe)];
    let mut rig = Rig::new(s, endpoints(3));
    let id = rig.request(0);
    rig.pass(1000.0);
    assert_eq!(rig.requests[&id].ending, Some(Ending::Failed));
}

#[test]
fn nothing_is_sent_once_the_client_has_gone() {
    let mut rig = Rig::new(settings(), endpoints(3));
    let id = rig.request(0);
    rig.gone(id);
    rig.finish(id, 0, Outcome::Error);
    rig.pass(2000.0);
    assert_eq!(rig.requests[&id].sent.len(), 1);
}

#[test]
fn unsafe_that_may_have_run_is_failed_not_resent() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled, Outcome::Unknown] {
        let mut s = settings();
        s.classes = vec![class(Effect::Unsafe)];
        let mut rig = Rig::new(s, endpoints(3));
        let id = rig.request(0);
        rig.pass(5.0);
        rig.finish(id, 0, outcome);
        assert_eq!(rig.requests[&id].ending, Some(Ending::Failed), "{outcome:?}");
        assert_eq!(rig.requests[&id].sent.len(), 1);
    }
}

#[test]
fn unsafe_that_never_ran_is_sent_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent] {
        let mut s = settings();
        s.classes = vec![class(Effect::Unsafe)];
        let mut rig = Rig::new(s, endpoints(3));
        let id = rig.request(0);
        rig.finish(id, 0, outcome);
        assert_eq!(rig.requests[&id].sent.len(), 2, "{outcome:?}");
        assert_ne!(
            rig.endpoint_of(id, 0),
            rig.endpoint_of(id, 1),
            "the host that failed it is not asked again"
        );
    }
}

/// Ends at once, as never sent, what is out of a request for so long; when each of its attempts was begun.
fn never_send(rig: &mut Rig, id: RequestId, time: f64) -> Vec<f64> {
    let until = rig.now + time;
    while rig.now < until && rig.requests[&id].ending.is_none() {
        for attempt in rig.open(id) {
            rig.finish(id, attempt, Outcome::NeverSent);
        }
        rig.pass(1.0);
    }
    rig.requests[&id].sent.iter().map(|sent| sent.at).collect()
}

/// Guards against a request refused while its client has time, by attempts of which no byte was ever written,
/// and against a spin of attempts that end at once.
#[test]
fn what_was_never_sent_is_no_attempt_of_the_three() {
    // Two failures would eject the only endpoint.
    for (effect, known, failures) in [(Effect::Unsafe, 6, 2), (Effect::Safe, 1, 1)] {
        let mut s = settings();
        s.classes = vec![class(effect)];
        let mut rig = Rig::new(s, endpoints(known));
        let id = rig.request(0);
        let begun = never_send(&mut rig, id, 700.0);
        assert!((6..=10).contains(&begun.len()), "{begun:?}");
        assert!(begun[2..].windows(2).all(|pair| pair[1] - pair[0] >= 100.0), "{begun:?}");
        rig.pass(100.0);
        // From here on it has all three.
        for _ in 0..failures {
            let attempt = *rig.open(id).first().expect("out");
            rig.finish(id, attempt, Outcome::ConnectFailed);
        }
        let attempt = *rig.open(id).first().expect("out");
        rig.finish(id, attempt, Outcome::Served);
        assert_eq!(rig.requests[&id].ending, Some(Ending::Served));
    }
}

/// Guards against a request held beyond its time, or after its client has closed.
#[test]
fn what_is_never_sent_ends_in_its_time_and_with_its_client() {
    let mut rig = Rig::new(settings(), endpoints(3));
    let id = rig.request(0);
    never_send(&mut rig, id, 2000.0);
    let request = &rig.requests[&id];
    assert_eq!(request.ending, Some(Ending::Refused));
    assert!(request.ended_at <= request.deadline && request.ended_at >= request.deadline - 150.0);
    for waits in [true, false] {
        let id = rig.request(0);
        let before = never_send(&mut rig, id, 250.0).len();
        if waits {
            rig.event(Event::ClientHalfClosed { id });
        } else {
            rig.pass(100.0);
            rig.event(Event::ClientHalfClosed { id });
            rig.open(id).into_iter().for_each(|attempt| drop(rig.finish(id, attempt, Outcome::NeverSent)));
        }
        assert_eq!(rig.requests[&id].ending, Some(Ending::Refused));
        rig.pass(1000.0);
        assert!(rig.requests[&id].sent.len() <= before + 1, "sent for one that has closed");
    }
}

/// Guards against cold endpoints that get more, since what was never sent to a warm one passed for what it
/// can take.
#[test]
fn what_was_never_sent_counts_for_no_work() {
    let mut list = endpoints(2);
    list[1].started_at = Some(1000.0);
    let served = |never_sent: usize| {
        let mut rig = Rig::new(settings(), list.clone());
        let mut to_cold = 0;
        for _ in 0..400 {
            let id = rig.request(0);
            for _ in 0..never_sent {
                rig.open(id).into_iter().for_each(|n| drop(rig.finish(id, n, Outcome::NeverSent)));
            }
            rig.pass(5.0);
            for attempt in rig.open(id) {
                to_cold += usize::from(rig.endpoint_of(id, attempt as usize) == EndpointId(2));
                rig.finish(id, attempt, Outcome::Served);
            }
        }
        to_cold
    };
    let (plain, with) = (served(0), served(2));
    assert!(with <= plain + plain / 10, "{with} of 400 to a cold host, {plain} where all is sent");
}

#[test]
fn keyed_by_cell_stays_in_its_cell() {
    let mut s = settings();
    s.classes = vec![keyed(KeyScope::Cell, 5000.0)];
    let mut list = endpoints(6);
    for (n, entry) in list.iter_mut().enumerate() {
        entry.cell = n as u32 / 2;
    }
    let mut rig = Rig::new(s, list);
    for _ in 0..40 {
        let id = rig.request(0);
        rig.pass(1.0);
        rig.finish(id, 0, Outcome::Error);
        for attempt in rig.open(id) {
            rig.pass(10.0);
            rig.finish(id, attempt, Outcome::Served);
        }
    }
    rig.pass(2000.0);
    rig.all_answered();
    let resent = rig.requests.values().filter(|r| r.sent.len() > 1).count();
    assert!(resent > 0, "the other host of the cell is tried");
}

#[test]
fn keyed_is_not_resent_once_its_window_has_passed() {
    let mut s = settings();
    s.classes = vec![keyed(KeyScope::All, 300.0)];
    let mut rig = Rig::new(s, endpoints(3));
    let id = rig.request(0);
    rig.pass(250.0);
    for attempt in rig.open(id) {
        if rig.requests[&id].ending.is_none() {
            rig.finish(id, attempt, Outcome::Reset);
        }
    }
    // The repeat would have to arrive within 300 of the first send, and dialling may take 100.
    assert!(rig.requests[&id].sent.iter().all(|s| s.at < 1200.0), "{:?}", rig.requests[&id]);
    assert_eq!(rig.requests[&id].ending, Some(Ending::Failed));
}

#[test]
fn no_second_copy_even_where_allowed() {
    let mut s = settings();
    s.limits.hedging = true;
    let mut rig = Rig::new(s, endpoints(3));
    rig.serve(20, 0, |_| 20.0);
    let id = rig.request(0);
    rig.pass(900.0);
    assert!(rig.open(id).len() <= 1);
}

#[test]
fn the_attempt_cap_holds() {
    let mut rig = Rig::new(settings(), endpoints(9));
    let id = rig.request(0);
    for attempt in 0..3 {
        rig.finish(id, attempt, Outcome::ConnectFailed);
    }
    assert_eq!(rig.requests[&id].sent.len(), 3);
    assert_eq!(rig.requests[&id].ending, Some(Ending::Refused));
}

#[test]
fn nothing_goes_to_an_endpoint_from_the_word_of_its_drain_on() {
    let mut rig = Rig::new(settings(), endpoints(3));
    for phase in [EndpointState::Draining, EndpointState::Removed] {
        rig.news(EndpointUpdate::Changes(vec![EndpointEntry { state: phase, ..endpoint(2) }]));
        let count = rig.serve(60, 0, |_| 5.0);
        assert!(!count.contains_key(&EndpointId(2)), "{phase:?}");
        rig.news(EndpointUpdate::Changes(vec![endpoint(2)]));
        assert!(rig.serve(60, 0, |_| 5.0).contains_key(&EndpointId(2)), "and it comes back");
    }
}

#[test]
fn an_endpoint_absent_from_a_complete_list_is_gone() {
    let mut rig = Rig::new(settings(), endpoints(3));
    rig.news(EndpointUpdate::FullSnapshot(endpoints(2)));
    assert!(!rig.serve(60, 0, |_| 5.0).contains_key(&EndpointId(3)));
}

/// Guards against an operator's word undone by discovery: out is out until the operator says otherwise.
#[test]
fn an_endpoint_taken_out_by_hand_gets_nothing_whatever_the_list_says() {
    let mut rig = Rig::new(settings(), endpoints(3));
    let closed = rig.event(Event::Disabled { endpoint: EndpointId(2) });
    assert!(closed.contains(&Action::CloseIdleConnections { endpoint: EndpointId(2) }), "{closed:?}");
    assert_eq!(rig.balancer.excluded_endpoints(rig.now).collect::<Vec<_>>(), [EndpointId(2)]);
    let restarted = EndpointEntry { started_at: Some(rig.now), ..endpoint(2) };
    let draining = EndpointEntry { state: EndpointState::Draining, ..endpoint(2) };
    for news in [
        EndpointUpdate::Changes(vec![endpoint(2)]),
        EndpointUpdate::Changes(vec![draining]),
        EndpointUpdate::Changes(vec![restarted]),
        EndpointUpdate::FullSnapshot(endpoints(1)),
        EndpointUpdate::FullSnapshot(endpoints(3)),
        EndpointUpdate::Failed,
    ] {
        let said = format!("{news:?}");
        rig.news(news);
        assert!(!rig.serve(60, 0, |_| 5.0).contains_key(&EndpointId(2)), "{said}");
    }
    // Twice out needs one word back.
    rig.event(Event::Disabled { endpoint: EndpointId(2) });
    rig.event(Event::Enabled { endpoint: EndpointId(2), at: rig.now });
    assert_eq!(rig.balancer.excluded_endpoints(rig.now).count(), 0);
    assert!(rig.serve(60, 0, |_| 5.0).contains_key(&EndpointId(2)), "back in use");
}

/// Guards against an endpoint put back before the list has named it, as at the start of a process.
#[test]
fn what_operators_said_of_an_endpoint_holds_before_a_list_names_it() {
    let mut rig = Rig::new(settings(), endpoints(2));
    rig.event(Event::Disabled { endpoint: EndpointId(9) });
    rig.news(EndpointUpdate::Changes(vec![endpoint(9)]));
    assert!(!rig.serve(60, 0, |_| 5.0).contains_key(&EndpointId(9)));
}

/// Guards against a cold endpoint pushed over: operators restart what they take out, and the list says so
/// late.
#[test]
fn an_endpoint_put_back_by_hand_is_cold() {
    let mut rig = Rig::new(settings(), endpoints(4));
    rig.serve(400, 0, |_| 20.0);
    rig.event(Event::Disabled { endpoint: EndpointId(2) });
    rig.pass(3000.0);
    let back = rig.now;
    rig.event(Event::Enabled { endpoint: EndpointId(2), at: back });
    // Lists that know nothing of a restart, or of one before, do not make it warm.
    rig.news(EndpointUpdate::FullSnapshot(endpoints(4)));
    rig.news(EndpointUpdate::Changes(vec![EndpointEntry { started_at: Some(back - 2500.0), ..endpoint(2) }]));
    let served = rig.serve(400, 0, |_| 20.0);
    let of = |id| f64::from(served.get(&EndpointId(id)).copied().unwrap_or(0) as u32);
    assert!(of(2) > 0.0 && of(2) < 0.7 * of(1), "{served:?}");
}

/// Guards against half a body sent for a whole one.
#[test]
fn a_request_whose_body_is_used_up_is_not_sent_again() {
    let mut rig = Rig::new(settings(), endpoints(5));
    for cannot_resend in [false, true] {
        let id = rig.request_with(0, |new| new.body_pending = true);
        rig.requests.get_mut(&id).expect("taken").sent[0].outcome = Some(Outcome::ConnectFailed);
        let end = AttemptEnd {
            id,
            attempt: 0,
            outcome: Outcome::ConnectFailed,
            latency: 5.0,
            request_ended: false,
            load_report: LoadReport::default(),
            cannot_resend,
        };
        rig.event(Event::AttemptFinished(end));
        assert_eq!(rig.requests[&id].sent.len(), if cannot_resend { 1 } else { 2 }, "spent: {cannot_resend}");
        assert_eq!(
            rig.requests[&id].ending,
            cannot_resend.then_some(Ending::Refused),
            "spent: {cannot_resend}"
        );
    }
}
