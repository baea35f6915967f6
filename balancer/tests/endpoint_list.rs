//! The endpoint list: subsets, polls and watches, and what is not in the settings.

mod common;
use balancer::*;
use common::*;

/// The endpoints that a quiet balancer of a hundred sends its next requests to.
fn used(rig: &mut Rig) -> std::collections::BTreeSet<EndpointId> {
    let endpoints = (0..16).map(|_| {
        let id = rig.request(0);
        rig.pass(20.0);
        rig.finish(id, 0, Outcome::Served);
        rig.pass(480.0);
        rig.endpoint_of(id, 0)
    });
    endpoints.collect()
}

/// Guards against an endpoint that the fleet crowds because chance put it into many small subsets.
#[test]
fn the_subsets_of_a_fleet_share_its_endpoints_evenly() {
    let mut s = settings();
    s.balancer_count = 100;
    let mut shares = std::collections::BTreeMap::new();
    for me in 0..100 {
        let mut rig = Rig::seeded(Settings { balancer_index: me, ..s.clone() }, endpoints(20), u64::from(me));
        used(&mut rig).into_iter().for_each(|endpoint| *shares.entry(endpoint).or_insert(0) += 1);
    }
    let (least, most) = (shares.values().min(), shares.values().max());
    assert!(shares.len() == 20 && least >= Some(&8) && most <= Some(&12), "ten would be even: {shares:?}");
}

#[test]
fn an_endpoint_that_rests_is_made_up_for_in_its_subset() {
    let mut rig = Rig::new(Settings { balancer_count: 100, ..settings() }, endpoints(20));
    let before = used(&mut rig);
    let bad = *before.first().expect("some host");
    let fails =
        |h: EndpointId, _: f64| if h == bad { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) };
    stream(&mut rig, 12_000.0, 500.0, fails);
    let count = stream(&mut rig, 12_000.0, 500.0, fails);
    let others = count.keys().filter(|endpoint| **endpoint != bad).count();
    assert!(others >= before.len(), "{before:?}, then {count:?}");
}

#[test]
fn a_subscriber_watches_at_once_and_asks_again_with_backoff() {
    let mut s = settings();
    s.discovery_mode = DiscoveryMode::Pull;
    s.contract.max_notification_delay = Some(10_000.0);
    let mut rig = Rig::new(s, endpoints(2));
    let watches = |rig: &Rig| rig.actions.iter().filter(|a| **a == Action::Watch).count();
    assert_eq!(watches(&rig), 1);
    rig.news(EndpointUpdate::Failed);
    assert_eq!(watches(&rig), 1, "not at once");
    rig.pass(1000.0);
    assert_eq!(watches(&rig), 2);
    for _ in 0..6 {
        rig.news(EndpointUpdate::Failed);
        rig.pass(100.0);
    }
    assert!(watches(&rig) < 8, "it backs off");
    rig.pass(8000.0);
    let asked = watches(&rig);
    rig.news(EndpointUpdate::Changes(Vec::new()));
    rig.pass(20_000.0);
    assert_eq!(watches(&rig), asked, "a watch that stands is not asked for again");
}

/// Guards against a discovery that a whole fleet asks at once, and again at once when that failed: its calls
/// wait for each other until none is answered any more. And against a pause in which a change is not heard in
/// time: it counts as told 6 s after discovery had it and could be reached, of which 3.2 s are for the call
/// itself.
#[test]
fn a_large_fleet_does_not_ask_discovery_together_and_asks_in_time() {
    let mut s = settings();
    s.balancer_count = 100;
    s.discovery_mode = DiscoveryMode::Pull;
    s.contract.max_notification_delay = Some(10_000.0);
    let fleet = (0..100)
        .map(|me| Rig::seeded(Settings { balancer_index: me, ..s.clone() }, endpoints(2), u64::from(me)));
    let mut fleet: Vec<Rig> = fleet.collect();
    let asked = |rig: &Rig| rig.actions.iter().filter(|a| **a == Action::Watch).count();
    let (mut heard, mut last) = (vec![0; fleet.len()], vec![0; fleet.len()]);
    let calls: Vec<usize> = (0..200)
        .map(|step| {
            let before = heard.iter().sum::<usize>();
            for (rig, (heard, last)) in fleet.iter_mut().zip(heard.iter_mut().zip(&mut last)) {
                if asked(rig) > *heard {
                    (*heard, *last) = (asked(rig), step);
                    rig.news(EndpointUpdate::Failed);
                }
                assert!(step - *last <= 29, "a pause of over 2.8 s");
                rig.pass(100.0);
            }
            heard.iter().sum::<usize>() - before
        })
        .collect();
    let (most, total) = (calls.iter().max().expect("some steps"), calls.iter().sum::<usize>());
    // Full jitter over 2.8 s: a call each 1.4 s, and hardly ever three times as many at once as that.
    assert!(*most <= 17 && total < 1400, "at most {most} in a tenth of a second, {total} in all");
    // One that knows no endpoint cannot wait for a turn.
    s.balancer_index = 7;
    assert_eq!(asked(&Rig::new(s, Vec::new())), 1);
}

/// Guards against a fleet that finds out late what it missed while its watches were silent: the 2 s in which
/// that shows leave less for the pause.
#[test]
fn a_watch_that_broke_is_made_up_for_in_time() {
    let s = Settings { balancer_count: 300, discovery_mode: DiscoveryMode::Pull, ..settings() };
    for me in 0..100 {
        let mut rig = Rig::seeded(Settings { balancer_index: me, ..s.clone() }, Vec::new(), u64::from(me));
        let asked = |rig: &Rig| rig.actions.iter().filter(|a| **a == Action::Watch).count();
        rig.news(EndpointUpdate::FullSnapshot(endpoints(2)));
        let before = asked(&rig);
        rig.news(EndpointUpdate::Failed);
        assert_eq!(asked(&rig), before, "not at once");
        rig.pass(800.0);
        assert_eq!(asked(&rig), before + 1, "{me}");
    }
}

#[test]
fn a_failed_call_keeps_the_list() {
    let mut s = settings();
    s.discovery_mode = DiscoveryMode::Pull;
    let mut rig = Rig::new(s, endpoints(2));
    rig.news(EndpointUpdate::Failed);
    let id = rig.request(0);
    assert_eq!(rig.requests[&id].sent.len(), 1);
}

#[test]
fn where_changes_are_pushed_nothing_is_asked() {
    let mut rig = Rig::new(settings(), endpoints(2));
    rig.news(EndpointUpdate::Failed);
    rig.pass(20_000.0);
    assert!(!rig.actions.iter().any(|a| matches!(a, Action::Watch | Action::Fetch)));
}

#[test]
fn a_restarted_process_starts_with_a_clean_slate() {
    let mut rig = Rig::new(settings(), endpoints(4));
    stream(&mut rig, 2000.0, 5.0, first_fails);
    let cold = rig.settings.contract.warm_up;
    rig.news(EndpointUpdate::Changes(vec![EndpointEntry {
        started_at: Some(rig.now - cold),
        ..endpoint(1)
    }]));
    let count = stream(&mut rig, 1000.0, 5.0, |_, _| (20.0, Outcome::Served));
    assert!(count[&EndpointId(1)] > 20, "{count:?}");
}

#[test]
fn settings_that_make_no_sense_are_named() {
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
        let mut s = settings();
        change(&mut s);
        let error = Balancer::new(s, 1).err().expect(field);
        assert_eq!(error.field(), field);
        assert!(error.to_string().contains(field));
    }
}

#[test]
fn news_of_things_unknown_is_ignored() {
    let mut rig = Rig::new(settings(), endpoints(2));
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
        assert!(rig.event(event.clone()).is_empty(), "{event:?}");
    }
    let known = rig.request(0);
    rig.finish(known, 0, Outcome::Served);
    let again = AttemptEnd { id: known, attempt: 0, ..end };
    assert!(rig.event(Event::AttemptFinished(again)).is_empty(), "already over");
}

#[test]
fn a_class_that_does_not_exist_is_refused() {
    let mut rig = Rig::new(settings(), endpoints(2));
    let id = rig.request(7);
    assert_eq!(rig.requests[&id].ending, Some(Ending::Refused));
}

/// Guards against small balancers that spread a handful of answers over a large fleet and learn of no
/// endpoint.
#[test]
fn a_balancer_with_few_answers_uses_a_part_of_the_endpoints() {
    let used = |gap: f64| {
        let mut rig = Rig::new(settings(), endpoints(40));
        stream(&mut rig, 5000.0, gap, |_, _| (20.0, Outcome::Served));
        let count = stream(&mut rig, 10_000.0, gap, |_, _| (20.0, Outcome::Served));
        count.len()
    };
    let (few, all) = (used(500.0), used(4.0));
    assert!(few <= 6, "{few}");
    assert_eq!(all, 40);
}
