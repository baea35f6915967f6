//! Outlier detection: endpoints that fail, hang, are slow or lose answers, and their return.

mod common;
use balancer::*;
use common::*;

#[test]
fn an_endpoint_that_fails_fast_is_ejected_and_comes_back() {
    let mut rig = Rig::new(settings(), endpoints(6));
    stream(&mut rig, 2000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let count = stream(&mut rig, 5000.0, 5.0, first_fails);
    let part = count[&EndpointId(1)] as f64 / 1000.0;
    assert!(part < 0.03, "{count:?}");
    stream(&mut rig, 12_000.0, 5.0, |_, _| (20.0, Outcome::Served));
    let count = stream(&mut rig, 2000.0, 5.0, |_, _| (20.0, Outcome::Served));
    assert!(count[&EndpointId(1)] > 30, "back after its failures: {count:?}");
}

#[test]
fn nothing_unsafe_tests_an_endpoint_on_probation() {
    let mut s = settings();
    s.classes.push(class(Effect::Unsafe));
    let mut rig = Rig::new(s, endpoints(4));
    stream(&mut rig, 1000.0, 5.0, |_, _| (20.0, Outcome::Served));
    stream(&mut rig, 1000.0, 5.0, first_fails);
    rig.pass(1500.0); // the ejection is over, probation is not
    for _ in 0..40 {
        let id = rig.request(1);
        assert_ne!(rig.endpoint_of(id, 0), EndpointId(1));
        rig.pass(10.0);
        rig.finish(id, 0, Outcome::Served);
    }
}

/// Panic threshold: when everything fails, the last endpoints are not ejected too.
#[test]
fn never_too_many_are_ejected() {
    let mut rig = Rig::new(settings(), endpoints(6));
    let count = stream(&mut rig, 5000.0, 20.0, |_, _| (1.0, Outcome::Error));
    assert!(count.len() == 6);
    let late = stream(&mut rig, 500.0, 20.0, |_, _| (1.0, Outcome::Error));
    assert!(late.len() >= 2, "{late:?}");
}

#[test]
fn a_slow_endpoint_in_a_fast_kind_loses_most_of_its_traffic_but_not_all() {
    let mut rig = Rig::new(settings(), endpoints(6));
    stream(&mut rig, 2000.0, 10.0, |_, _| (20.0, Outcome::Served));
    let slow = |h: EndpointId, _: f64| (if h == EndpointId(1) { 120.0 } else { 20.0 }, Outcome::Served);
    stream(&mut rig, 2000.0, 10.0, slow);
    let count = stream(&mut rig, 10_000.0, 10.0, slow);
    let part = count[&EndpointId(1)];
    assert!(part < 60, "an even part would be 166: {count:?}");
    assert!(part > 0, "a trickle goes on: {count:?}");
}

#[test]
fn a_hanging_endpoint_is_shunned_before_any_answer_tells() {
    let mut rig = Rig::new(settings(), endpoints(4));
    stream(&mut rig, 2000.0, 10.0, |_, _| (20.0, Outcome::Served));
    let hangs = |h: EndpointId, _: f64| (if h == EndpointId(1) { 5000.0 } else { 20.0 }, Outcome::Served);
    stream(&mut rig, 300.0, 10.0, hangs);
    let count = stream(&mut rig, 600.0, 10.0, hangs);
    assert!(count.get(&EndpointId(1)).copied().unwrap_or(0) < 6, "{count:?}");
}

/// Guards against a silent endpoint that keeps being tried: harmless from one balancer, a steady loss from a
/// hundred.
#[test]
fn an_endpoint_that_stays_silent_is_tried_less_and_less() {
    let s = settings();
    let mut rig = Rig::new(s, endpoints(4));
    stream(&mut rig, 2000.0, 50.0, |_, _| (20.0, Outcome::Served));
    let silent = |h: EndpointId, _: f64| match h {
        EndpointId(1) => (1000.0, Outcome::TimedOut),
        _ => (20.0, Outcome::Served),
    };
    stream(&mut rig, 10_000.0, 50.0, silent);
    let count = stream(&mut rig, 60_000.0, 50.0, silent);
    let tried = count.get(&EndpointId(1)).copied().unwrap_or(0);
    assert!((1..=6).contains(&tried), "{count:?}");
    stream(&mut rig, 90_000.0, 50.0, |_, _| (20.0, Outcome::Served));
    let count = stream(&mut rig, 4000.0, 50.0, |_, _| (20.0, Outcome::Served));
    assert!(count[&EndpointId(1)] > 10, "back after its silence: {count:?}");
}

// ---- Subsets
// -----------------------------------------------------------------------------------------------

// ---- Discovery --------------------------------------------------------------------------------------------

// ---- Odd input --------------------------------------------------------------------------------------------

// ---- One guard at a time ----------------------------------------------------------------------------------

/// Guards against instant errors drawing traffic where ejection cannot help, since too many endpoints fail.
#[test]
fn errors_are_not_speed_even_where_ejection_is_exhausted() {
    let mut s = settings();
    s.kind_count = 2;
    s.limits.max_attempts = 1;
    let list = endpoints(9)
        .into_iter()
        .map(|h| EndpointEntry { kind: usize::from(h.endpoint.0 > 3), ..h })
        .collect();
    let mut rig = Rig::new(s, list);
    let failing =
        |h: EndpointId, _: f64| if h.0 > 3 { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) };
    stream(&mut rig, 6000.0, 40.0, failing);
    let count = stream(&mut rig, 10_000.0, 40.0, failing);
    let good: usize = count.iter().filter(|(h, _)| h.0 <= 3).map(|(_, n)| n).sum();
    assert!(good > 90, "the kind that serves keeps a fair part of 250: {count:?}");
}

/// Panic threshold: endpoints that fail one after the other are not all ejected.
#[test]
fn the_panic_threshold_leaves_the_last_fifth_in() {
    let mut rig = Rig::new(settings(), endpoints(6));
    for failed in 1..=5 {
        let failing = |h: EndpointId, _: f64| match h.0 <= failed {
            true => (1.0, Outcome::Error),
            false => (20.0, Outcome::Served),
        };
        stream(&mut rig, 6000.0, 10.0, failing);
    }
    let failing =
        |h: EndpointId, _: f64| if h.0 <= 5 { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) };
    let count = stream(&mut rig, 3000.0, 10.0, failing);
    assert!(count[&EndpointId(5)] > 15, "the fifth is left in: {count:?}");
}

/// Guards against most of a fleet dying at once, when no dead endpoint stands out from its peers.
#[test]
fn a_lost_majority_is_ejected() {
    let mut rig = Rig::new(settings(), endpoints(10));
    stream(&mut rig, 3000.0, 2.0, |_, _| (20.0, Outcome::Served));
    let lost = |h: EndpointId, _: f64| {
        if h.0 <= 7 { (100.0, Outcome::ConnectFailed) } else { (20.0, Outcome::Served) }
    };
    stream(&mut rig, 1000.0, 2.0, lost);
    let count = stream(&mut rig, 1000.0, 2.0, lost);
    let dead: usize = count.iter().filter(|(h, _)| h.0 <= 7).map(|(_, n)| n).sum();
    assert!(dead < 25, "of 500: {count:?}");
}

/// Guards against a jammed zone that hides behind its kinds: where every own count is 0, only the zone's own
/// latency tells.
#[test]
fn a_jammed_zone_loses_traffic() {
    let mut s = settings();
    s.zone_count = 2;
    let list = (1..=8).map(|n| EndpointEntry { zone: n as usize % 2, cell: n % 2, ..endpoint(n) }).collect();
    let mut rig = Rig::new(s, list);
    let latency = |h: EndpointId| if h.0.is_multiple_of(2) { 30.0 } else { 20.0 };
    rig.serve(60, 0, latency);
    let count = rig.serve(100, 0, latency);
    let jammed: usize = count.iter().filter(|(h, _)| h.0.is_multiple_of(2)).map(|(_, n)| n).sum();
    assert!(jammed < 25, "{count:?}");
}

/// Guards against endpoints that were crowded and stay slow until left alone; and against too many left
/// alone.
#[test]
fn an_endpoint_that_stays_slow_is_left_alone_for_a_while() {
    let left_alone = |slow: u32| {
        let s = settings();
        let mut rig = Rig::new(s, endpoints(10));
        stream(&mut rig, 3000.0, 4.0, |_, _| (20.0, Outcome::Served));
        let began = rig.now;
        let fate = |h: EndpointId, _: f64| (if h.0 <= slow { 160.0 } else { 20.0 }, Outcome::Served);
        stream(&mut rig, 12_000.0, 4.0, fate);
        let gap = |h: u32| {
            let sent = rig.requests.values().flat_map(|t| &t.sent).filter(|s| s.endpoint == EndpointId(h));
            let mut at: Vec<f64> =
                sent.map(|s| s.at).filter(|at| *at > began).chain([began, rig.now]).collect();
            at.sort_by(f64::total_cmp);
            at.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max)
        };
        (1..=10).filter(|h| gap(*h) > 4500.0).count()
    };
    assert_eq!(left_alone(1), 1);
    assert_eq!(left_alone(5), 3);
}

/// Guards against slow or refused handshakes: where only new connections fail, the open ones carry the work
/// and their endpoints are not ejected.
#[test]
fn open_connections_serve_while_new_ones_fail() {
    let mut s = settings();
    s.prices.handshake = 0.05;
    let mut rig = Rig::new(s, endpoints(8));
    // One after the other, so that one connection an endpoint is enough; some endpoints are never met.
    let met = rig.serve(40, 0, |_| 20.0);
    let conns: Vec<EndpointId> = met.keys().copied().collect();
    assert!(conns.len() < 8, "ties go to open connections: {met:?}");
    let (mut dials, mut served) = (0, 0);
    for _ in 0..200 {
        let id = rig.request(0);
        rig.pass(20.0);
        while let Some(attempt) = rig.open(id).first().copied() {
            let open = conns.contains(&rig.endpoint_of(id, attempt as usize));
            dials += u32::from(!open);
            rig.finish(id, attempt, if open { Outcome::Served } else { Outcome::ConnectFailed });
        }
        served += u32::from(rig.requests[&id].ending == Some(Ending::Served));
    }
    assert!(served >= 195 && dials <= 10, "{served} served, {dials} dials");
}

/// Guards against endpoints lost for good where every class is unsafe: after its ejection one request at a
/// time may try an endpoint, well after its pause, and the pauses grow while it stays dead.
#[test]
fn an_ejected_endpoint_comes_back_where_nothing_is_safe_to_repeat() {
    let mut s = settings();
    s.classes = vec![class(Effect::Unsafe)];
    let mut rig = Rig::new(s, endpoints(3));
    let dead = EndpointId(1);
    let outcome =
        |h: EndpointId, up: bool| if h == dead && !up { Outcome::ConnectFailed } else { Outcome::Served };
    let play = |rig: &mut Rig, up: bool| {
        let mut tried = 0;
        for _ in 0..2000 {
            let id = rig.request(0);
            while let Some(attempt) = rig.open(id).first().copied() {
                let endpoint = rig.endpoint_of(id, attempt as usize);
                tried += u32::from(endpoint == dead);
                rig.pass(5.0);
                rig.finish(id, attempt, outcome(endpoint, up));
            }
        }
        tried
    };
    play(&mut rig, false);
    let trials: u32 = (0..3).map(|_| play(&mut rig, false)).sum();
    assert!((1..12).contains(&trials), "{trials} trials of a dead host in half a minute");
    for _ in 0..5 {
        play(&mut rig, true);
    }
    assert!(play(&mut rig, true) > 300, "back in full");
}

/// Guards against an endpoint that goes on answering, but not one of the classes: that class leaves it, the
/// others stay, and nothing is refused as if the endpoints had too much to do.
#[test]
fn a_class_leaves_the_endpoints_that_lose_its_answers_and_the_others_stay() {
    let mut s = settings();
    s.classes.push(class(Effect::Unsafe));
    let mut rig = Rig::new(s, endpoints(6));
    let loses = |endpoint: EndpointId| endpoint.0 <= 3;
    let mut open: Vec<(f64, RequestId, Outcome)> = Vec::new();
    // Sent to the endpoints that lose the second class, and in all; by class, over the second half.
    let (mut there, mut all) = ([0.0; 2], [0.0; 2]);
    for step in 0..800 {
        for class in 0..2 {
            let id = rig.request(class);
            let Some(sent) = rig.requests[&id].sent.first() else { continue };
            let lost = step >= 100 && class == 1 && loses(sent.endpoint);
            let (after, outcome) = if lost { (399.0, Outcome::TimedOut) } else { (20.0, Outcome::Served) };
            open.push((rig.now + after, id, outcome));
            if step >= 400 {
                there[class] += f64::from(u8::from(loses(sent.endpoint)));
                all[class] += 1.0;
            }
        }
        rig.pass(5.0);
        let (due, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|o| o.0 <= rig.now);
        open = rest;
        for (_, id, outcome) in due {
            if rig.open(id).contains(&0) {
                rig.finish(id, 0, outcome);
            }
        }
    }
    assert!(there[1] / all[1] < 0.05, "{there:?} of {all:?}");
    assert!(there[0] / all[0] > 0.4, "{there:?} of {all:?}");
    assert_eq!(rig.refusals(), 0);
}
