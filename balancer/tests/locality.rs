//! Zones: keeping close, leaving one that fails as one thing, and the slow return. Time and chance are the
//! tests' own.

mod common;

use std::collections::BTreeMap;

use balancer::*;
use common::{Ending, Rig, class, endpoint, settings};

/// What becomes of an attempt: after so long, this; or nothing, until somebody gives it up.
type Fate = Option<(f64, Outcome)>;

const SERVED: Fate = Some((20.0, Outcome::Served));
/// How finely time passes.
const STEP: f64 = 5.0;

/// Three zones, the third in a region of its own, with two kinds of three endpoints in each; endpoint 12 is
/// the third one of kind 1 in zone 0.
fn zoned() -> (Settings, Vec<EndpointEntry>) {
    let mut s = settings();
    (s.zone_count, s.kind_count) = (3, 2);
    s.locality = Some(Locality { own_zone: Some(0), regions: vec![0, 0, 1] });
    let list =
        (0..18).map(|n| EndpointEntry { zone: zone_of(EndpointId(n)), kind: n as usize % 2, ..endpoint(n) });
    (s, list.collect())
}

fn zone_of(endpoint: EndpointId) -> usize {
    endpoint.0 as usize / 6
}

struct World {
    rig: Rig,
    live: Vec<RequestId>,
    seen: usize,
    next: f64,
    asked: usize,
    /// Of each attempt: when, and to whom.
    sends: Vec<(f64, EndpointId)>,
}

impl World {
    fn new((s, list): (Settings, Vec<EndpointEntry>)) -> World {
        let rig = Rig::new(s, list);
        let next = rig.now;
        World { rig, live: Vec::new(), seen: 0, next, asked: 0, sends: Vec::new() }
    }

    /// Requests every `gap`, for `lasts`, each attempt with the fate that its endpoint gives it.
    fn run(&mut self, lasts: f64, gap: f64, mut fate: impl FnMut(EndpointId, f64, usize) -> Fate) {
        let (until, mut fates) = (self.rig.now + lasts, BTreeMap::<(RequestId, u32), Fate>::new());
        while self.rig.now < until {
            while self.next <= self.rig.now {
                self.next += gap;
                self.asked += 1;
                let class = self.asked % self.rig.settings.classes.len();
                let id = self.rig.request(class);
                self.live.push(id);
            }
            self.follow();
            for id in self.live.clone() {
                for n in self.rig.open(id) {
                    let (at, endpoint) =
                        (self.rig.requests[&id].sent[n as usize].at, self.rig.endpoint_of(id, n as usize));
                    let class = self.rig.requests[&id].class;
                    let fate = *fates.entry((id, n)).or_insert_with(|| fate(endpoint, at, class));
                    let timeout = self.rig.requests[&id].sent[n as usize].timeout;
                    if let Some((_, outcome)) = fate.filter(|(after, _)| at + after <= self.rig.now) {
                        self.rig.finish(id, n, outcome);
                    } else if timeout.is_some_and(|timeout| at + timeout <= self.rig.now) {
                        self.rig.finish(id, n, Outcome::TimedOut);
                    }
                }
            }
            self.follow();
            self.rig.pass(STEP);
            let rig = &self.rig;
            self.live.retain(|id| rig.requests[id].ending.is_none() || !rig.open(*id).is_empty());
        }
    }

    /// Notes what was sent, and ends what was cancelled.
    fn follow(&mut self) {
        while let Some(action) = self.rig.actions.get(self.seen).cloned() {
            self.seen += 1;
            match action {
                Action::Send { endpoint, .. } => self.sends.push((self.rig.now, endpoint)),
                Action::Cancel { id, attempt } if self.rig.open(id).contains(&attempt) => {
                    self.rig.finish(id, attempt, Outcome::Cancelled);
                }
                _ => {}
            }
        }
    }

    /// Attempts to each zone since `from`.
    fn to_zones(&self, from: f64) -> [usize; 3] {
        let mut count = [0; 3];
        self.sends
            .iter()
            .filter(|(at, _)| *at >= from)
            .for_each(|(_, endpoint)| count[zone_of(*endpoint)] += 1);
        count
    }

    fn left(&self) -> Vec<usize> {
        self.rig.balancer.ejected_zones().iter().map(|left| left.zone).collect()
    }
}

/// Endpoints that work on one request after another, each for 20 ms.
fn queues() -> impl FnMut(EndpointId, f64, usize) -> Fate {
    let mut free = BTreeMap::<EndpointId, f64>::new();
    move |endpoint, at, _| {
        let done = free.get(&endpoint).copied().unwrap_or(0.0).max(at) + 20.0;
        free.insert(endpoint, done);
        Some((done - at, Outcome::Served))
    }
}

/// Guards against traffic that crosses zones though the own one has room.
#[test]
fn traffic_stays_in_its_zone_while_that_has_room() {
    let mut world = World::new(zoned());
    world.run(5000.0, 20.0, queues());
    let [own, near, far] = world.to_zones(0.0);
    assert!(own > 200 && near + far <= own / 100, "{own} {near} {far}");
}

/// Guards against an own zone that jams, and against more than what it cannot do going elsewhere: six
/// endpoints do 300 a second, 400 are asked for, so 100 have to go.
#[test]
fn what_the_own_zone_cannot_do_goes_to_the_next_and_hardly_more() {
    let mut world = World::new(zoned());
    world.run(10_000.0, 2.5, queues());
    let (from, refused) = (world.rig.now, world.rig.refusals());
    world.run(10_000.0, 2.5, queues());
    let [own, near, far] = world.to_zones(from);
    let spilled = (near + far) as f64 / (own + near + far) as f64;
    assert!((0.25..0.32).contains(&spilled), "{spilled}: {own} {near} {far}");
    assert!(far < near / 4, "{near} {far}");
    assert_eq!(world.rig.refusals(), refused, "nothing is refused that another zone can do");
}

/// Guards against a zone whose endpoints each have to cost requests before it is left, and against effects
/// that happen twice meanwhile: the rig fails where an unsafe request is sent again.
#[test]
fn a_silent_zone_is_left_in_well_under_a_second() {
    let (mut s, list) = zoned();
    s.classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
    let mut world = World::new((s, list));
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    let lost = world.rig.now;
    let dead = |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED };
    world.run(500.0, 20.0, dead);
    assert_eq!(world.left(), [0]);
    let from = world.rig.now;
    world.run(2000.0, 20.0, dead);
    let [own, near, _] = world.to_zones(from);
    assert!(own <= 3 && near > 90, "trials alone: {own}, {near}");
    assert!(world.to_zones(lost)[0] < 30, "{:?}", world.to_zones(lost));
    let failed = |taken: &&common::Taken| taken.ending == Some(Ending::Failed);
    assert!(world.rig.requests.values().filter(failed).count() > 0, "what may have run has failed");
}

/// Guards against a client proxy with little traffic that goes on losing requests to a zone for good.
#[test]
fn a_quiet_client_proxy_leaves_a_silent_zone_too() {
    let mut world = World::new(zoned());
    world.run(20_000.0, 1000.0, |_, _, _| SERVED);
    let dead = |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED };
    world.run(8000.0, 1000.0, dead);
    assert_eq!(world.left(), [0]);
}

/// Guards against healthy zones that are left for what is no failure of theirs: one kind that is bad
/// everywhere, one class whose answers are lost, a zone that is only slow.
#[test]
fn what_only_looks_like_a_lost_zone_takes_none_out() {
    type Case = (&'static str, fn(EndpointId, f64, usize) -> Fate);
    let cases: [Case; 4] = [
        ("a kind", |endpoint, _, _| if endpoint.0 % 2 == 1 { None } else { SERVED }),
        ("a class", |endpoint, _, class| if zone_of(endpoint) == 0 && class == 1 { None } else { SERVED }),
        ("a class everywhere", |_, _, class| if class == 1 { None } else { SERVED }),
        ("slow", |endpoint, _, _| Some((if zone_of(endpoint) == 0 { 170.0 } else { 20.0 }, Outcome::Served))),
    ];
    for (name, fate) in cases {
        let (mut s, list) = zoned();
        s.classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
        let mut world = World::new((s, list));
        world.run(3000.0, 20.0, |_, _, _| SERVED);
        world.run(1000.0, 20.0, fate);
        for _ in 0..20 {
            world.run(100.0, 20.0, fate);
            assert!(!world.left().contains(&0), "{name} at {}", world.rig.now);
        }
    }
}

/// Guards against a zone left for its one kind that all traffic goes to: the other one, which is slower,
/// still serves.
#[test]
fn a_fast_kind_that_falls_silent_everywhere_takes_no_zone_out() {
    let mut world = World::new(zoned());
    let slow = |endpoint: EndpointId| endpoint.0.is_multiple_of(2);
    world.run(3000.0, 20.0, |endpoint, _, _| {
        Some((if slow(endpoint) { 60.0 } else { 10.0 }, Outcome::Served))
    });
    for _ in 0..20 {
        world.run(100.0, 20.0, |endpoint, _, _| slow(endpoint).then_some((60.0, Outcome::Served)));
        assert_eq!(world.left(), [0; 0], "at {}", world.rig.now);
    }
}

/// Guards against the own network taken for the zones': where nothing answers nothing is avoided, operators
/// are told what it may be, and the first answers bring the own zone back with no ramp.
#[test]
fn where_all_zones_fail_it_is_the_own_network() {
    let mut world = World::new(zoned());
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    world.run(3000.0, 20.0, |_, _, _| None);
    let left = world.rig.balancer.ejected_zones();
    assert!(left.len() == 3 && left.iter().all(|left| left.own_network_suspected), "{left:?}");
    let back = world.rig.now;
    world.run(4000.0, 20.0, |_, _, _| SERVED);
    assert_eq!(world.left(), [0; 0]);
    let [own, near, far] = world.to_zones(back + 2000.0);
    assert!(own > 6 * (near + far), "{own} {near} {far}");
}

/// Guards against a cold zone that gets all of its traffic at once, and one that never gets it again.
#[test]
fn a_zone_that_returns_is_tried_then_ramped() {
    let mut world = World::new(zoned());
    let cold = world.rig.settings.contract.warm_up;
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    world.run(2000.0, 20.0, |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED });
    let back = world.rig.now;
    let entries =
        (0..6).map(|n| EndpointEntry { started_at: Some(back), kind: n as usize % 2, ..endpoint(n) });
    world.rig.news(EndpointUpdate::Changes(entries.collect()));
    let mut shares = Vec::new();
    for _ in 0..(2.0 * cold / 500.0) as usize {
        let from = world.rig.now;
        world.run(500.0, 20.0, |_, _, _| SERVED);
        let [own, near, far] = world.to_zones(from);
        shares.push(own as f64 / (own + near + far) as f64);
    }
    assert!(shares[0] < 0.3, "{shares:?}");
    assert!(shares.last().is_some_and(|share| *share > 0.9), "{shares:?}");
}

/// Guards against a zone that comes and goes and costs as much each time.
#[test]
fn a_zone_that_flaps_rests_longer_each_time() {
    let mut world = World::new(zoned());
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    let mut lost = Vec::new();
    for _ in 0..6 {
        let from = world.rig.now;
        world.run(3000.0, 20.0, |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED });
        lost.push(world.to_zones(from)[0]);
        world.run(3000.0, 20.0, |_, _, _| SERVED);
    }
    let last: usize = lost[3..].iter().sum();
    assert!(last <= lost[0], "{lost:?}");
}

/// Guards against a keyed request that waits for a zone which is being left, or whose repeat leaves the zone
/// that knows its key: it fails, and soon. The rig fails where the repeat goes elsewhere.
#[test]
fn a_keyed_request_of_a_zone_that_is_left_fails_and_is_not_repeated_elsewhere() {
    let (mut s, list) = zoned();
    s.classes = vec![class(Effect::Keyed { scope: KeyScope::Zone, ttl: 5000.0 })];
    let mut world = World::new((s, list));
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    let lost = world.rig.now;
    let reset = |endpoint, _, _| if zone_of(endpoint) == 0 { Some((30.0, Outcome::Reset)) } else { SERVED };
    world.run(2000.0, 20.0, reset);
    assert_eq!(world.left(), [0]);
    let mut failed = world.rig.requests.values().filter(|taken| taken.ending == Some(Ending::Failed));
    assert!(
        failed.all(|taken| taken.ended_at < taken.sent[0].at + 200.0),
        "as soon as its attempt has ended"
    );
    assert!(world.to_zones(lost + 1000.0)[1] > 40, "{:?}", world.to_zones(lost + 1000.0));
    let trials = world.rig.requests.values().filter(|taken| {
        taken.sent.first().is_some_and(|sent| sent.at > lost + 500.0 && zone_of(sent.endpoint) == 0)
    });
    let attempts: Vec<usize> = trials.map(|taken| taken.sent.len()).collect();
    assert!(
        !attempts.is_empty() && attempts.iter().all(|n| *n == 1),
        "a trial is no more than one: {attempts:?}"
    );
}

/// Guards against a client proxy without a zone that has none to leave, and against one zone name that is
/// taken for near.
#[test]
fn without_an_own_zone_all_are_alike_and_one_that_fails_is_left() {
    let (mut s, list) = zoned();
    s.locality = Some(Locality { own_zone: None, regions: vec![0, 0, 1] });
    let mut world = World::new((s, list));
    world.run(5000.0, 1.5, queues());
    let counts = world.to_zones(0.0);
    assert!(counts.iter().all(|n| *n > 700), "{counts:?}");
    world.run(1000.0, 5.0, |endpoint, _, _| if zone_of(endpoint) == 1 { None } else { SERVED });
    assert_eq!(world.left(), [1]);
}

/// Guards against an endpoint that stays in the zone it was first listed in.
#[test]
fn an_endpoint_that_changes_its_zone_goes_with_it() {
    let mut world = World::new(zoned());
    world.run(2000.0, 20.0, |_, _, _| SERVED);
    let moved = (0..6).map(|n| EndpointEntry { zone: 1, kind: n as usize % 2, ..endpoint(n) });
    let came = (6..12).map(|n| EndpointEntry { zone: 0, kind: n as usize % 2, ..endpoint(n) });
    world.rig.news(EndpointUpdate::Changes(moved.chain(came).collect()));
    let from = world.rig.now;
    world.run(2000.0, 20.0, |_, _, _| SERVED);
    let [was_own, is_own, far] = world.to_zones(from);
    assert!(is_own > 90 && was_own + far == 0, "{was_own} {is_own} {far}");
}

/// Guards against a long way that is taken for slowness: a kind that was seen over it alone is still the
/// faster one at home.
#[test]
fn the_way_to_a_far_zone_is_no_slowness_of_a_kind() {
    let (s, mut list) = zoned();
    // At home there is only the slow kind, until later; the fast one is far away.
    list.retain(|entry| entry.zone != 1 && (entry.zone == 2 || entry.kind == 0));
    let fast = |endpoint: EndpointId| if endpoint.0 % 2 == 1 { 10.0 } else { 40.0 };
    let fate = move |endpoint: EndpointId, _, _| {
        let way = if zone_of(endpoint) == 2 { 80.0 } else { 0.0 };
        Some((fast(endpoint) + way, Outcome::Served))
    };
    let mut world = World::new((s, list));
    world.run(3000.0, 20.0, fate);
    // The own zone falls silent for a while, so that all is learnt over the long way.
    world.run(
        4000.0,
        20.0,
        move |endpoint, at, class| if zone_of(endpoint) == 0 { None } else { fate(endpoint, at, class) },
    );
    world.run(10_000.0, 20.0, fate);
    let came = (0..6).map(|n| EndpointEntry { zone: 0, kind: n as usize % 2, ..endpoint(n) });
    world.rig.news(EndpointUpdate::Changes(came.collect()));
    let from = world.rig.now;
    world.run(200.0, 20.0, fate);
    let to_fast = world.sends.iter().filter(|(at, endpoint)| *at >= from && endpoint.0 % 2 == 1).count();
    assert!(to_fast >= 8, "{to_fast} of 10");
}

/// Guards against a pause of the process itself that passes for a zone's silence: what has come meanwhile is
/// read after the timers that came due.
#[test]
fn a_pause_of_the_process_itself_takes_no_zone_out() {
    let mut world = World::new(zoned());
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    assert!(world.rig.sent_at_once(8, |_| {}).len() == 8, "enough is out for it to matter");
    world.rig.now += 600.0;
    world.rig.pass(0.0);
    assert_eq!(world.left(), [0; 0]);
}

/// Guards against endpoints that all pause for a moment, as a loaded machine makes them, and pass for a lost
/// zone because they are fast otherwise.
#[test]
fn a_short_pause_of_fast_endpoints_takes_no_zone_out() {
    let mut world = World::new(zoned());
    world.run(3000.0, 5.0, |_, _, _| Some((4.0, Outcome::Served)));
    let on = world.rig.now + 120.0;
    world.run(120.0, 5.0, |_, at, _| Some((on - at, Outcome::Served)));
    assert_eq!(world.left(), [0; 0]);
    world.run(500.0, 5.0, |_, _, _| Some((4.0, Outcome::Served)));
    assert_eq!(world.left(), [0; 0]);
}

/// Guards against a zone that was left and that the list has taken out since: it has nobody to be tried with,
/// and requests that try it all the same would go to any zone in place of the near one.
#[test]
fn a_zone_that_is_left_and_then_gone_from_the_list_is_not_tried() {
    let mut world = World::new(zoned());
    world.run(3000.0, 20.0, |_, _, _| SERVED);
    let dead = |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED };
    world.run(600.0, 20.0, dead);
    assert_eq!(world.left(), [0]);
    let gone =
        (0..6).map(|n| EndpointEntry { state: EndpointState::Removed, kind: n as usize % 2, ..endpoint(n) });
    world.rig.news(EndpointUpdate::Changes(gone.collect()));
    world.run(5000.0, 20.0, dead);
    let from = world.rig.now;
    world.run(5000.0, 20.0, dead);
    let [own, near, far] = world.to_zones(from);
    assert!(own == 0 && near > 200 && far <= 5, "{own} {near} {far}");
}
