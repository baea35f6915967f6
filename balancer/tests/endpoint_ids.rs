//! The state of a removed endpoint is dropped and its identifier released after some time, but not while
//! anything still refers to it.

mod common;
use balancer::*;
use common::*;

/// How long the state of a removed endpoint is kept at most, with the interval at which that is checked.
const MAX_RETENTION_MS: f64 = 60_200.0;

fn released(actions: &[Action]) -> Vec<u32> {
    let endpoint = |action: &Action| match action {
        Action::ReleaseEndpointId { endpoint } => Some(endpoint.0),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// If the state of removed endpoints were kept, memory would grow with every new endpoint name. The harness
/// fails if an action refers to an endpoint after its identifier was released.
#[test]
fn removed_endpoint_ids_are_released_once() {
    const LISTED: u32 = 50;
    const ROUNDS: u32 = 100;
    let mut harness = Harness::new(settings(), Vec::new());
    for round in 0..ROUNDS {
        let entries = (round * LISTED..(round + 1) * LISTED).map(endpoint).collect();
        harness.update_endpoints(EndpointUpdate::FullSnapshot(entries));
        let id = harness.request(0);
        harness.advance(900.0);
        for attempt in harness.attempts_in_flight(id) {
            harness.finish_attempt(id, attempt, Outcome::Served);
        }
        harness.advance(9_100.0);
    }
    let mut ids = released(&harness.actions);
    let kept = ROUNDS * LISTED - ids.len() as u32;
    assert!(
        kept <= LISTED * (2 + (MAX_RETENTION_MS / 10_000.0) as u32),
        "{kept} identifiers are not released"
    );
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), (ROUNDS * LISTED - kept) as usize, "an identifier was released twice");
}

/// Where a keyed request may be retried depends on the zone and the cell of the endpoint that got its first
/// attempt. That endpoint is kept until the request ends.
#[test]
fn endpoint_of_open_request_is_kept() {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Keyed { scope: KeyScope::All, ttl: 1e6 })];
    let mut harness = Harness::new(settings, endpoints(3));
    let id = harness.request_with(0, |new| new.timeout = 3.0 * MAX_RETENTION_MS);
    let first = harness.endpoint_of(id, 0);
    // The indices of the remaining endpoints change when those before them are dropped.
    let remaining = [8, 9].map(endpoint).to_vec();
    harness.update_endpoints(EndpointUpdate::FullSnapshot(remaining));
    harness.advance(MAX_RETENTION_MS);
    assert!(!released(&harness.actions).contains(&first.0));
    assert_eq!(released(&harness.actions).len(), 2);
    harness.finish_attempt(id, 0, Outcome::Reset);
    assert!([8, 9].contains(&harness.endpoint_of(id, 1).0), "retried on a removed endpoint");
    harness.finish_attempt(id, 1, Outcome::Served);
    // The reset has ejected the endpoint for some seconds; this state is kept, too.
    harness.advance(MAX_RETENTION_MS);
    assert!(released(&harness.actions).contains(&first.0));
}

/// An endpoint that an operator disabled is removed from the list for a long time and returns. It must still
/// be disabled, and it begins slow start when the operator enables it.
#[test]
fn operator_override_survives_long_removal() {
    let mut harness = Harness::new(settings(), endpoints(4));
    harness.handle_event(Event::Disabled { endpoint: EndpointId(2) });
    harness.update_endpoints(EndpointUpdate::FullSnapshot(vec![endpoint(1), endpoint(3)]));
    harness.advance(MAX_RETENTION_MS);
    assert_eq!(released(&harness.actions), [4]);
    harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(4)));
    assert!(!harness.serve_sequentially(60, 0, |_| 5.0).contains_key(&EndpointId(2)));
    harness.handle_event(Event::Enabled { endpoint: EndpointId(2), at: harness.now });
    let counts = harness.serve_sequentially(400, 0, |_| 20.0);
    let count_of = |id| f64::from(counts.get(&EndpointId(id)).copied().unwrap_or(0) as u32);
    assert!(count_of(2) > 0.0 && count_of(2) < 0.7 * count_of(1), "{counts:?}");
    // Nothing is kept of an endpoint that was enabled long ago and has been removed since.
    harness.update_endpoints(EndpointUpdate::FullSnapshot(endpoints(1)));
    harness.advance(2.0 * MAX_RETENTION_MS);
    assert!(released(&harness.actions).contains(&2));
}
