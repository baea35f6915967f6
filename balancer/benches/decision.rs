//! CPU time of the balancer with 200 endpoints, with and without locality: for one request, from its
//! arrival to the end of its attempt, and for the periodic evaluation, which runs ten times per second.

use balancer::*;
use criterion::{Criterion, criterion_group, criterion_main};

fn settings(locality: bool) -> Settings {
    let class = |effect, priority_weight| Class {
        latency_objective: 300.0,
        objective_stretch: 0.0,
        deadline: 750.0,
        priority_weight,
        late_priority_weight: 0.0,
        effect,
        streamed: false,
    };
    let regions = vec![0, 0, 1, 1];
    Settings {
        balancer_index: 0,
        balancer_count: 300,
        zone: 0,
        zone_count: 4,
        locality: locality.then_some(Locality { own_zone: Some(0), regions }),
        kind_count: 3,
        classes: vec![class(Effect::Safe, 8.0), class(Effect::Unsafe, 24.0)],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        weight_by_work: false,
        key_affinity: false,
        clients_mark_retries: false,
        objective_weights: ObjectiveWeights {
            overall: 1.0,
            worst_window: 0.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
        },
        load_reports: LoadReportSettings {
            carried_by: LoadReporting::WithResponses,
            outstanding: false,
            backlog: false,
            utilization: true,
            recent_ms: false,
            throughput: false,
            errors_per_s: false,
        },
        weight_basis: WeightBasis::Equal,
        discovery_mode: DiscoveryMode::Push,
        timer_resolution: 4.0,
        limits: Limits {
            max_attempts: 3,
            cancellation: true,
            hedging: false,
            probes: false,
            peer_messages: false,
            retry_after: true,
            max_retry_after: 400.0,
            connect_timeout: 100.0,
            connection_idle_timeout: 30_000.0,
            streams_per_connection: 1,
            max_requests_in_flight: 1000,
            cpu_us_per_s: 8000.0,
            cpu_us_per_request: None,
        },
        contract: Contract {
            response_grace: 16.0,
            drain_grace: 1500.0,
            initial_capacity: 0.12,
            warm_up: 20_000.0,
            overload_multiple: 4.0,
            overload_window: 1000.0,
            max_notification_delay: None,
        },
        prices: Prices::default(),
    }
}

/// A balancer with 200 endpoints that has already served requests.
struct Harness {
    balancer: Balancer,
    now: Millis,
    last_id: u64,
    actions: Vec<Action>,
}

impl Harness {
    fn new(locality: bool) -> Harness {
        let balancer = Balancer::new(settings(locality), 1).expect("the settings are valid");
        let mut harness = Harness { balancer, now: 1000.0, last_id: 0, actions: Vec::new() };
        let endpoint = |id: u32| EndpointEntry {
            endpoint: EndpointId(id),
            zone: id as usize % 4,
            kind: id as usize % 3,
            cell: 0,
            weight: 1.0,
            started_at: None,
            state: EndpointState::Up,
        };
        harness
            .handle(Event::EndpointUpdate(EndpointUpdate::CachedSnapshot((0..200).map(endpoint).collect())));
        for _ in 0..2000 {
            harness.serve_request();
        }
        harness
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// One request whose response arrives after 20 ms; the next request follows 10 ms later.
    fn serve_request(&mut self) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let metadata = RequestMetadata { class: (self.last_id % 2) as usize, ..RequestMetadata::default() };
        let request = NewRequest { id, timeout: 750.0, body_pending: false, metadata };
        self.handle(Event::Request(request));
        self.now += 20.0;
        let load_report = LoadReport { utilization: Some(0.5), ..LoadReport::default() };
        let (outcome, latency) = (Outcome::Served, 20.0);
        let end = AttemptEnd {
            id,
            attempt: 0,
            outcome,
            latency,
            request_ended: true,
            load_report,
            cannot_resend: false,
        };
        self.handle(Event::AttemptFinished(end));
        self.now += 10.0;
    }

    /// The evaluation that is due every 100 ms. `token` is that of its timer and is replaced by the next one.
    fn evaluate(&mut self, token: &mut u64) {
        self.now += 100.0;
        self.handle(Event::TimerFired { token: *token });
        let next_token = self.actions.iter().find_map(|action| match action {
            Action::SetTimer { token, .. } => Some(*token),
            _ => None,
        });
        *token = next_token.unwrap_or(*token);
    }
}

fn decisions(criterion: &mut Criterion) {
    for (name, locality) in [("off", false), ("on", true)] {
        let mut harness = Harness::new(locality);
        criterion.bench_function(&format!("request, 200 hosts, locality {name}"), |bencher| {
            bencher.iter(|| harness.serve_request());
        });
        let (mut harness, mut token) = (Harness::new(locality), 1);
        criterion.bench_function(&format!("look, 200 hosts, locality {name}"), |bencher| {
            bencher.iter(|| harness.evaluate(&mut token));
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
