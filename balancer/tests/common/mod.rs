//! What the tests of the balancer share: settings, a harness for one balancer, and a simulation of many.
#![allow(dead_code, unused_imports)] // each test binary uses a different part

pub mod fleet;
mod harness;
mod tracked_request;
pub mod zoned_simulation;

pub use harness::*;
pub use tracked_request::*;

use balancer::*;

pub fn class(effect: Effect) -> Class {
    Class {
        latency_objective: 200.0,
        objective_stretch: 0.0,
        deadline: 1000.0,
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        effect,
        streamed: false,
    }
}

/// Settings of a single balancer: one class of idempotent requests, one zone, one kind of endpoints; all
/// features but hedging are allowed.
pub fn settings() -> Settings {
    Settings {
        balancer_index: 0,
        balancer_count: 1,
        zone: 0,
        zone_count: 1,
        locality: None,
        kind_count: 1,
        classes: vec![class(Effect::Safe)],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        weight_by_work: false,
        key_affinity: false,
        clients_mark_retries: true,
        objective_weights: ObjectiveWeights {
            overall: 1.0,
            worst_window: 0.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
        },
        load_reports: LoadReportSettings {
            carried_by: LoadReporting::Never,
            outstanding: false,
            backlog: false,
            utilization: false,
            recent_ms: false,
            throughput: false,
            errors_per_s: false,
        },
        weight_basis: WeightBasis::Equal,
        discovery_mode: DiscoveryMode::Push,
        timer_resolution: 1.0,
        limits: Limits {
            max_attempts: 3,
            cancellation: true,
            hedging: false,
            probes: true,
            peer_messages: true,
            retry_after: true,
            max_retry_after: 1000.0,
            connect_timeout: 100.0,
            connection_idle_timeout: 5000.0,
            streams_per_connection: 1,
            max_requests_in_flight: 1000,
            cpu_us_per_s: 50_000.0,
            cpu_us_per_request: None,
        },
        contract: Contract {
            response_grace: 10.0,
            drain_grace: 250.0,
            initial_capacity: 0.25,
            warm_up: 8000.0,
            overload_multiple: 3.0,
            overload_window: 2000.0,
            max_notification_delay: None,
        },
        prices: Prices::default(),
    }
}

pub fn endpoint(id: u32) -> EndpointEntry {
    EndpointEntry::new(EndpointId(id))
}

/// Endpoints 1 to `count`.
pub fn endpoints(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(endpoint).collect()
}

/// Passes one request of class 0 every `interval` to the balancer for `duration`.
/// `attempt_end(endpoint, sent_at)` gives the latency and the outcome of each attempt. Returns the number of
/// attempts to each endpoint.
pub fn run_load(
    harness: &mut Harness,
    duration: f64,
    interval: f64,
    attempt_end: impl Fn(EndpointId, f64) -> (f64, Outcome),
) -> std::collections::BTreeMap<EndpointId, usize> {
    let mut counts = std::collections::BTreeMap::new();
    let mut in_flight: Vec<(f64, RequestId, u32, Outcome)> = Vec::new();
    let mut attempts_seen: std::collections::BTreeMap<RequestId, usize> = Default::default();
    let until = harness.now + duration;
    let mut next_request_at = harness.now;
    while harness.now < until {
        if harness.now >= next_request_at {
            let id = harness.request(0);
            attempts_seen.insert(id, 0);
            next_request_at += interval;
        }
        for (id, seen) in &mut attempts_seen {
            for (index, attempt) in harness.requests[id].attempts.iter().enumerate().skip(*seen) {
                let (latency, outcome) = attempt_end(attempt.endpoint, attempt.sent_at);
                *counts.entry(attempt.endpoint).or_insert(0) += 1;
                in_flight.push((attempt.sent_at + latency, *id, index as u32, outcome));
            }
            *seen = harness.requests[id].attempts.len();
        }
        let requests = &harness.requests;
        attempts_seen
            .retain(|id, seen| requests[id].final_outcome.is_none() || requests[id].attempts.len() > *seen);
        harness.advance(1.0);
        let (due, later): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|attempt| attempt.0 <= harness.now);
        in_flight = later;
        for (_, id, attempt, outcome) in due {
            if harness.attempts_in_flight(id).contains(&attempt) {
                harness.finish_attempt(id, attempt, outcome);
            }
        }
    }
    // Serve the attempts that are still in flight, so that they don't affect the next call.
    for id in harness.requests.keys().copied().collect::<Vec<_>>() {
        for attempt in harness.attempts_in_flight(id) {
            harness.finish_attempt(id, attempt, Outcome::Served);
        }
    }
    counts
}

/// For [`run_load`]: endpoint 1 fails after 1 ms, the others serve after 20 ms.
pub fn first_endpoint_fails(endpoint: EndpointId, _: f64) -> (f64, Outcome) {
    if endpoint == EndpointId(1) { (1.0, Outcome::Error) } else { (20.0, Outcome::Served) }
}
