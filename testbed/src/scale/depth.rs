//! How retries multiply over nested calls: a chain of levels, each with a client proxy that calls the next
//! level, and a failing leaf at the end. Simulated with the real decision module at every level and with the
//! retry budget alone, and calculated.

use std::collections::{HashMap, VecDeque};

use balancer::{
    Action, AttemptEnd, Balancer, EndpointEntry, EndpointId, EndpointUpdate, Event, LoadReport, Millis,
    NewRequest, Outcome, RequestId, RequestMetadata,
};
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::hollow::settings;
use super::timeline::Timeline;
use super::{Options, Point, Run, ScaleError};
use crate::chance::{exponential, stream, uniform};

const DEPTHS: [u32; 7] = [1, 2, 3, 5, 8, 13, 21];
/// Request rate of each client proxy at the root, as stated by the operators.
const ROOT_REQUESTS_PER_S: f64 = 139.0;
/// Order servers of each level, the average of a service. With only a few, all but one would be ejected when
/// every attempt fails, and no endpoint would be left for a retry.
const ENDPOINTS_PER_LEVEL: u32 = 17;
/// Network round trip between a client proxy and an order server, an order server's own work before it calls
/// the next level, and the work of the leaf. Assumed.
const ROUND_TRIP_MS: Millis = 1.0;
const OWN_WORK_MS: Millis = 1.0;
const LEAF_WORK_MS: Millis = 5.0;
/// Timeout of a client at the root. Lower levels get the remaining part of it.
const CLIENT_TIMEOUT_MS: Millis = 1_000.0;
/// The leaf is healthy for `HEALTHY_MS`, then fails for `FAILING_MS`, which is the measured part.
const HEALTHY_MS: Millis = 10_000.0;
const FAILING_MS: Millis = 20_000.0;
/// Probability that an attempt at the leaf fails, one simulation for each.
const FAILURE_RATES: [f64; 2] = [1.0, 0.1];

/// What a first attempt adds to a level's retry budget, and the budget's maximum, in retries. The decision
/// module has them as `RETRY_BUDGET_PER_REQUEST` in `balancer/src/logic/dispatch.rs` and `MAX_RETRY_BUDGET`
/// in `balancer/src/logic.rs`.
const RETRY_SHARE: f64 = 0.15;
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Attempts of a request at one level, `attemptsCap` in the settings.
const MAX_ATTEMPTS: u32 = 3;
/// Alternative to `RETRY_SHARE`: calculated for each level, simulated and calculated for one budget of the
/// whole tree.
const ALTERNATIVE_SHARE: f64 = 0.1;
/// Requests at the root of a simulation of the retry budget alone.
const BUDGET_SIMULATION_REQUESTS: u32 = 20_000;

enum SimEvent {
    /// A request arrives at the root.
    Root,
    Timer {
        level: usize,
        token: u64,
    },
    /// An order server has finished its own work and calls the next level.
    WorkDone(Attempt),
    AttemptEnded(Attempt, Outcome),
    /// The attempt's timeout has expired.
    TimeOut(Attempt),
}

/// Identifies an attempt, which the client proxy of `level` sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Attempt {
    level: usize,
    id: RequestId,
    attempt: u32,
}

#[derive(Default)]
struct PendingRequest {
    /// The attempt of the level above that this request serves; `None` at the root.
    parent: Option<Attempt>,
    deadline: Millis,
    attempts: u32,
}

struct Level {
    balancer: Balancer,
    requests: HashMap<RequestId, PendingRequest>,
}

/// Counters of the time in which the leaf fails.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    roots: f64,
    /// Root requests that got their final response, served or not.
    finished: f64,
    served: f64,
    leaf_attempts: f64,
}

/// The decision module at each level, in virtual time.
struct Tree {
    timeline: Timeline<SimEvent>,
    levels: Vec<Level>,
    /// The attempts in flight: when each was sent, and when it times out.
    in_flight: HashMap<Attempt, (Millis, Millis)>,
    next_id: u64,
    failure_rate: f64,
    counts: Counts,
    rng: Pcg32,
}

impl Tree {
    fn new(depth: u32, rng: &mut Pcg32) -> Result<Tree, ScaleError> {
        let level = |_| -> Result<Level, ScaleError> {
            let balancer = Balancer::new(settings(0, 1)?, rng.next_u64());
            let balancer = balancer.map_err(|error| ScaleError::SetUp(error.to_string()))?;
            Ok(Level { balancer, requests: HashMap::new() })
        };
        let levels: Result<Vec<Level>, ScaleError> = (0..depth).map(level).collect();
        let mut tree = Tree {
            timeline: Timeline::default(),
            levels: levels?,
            in_flight: HashMap::new(),
            next_id: 0,
            failure_rate: 0.0,
            counts: Counts::default(),
            rng: stream(rng.next_u64(), "leaf"),
        };
        let endpoint = |id| EndpointEntry::new(EndpointId(id));
        for level in 0..depth as usize {
            tree.process(
                level,
                Event::EndpointUpdate(EndpointUpdate::FullSnapshot(
                    (0..ENDPOINTS_PER_LEVEL).map(endpoint).collect(),
                )),
            );
        }
        tree.timeline.schedule_at(0.0, SimEvent::Root);
        Ok(tree)
    }

    fn run_until(&mut self, until: Millis) {
        while let Some(event) = self.timeline.next(until) {
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Root => {
                let next = exponential(&mut self.rng) * 1e3 / ROOT_REQUESTS_PER_S;
                self.timeline.schedule_after(next, SimEvent::Root);
                self.counts.roots += 1.0;
                self.send_request(0, None, CLIENT_TIMEOUT_MS);
            }
            SimEvent::Timer { level, token } => self.process(level, Event::TimerFired { token }),
            SimEvent::WorkDone(attempt) => {
                // The attempt timed out or was cancelled: its connection is closed, so the order server stops
                // working on it.
                let Some(&(_, until)) = self.in_flight.get(&attempt) else { return };
                if attempt.level + 1 < self.levels.len() {
                    return self.send_request(attempt.level + 1, Some(attempt), until - self.timeline.now());
                }
                self.counts.leaf_attempts += 1.0;
                let failed = uniform(&mut self.rng) < self.failure_rate;
                let outcome = if failed { Outcome::Error } else { Outcome::Served };
                self.timeline.schedule_after(
                    LEAF_WORK_MS + ROUND_TRIP_MS / 2.0,
                    SimEvent::AttemptEnded(attempt, outcome),
                );
            }
            SimEvent::AttemptEnded(attempt, outcome) => self.end_attempt(attempt, outcome),
            SimEvent::TimeOut(attempt) => self.end_attempt(attempt, Outcome::TimedOut),
        }
    }

    fn send_request(&mut self, level: usize, parent: Option<Attempt>, timeout: Millis) {
        self.next_id += 1;
        let (id, deadline) = (RequestId(self.next_id), self.timeline.now() + timeout);
        self.levels[level].requests.insert(id, PendingRequest { parent, deadline, attempts: 0 });
        let metadata = RequestMetadata::default();
        self.process(level, Event::Request(NewRequest { id, timeout, body_pending: false, metadata }));
    }

    /// Ends an attempt, unless it has ended already.
    fn end_attempt(&mut self, attempt: Attempt, outcome: Outcome) {
        let Some((sent_at, _)) = self.in_flight.remove(&attempt) else { return };
        if outcome == Outcome::Served {
            self.finish_request(attempt.level, attempt.id, true);
        }
        let event = self.finished_event(attempt, outcome, sent_at);
        self.process(attempt.level, event);
    }

    fn finished_event(&self, attempt: Attempt, outcome: Outcome, sent_at: Millis) -> Event {
        Event::AttemptFinished(AttemptEnd {
            id: attempt.id,
            attempt: attempt.attempt,
            outcome,
            latency: self.timeline.now() - sent_at,
            request_ended: !self.levels[attempt.level].requests.contains_key(&attempt.id),
            load_report: LoadReport::default(),
            cannot_resend: false,
        })
    }

    /// Delivers the final response of a request. Below the root, it decides the outcome of the attempt one
    /// level up.
    fn finish_request(&mut self, level: usize, id: RequestId, served: bool) {
        match self.levels[level].requests.remove(&id) {
            Some(PendingRequest { parent: Some(parent), .. }) => {
                let outcome = if served { Outcome::Served } else { Outcome::Error };
                self.timeline.schedule_after(ROUND_TRIP_MS / 2.0, SimEvent::AttemptEnded(parent, outcome));
            }
            Some(PendingRequest { parent: None, .. }) => {
                self.counts.finished += 1.0;
                self.counts.served += f64::from(u8::from(served));
            }
            None => {}
        }
    }

    /// Feeds an event to the decision module of a level and executes the actions, as the driver of the client
    /// proxy does. Events that follow at once, from cancelled attempts, are fed as well.
    fn process(&mut self, level: usize, event: Event) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            self.levels[level].balancer.handle(self.timeline.now(), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { id, timeout, .. } => self.send(level, id, timeout),
                    Action::Cancel { id, attempt } => {
                        let attempt = Attempt { level, id, attempt };
                        if let Some((sent_at, _)) = self.in_flight.remove(&attempt) {
                            events.push_back(self.finished_event(attempt, Outcome::Cancelled, sent_at));
                        }
                    }
                    Action::Reject { id, .. } | Action::Fail { id } => self.finish_request(level, id, false),
                    Action::SetTimer { at, token } => {
                        self.timeline.schedule_at(at, SimEvent::Timer { level, token });
                    }
                    // The remaining actions are about discovery and connections, which this simulation does
                    // not have.
                    _ => {}
                }
            }
        }
    }

    fn send(&mut self, level: usize, id: RequestId, timeout: Option<Millis>) {
        let now = self.timeline.now();
        let Some(pending) = self.levels[level].requests.get_mut(&id) else { return };
        let attempt = Attempt { level, id, attempt: pending.attempts };
        pending.attempts += 1;
        let until = timeout.map_or(pending.deadline, |timeout| pending.deadline.min(now + timeout));
        self.in_flight.insert(attempt, (now, until));
        self.timeline.schedule_after(ROUND_TRIP_MS / 2.0 + OWN_WORK_MS, SimEvent::WorkDone(attempt));
        self.timeline.schedule_at(until, SimEvent::TimeOut(attempt));
    }
}

/// Simulates the decision module at all levels. Returns the attempts at the leaf for each request at the
/// root, and the share of root requests that were served.
fn simulate_decisions(depth: u32, failure_rate: f64, rng: &mut Pcg32) -> Result<(f64, f64), ScaleError> {
    let mut tree = Tree::new(depth, rng)?;
    tree.run_until(HEALTHY_MS);
    (tree.failure_rate, tree.counts) = (failure_rate, Counts::default());
    tree.run_until(HEALTHY_MS + FAILING_MS);
    let Counts { roots, finished, served, leaf_attempts } = tree.counts;
    Ok((leaf_attempts / roots.max(1.0), served / finished.max(1.0)))
}

/// A retry budget: each first attempt adds `share` of a retry.
struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    fn new(share: f64) -> Budget {
        Budget { share, tokens: MAX_SAVED_RETRIES }
    }

    fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_SAVED_RETRIES);
    }

    fn take_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

/// Simulates the retry budget alone, without health, load or time. The only randomness is whether the leaf
/// fails.
struct BudgetSimulation<'a> {
    /// One for each level, or a single one for the whole tree.
    budgets: Vec<Budget>,
    depth: usize,
    failure_rate: f64,
    rng: &'a mut Pcg32,
    leaf_attempts: f64,
}

impl BudgetSimulation<'_> {
    fn call_succeeds(&mut self, level: usize) -> bool {
        if level == self.depth {
            self.leaf_attempts += 1.0;
            return uniform(self.rng) >= self.failure_rate;
        }
        let shared_budget = self.budgets.len() == 1 && self.depth > 1;
        let budget = if shared_budget { 0 } else { level };
        // The budget of the whole tree grows with requests from outside only, not with calls between levels.
        if !shared_budget || level == 0 {
            self.budgets[budget].record_first_attempt();
        }
        (0..MAX_ATTEMPTS).any(|attempt| {
            (attempt == 0 || self.budgets[budget].take_retry()) && self.call_succeeds(level + 1)
        })
    }
}

/// Returns the same as [`simulate_decisions`], for the retry budget alone.
fn simulate_budgets(budgets: Vec<Budget>, depth: u32, failure_rate: f64, rng: &mut Pcg32) -> (f64, f64) {
    let mut simulation =
        BudgetSimulation { budgets, depth: depth as usize, failure_rate, rng, leaf_attempts: 0.0 };
    let served = (0..BUDGET_SIMULATION_REQUESTS).filter(|_| simulation.call_succeeds(0)).count();
    (
        simulation.leaf_attempts / f64::from(BUDGET_SIMULATION_REQUESTS),
        served as f64 / f64::from(BUDGET_SIMULATION_REQUESTS),
    )
}

fn point(depth: u32, rng: &mut Pcg32) -> Result<Point, ScaleError> {
    let mut figures = Vec::new();
    for (failure_rate, name) in FAILURE_RATES.into_iter().zip(["all_fail", "tenth_fails"]) {
        let budget_per_level = |share| (0..depth).map(|_| Budget::new(share)).collect::<Vec<_>>();
        for (model, (attempts, served)) in [
            ("played_decisions", simulate_decisions(depth, failure_rate, rng)?),
            (
                "played_level_budget",
                simulate_budgets(budget_per_level(RETRY_SHARE), depth, failure_rate, rng),
            ),
            (
                "played_tree_budget",
                simulate_budgets(vec![Budget::new(ALTERNATIVE_SHARE)], depth, failure_rate, rng),
            ),
        ] {
            figures.push((format!("{model}_{name}_attempts"), attempts));
            figures.push((format!("{model}_{name}_served_share"), served));
        }
    }
    let levels = depth as i32;
    figures.push(("arithmetic_15_percent_each_attempts".to_owned(), (1.0 + RETRY_SHARE).powi(levels)));
    figures.push(("arithmetic_10_percent_each_attempts".to_owned(), (1.0 + ALTERNATIVE_SHARE).powi(levels)));
    figures.push(("arithmetic_10_percent_tree_attempts".to_owned(), 1.0 + ALTERNATIVE_SHARE));
    Ok(Point { x: f64::from(depth), figures: figures.into_iter().collect() })
}

/// The run `retry-depth`.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn make(options: &Options) -> Result<Run, ScaleError> {
    let mut rng = stream(options.seed, "retry-depth");
    let points: Result<Vec<Point>, ScaleError> =
        DEPTHS.into_iter().map(|depth| point(depth, &mut rng)).collect();
    let fixed = [
        ("what", "attempts at the leaf for each request at the root, and the part of these served, while the leaf fails always (all_fail) or one attempt in ten (tenth_fails)".to_owned()),
        (
            "played_decisions",
            format!(
                "the decision module at each level, virtual time: {ROOT_REQUESTS_PER_S} requests a second, {ENDPOINTS_PER_LEVEL} order servers a level, {} s sound, then {} s failing; {CLIENT_TIMEOUT_MS} ms of patience, of which lower levels get what is left",
                HEALTHY_MS / 1e3,
                FAILING_MS / 1e3
            ),
        ),
        (
            "played_level_budget",
            format!("only the rule of src/logic/dispatch.rs: {RETRY_SHARE} of the first tries of a level, {MAX_SAVED_RETRIES} saved at the most, {MAX_ATTEMPTS} attempts; {BUDGET_SIMULATION_REQUESTS} requests"),
        ),
        ("played_tree_budget", format!("only a rule: {ALTERNATIVE_SHARE} of the requests at the root for all levels together; no such thing is built")),
        ("arithmetic_*", "reckoned, not played: (1 + share) to the power of the depth, or once for the tree".to_owned()),
        ("left out", "calls to more than one service, repeats by clients, order servers' load".to_owned()),
    ];
    Ok(Run {
        run: "retry-depth".to_owned(),
        axis: "levels of calls".to_owned(),
        seed: options.seed,
        void: None,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points: points?,
    })
}

#[cfg(test)]
mod tests;
