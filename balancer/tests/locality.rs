//! Locality: traffic stays in the own zone, a zone that fails as a whole is ejected, and its traffic returns
//! gradually. The tests run on virtual time.

mod common;

use balancer::*;
use common::zoned_simulation::*;
use common::{FinalOutcome, class, endpoint};

#[test]
fn traffic_below_capacity_stays_in_own_zone() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(5000.0, 20.0, queueing_endpoints());
    let [own, near, far] = simulation.attempts_by_zone(0.0);
    assert!(own > 200 && near + far <= own / 100, "{own} {near} {far}");
}

/// The own zone must not be overloaded, but no more than its excess may go to other zones: its six endpoints
/// serve 300 requests per second, 400 arrive, so 100 have to go elsewhere.
#[test]
fn only_excess_traffic_spills_to_near_zone() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(10_000.0, 2.5, queueing_endpoints());
    let (from, rejected) = (simulation.harness.now, simulation.harness.rejections());
    simulation.run(10_000.0, 2.5, queueing_endpoints());
    let [own, near, far] = simulation.attempts_by_zone(from);
    let spilled = (near + far) as f64 / (own + near + far) as f64;
    assert!((0.25..0.32).contains(&spilled), "{spilled}: {own} {near} {far}");
    assert!(far < near / 4, "{near} {far}");
    assert_eq!(simulation.harness.rejections(), rejected, "rejected a request that another zone could serve");
}

/// If each endpoint of a failed zone had to be ejected by itself, every one of them would cost requests. The
/// harness fails if an unsafe request is retried meanwhile.
#[test]
fn stalled_zone_is_ejected_within_500_ms() {
    let (mut settings, list) = zoned();
    settings.classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
    let mut simulation = Simulation::new((settings, list));
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    let failed_at = simulation.harness.now;
    let attempt_end = |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED };
    simulation.run(500.0, 20.0, attempt_end);
    assert_eq!(simulation.ejected_zones(), [0]);
    let from = simulation.harness.now;
    simulation.run(2000.0, 20.0, attempt_end);
    let [own, near, _] = simulation.attempts_by_zone(from);
    assert!(
        own <= 3 && near > 90,
        "more than trial requests to the ejected zone: {own}, {near} to the near one"
    );
    assert!(simulation.attempts_by_zone(failed_at)[0] < 30, "{:?}", simulation.attempts_by_zone(failed_at));
    let failed = |request: &&common::TrackedRequest| request.final_outcome == Some(FinalOutcome::Failed);
    assert!(simulation.harness.requests.values().filter(failed).count() > 0, "no unsafe request failed");
}

/// With one request per second, a client proxy must still notice that a zone has failed; otherwise it would
/// lose requests to that zone for good.
#[test]
fn low_traffic_proxy_ejects_stalled_zone() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(20_000.0, 1000.0, |_, _, _| SERVED);
    let attempt_end = |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED };
    simulation.run(8000.0, 1000.0, attempt_end);
    assert_eq!(simulation.ejected_zones(), [0]);
}

/// A zone must not be ejected for other failures than its own: a kind that fails in all zones, a class whose
/// responses are lost, or a zone that is only slow.
#[test]
fn partial_failures_eject_no_zone() {
    type Case = (&'static str, fn(EndpointId, f64, usize) -> ScriptedEnd);
    let cases: [Case; 4] = [
        ("a kind", |endpoint, _, _| if endpoint.0 % 2 == 1 { None } else { SERVED }),
        ("a class", |endpoint, _, class| if zone_of(endpoint) == 0 && class == 1 { None } else { SERVED }),
        ("a class everywhere", |_, _, class| if class == 1 { None } else { SERVED }),
        ("slow", |endpoint, _, _| Some((if zone_of(endpoint) == 0 { 170.0 } else { 20.0 }, Outcome::Served))),
    ];
    for (name, attempt_end) in cases {
        let (mut settings, list) = zoned();
        settings.classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
        let mut simulation = Simulation::new((settings, list));
        simulation.run(3000.0, 20.0, |_, _, _| SERVED);
        simulation.run(1000.0, 20.0, attempt_end);
        for _ in 0..20 {
            simulation.run(100.0, 20.0, attempt_end);
            assert!(!simulation.ejected_zones().contains(&0), "{name} at {}", simulation.harness.now);
        }
    }
}

/// All traffic goes to the faster kind, and this kind stalls in all zones. No zone must be ejected for that,
/// since the slower kind still serves in each.
#[test]
fn stalled_fast_kind_ejects_no_zone() {
    let mut simulation = Simulation::new(zoned());
    let slow = |endpoint: EndpointId| endpoint.0.is_multiple_of(2);
    simulation.run(3000.0, 20.0, |endpoint, _, _| {
        Some((if slow(endpoint) { 60.0 } else { 10.0 }, Outcome::Served))
    });
    for _ in 0..20 {
        simulation.run(100.0, 20.0, |endpoint, _, _| slow(endpoint).then_some((60.0, Outcome::Served)));
        assert_eq!(simulation.ejected_zones(), [0; 0], "at {}", simulation.harness.now);
    }
}

/// If no zone responds, the fault is most likely in the client proxy's own network. That is reported to
/// operators, and the own zone gets its traffic back with the first responses instead of gradually.
#[test]
fn failure_of_all_zones_is_own_network() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    simulation.run(3000.0, 20.0, |_, _, _| None);
    let ejected = simulation.harness.balancer.ejected_zones();
    assert!(ejected.len() == 3 && ejected.iter().all(|zone| zone.own_network_suspected), "{ejected:?}");
    let recovered_at = simulation.harness.now;
    simulation.run(4000.0, 20.0, |_, _, _| SERVED);
    assert_eq!(simulation.ejected_zones(), [0; 0]);
    let [own, near, far] = simulation.attempts_by_zone(recovered_at + 2000.0);
    assert!(own > 6 * (near + far), "{own} {near} {far}");
}

/// The endpoints of a zone that recovers are in slow start: with all of its traffic at once they would be
/// overloaded. In the end the zone must get all of its traffic again.
#[test]
fn recovered_zone_regains_traffic_gradually() {
    let mut simulation = Simulation::new(zoned());
    let warm_up = simulation.harness.settings.contract.warm_up;
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    simulation.run(2000.0, 20.0, |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED });
    let recovered_at = simulation.harness.now;
    let entries =
        (0..6).map(|n| EndpointEntry { started_at: Some(recovered_at), kind: n as usize % 2, ..endpoint(n) });
    simulation.harness.update_endpoints(EndpointUpdate::Changes(entries.collect()));
    let mut shares = Vec::new();
    for _ in 0..(2.0 * warm_up / 500.0) as usize {
        let from = simulation.harness.now;
        simulation.run(500.0, 20.0, |_, _, _| SERVED);
        let [own, near, far] = simulation.attempts_by_zone(from);
        shares.push(own as f64 / (own + near + far) as f64);
    }
    assert!(shares[0] < 0.3, "{shares:?}");
    assert!(shares.last().is_some_and(|share| *share > 0.9), "{shares:?}");
}

/// Each ejection lasts longer than the one before; otherwise every failure of a flapping zone would cost as
/// many requests as the first.
#[test]
fn flapping_zone_is_ejected_longer_each_time() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    let mut attempts_lost = Vec::new();
    for _ in 0..6 {
        let from = simulation.harness.now;
        simulation.run(3000.0, 20.0, |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED });
        attempts_lost.push(simulation.attempts_by_zone(from)[0]);
        simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    }
    let last: usize = attempts_lost[3..].iter().sum();
    assert!(last <= attempts_lost[0], "{attempts_lost:?}");
}

/// A request whose idempotency key is known only in the failed zone must fail soon instead of waiting for
/// that zone. The harness fails if it is retried in another zone.
#[test]
fn zone_keyed_request_fails_with_its_zone() {
    let (mut settings, list) = zoned();
    settings.classes = vec![class(Effect::Keyed { scope: KeyScope::Zone, ttl: 5000.0 })];
    let mut simulation = Simulation::new((settings, list));
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    let failed_at = simulation.harness.now;
    let attempt_end =
        |endpoint, _, _| if zone_of(endpoint) == 0 { Some((30.0, Outcome::Reset)) } else { SERVED };
    simulation.run(2000.0, 20.0, attempt_end);
    assert_eq!(simulation.ejected_zones(), [0]);
    let mut failed = simulation
        .harness
        .requests
        .values()
        .filter(|request| request.final_outcome == Some(FinalOutcome::Failed));
    assert!(
        failed.all(|request| request.ended_at < request.attempts[0].sent_at + 200.0),
        "request failed long after its attempt had ended"
    );
    assert!(
        simulation.attempts_by_zone(failed_at + 1000.0)[1] > 40,
        "{:?}",
        simulation.attempts_by_zone(failed_at + 1000.0)
    );
    let trials = simulation.harness.requests.values().filter(|request| {
        request
            .attempts
            .first()
            .is_some_and(|sent| sent.sent_at > failed_at + 500.0 && zone_of(sent.endpoint) == 0)
    });
    let attempts: Vec<usize> = trials.map(|request| request.attempts.len()).collect();
    assert!(
        !attempts.is_empty() && attempts.iter().all(|n| *n == 1),
        "a trial request was retried: {attempts:?}"
    );
}

/// A client proxy that does not know its own zone must not prefer any zone, and it must still eject a zone
/// that fails.
#[test]
fn proxy_without_zone_uses_all_zones() {
    let (mut settings, list) = zoned();
    settings.locality = Some(Locality { own_zone: None, regions: vec![0, 0, 1] });
    let mut simulation = Simulation::new((settings, list));
    simulation.run(5000.0, 1.5, queueing_endpoints());
    let counts = simulation.attempts_by_zone(0.0);
    assert!(counts.iter().all(|n| *n > 700), "{counts:?}");
    simulation.run(1000.0, 5.0, |endpoint, _, _| if zone_of(endpoint) == 1 { None } else { SERVED });
    assert_eq!(simulation.ejected_zones(), [1]);
}

/// An endpoint counts in the zone of its latest list entry, not in the one that it was first listed in.
#[test]
fn endpoint_can_move_to_another_zone() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(2000.0, 20.0, |_, _, _| SERVED);
    let moved_out = (0..6).map(|n| EndpointEntry { zone: 1, kind: n as usize % 2, ..endpoint(n) });
    let moved_in = (6..12).map(|n| EndpointEntry { zone: 0, kind: n as usize % 2, ..endpoint(n) });
    simulation.harness.update_endpoints(EndpointUpdate::Changes(moved_out.chain(moved_in).collect()));
    let from = simulation.harness.now;
    simulation.run(2000.0, 20.0, |_, _, _| SERVED);
    let [was_own, is_own, far] = simulation.attempts_by_zone(from);
    assert!(is_own > 90 && was_own + far == 0, "{was_own} {is_own} {far}");
}

/// The latency to a far zone must not count as slowness of a kind: a kind that was used only there is still
/// known as the faster one when it appears in the own zone.
#[test]
fn distance_does_not_make_kind_slow() {
    let (settings, mut list) = zoned();
    // At first the own zone has only the slow kind, and the fast kind is far away.
    list.retain(|entry| entry.zone != 1 && (entry.zone == 2 || entry.kind == 0));
    let service_time = |endpoint: EndpointId| if endpoint.0 % 2 == 1 { 10.0 } else { 40.0 };
    let attempt_end = move |endpoint: EndpointId, _, _| {
        let network_latency = if zone_of(endpoint) == 2 { 80.0 } else { 0.0 };
        Some((service_time(endpoint) + network_latency, Outcome::Served))
    };
    let mut simulation = Simulation::new((settings, list));
    simulation.run(3000.0, 20.0, attempt_end);
    // The own zone stalls for a while, so that all responses come from the far zone.
    simulation.run(4000.0, 20.0, move |endpoint, at, class| {
        if zone_of(endpoint) == 0 { None } else { attempt_end(endpoint, at, class) }
    });
    simulation.run(10_000.0, 20.0, attempt_end);
    let moved_in = (0..6).map(|n| EndpointEntry { zone: 0, kind: n as usize % 2, ..endpoint(n) });
    simulation.harness.update_endpoints(EndpointUpdate::Changes(moved_in.collect()));
    let from = simulation.harness.now;
    simulation.run(200.0, 20.0, attempt_end);
    let to_fast =
        simulation.attempts.iter().filter(|(at, endpoint)| *at >= from && endpoint.0 % 2 == 1).count();
    assert!(to_fast >= 8, "{to_fast} of 10");
}

/// After a pause of the client proxy's own process, overdue timers fire before the responses that have
/// arrived meanwhile are read. That must not look like a stalled zone.
#[test]
fn pause_of_own_process_ejects_no_zone() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    assert!(
        simulation.harness.request_burst(8, |_| {}).len() == 8,
        "too few attempts in flight for the test to be meaningful"
    );
    simulation.harness.now += 600.0;
    simulation.harness.advance(0.0);
    assert_eq!(simulation.ejected_zones(), [0; 0]);
}

/// On a loaded machine, all endpoints can pause for a moment. Since they are fast otherwise, 120 ms is long
/// compared with their usual latency, but it is no sign of a failed zone.
#[test]
fn short_pause_of_all_endpoints_ejects_no_zone() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(3000.0, 5.0, |_, _, _| Some((4.0, Outcome::Served)));
    let resumed_at = simulation.harness.now + 120.0;
    simulation.run(120.0, 5.0, |_, sent_at, _| Some((resumed_at - sent_at, Outcome::Served)));
    assert_eq!(simulation.ejected_zones(), [0; 0]);
    simulation.run(500.0, 5.0, |_, _, _| Some((4.0, Outcome::Served)));
    assert_eq!(simulation.ejected_zones(), [0; 0]);
}

/// An ejected zone whose endpoints have all been removed has nothing to send trial requests to. Requests
/// chosen as trials would go to any zone instead of the near one.
#[test]
fn ejected_zone_without_endpoints_is_not_tried() {
    let mut simulation = Simulation::new(zoned());
    simulation.run(3000.0, 20.0, |_, _, _| SERVED);
    let attempt_end = |endpoint, _, _| if zone_of(endpoint) == 0 { None } else { SERVED };
    simulation.run(600.0, 20.0, attempt_end);
    assert_eq!(simulation.ejected_zones(), [0]);
    let removed =
        (0..6).map(|n| EndpointEntry { state: EndpointState::Removed, kind: n as usize % 2, ..endpoint(n) });
    simulation.harness.update_endpoints(EndpointUpdate::Changes(removed.collect()));
    simulation.run(5000.0, 20.0, attempt_end);
    let from = simulation.harness.now;
    simulation.run(5000.0, 20.0, attempt_end);
    let [own, near, far] = simulation.attempts_by_zone(from);
    assert!(own == 0 && near > 200 && far <= 5, "{own} {near} {far}");
}
