//! Simulates a fleet of control-only client proxies (the real discovery client and decision module, without a
//! network) that poll one modelled discovery. Time is virtual: an event queue with a clock that jumps to the
//! next event.
//!
//! Discovery is a single queue. Half of a poll's service time is spent on accepting it, half on responding.
//! Between the two, a long poll waits for a change at no cost. A poll that its caller has abandoned costs
//! nothing further.

mod runs;

pub use self::runs::{assumed_discovery, fast_discovery, slow_discovery};

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use balancer::Millis;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::ScaleError;
use super::hollow::{ControlOnlyProxy, NextStep, PeriodicEvaluation, entry_json, list_json};
use super::law::ZONE_REGIONS;
use super::timeline::Timeline;

/// Network round trip of a poll, without the service time. Assumed.
const ROUND_TRIP_MS: Millis = 2.0;
/// One endpoint in each zone. The cost of longer lists is taken from the slopes of the run
/// `hollow-endpoints`.
const ENDPOINTS_PER_WATCHER: u32 = ZONE_REGIONS.len() as u32;
/// Approximate size of a response's status line and headers, as in the run `discovery-watchers`.
const RESPONSE_HEAD_BYTES: f64 = 90.0;

/// Time until all watchers have started and poll regularly.
const WARM_UP_MS: Millis = 12_000.0;
/// How long the propagation of a change is observed. A watcher that has not received the change by then is
/// counted as unreached, with this time as its latency.
const FOLLOW_CHANGE_MS: Millis = 20_000.0;
const OUTAGE_MS: Millis = 8_000.0;
const RECOVERY_LIMIT_MS: Millis = 30_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum SimEvent {
    Timer {
        watcher: u32,
        token: u64,
    },
    SendPoll {
        watcher: u32,
    },
    TimedOut(PollId),
    LongPollEnded(PollId),
    /// Discovery has processed the first job of its queue.
    JobDone,
    /// A response has arrived, with the changes from version `after` (a full snapshot if `None`) to
    /// `version`.
    Response {
        poll: PollId,
        after: Option<u64>,
        version: u64,
    },
    ConnectionFailed(PollId),
}

/// Identifies one poll of one watcher.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PollId {
    watcher: u32,
    number: u32,
}

struct Watcher {
    proxy: ControlOnlyProxy,
    /// The number of the most recent poll, and whether it is still in flight.
    last_poll: u32,
    in_flight: bool,
    /// Whether the poll waits at discovery for a change.
    parked: bool,
    /// The version that the poll stated, or `None` for a full snapshot; its maximum wait; and when it was
    /// sent.
    after: Option<u64>,
    wait: Millis,
    sent_at: Millis,
    /// The version of the current endpoint list; 0 before the first response.
    current_version: u64,
    /// Time at which the list first had at least [`Fleet::target_version`], and of the first response, since
    /// each field was last reset.
    reached: Option<Millis>,
    first_response: Option<Millis>,
}

#[derive(Clone, Copy)]
enum Job {
    Accept(PollId),
    Respond(PollId),
}

/// Counters since the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    polls: f64,
    failed: f64,
    bytes: f64,
}

struct Fleet {
    timeline: Timeline<SimEvent>,
    watchers: Vec<Watcher>,
    service_time: Millis,
    jobs: VecDeque<Job>,
    /// Long polls waiting for a change, oldest first.
    parked: VecDeque<PollId>,
    down: bool,
    /// The endpoint whose process was replaced, for each version from 2 on.
    changes: Vec<u32>,
    /// Encoded response bodies by old and new version, shared among the watchers.
    response_bodies: HashMap<(Option<u64>, u64), Rc<str>>,
    target_version: u64,
    counts: Counts,
}

impl Fleet {
    fn new(watchers: u32, service_time: Millis, rng: &mut Pcg32) -> Result<Fleet, ScaleError> {
        let proxy =
            |index| ControlOnlyProxy::new(index, watchers, rng.next_u64(), PeriodicEvaluation::Disabled);
        let proxies: Result<Vec<ControlOnlyProxy>, ScaleError> = (0..watchers).map(proxy).collect();
        let watcher = |proxy| Watcher {
            proxy,
            last_poll: 0,
            in_flight: false,
            parked: false,
            after: None,
            wait: 0.0,
            sent_at: 0.0,
            current_version: 0,
            reached: None,
            first_response: None,
        };
        let mut fleet = Fleet {
            timeline: Timeline::default(),
            watchers: proxies?.into_iter().map(watcher).collect(),
            service_time,
            jobs: VecDeque::new(),
            parked: VecDeque::new(),
            down: false,
            changes: Vec::new(),
            response_bodies: HashMap::new(),
            target_version: 1,
            counts: Counts::default(),
        };
        for watcher in 0..watchers {
            // Each watcher starts with a known list, so that fetching the first one is not part of the
            // measurement.
            let known = serde_json::from_str(&fleet.response_body(None, 1)).ok();
            let mut next_steps = Vec::new();
            fleet.watchers[watcher as usize].proxy.start(0.0, known, &mut next_steps);
            fleet.apply(watcher, next_steps);
        }
        Ok(fleet)
    }

    fn version(&self) -> u64 {
        1 + self.changes.len() as u64
    }

    fn now(&self) -> Millis {
        self.timeline.now()
    }

    fn apply(&mut self, watcher: u32, next_steps: Vec<NextStep>) {
        for step in next_steps {
            match step {
                NextStep::Poll { delay_ms } => {
                    self.timeline.schedule_after(delay_ms, SimEvent::SendPoll { watcher });
                }
                NextStep::Timer { at, token } => {
                    self.timeline.schedule_at(at, SimEvent::Timer { watcher, token });
                }
            }
        }
    }

    /// Processes all events up to and including time `until`.
    fn run_until(&mut self, until: Millis) {
        while let Some(event) = self.timeline.next(until) {
            self.handle(event);
        }
    }

    fn is_in_flight(&self, poll: PollId) -> bool {
        let watcher = &self.watchers[poll.watcher as usize];
        watcher.in_flight && watcher.last_poll == poll.number
    }

    fn handle(&mut self, event: SimEvent) {
        let now = self.now();
        match event {
            SimEvent::Timer { watcher, token } => {
                let mut next_steps = Vec::new();
                self.watchers[watcher as usize].proxy.on_timer(now, token, &mut next_steps);
                self.apply(watcher, next_steps);
            }
            SimEvent::SendPoll { watcher } => self.send_poll(watcher),
            SimEvent::TimedOut(poll) | SimEvent::ConnectionFailed(poll) if self.is_in_flight(poll) => {
                self.fail_poll(poll);
            }
            SimEvent::TimedOut(_) | SimEvent::ConnectionFailed(_) => {}
            SimEvent::LongPollEnded(poll) => {
                let watcher = &mut self.watchers[poll.watcher as usize];
                if watcher.parked && watcher.last_poll == poll.number {
                    watcher.parked = false;
                    self.enqueue(Job::Respond(poll));
                }
            }
            SimEvent::JobDone => self.finish_job(),
            SimEvent::Response { poll, after, version } => self.deliver_response(poll, after, version),
        }
    }

    fn send_poll(&mut self, watcher_index: u32) {
        let now = self.now();
        let watcher = &mut self.watchers[watcher_index as usize];
        let poll = watcher.proxy.next_poll();
        watcher.last_poll += 1;
        (watcher.in_flight, watcher.parked, watcher.after, watcher.sent_at) = (true, false, poll.after, now);
        watcher.wait = poll.wait.as_secs_f64() * 1e3;
        let id = PollId { watcher: watcher_index, number: watcher.last_poll };
        self.counts.polls += 1.0;
        if self.down {
            return self.timeline.schedule_after(ROUND_TRIP_MS, SimEvent::ConnectionFailed(id));
        }
        self.timeline.schedule_after(poll.timeout.as_secs_f64() * 1e3, SimEvent::TimedOut(id));
        self.enqueue(Job::Accept(id));
    }

    fn fail_poll(&mut self, poll: PollId) {
        let now = self.now();
        let (watcher, mut next_steps) = (&mut self.watchers[poll.watcher as usize], Vec::new());
        (watcher.in_flight, watcher.parked) = (false, false);
        watcher.proxy.on_failure(now, false, &mut next_steps);
        self.counts.failed += 1.0;
        self.apply(poll.watcher, next_steps);
    }

    fn enqueue(&mut self, job: Job) {
        self.jobs.push_back(job);
        if self.jobs.len() == 1 {
            self.timeline.schedule_after(self.service_time / 2.0, SimEvent::JobDone);
        }
    }

    fn finish_job(&mut self) {
        match self.jobs.pop_front() {
            Some(Job::Accept(poll)) if self.is_in_flight(poll) => {
                let (now, version) = (self.now(), self.version());
                let watcher = &mut self.watchers[poll.watcher as usize];
                if watcher.after == Some(version) && watcher.wait > 0.0 {
                    watcher.parked = true;
                    let ends_at = now + watcher.wait;
                    self.parked.push_back(poll);
                    self.timeline.schedule_at(ends_at, SimEvent::LongPollEnded(poll));
                } else {
                    // There is a change to send or no wait was requested: respond right after accepting.
                    self.jobs.push_front(Job::Respond(poll));
                }
            }
            Some(Job::Respond(poll)) if self.is_in_flight(poll) => {
                let after = self.watchers[poll.watcher as usize].after;
                let version = self.version();
                self.timeline.schedule_after(ROUND_TRIP_MS, SimEvent::Response { poll, after, version });
            }
            _ => {}
        }
        // Abandoned polls are dropped here without service time; otherwise an overloaded discovery would
        // spend its time on a queue of polls that have already timed out.
        while let Some(&(Job::Accept(poll) | Job::Respond(poll))) = self.jobs.front()
            && !self.is_in_flight(poll)
        {
            self.jobs.pop_front();
        }
        if !self.jobs.is_empty() {
            self.timeline.schedule_after(self.service_time / 2.0, SimEvent::JobDone);
        }
    }

    fn deliver_response(&mut self, poll: PollId, after: Option<u64>, version: u64) {
        if !self.is_in_flight(poll) {
            return;
        }
        let response_body = self.response_body(after, version);
        self.counts.bytes += response_body.len() as f64 + RESPONSE_HEAD_BYTES;
        let (now, target_version) = (self.now(), self.target_version);
        let (watcher, mut next_steps) = (&mut self.watchers[poll.watcher as usize], Vec::new());
        watcher.in_flight = false;
        // If the body is unusable, `proxy` has already treated the poll as failed, and `next_steps` has what
        // follows.
        if let Ok(Some(current)) =
            watcher.proxy.on_response(now, watcher.sent_at, response_body.as_bytes(), &mut next_steps)
        {
            watcher.current_version = current;
            watcher.first_response.get_or_insert(now);
            if current >= target_version {
                watcher.reached.get_or_insert(now);
            }
        } else {
            self.counts.failed += 1.0;
        }
        self.apply(poll.watcher, next_steps);
    }

    /// The encoded changes from version `after` to `version`, or a full snapshot if `after` is `None`.
    fn response_body(&mut self, after: Option<u64>, version: u64) -> Rc<str> {
        // Bounds the cache: old versions are not polled for again.
        if self.response_bodies.len() > 10_000 {
            self.response_bodies.clear();
        }
        let changes = &self.changes;
        let response_body = self.response_bodies.entry((after, version)).or_insert_with(|| {
            let until = version as usize - 1;
            let since = |endpoint: u32| {
                let changed = changes[..until].iter().rposition(|&changed| changed == endpoint);
                changed.map_or(1, |at| at as u64 + 2)
            };
            let is_new = |endpoint: &u32| after.is_none_or(|after| since(*endpoint) > after);
            let entries: Vec<String> = (0..ENDPOINTS_PER_WATCHER)
                .filter(is_new)
                .map(|endpoint| entry_json(endpoint, since(endpoint), "SERVING"))
                .collect();
            list_json(version, after.is_none(), &entries).into()
        });
        Rc::clone(response_body)
    }

    /// Replaces the process of this endpoint, which makes a new version, and answers all waiting long polls.
    fn change_endpoint(&mut self, endpoint: u32) {
        self.changes.push(endpoint);
        for poll in std::mem::take(&mut self.parked) {
            let watcher = &mut self.watchers[poll.watcher as usize];
            if watcher.parked && watcher.last_poll == poll.number {
                watcher.parked = false;
                self.enqueue(Job::Respond(poll));
            }
        }
    }

    fn set_target_version(&mut self, version: u64) {
        self.target_version = version;
        self.watchers.iter_mut().for_each(|watcher| watcher.reached = None);
    }

    /// The seconds from `from` to each watcher's `reached_at`, and the number of watchers without one, for
    /// which the current time is taken.
    fn elapsed_s(&self, from: Millis, reached_at: fn(&Watcher) -> Option<Millis>) -> (Vec<f64>, f64) {
        let missing = self.watchers.iter().filter(|watcher| reached_at(watcher).is_none()).count();
        let elapsed_s = |watcher: &Watcher| (reached_at(watcher).unwrap_or(self.now()) - from) / 1e3;
        (self.watchers.iter().map(elapsed_s).collect(), missing as f64)
    }

    /// Stops discovery: open connections break and new ones are refused.
    fn stop_discovery(&mut self) {
        self.down = true;
        self.jobs.clear();
        self.parked.clear();
        self.timeline.retain(|event| *event != SimEvent::JobDone);
        for (index, watcher) in self.watchers.iter_mut().enumerate().filter(|(_, watcher)| watcher.in_flight)
        {
            watcher.parked = false;
            let poll = PollId { watcher: index as u32, number: watcher.last_poll };
            self.timeline.schedule_after(ROUND_TRIP_MS / 2.0, SimEvent::ConnectionFailed(poll));
        }
    }
}

#[cfg(test)]
mod tests;
