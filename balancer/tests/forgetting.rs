//! What the list has taken out is forgotten, but not before nothing refers to it.

mod common;
use balancer::*;
use common::*;

/// The longest that anything is remembered of an endpoint that has gone, with a little for the regular look.
const REMEMBERED: f64 = 60_200.0;

fn forgotten(actions: &[Action]) -> Vec<u32> {
    let endpoint = |action: &Action| match action {
        Action::ReleaseEndpointId { endpoint } => Some(endpoint.0),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// Guards against memory that grows with every new name, and against a decision that follows an endpoint
/// which is not there.
#[test]
fn names_are_forgotten_as_they_go() {
    const LISTED: u32 = 50;
    const ROUNDS: u32 = 100;
    let mut rig = Rig::new(settings(), Vec::new());
    for round in 0..ROUNDS {
        let names = (round * LISTED..(round + 1) * LISTED).map(endpoint).collect();
        rig.news(EndpointUpdate::FullSnapshot(names));
        let id = rig.request(0);
        rig.pass(900.0);
        for attempt in rig.open(id) {
            rig.finish(id, attempt, Outcome::Served);
        }
        rig.pass(9_100.0);
    }
    let mut names = forgotten(&rig.actions);
    let held = ROUNDS * LISTED - names.len() as u32;
    assert!(held <= LISTED * (2 + (REMEMBERED / 10_000.0) as u32), "{held} are remembered");
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), (ROUNDS * LISTED - held) as usize, "each once");
}

/// Guards against a keyed repeat judged by another endpoint's place: what a request was sent to is known
/// until its end.
#[test]
fn an_endpoint_is_not_forgotten_while_a_request_refers_to_it() {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Keyed { scope: KeyScope::All, ttl: 1e6 })];
    let mut rig = Rig::new(settings, endpoints(3));
    let id = rig.request_with(0, |new| new.timeout = 3.0 * REMEMBERED);
    let first = rig.endpoint_of(id, 0);
    // The other endpoints change places in memory when those before them go.
    let stays = [8, 9].map(endpoint).to_vec();
    rig.news(EndpointUpdate::FullSnapshot(stays));
    rig.pass(REMEMBERED);
    assert!(!forgotten(&rig.actions).contains(&first.0));
    assert_eq!(forgotten(&rig.actions).len(), 2);
    rig.finish(id, 0, Outcome::Reset);
    assert!([8, 9].contains(&rig.endpoint_of(id, 1).0), "sent on to a host of the list");
    rig.finish(id, 1, Outcome::Served);
    // The reset has it ejected for some seconds, which is remembered.
    rig.pass(REMEMBERED);
    assert!(forgotten(&rig.actions).contains(&first.0));
}

/// Guards against an operator's word that is forgotten with its endpoint: one that leaves the list and comes
/// back is still out, and cold when it is put back.
#[test]
fn what_is_out_by_hand_stays_out_over_a_long_absence() {
    let mut rig = Rig::new(settings(), endpoints(4));
    rig.event(Event::Disabled { endpoint: EndpointId(2) });
    rig.news(EndpointUpdate::FullSnapshot(vec![endpoint(1), endpoint(3)]));
    rig.pass(REMEMBERED);
    assert_eq!(forgotten(&rig.actions), [4]);
    rig.news(EndpointUpdate::FullSnapshot(endpoints(4)));
    assert!(!rig.serve(60, 0, |_| 5.0).contains_key(&EndpointId(2)));
    rig.event(Event::Enabled { endpoint: EndpointId(2), at: rig.now });
    let served = rig.serve(400, 0, |_| 20.0);
    let of = |id| f64::from(served.get(&EndpointId(id)).copied().unwrap_or(0) as u32);
    assert!(of(2) > 0.0 && of(2) < 0.7 * of(1), "{served:?}");
    // Nothing follows from the word back once it is long ago and the endpoint has gone.
    rig.news(EndpointUpdate::FullSnapshot(endpoints(1)));
    rig.pass(2.0 * REMEMBERED);
    assert!(forgotten(&rig.actions).contains(&2));
}
