//! A whole fleet of hollow client proxies against one modelled discovery, in virtual time: an event queue and a clock that
//! nobody waits for.
//!
//! Discovery takes calls one after another. Half of a call's service time goes to taking it in and half to its answer;
//! between the two it may wait for news at no cost. A call that its caller has given up costs nothing more.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use balancer::Millis;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::hollow::{ControlOnlyProxy, NextStep, PeriodicEvaluation, entry_json, list_json};
use super::law::REGIONS;
use super::timeline::Timeline;
use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// From a call's dial to discovery and back, besides the service. Supposed.
const WAY: Millis = 2.0;
/// Endpoints that each holds: one a zone. What a longer list costs comes from the slopes of `hollow-endpoints`.
const ENDPOINTS: u32 = REGIONS.len() as u32;
/// What an answer has besides its body: status line and headers as `discovery-watchers` has them, about.
const HEAD_BYTES: f64 = 90.0;
const AXIS: [u32; 6] = [100, 300, 1_000, 3_000, 10_000, 36_000];

/// Until all have begun and settled.
const WARM_UP: Millis = 12_000.0;
const REST: Millis = 10_000.0;
/// How long a change is followed. Whoever does not have it by then counts as if it had it then.
const FOLLOW: Millis = 20_000.0;
/// Order servers of a zone that change together, each with a version of its own, and over how long.
const ZONE: u32 = 4_000;
const ZONE_OVER: Millis = 1_000.0;
const DOWN: Millis = 8_000.0;
const RETURN: Millis = 30_000.0;
/// How often it is looked whether all are back.
const LOOK_EVERY: Millis = 50.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum What {
    Wake {
        watcher: u32,
        token: u64,
    },
    Dial {
        watcher: u32,
    },
    GiveUp(CallId),
    WaitOver(CallId),
    /// Discovery is done with the first in its queue.
    Done,
    /// An answer has come, which brings to this version from another one.
    Answer {
        call: CallId,
        after: Option<u64>,
        version: u64,
    },
    Fail(CallId),
}

/// One call of one watcher.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CallId {
    watcher: u32,
    number: u32,
}

struct Watcher {
    hollow: ControlOnlyProxy,
    /// The number of its last call, and whether that is still out.
    call: u32,
    out: bool,
    parked: bool,
    after: Option<u64>,
    wait: Millis,
    asked: Millis,
    /// The version held.
    has: u64,
    /// When it first held at least [`Fleet::wanted`], and was first answered, since that was last asked.
    reached: Option<Millis>,
    answered: Option<Millis>,
}

#[derive(Clone, Copy)]
enum Job {
    TakeIn(CallId),
    Reply(CallId),
}

/// What was counted since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    calls: f64,
    failed: f64,
    bytes: f64,
}

struct Fleet {
    timeline: Timeline<What>,
    watchers: Vec<Watcher>,
    service: Millis,
    jobs: VecDeque<Job>,
    /// In the order in which they began to wait.
    parked: VecDeque<CallId>,
    down: bool,
    /// By version, from 2 on: the endpoint that is another process in it.
    changes: Vec<u32>,
    /// Answers by what they bring from where to where: encoded once and shared.
    bodies: HashMap<(Option<u64>, u64), Rc<str>>,
    wanted: u64,
    counts: Counts,
}

impl Fleet {
    fn new(watchers: u32, service: Millis, rng: &mut Pcg32) -> Result<Fleet, ScaleError> {
        let hollow = |me| ControlOnlyProxy::new(me, watchers, rng.next_u64(), PeriodicEvaluation::Disabled);
        let hollows: Result<Vec<ControlOnlyProxy>, ScaleError> = (0..watchers).map(hollow).collect();
        let watcher = |hollow| Watcher {
            hollow,
            call: 0,
            out: false,
            parked: false,
            after: None,
            wait: 0.0,
            asked: 0.0,
            has: 0,
            reached: None,
            answered: None,
        };
        let mut fleet = Fleet {
            timeline: Timeline::default(),
            watchers: hollows?.into_iter().map(watcher).collect(),
            service,
            jobs: VecDeque::new(),
            parked: VecDeque::new(),
            down: false,
            changes: Vec::new(),
            bodies: HashMap::new(),
            wanted: 1,
            counts: Counts::default(),
        };
        for watcher in 0..watchers {
            // Each knows a list from before, so that the start is no part of what is looked at.
            let known = serde_json::from_str(&fleet.body(None, 1)).ok();
            let mut todo = Vec::new();
            fleet.watchers[watcher as usize].hollow.start(0.0, known, &mut todo);
            fleet.carry_out(watcher, todo);
        }
        Ok(fleet)
    }

    fn version(&self) -> u64 {
        1 + self.changes.len() as u64
    }

    fn now(&self) -> Millis {
        self.timeline.now()
    }

    fn carry_out(&mut self, watcher: u32, todo: Vec<NextStep>) {
        for todo in todo {
            match todo {
                NextStep::Poll { delay_ms } => self.timeline.after(delay_ms, What::Dial { watcher }),
                NextStep::Timer { at, token } => self.timeline.at(at, What::Wake { watcher, token }),
            }
        }
    }

    /// Plays on until then.
    fn run(&mut self, until: Millis) {
        while let Some(what) = self.timeline.next(until) {
            self.come(what);
        }
    }

    fn is_out(&self, call: CallId) -> bool {
        let watcher = &self.watchers[call.watcher as usize];
        watcher.out && watcher.call == call.number
    }

    fn come(&mut self, what: What) {
        let now = self.now();
        match what {
            What::Wake { watcher, token } => {
                let mut todo = Vec::new();
                self.watchers[watcher as usize].hollow.on_timer(now, token, &mut todo);
                self.carry_out(watcher, todo);
            }
            What::Dial { watcher } => self.dial(watcher),
            What::GiveUp(call) | What::Fail(call) if self.is_out(call) => self.fail(call),
            What::GiveUp(_) | What::Fail(_) => {}
            What::WaitOver(call) => {
                let watcher = &mut self.watchers[call.watcher as usize];
                if watcher.parked && watcher.call == call.number {
                    watcher.parked = false;
                    self.queue(Job::Reply(call));
                }
            }
            What::Done => self.done(),
            What::Answer { call, after, version } => self.answer(call, after, version),
        }
    }

    fn dial(&mut self, number: u32) {
        let now = self.now();
        let watcher = &mut self.watchers[number as usize];
        let call = watcher.hollow.next_poll();
        watcher.call += 1;
        (watcher.out, watcher.parked, watcher.after, watcher.asked) = (true, false, call.after, now);
        watcher.wait = call.wait.as_secs_f64() * 1e3;
        let id = CallId { watcher: number, number: watcher.call };
        self.counts.calls += 1.0;
        if self.down {
            return self.timeline.after(WAY, What::Fail(id));
        }
        self.timeline.after(call.timeout.as_secs_f64() * 1e3, What::GiveUp(id));
        self.queue(Job::TakeIn(id));
    }

    fn fail(&mut self, call: CallId) {
        let now = self.now();
        let (watcher, mut todo) = (&mut self.watchers[call.watcher as usize], Vec::new());
        (watcher.out, watcher.parked) = (false, false);
        watcher.hollow.on_failure(now, false, &mut todo);
        self.counts.failed += 1.0;
        self.carry_out(call.watcher, todo);
    }

    fn queue(&mut self, job: Job) {
        self.jobs.push_back(job);
        if self.jobs.len() == 1 {
            self.timeline.after(self.service / 2.0, What::Done);
        }
    }

    fn done(&mut self) {
        match self.jobs.pop_front() {
            Some(Job::TakeIn(call)) if self.is_out(call) => {
                let (now, version) = (self.now(), self.version());
                let watcher = &mut self.watchers[call.watcher as usize];
                if watcher.after == Some(version) && watcher.wait > 0.0 {
                    watcher.parked = true;
                    let over = now + watcher.wait;
                    self.parked.push_back(call);
                    self.timeline.at(over, What::WaitOver(call));
                } else {
                    // What need not wait is answered in one go.
                    self.jobs.push_front(Job::Reply(call));
                }
            }
            Some(Job::Reply(call)) if self.is_out(call) => {
                let after = self.watchers[call.watcher as usize].after;
                let version = self.version();
                self.timeline.after(WAY, What::Answer { call, after, version });
            }
            _ => {}
        }
        // Guards against a queue of calls that nobody waits for any more: those cost nothing.
        while let Some(&(Job::TakeIn(call) | Job::Reply(call))) = self.jobs.front()
            && !self.is_out(call)
        {
            self.jobs.pop_front();
        }
        if !self.jobs.is_empty() {
            self.timeline.after(self.service / 2.0, What::Done);
        }
    }

    fn answer(&mut self, call: CallId, after: Option<u64>, version: u64) {
        if !self.is_out(call) {
            return;
        }
        let body = self.body(after, version);
        self.counts.bytes += body.len() as f64 + HEAD_BYTES;
        let (now, wanted) = (self.now(), self.wanted);
        let (watcher, mut todo) = (&mut self.watchers[call.watcher as usize], Vec::new());
        watcher.out = false;
        // One that cannot be read has said so to the decisions, and what follows is to be done.
        if let Ok(Some(held)) = watcher.hollow.on_response(now, watcher.asked, body.as_bytes(), &mut todo) {
            watcher.has = held;
            watcher.answered.get_or_insert(now);
            if held >= wanted {
                watcher.reached.get_or_insert(now);
            }
        } else {
            self.counts.failed += 1.0;
        }
        self.carry_out(call.watcher, todo);
    }

    /// What brings from one version to another; the whole list from none.
    fn body(&mut self, after: Option<u64>, version: u64) -> Rc<str> {
        // Those of long ago are not asked for again.
        if self.bodies.len() > 10_000 {
            self.bodies.clear();
        }
        let changes = &self.changes;
        let written = self.bodies.entry((after, version)).or_insert_with(|| {
            let until = version as usize - 1;
            let since = |endpoint: u32| {
                let changed = changes[..until].iter().rposition(|&changed| changed == endpoint);
                changed.map_or(1, |at| at as u64 + 2)
            };
            let is_new = |endpoint: &u32| after.is_none_or(|after| since(*endpoint) > after);
            let entries: Vec<String> = (0..ENDPOINTS)
                .filter(is_new)
                .map(|endpoint| entry_json(endpoint, since(endpoint), "SERVING"))
                .collect();
            list_json(version, after.is_none(), &entries).into()
        });
        Rc::clone(written)
    }

    /// So many changes, each a version of its own, of this endpoint.
    fn change(&mut self, endpoint: u32) {
        self.changes.push(endpoint);
        for call in std::mem::take(&mut self.parked) {
            let watcher = &mut self.watchers[call.watcher as usize];
            if watcher.parked && watcher.call == call.number {
                watcher.parked = false;
                self.queue(Job::Reply(call));
            }
        }
    }

    fn want(&mut self, version: u64) {
        self.wanted = version;
        self.watchers.iter_mut().for_each(|watcher| watcher.reached = None);
    }

    /// How long after `from` each watcher got there; whoever did not is taken to get there now, and counted.
    fn took(&self, from: Millis, of: fn(&Watcher) -> Option<Millis>) -> (Vec<f64>, f64) {
        let missing = self.watchers.iter().filter(|watcher| of(watcher).is_none()).count();
        let took = |watcher: &Watcher| (of(watcher).unwrap_or(self.now()) - from) / 1e3;
        (self.watchers.iter().map(took).collect(), missing as f64)
    }

    /// Discovery is gone: connections that are open break, and new ones are refused.
    fn go_down(&mut self) {
        self.down = true;
        self.jobs.clear();
        self.parked.clear();
        self.timeline.retain(|what| *what != What::Done);
        for (n, watcher) in self.watchers.iter_mut().enumerate().filter(|(_, watcher)| watcher.out) {
            watcher.parked = false;
            let call = CallId { watcher: n as u32, number: watcher.call };
            self.timeline.after(WAY / 2.0, What::Fail(call));
        }
    }
}

/// Adds the middle, the 99th percentile and the most.
fn spread(figures: &mut Vec<(String, f64)>, name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    for (end, part) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let rank = (values.len() as f64 * part).ceil() as usize;
        let value = values.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN);
        figures.push((format!("{name}_s_{end}"), value));
    }
}

fn point(watchers: u32, service: Millis, rng: &mut Pcg32) -> Result<Point, ScaleError> {
    let mut fleet = Fleet::new(watchers, service, rng)?;
    let (all, mut figures) = (f64::from(watchers), Vec::new());
    fleet.run(WARM_UP);
    fleet.counts = Counts::default();
    fleet.run(WARM_UP + REST);
    let rest = std::mem::take(&mut fleet.counts);
    figures.push(("calls_s".to_owned(), rest.calls / (REST / 1e3)));
    figures.push(("failed_share".to_owned(), rest.failed / rest.calls.max(1.0)));
    figures.push(("down_bytes_s_watcher".to_owned(), rest.bytes / (REST / 1e3) / all));

    // At any point of a watch's wait.
    fleet.run(fleet.now() + 1_500.0 * chance::unit(rng));
    let from = fleet.now();
    fleet.want(fleet.version() + 1);
    fleet.change(rng.next_u32() % ENDPOINTS);
    fleet.run(from + FOLLOW);
    let (took, missing) = fleet.took(from, |watcher| watcher.reached);
    spread(&mut figures, "in_force", took);
    figures.push(("unreached_watchers".to_owned(), missing));

    let (zone, began) = (rng.next_u32() % ENDPOINTS, fleet.now());
    fleet.want(fleet.version() + u64::from(ZONE));
    for n in 1..=ZONE {
        fleet.run(began + ZONE_OVER * f64::from(n) / f64::from(ZONE));
        fleet.change(zone);
    }
    let from = fleet.now();
    fleet.run(from + FOLLOW);
    let (took, missing) = fleet.took(from, |watcher| watcher.reached);
    spread(&mut figures, "zone_in_force", took);
    figures.push(("zone_unreached_watchers".to_owned(), missing));

    fleet.counts = Counts::default();
    fleet.go_down();
    fleet.run(fleet.now() + DOWN);
    let away = std::mem::take(&mut fleet.counts);
    fleet.down = false;
    let from = fleet.now();
    fleet.watchers.iter_mut().for_each(|watcher| watcher.answered = None);
    while fleet.now() < from + RETURN && fleet.watchers.iter().any(|watcher| watcher.answered.is_none()) {
        fleet.run(fleet.now() + LOOK_EVERY);
    }
    let (took, missing) = fleet.took(from, |watcher| watcher.answered);
    spread(&mut figures, "return", took);
    figures.push(("return_unreached_watchers".to_owned(), missing));
    figures.push(("down_failed_calls".to_owned(), away.failed));
    figures.push(("return_failed_calls".to_owned(), fleet.counts.failed));
    figures.push(("return_bytes".to_owned(), fleet.counts.bytes));
    Ok(Point { x: all, figures: figures.into_iter().collect() })
}

fn make(name: &str, service: Millis, options: &Options) -> Result<Run, ScaleError> {
    let mut rng = chance::stream(options.seed, name);
    let points: Result<Vec<Point>, ScaleError> =
        AXIS.into_iter().map(|watchers| point(watchers, service, &mut rng)).collect();
    let fixed = [
        ("how", "virtual time: real follower and decisions, modelled discovery, network and clock".to_owned()),
        ("service time of a call, ms", service.to_string()),
        ("way there and back, ms", WAY.to_string()),
        (
            "discovery",
            "one queue; half of the service time to take a call in, half to answer it; waits and given-up calls are free"
                .to_owned(),
        ),
        ("hosts held", format!("{ENDPOINTS}; longer lists by the slopes of hollow-endpoints")),
        ("the regular look at everything", "left out".to_owned()),
        ("at rest, s", format!("{} after {} of warm-up", REST / 1e3, WARM_UP / 1e3)),
        ("in_force", format!("from one change; who has it not after {} s counts as having it then", FOLLOW / 1e3)),
        ("zone_in_force", format!("from the last of {ZONE} changes made over {} s", ZONE_OVER / 1e3)),
        (
            "return",
            format!(
                "from the end of {} s without discovery, which keeps its list, to the first answer; calls and bytes until all have one or {} s are over",
                DOWN / 1e3,
                RETURN / 1e3
            ),
        ),
    ];
    Ok(Run {
        run: name.to_owned(),
        axis: "watchers".to_owned(),
        seed: options.seed,
        void: None,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points: points?,
    })
}

/// The run `fleet-virtual-50us`: a discovery as lean as the one of `discovery-watchers`, about.
///
/// # Errors
/// Where the settings do not fit.
pub fn lean(options: &Options) -> Result<Run, ScaleError> {
    make("fleet-virtual-50us", 0.05, options)
}

/// The run `fleet-virtual-1ms`.
///
/// # Errors
/// Where the settings do not fit.
pub fn slow(options: &Options) -> Result<Run, ScaleError> {
    make("fleet-virtual-1ms", 1.0, options)
}

/// The run `fleet-virtual-50ms`: as the decisions reckon with (`ASK_EACH` in `src/logic/endpoint_list.rs`).
///
/// # Errors
/// Where the settings do not fit.
pub fn as_reckoned(options: &Options) -> Result<Run, ScaleError> {
    make("fleet-virtual-50ms", 50.0, options)
}

#[cfg(test)]
mod tests;
