//! Random sequences of valid events under many settings. The harness checks the rules on every action.

mod common;
use balancer::*;
use common::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A random number from 0 to `limit` - 1.
fn below(rng: &mut Pcg32, limit: u32) -> u32 {
    rng.next_u32() % limit
}

fn random_settings(rng: &mut Pcg32) -> Settings {
    let mut settings = settings();
    let effects = [
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { scope: KeyScope::All, ttl: 700.0 },
        Effect::Keyed { scope: KeyScope::Zone, ttl: 5000.0 },
        Effect::Keyed { scope: KeyScope::Cell, ttl: 400.0 },
    ];
    settings.classes = (0..1 + below(rng, 4)).map(|_| class(effects[below(rng, 5) as usize])).collect();
    for class in &mut settings.classes {
        class.streamed = below(rng, 5) == 0;
        class.priority_weight = f64::from(1 + below(rng, 10));
        class.late_priority_weight = if below(rng, 2) == 0 { 0.0 } else { 0.3 };
    }
    settings.balancer_count = 1 + below(rng, 30);
    settings.kind_count = 1 + below(rng, 4) as usize;
    settings.zone_count = 1 + below(rng, 3) as usize;
    settings.zone = below(rng, settings.zone_count as u32) as usize;
    settings.tenants = (0..below(rng, 4)).map(|_| Tenant { service_share: 0.3, quota_per_s: 40.0 }).collect();
    settings.over_quota_weight = 0.05;
    settings.weight_by_work = below(rng, 2) == 0;
    settings.key_affinity = below(rng, 2) == 0;
    settings.discovery_mode = if below(rng, 2) == 0 { DiscoveryMode::Push } else { DiscoveryMode::Pull };
    settings.limits.max_attempts = 1 + below(rng, 5);
    settings.limits.cancellation = below(rng, 2) == 0;
    settings.limits.hedging = below(rng, 2) == 0;
    settings.limits.probes = below(rng, 2) == 0;
    settings.limits.peer_messages = below(rng, 2) == 0;
    settings
}

fn random_entry(rng: &mut Pcg32, settings: &Settings, now: f64) -> EndpointEntry {
    let id = 1 + below(rng, 12);
    let states = [
        EndpointState::Up,
        EndpointState::Up,
        EndpointState::Up,
        EndpointState::Up,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    EndpointEntry {
        kind: id as usize % (settings.kind_count + 1), // includes one kind that is not in the settings
        zone: id as usize % settings.zone_count,
        cell: id % 3 + 10 * (id % settings.zone_count as u32),
        started_at: (below(rng, 3) == 0).then_some(now - f64::from(below(rng, 9000))),
        state: states[below(rng, 6) as usize],
        ..endpoint(id)
    }
}

/// Passes 2500 random events to a balancer. Returns its actions, and how many requests were served, were
/// rejected, failed, and were abandoned by their client.
fn run_random_events(seed: u64) -> (Vec<Action>, [usize; 4]) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let settings = random_settings(&mut rng);
    let mut harness = Harness::with_seed(settings.clone(), Vec::new(), seed);
    let list = (0..8).map(|_| random_entry(&mut rng, &settings, harness.now)).collect();
    harness.update_endpoints(EndpointUpdate::FullSnapshot(list));
    let outcomes = [
        Outcome::Served,
        Outcome::Served,
        Outcome::Served,
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::NeverSent,
        Outcome::Unknown,
        Outcome::TimedOut,
    ];
    for _ in 0..2500 {
        match below(&mut rng, 40) {
            0 => {
                let entries =
                    (0..1 + below(&mut rng, 3)).map(|_| random_entry(&mut rng, &settings, harness.now));
                harness.update_endpoints(EndpointUpdate::Changes(entries.collect()));
            }
            1 if below(&mut rng, 6) == 0 => {
                let entries =
                    (0..below(&mut rng, 10)).map(|_| random_entry(&mut rng, &settings, harness.now));
                harness.update_endpoints(EndpointUpdate::FullSnapshot(entries.collect()));
            }
            2 => drop(harness.update_endpoints(EndpointUpdate::Failed)),
            3..=14 => {
                let class = below(&mut rng, settings.classes.len() as u32) as usize;
                let random =
                    [below(&mut rng, 900), below(&mut rng, 5), below(&mut rng, 20), below(&mut rng, 3)];
                harness.request_with(class, |new| {
                    new.timeout = f64::from(random[0]) + 100.0;
                    new.metadata.tenant = random[1] as usize;
                    new.metadata.key = Some(format!("key:{}", random[2]));
                    new.metadata.size_hint = (random[3] == 0).then_some(f64::from(random[0]) / 10.0 + 1.0);
                });
            }
            15 => {
                let open: Vec<_> =
                    harness.requests.iter().filter(|(_, request)| request.final_outcome.is_none()).collect();
                if let Some(id) = open.first().map(|(id, _)| **id).filter(|_| open.len() > 5) {
                    harness.disconnect_client(id);
                }
            }
            16..=27 => {
                let ids: Vec<RequestId> = harness.requests.keys().copied().collect();
                let mut in_flight: Vec<(RequestId, u32)> = Vec::new();
                for id in ids {
                    in_flight.extend(harness.attempts_in_flight(id).into_iter().map(|attempt| (id, attempt)));
                }
                if !in_flight.is_empty() {
                    let (id, attempt) = in_flight[below(&mut rng, in_flight.len() as u32) as usize];
                    let streamed = settings.classes[harness.requests[&id].class].streamed;
                    let not_begun =
                        harness.requests[&id].final_outcome.is_none() && !harness.requests[&id].streaming;
                    if streamed && not_begun && below(&mut rng, 2) == 0 {
                        harness.requests.get_mut(&id).unwrap().streaming = true;
                        harness.handle_event(Event::FirstByte { id, attempt });
                    } else if !harness.requests[&id].streaming {
                        harness.finish_attempt(id, attempt, outcomes[below(&mut rng, 11) as usize]);
                    }
                }
            }
            // Now and then, long enough for removed endpoints to be dropped.
            28 if below(&mut rng, 20) == 0 => harness.advance(61_000.0),
            _ => harness.advance(f64::from(below(&mut rng, 30))),
        }
    }
    harness.advance(3000.0);
    let mut outcome_counts = [0; 4];
    for request in harness.requests.values().filter(|request| !request.streaming) {
        match request.final_outcome {
            Some(FinalOutcome::Served) => outcome_counts[0] += 1,
            Some(FinalOutcome::Rejected) => outcome_counts[1] += 1,
            Some(FinalOutcome::Failed) => outcome_counts[2] += 1,
            Some(FinalOutcome::ClientDisconnected) => outcome_counts[3] += 1,
            None => panic!("seed {seed}: no final response: {request:?}"),
        }
    }
    (harness.actions, outcome_counts)
}

#[test]
fn rules_hold_for_random_events() {
    let mut totals = [0; 4];
    for seed in 0..120 {
        let (_, outcome_counts) = run_random_events(seed);
        for (total, count) in totals.iter_mut().zip(outcome_counts) {
            *total += count;
        }
    }
    assert!(totals.iter().all(|total| *total > 100), "too few requests for some final outcome: {totals:?}");
}

#[test]
fn same_seed_gives_same_actions() {
    for seed in [3, 17] {
        assert_eq!(run_random_events(seed).0, run_random_events(seed).0);
    }
}
