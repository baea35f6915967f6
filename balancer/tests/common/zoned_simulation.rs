//! A simulation of one balancer and endpoints in three zones, on virtual time.

use std::collections::BTreeMap;

use super::*;

/// How an attempt ends: its latency and outcome, or `None` if it gets no response and has to time out.
pub type ScriptedEnd = Option<(f64, Outcome)>;

pub const SERVED: ScriptedEnd = Some((20.0, Outcome::Served));
/// Resolution of the simulated time.
pub const STEP_MS: f64 = 5.0;

/// Three zones, the third in a region of its own, with three endpoints of each of two kinds. Endpoint n is in
/// zone n / 6 and of kind n % 2.
pub fn zoned() -> (Settings, Vec<EndpointEntry>) {
    let mut settings = settings();
    (settings.zone_count, settings.kind_count) = (3, 2);
    settings.locality = Some(Locality { own_zone: Some(0), regions: vec![0, 0, 1] });
    let list =
        (0..18).map(|n| EndpointEntry { zone: zone_of(EndpointId(n)), kind: n as usize % 2, ..endpoint(n) });
    (settings, list.collect())
}

pub fn zone_of(endpoint: EndpointId) -> usize {
    endpoint.0 as usize / 6
}

pub struct Simulation {
    pub harness: Harness,
    /// Requests without a final response or with an attempt in flight.
    pub open_requests: Vec<RequestId>,
    /// Number of the harness's actions that have been processed.
    pub actions_seen: usize,
    pub next_request_at: f64,
    pub request_count: usize,
    /// Time and endpoint of each attempt.
    pub attempts: Vec<(f64, EndpointId)>,
}

impl Simulation {
    pub fn new((settings, list): (Settings, Vec<EndpointEntry>)) -> Simulation {
        let harness = Harness::new(settings, list);
        let next_request_at = harness.now;
        Simulation {
            harness,
            open_requests: Vec::new(),
            actions_seen: 0,
            next_request_at,
            request_count: 0,
            attempts: Vec::new(),
        }
    }

    /// Passes a request to the balancer every `interval` for `duration`, of each class in turn.
    /// `attempt_end(endpoint, sent_at, class)` decides how each attempt ends.
    pub fn run(
        &mut self,
        duration: f64,
        interval: f64,
        mut attempt_end: impl FnMut(EndpointId, f64, usize) -> ScriptedEnd,
    ) {
        let (until, mut ends) =
            (self.harness.now + duration, BTreeMap::<(RequestId, u32), ScriptedEnd>::new());
        while self.harness.now < until {
            while self.next_request_at <= self.harness.now {
                self.next_request_at += interval;
                self.request_count += 1;
                let class = self.request_count % self.harness.settings.classes.len();
                let id = self.harness.request(class);
                self.open_requests.push(id);
            }
            self.process_actions();
            for id in self.open_requests.clone() {
                for attempt in self.harness.attempts_in_flight(id) {
                    let (sent_at, endpoint) = (
                        self.harness.requests[&id].attempts[attempt as usize].sent_at,
                        self.harness.endpoint_of(id, attempt as usize),
                    );
                    let class = self.harness.requests[&id].class;
                    let end =
                        *ends.entry((id, attempt)).or_insert_with(|| attempt_end(endpoint, sent_at, class));
                    let timeout = self.harness.requests[&id].attempts[attempt as usize].timeout;
                    if let Some((_, outcome)) =
                        end.filter(|(latency, _)| sent_at + latency <= self.harness.now)
                    {
                        self.harness.finish_attempt(id, attempt, outcome);
                    } else if timeout.is_some_and(|timeout| sent_at + timeout <= self.harness.now) {
                        self.harness.finish_attempt(id, attempt, Outcome::TimedOut);
                    }
                }
            }
            self.process_actions();
            self.harness.advance(STEP_MS);
            let harness = &self.harness;
            self.open_requests.retain(|id| {
                harness.requests[id].final_outcome.is_none() || !harness.attempts_in_flight(*id).is_empty()
            });
        }
    }

    /// Records the attempts that were sent, and ends those that were cancelled.
    pub fn process_actions(&mut self) {
        while let Some(action) = self.harness.actions.get(self.actions_seen).cloned() {
            self.actions_seen += 1;
            match action {
                Action::Send { endpoint, .. } => self.attempts.push((self.harness.now, endpoint)),
                Action::Cancel { id, attempt } if self.harness.attempts_in_flight(id).contains(&attempt) => {
                    self.harness.finish_attempt(id, attempt, Outcome::Cancelled);
                }
                _ => {}
            }
        }
    }

    /// Number of attempts to each zone since `from`.
    pub fn attempts_by_zone(&self, from: f64) -> [usize; 3] {
        let mut counts = [0; 3];
        self.attempts
            .iter()
            .filter(|(at, _)| *at >= from)
            .for_each(|(_, endpoint)| counts[zone_of(*endpoint)] += 1);
        counts
    }

    pub fn ejected_zones(&self) -> Vec<usize> {
        self.harness.balancer.ejected_zones().iter().map(|ejected| ejected.zone).collect()
    }
}

/// For [`Simulation::run`]: each endpoint serves one request at a time, in 20 ms.
pub fn queueing_endpoints() -> impl FnMut(EndpointId, f64, usize) -> ScriptedEnd {
    let mut free = BTreeMap::<EndpointId, f64>::new();
    move |endpoint, at, _| {
        let done = free.get(&endpoint).copied().unwrap_or(0.0).max(at) + 20.0;
        free.insert(endpoint, done);
        Some((done - at, Outcome::Served))
    }
}
