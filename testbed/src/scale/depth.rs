//! How repeats multiply where calls are nested: a row of levels, each with a client proxy that calls the next, and a leaf
//! that fails. Played with the real decisions at every level, and with the rule of a budget alone; and reckoned.

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
use crate::chance::{exponential, stream, unit};

const AXIS: [u32; 7] = [1, 2, 3, 5, 8, 13, 21];
/// Requests that each client proxy at the root is asked for in a second, as the operators have said.
const ROOT_PER_S: f64 = 139.0;
/// Order servers of each level: as many as a service has on average. With a handful all but one are ejected where all
/// fail, and none is left for a repeat.
const ENDPOINTS: u32 = 17;
/// From a client proxy to an order server and back, what an order server does before it calls on, and what the leaf does.
/// Supposed.
const WAY: Millis = 1.0;
const OWN: Millis = 1.0;
const LEAF: Millis = 5.0;
/// What a client at the root waits for. Below, it is what is left of that.
const PATIENCE: Millis = 1_000.0;
/// The leaf is sound for so long, and then fails.
const SOUND: Millis = 10_000.0;
const FAILING: Millis = 20_000.0;
/// The first and the second part of the failures, by chance, of each attempt at the leaf.
const FAILS: [f64; 2] = [1.0, 0.1];

/// What a first try adds to a level's budget, and the most it holds: `RETRY_SHARE` in `src/logic/dispatch.rs` and
/// `RETRY_SAVED` in `src/logic.rs`.
const SHARE: f64 = 0.15;
const SAVED: f64 = 10.0;
/// `attemptsCap` of the settings.
const ATTEMPTS: u32 = 3;
/// What is reckoned with in place of that, for each level or for the whole tree.
const OTHER_SHARE: f64 = 0.1;
/// Requests at the root where only the rule is played.
const ROOTS: u32 = 20_000;

enum What {
    /// A request comes to the root.
    Root,
    Timer {
        level: usize,
        token: u64,
    },
    /// An order server has done its own part.
    Worked(Try),
    End(Try, Outcome),
    /// Nobody waits for it any longer.
    TimeOut(Try),
}

/// An attempt that left from this level.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Try {
    level: usize,
    id: RequestId,
    attempt: u32,
}

#[derive(Default)]
struct Asked {
    /// Whose work it is part of; nothing at the root.
    by: Option<Try>,
    deadline: Millis,
    attempts: u32,
}

struct Level {
    balancer: Balancer,
    requests: HashMap<RequestId, Asked>,
}

/// What was counted while the leaf failed.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    roots: f64,
    /// Of requests that ended meanwhile.
    ended: f64,
    served: f64,
    leaf: f64,
}

/// Real decisions at each level, on a virtual clock.
struct Tree {
    timeline: Timeline<What>,
    levels: Vec<Level>,
    /// When each attempt that is out was sent, and until when its answer is of use.
    out: HashMap<Try, (Millis, Millis)>,
    next_id: u64,
    fails: f64,
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
            out: HashMap::new(),
            next_id: 0,
            fails: 0.0,
            counts: Counts::default(),
            rng: stream(rng.next_u64(), "leaf"),
        };
        let endpoint = |n| EndpointEntry::new(EndpointId(n));
        for level in 0..depth as usize {
            tree.feed(
                level,
                Event::EndpointUpdate(EndpointUpdate::FullSnapshot((0..ENDPOINTS).map(endpoint).collect())),
            );
        }
        tree.timeline.at(0.0, What::Root);
        Ok(tree)
    }

    fn run(&mut self, until: Millis) {
        while let Some(what) = self.timeline.next(until) {
            self.come(what);
        }
    }

    fn come(&mut self, what: What) {
        match what {
            What::Root => {
                let next = exponential(&mut self.rng) * 1e3 / ROOT_PER_S;
                self.timeline.after(next, What::Root);
                self.counts.roots += 1.0;
                self.ask(0, None, PATIENCE);
            }
            What::Timer { level, token } => self.feed(level, Event::TimerFired { token }),
            What::Worked(attempt) => {
                // Whoever waits no longer has broken the connection off, before the work went on.
                let Some(&(_, until)) = self.out.get(&attempt) else { return };
                if attempt.level + 1 < self.levels.len() {
                    return self.ask(attempt.level + 1, Some(attempt), until - self.timeline.now());
                }
                self.counts.leaf += 1.0;
                let failed = unit(&mut self.rng) < self.fails;
                let outcome = if failed { Outcome::Error } else { Outcome::Served };
                self.timeline.after(LEAF + WAY / 2.0, What::End(attempt, outcome));
            }
            What::End(attempt, outcome) => self.end(attempt, outcome),
            What::TimeOut(attempt) => self.end(attempt, Outcome::TimedOut),
        }
    }

    fn ask(&mut self, level: usize, by: Option<Try>, patience: Millis) {
        self.next_id += 1;
        let (id, deadline) = (RequestId(self.next_id), self.timeline.now() + patience);
        self.levels[level].requests.insert(id, Asked { by, deadline, attempts: 0 });
        let metadata = RequestMetadata::default();
        self.feed(level, Event::Request(NewRequest { id, timeout: patience, body_pending: false, metadata }));
    }

    /// An attempt is over, if it was not before.
    fn end(&mut self, attempt: Try, outcome: Outcome) {
        let Some((sent, _)) = self.out.remove(&attempt) else { return };
        if outcome == Outcome::Served {
            self.answer(attempt.level, attempt.id, true);
        }
        let event = self.ended(attempt, outcome, sent);
        self.feed(attempt.level, event);
    }

    fn ended(&self, attempt: Try, outcome: Outcome, sent: Millis) -> Event {
        Event::AttemptFinished(AttemptEnd {
            id: attempt.id,
            attempt: attempt.attempt,
            outcome,
            latency: self.timeline.now() - sent,
            request_ended: !self.levels[attempt.level].requests.contains_key(&attempt.id),
            load_report: LoadReport::default(),
            cannot_resend: false,
        })
    }

    /// The final answer to a request: of the order server that asked, its own part has then succeeded or failed.
    fn answer(&mut self, level: usize, id: RequestId, served: bool) {
        match self.levels[level].requests.remove(&id) {
            Some(Asked { by: Some(by), .. }) => {
                let outcome = if served { Outcome::Served } else { Outcome::Error };
                self.timeline.after(WAY / 2.0, What::End(by, outcome));
            }
            Some(Asked { by: None, .. }) => {
                self.counts.ended += 1.0;
                self.counts.served += f64::from(u8::from(served));
            }
            None => {}
        }
    }

    /// As the program's driver does it: an event, what is wanted, and all that follows at once.
    fn feed(&mut self, level: usize, event: Event) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            self.levels[level].balancer.handle(self.timeline.now(), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { id, timeout, .. } => self.send(level, id, timeout),
                    Action::Cancel { id, attempt } => {
                        let attempt = Try { level, id, attempt };
                        if let Some((sent, _)) = self.out.remove(&attempt) {
                            events.push_back(self.ended(attempt, Outcome::Cancelled, sent));
                        }
                    }
                    Action::Reject { id, .. } | Action::Fail { id } => self.answer(level, id, false),
                    Action::SetTimer { at, token } => self.timeline.at(at, What::Timer { level, token }),
                    // The list stays as it is, and nothing is connected.
                    _ => {}
                }
            }
        }
    }

    fn send(&mut self, level: usize, id: RequestId, timeout: Option<Millis>) {
        let now = self.timeline.now();
        let Some(asked) = self.levels[level].requests.get_mut(&id) else { return };
        let attempt = Try { level, id, attempt: asked.attempts };
        asked.attempts += 1;
        let until = timeout.map_or(asked.deadline, |timeout| asked.deadline.min(now + timeout));
        self.out.insert(attempt, (now, until));
        self.timeline.after(WAY / 2.0 + OWN, What::Worked(attempt));
        self.timeline.at(until, What::TimeOut(attempt));
    }
}

/// Real decisions at all levels: attempts at the leaf for each request at the root, and the part of these served.
fn decided(depth: u32, fails: f64, rng: &mut Pcg32) -> Result<(f64, f64), ScaleError> {
    let mut tree = Tree::new(depth, rng)?;
    tree.run(SOUND);
    (tree.fails, tree.counts) = (fails, Counts::default());
    tree.run(SOUND + FAILING);
    let Counts { roots, ended, served, leaf } = tree.counts;
    Ok((leaf / roots.max(1.0), served / ended.max(1.0)))
}

/// A budget of repeats.
struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    fn new(share: f64) -> Budget {
        Budget { share, saved: SAVED }
    }

    fn first_try(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED);
    }

    fn repeat(&mut self) -> bool {
        let may = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(may));
        may
    }
}

/// Only the rule is played: who may repeat, without health, load, time or chance but the leaf's.
struct Rule<'a> {
    /// One for each level, or one for all of the tree.
    budgets: Vec<Budget>,
    depth: usize,
    fails: f64,
    rng: &'a mut Pcg32,
    leaf: f64,
}

impl Rule<'_> {
    fn call(&mut self, level: usize) -> bool {
        if level == self.depth {
            self.leaf += 1.0;
            return unit(self.rng) >= self.fails;
        }
        let whole_tree = self.budgets.len() == 1 && self.depth > 1;
        let budget = if whole_tree { 0 } else { level };
        // The budget of the whole tree grows with what comes from outside alone.
        if !whole_tree || level == 0 {
            self.budgets[budget].first_try();
        }
        (0..ATTEMPTS).any(|attempt| (attempt == 0 || self.budgets[budget].repeat()) && self.call(level + 1))
    }
}

/// As [`decided`], by the rule alone.
fn ruled(budgets: Vec<Budget>, depth: u32, fails: f64, rng: &mut Pcg32) -> (f64, f64) {
    let mut rule = Rule { budgets, depth: depth as usize, fails, rng, leaf: 0.0 };
    let served = (0..ROOTS).filter(|_| rule.call(0)).count();
    (rule.leaf / f64::from(ROOTS), served as f64 / f64::from(ROOTS))
}

fn point(depth: u32, rng: &mut Pcg32) -> Result<Point, ScaleError> {
    let mut figures = Vec::new();
    for (fails, name) in FAILS.into_iter().zip(["all_fail", "tenth_fails"]) {
        let each = |share| (0..depth).map(|_| Budget::new(share)).collect::<Vec<_>>();
        for (how, (attempts, served)) in [
            ("played_decisions", decided(depth, fails, rng)?),
            ("played_level_budget", ruled(each(SHARE), depth, fails, rng)),
            ("played_tree_budget", ruled(vec![Budget::new(OTHER_SHARE)], depth, fails, rng)),
        ] {
            figures.push((format!("{how}_{name}_attempts"), attempts));
            figures.push((format!("{how}_{name}_served_share"), served));
        }
    }
    let levels = depth as i32;
    figures.push(("arithmetic_15_percent_each_attempts".to_owned(), (1.0 + SHARE).powi(levels)));
    figures.push(("arithmetic_10_percent_each_attempts".to_owned(), (1.0 + OTHER_SHARE).powi(levels)));
    figures.push(("arithmetic_10_percent_tree_attempts".to_owned(), 1.0 + OTHER_SHARE));
    Ok(Point { x: f64::from(depth), figures: figures.into_iter().collect() })
}

/// The run `retry-depth`.
///
/// # Errors
/// Where the settings do not fit.
pub fn make(options: &Options) -> Result<Run, ScaleError> {
    let mut rng = stream(options.seed, "retry-depth");
    let points: Result<Vec<Point>, ScaleError> =
        AXIS.into_iter().map(|depth| point(depth, &mut rng)).collect();
    let fixed = [
        ("what", "attempts at the leaf for each request at the root, and the part of these served, while the leaf fails always (all_fail) or one attempt in ten (tenth_fails)".to_owned()),
        (
            "played_decisions",
            format!(
                "the decision module at each level, virtual time: {ROOT_PER_S} requests a second, {ENDPOINTS} order servers a level, {} s sound, then {} s failing; {PATIENCE} ms of patience, of which lower levels get what is left",
                SOUND / 1e3,
                FAILING / 1e3
            ),
        ),
        (
            "played_level_budget",
            format!("only the rule of src/logic/dispatch.rs: {SHARE} of the first tries of a level, {SAVED} saved at the most, {ATTEMPTS} attempts; {ROOTS} requests"),
        ),
        ("played_tree_budget", format!("only a rule: {OTHER_SHARE} of the requests at the root for all levels together; no such thing is built")),
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
