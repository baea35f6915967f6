//! A simulation of many balancers that share endpoints, with a record of the attempts that the endpoints got.

use std::collections::BTreeMap;

use balancer::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::*;

/// Default service time of a request on a warmed-up endpoint, which serves one request at a time.
pub const SERVICE_TIME_MS: f64 = 40.0;

/// Resolution of the simulated time.
pub const STEP_MS: f64 = 20.0;

/// Latency of errors and rejections.
pub const ERROR_LATENCY_MS: f64 = 5.0;

/// Endpoints report their utilization over this time.
pub const UTILIZATION_WINDOW_MS: f64 = 1000.0;

/// How an endpoint misbehaves.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// Responds to each request with an error.
    Fails,
    /// Rejects each request.
    Rejects,
    /// Never responds.
    Stalls,
    /// Responds with an error to so many of ten requests.
    FailsTenths(u64),
}

/// An attempt in flight, and how and when it will end.
pub struct PendingAttempt {
    pub balancer: usize,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    ends_at: f64,
    outcome: Outcome,
}

/// Balancers that do not communicate, and the endpoints that they share.
pub struct Fleet {
    pub balancers: Vec<Harness>,
    pub endpoint_list: Vec<EndpointEntry>,
    pub rng: Pcg32,
    pub in_flight: Vec<PendingAttempt>,
    /// Time and endpoint of each attempt.
    pub attempts: Vec<(f64, EndpointId)>,
    /// Number of attempts that were retries.
    pub retries: usize,
    /// Number of attempts that reached the timeout set by their balancer, before the client's deadline.
    pub timed_out: usize,
    pub served: usize,
    /// Each balancer's share of the traffic.
    pub traffic_shares: Vec<f64>,
    /// The endpoints that misbehave.
    pub faults: BTreeMap<EndpointId, Fault>,
    /// Service time of a request on a warmed-up endpoint.
    pub service_time_ms: f64,
    /// If endpoints queue requests and report their load: when each will have served all that it was sent.
    pub queue_ends: Option<BTreeMap<EndpointId, f64>>,
}

impl Fleet {
    pub fn new(count: u32, skewed: bool, endpoint_list: Vec<EndpointEntry>) -> Fleet {
        Fleet::with_settings(settings(), count, skewed, endpoint_list)
    }

    pub fn with_settings(
        settings: Settings,
        count: u32,
        skewed: bool,
        endpoint_list: Vec<EndpointEntry>,
    ) -> Fleet {
        // If skewed, one balancer in ten gets nine times the traffic of each other: half of all together.
        let share = |index: u32| if skewed && index.is_multiple_of(10) { 9.0 } else { 1.0 };
        Fleet::with_seed(settings, (0..count).map(share).collect(), endpoint_list, 0)
    }

    /// Starts one balancer for each entry of `shares`, the relative shares of the traffic.
    pub fn with_seed(
        settings: Settings,
        shares: Vec<f64>,
        endpoint_list: Vec<EndpointEntry>,
        seed: u64,
    ) -> Fleet {
        let settings = Settings { balancer_count: shares.len() as u32, ..settings };
        let start = |index| {
            Harness::with_seed(
                Settings { balancer_index: index, ..settings.clone() },
                endpoint_list.clone(),
                5000 * seed + u64::from(index),
            )
        };
        let balancers = (0..settings.balancer_count).map(start).collect();
        let total: f64 = shares.iter().sum();
        Fleet {
            balancers,
            endpoint_list,
            rng: Pcg32::seed_from_u64(7 + seed),
            in_flight: Vec::new(),
            attempts: Vec::new(),
            retries: 0,
            timed_out: 0,
            served: 0,
            traffic_shares: shares.into_iter().map(|share| share / total).collect(),
            faults: BTreeMap::new(),
            service_time_ms: SERVICE_TIME_MS,
            queue_ends: None,
        }
    }

    pub fn now(&self) -> f64 {
        self.balancers[0].now
    }

    /// The fraction of its capacity that an endpoint has at time `at` of its slow start.
    pub fn capacity_fraction(&self, endpoint: EndpointId, at: f64) -> f64 {
        let Contract { warm_up, initial_capacity, .. } = self.balancers[0].settings.contract;
        let entry = self.endpoint_list.iter().find(|entry| entry.endpoint == endpoint);
        let progress =
            entry.and_then(|entry| entry.started_at).map_or(1.0, |started| (at - started) / warm_up);
        (initial_capacity + (1.0 - initial_capacity) * progress).clamp(initial_capacity, 1.0)
    }

    /// Sends the full endpoint list to every balancer.
    pub fn update_endpoints(&mut self, endpoint_list: Vec<EndpointEntry>) {
        self.balancers.iter_mut().for_each(|balancer| {
            drop(balancer.update_endpoints(EndpointUpdate::FullSnapshot(endpoint_list.clone())));
        });
        self.endpoint_list = endpoint_list;
    }

    /// Replaces each balancer whose index matches by a new process without state.
    pub fn restart(&mut self, matches: impl Fn(usize) -> bool) {
        for index in (0..self.balancers.len()).filter(|index| matches(*index)) {
            self.balancers[index] = self.new_process(index);
            self.in_flight.retain(|pending| pending.balancer != index);
        }
    }

    /// A new process of the balancer with this index, without its state.
    pub fn new_process(&self, index: usize) -> Harness {
        let mut process =
            Harness::with_seed(self.balancers[index].settings.clone(), Vec::new(), 1000 + index as u64);
        process.now = self.now();
        process.update_endpoints(EndpointUpdate::FullSnapshot(self.endpoint_list.clone()));
        process
    }

    /// Starts an upgrade of every balancer: a second process with the same index takes half of its traffic.
    pub fn add_second_processes(&mut self) {
        self.add_second_process_each(1);
    }

    /// The same for one balancer in `nth`, chosen so that the middle one is among them.
    pub fn add_second_process_each(&mut self, nth: usize) {
        let middle = self.balancers.len() / 2;
        for index in (0..self.balancers.len()).filter(|index| index % nth == middle % nth) {
            self.balancers.push(self.new_process(index));
            self.traffic_shares[index] /= 2.0;
            self.traffic_shares.push(self.traffic_shares[index]);
        }
    }

    /// Starts or restarts the endpoints with these identifiers. Returns the time.
    pub fn start_endpoints(&mut self, ids: &[u32]) -> f64 {
        let now = self.now();
        let mut endpoint_list = self.endpoint_list.clone();
        endpoint_list.retain(|entry| !ids.contains(&entry.endpoint.0));
        endpoint_list.extend(ids.iter().map(|id| started_endpoint(*id, now)));
        self.update_endpoints(endpoint_list);
        now
    }

    /// An operator disables an endpoint in every balancer, restarts it and enables it again.
    pub fn restart_by_operator(&mut self, endpoint: EndpointId) {
        let at = self.now();
        let entry =
            self.endpoint_list.iter_mut().find(|entry| entry.endpoint == endpoint).expect("unknown endpoint");
        entry.started_at = Some(at);
        for balancer in &mut self.balancers {
            balancer.handle_event(Event::Disabled { endpoint });
            balancer.handle_event(Event::Enabled { endpoint, at });
        }
    }

    /// Removes all endpoints but these.
    pub fn keep_only(&mut self, ids: &[u32]) {
        let mut endpoint_list = self.endpoint_list.clone();
        endpoint_list.retain(|entry| ids.contains(&entry.endpoint.0));
        self.update_endpoints(endpoint_list);
    }

    /// Makes these endpoints misbehave from now on.
    pub fn inject_fault(&mut self, ids: &[u32], fault: Fault) {
        self.faults.extend(ids.iter().map(|id| (EndpointId(*id), fault)));
    }

    /// Advances the time by `duration`; all balancers together get `requests_per_s`.
    pub fn run(&mut self, duration: f64, requests_per_s: f64) {
        let until = self.now() + duration;
        while self.now() < until {
            for index in 0..self.balancers.len() {
                let mut expected = requests_per_s * STEP_MS / 1000.0 * self.traffic_shares[index];
                while expected > 0.0 {
                    if f64::from(self.rng.next_u32()) < expected.min(1.0) * f64::from(u32::MAX) {
                        self.balancers[index].request(0);
                    }
                    expected -= 1.0;
                }
                self.process_actions(index);
                self.balancers[index].advance(STEP_MS);
                self.process_actions(index);
            }
            let now = self.now();
            let (due, later) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|pending| pending.ends_at <= now);
            self.in_flight = later;
            let due: Vec<PendingAttempt> = due;
            for PendingAttempt { balancer, id, attempt, endpoint, outcome, .. } in due {
                if self.balancers[balancer].attempts_in_flight(id).contains(&attempt) {
                    let report = self.load_report(endpoint);
                    self.balancers[balancer].finish_attempt_with_report(id, attempt, outcome, report);
                    self.served += usize::from(outcome == Outcome::Served);
                }
                self.process_actions(balancer);
            }
        }
    }

    pub fn load_report(&self, endpoint: EndpointId) -> LoadReport {
        let Some(queue_ends) = &self.queue_ends else { return LoadReport::default() };
        let service_time = self.service_time_ms / self.capacity_fraction(endpoint, self.now());
        let recent = |attempt: &&(f64, EndpointId)| {
            attempt.1 == endpoint && attempt.0 > self.now() - UTILIZATION_WINDOW_MS
        };
        let recent = self.attempts.iter().rev().take(1000).filter(recent).count() as f64;
        let utilization = if queue_ends[&endpoint] > self.now() {
            1.0
        } else {
            (recent * service_time / UTILIZATION_WINDOW_MS).min(1.0)
        };
        LoadReport { utilization: Some(utilization), ..LoadReport::default() }
    }

    /// Starts and cancels attempts as the balancer has decided.
    pub fn process_actions(&mut self, index: usize) {
        let actions = std::mem::take(&mut self.balancers[index].actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => self.start_attempt(index, id, endpoint, timeout),
                Action::Cancel { id, attempt }
                    if self.balancers[index].attempts_in_flight(id).contains(&attempt) =>
                {
                    drop(self.balancers[index].finish_attempt(id, attempt, Outcome::Cancelled));
                }
                _ => {}
            }
        }
    }

    pub fn start_attempt(
        &mut self,
        balancer: usize,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Option<f64>,
    ) {
        let now = self.balancers[balancer].now;
        let attempt = self.balancers[balancer].requests[&id].attempts.len() as u32 - 1;
        let service_time = self.service_time_ms / self.capacity_fraction(endpoint, now);
        let (mut ends_at, mut outcome) = (now + service_time, Outcome::Served);
        if let Some(queue_ends) = &mut self.queue_ends {
            let queue_end = queue_ends.entry(endpoint).or_insert(now);
            *queue_end = queue_end.max(now) + service_time;
            ends_at = *queue_end;
        }
        match self.faults.get(&endpoint) {
            Some(Fault::Fails) => (ends_at, outcome) = (now + ERROR_LATENCY_MS, Outcome::Error),
            Some(Fault::FailsTenths(tenths)) if (7 * id.0 + 3 * balancer as u64) % 10 < *tenths => {
                (ends_at, outcome) = (now + ERROR_LATENCY_MS, Outcome::Error);
            }
            Some(Fault::Rejects) => (ends_at, outcome) = (now + ERROR_LATENCY_MS, Outcome::Rejected),
            Some(Fault::Stalls) => ends_at = f64::INFINITY,
            _ => {}
        }
        if let Some(timeout) = timeout.filter(|timeout| now + timeout < ends_at) {
            (ends_at, outcome) = (now + timeout, Outcome::TimedOut);
            self.timed_out += 1;
        }
        self.retries += usize::from(attempt > 0);
        self.attempts.push((now, endpoint));
        self.in_flight.push(PendingAttempt { balancer, id, attempt, endpoint, ends_at, outcome });
    }

    /// The one of these endpoints whose peak load since `from` was highest, with `from`.
    pub fn most_loaded(&self, ids: &[u32], from: f64) -> (u32, f64) {
        let peak = |id: &u32| self.peak_load(EndpointId(*id), from);
        (*ids.iter().max_by(|a, b| peak(a).total_cmp(&peak(b))).expect("no endpoints"), from)
    }

    /// The highest number of attempts that an endpoint got within one `overload_window` since `from`, divided
    /// by the number that it withstands at that point of its slow start. The divisor includes a margin for
    /// the randomness of arrivals: 2 or 3 standard deviations and a constant. Above 1, the endpoint was
    /// overloaded.
    pub fn peak_load(&self, endpoint: EndpointId, from: f64) -> f64 {
        let Contract { overload_window, overload_multiple, .. } = self.balancers[0].settings.contract;
        let mut times: Vec<f64> =
            self.attempts.iter().filter(|(_, to)| *to == endpoint).map(|(at, _)| *at).collect();
        times.retain(|at| *at >= from);
        times.sort_by(f64::total_cmp);
        let load = |end: f64| {
            let count = times.iter().filter(|at| **at > end - overload_window && **at <= end).count() as f64;
            let capacity = (self.capacity_fraction(endpoint, end)
                + self.capacity_fraction(endpoint, end - overload_window))
                / 2.0;
            let limit = overload_multiple * capacity * overload_window / self.service_time_ms;
            let (deviations, constant) = if limit < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
            count / (limit + deviations * limit.sqrt() + constant)
        };
        times.iter().map(|at| load(*at)).fold(0.0, f64::max)
    }
}

/// An endpoint whose process started at `now`.
pub fn started_endpoint(id: u32, now: f64) -> EndpointEntry {
    EndpointEntry { started_at: Some(now), ..endpoint(id) }
}
