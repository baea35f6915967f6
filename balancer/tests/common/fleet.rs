//! Many balancers, the endpoints that they share, and what those were sent.

use std::collections::BTreeMap;

use balancer::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::*;

/// The time of one request on a warm endpoint, which does one at a time, where a day says nothing else.
pub const WORK: f64 = 40.0;

pub const STEP: f64 = 20.0;

/// An error is answered at once.
pub const ERROR_AFTER: f64 = 5.0;

/// Endpoints report the part of this time in which they worked.
pub const REPORTED: f64 = 1000.0;

/// How an endpoint deals with what it is sent.
#[derive(Clone, Copy, PartialEq)]
pub enum Conduct {
    Fails,
    Rejects,
    Silent,
    /// So many of ten requests.
    FailsSome(u64),
}

/// An attempt that is out, and how and when it will end.
pub struct Pending {
    pub balancer: usize,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    done: f64,
    outcome: Outcome,
}

/// Balancers without a word between them, the endpoints that they share, and what those were sent.
pub struct Fleet {
    pub rigs: Vec<Rig>,
    pub list: Vec<EndpointEntry>,
    pub chance: Pcg32,
    pub out: Vec<Pending>,
    pub sent: Vec<(f64, EndpointId)>,
    /// Of what was sent: how many were retries, and how many attempts were given up before the client's time.
    pub retries: usize,
    pub given_up: usize,
    pub served: usize,
    /// By balancer: its part of the traffic.
    pub parts: Vec<f64>,
    /// Where not all serve.
    pub conduct: BTreeMap<EndpointId, Conduct>,
    /// The time of one request on a warm endpoint.
    pub work: f64,
    /// Where endpoints queue: when each has done all that it was sent; it reports its load then.
    pub queues: Option<BTreeMap<EndpointId, f64>>,
}

impl Fleet {
    pub fn new(count: u32, skewed: bool, list: Vec<EndpointEntry>) -> Fleet {
        Fleet::under(settings(), count, skewed, list)
    }

    pub fn under(settings: Settings, count: u32, skewed: bool, list: Vec<EndpointEntry>) -> Fleet {
        // One in ten gets half of all.
        let part = |me: u32| if skewed && me.is_multiple_of(10) { 9.0 } else { 1.0 };
        Fleet::seeded(settings, (0..count).map(part).collect(), list, 0)
    }

    /// One balancer for each part of the traffic.
    pub fn seeded(settings: Settings, parts: Vec<f64>, list: Vec<EndpointEntry>, seed: u64) -> Fleet {
        let s = Settings { balancer_count: parts.len() as u32, ..settings };
        let rig = |me| {
            Rig::seeded(
                Settings { balancer_index: me, ..s.clone() },
                list.clone(),
                5000 * seed + u64::from(me),
            )
        };
        let rigs = (0..s.balancer_count).map(rig).collect();
        let total: f64 = parts.iter().sum();
        Fleet {
            rigs,
            list,
            chance: Pcg32::seed_from_u64(7 + seed),
            out: Vec::new(),
            sent: Vec::new(),
            retries: 0,
            given_up: 0,
            served: 0,
            parts: parts.into_iter().map(|part| part / total).collect(),
            conduct: BTreeMap::new(),
            work: WORK,
            queues: None,
        }
    }

    pub fn now(&self) -> f64 {
        self.rigs[0].now
    }

    pub fn warmth(&self, endpoint: EndpointId, at: f64) -> f64 {
        let Contract { warm_up: cold, initial_capacity, .. } = self.rigs[0].settings.contract;
        let entry = self.list.iter().find(|entry| entry.endpoint == endpoint);
        let age = entry.and_then(|entry| entry.started_at).map_or(1.0, |started| (at - started) / cold);
        (initial_capacity + (1.0 - initial_capacity) * age).clamp(initial_capacity, 1.0)
    }

    pub fn tell(&mut self, list: Vec<EndpointEntry>) {
        self.rigs.iter_mut().for_each(|rig| drop(rig.news(EndpointUpdate::FullSnapshot(list.clone()))));
        self.list = list;
    }

    /// Kills every balancer whose number fits and starts it anew with the list.
    pub fn restart(&mut self, which: impl Fn(usize) -> bool) {
        for me in (0..self.rigs.len()).filter(|me| which(*me)) {
            self.rigs[me] = self.successor(me);
            self.out.retain(|pending| pending.balancer != me);
        }
    }

    /// A new process of the same number.
    pub fn successor(&self, me: usize) -> Rig {
        let mut new = Rig::seeded(self.rigs[me].settings.clone(), Vec::new(), 1000 + me as u64);
        new.now = self.now();
        new.news(EndpointUpdate::FullSnapshot(self.list.clone()));
        new
    }

    /// An upgrade: beside every balancer a second process of its number sends half of what it sent.
    pub fn double(&mut self) {
        self.double_each(1);
    }

    /// The same beside one balancer in so many, that in the middle among them.
    pub fn double_each(&mut self, nth: usize) {
        let middle = self.rigs.len() / 2;
        for me in (0..self.rigs.len()).filter(|me| me % nth == middle % nth) {
            self.rigs.push(self.successor(me));
            self.parts[me] /= 2.0;
            self.parts.push(self.parts[me]);
        }
    }

    /// The endpoints with these numbers start now, for the first time or anew. Gives the time.
    pub fn start(&mut self, ids: &[u32]) -> f64 {
        let now = self.now();
        let mut list = self.list.clone();
        list.retain(|entry| !ids.contains(&entry.endpoint.0));
        list.extend(ids.iter().map(|id| cold(*id, now)));
        self.tell(list);
        now
    }

    /// An operator takes an endpoint out of every balancer, starts it anew and puts it back.
    pub fn put_back(&mut self, endpoint: EndpointId) {
        let at = self.now();
        let entry = self.list.iter_mut().find(|entry| entry.endpoint == endpoint).expect("listed");
        entry.started_at = Some(at);
        for rig in &mut self.rigs {
            rig.event(Event::Disabled { endpoint });
            rig.event(Event::Enabled { endpoint, at });
        }
    }

    /// Only these are left.
    pub fn keep(&mut self, ids: &[u32]) {
        let mut list = self.list.clone();
        list.retain(|entry| ids.contains(&entry.endpoint.0));
        self.tell(list);
    }

    /// What these do from now on.
    pub fn conducts(&mut self, ids: &[u32], conduct: Conduct) {
        self.conduct.extend(ids.iter().map(|id| (EndpointId(*id), conduct)));
    }

    /// So many requests a second arrive at all balancers together.
    pub fn run(&mut self, lasts: f64, per_s: f64) {
        let until = self.now() + lasts;
        while self.now() < until {
            for me in 0..self.rigs.len() {
                let mut due = per_s * STEP / 1000.0 * self.parts[me];
                while due > 0.0 {
                    if f64::from(self.chance.next_u32()) < due.min(1.0) * f64::from(u32::MAX) {
                        self.rigs[me].request(0);
                    }
                    due -= 1.0;
                }
                self.follow(me);
                self.rigs[me].pass(STEP);
                self.follow(me);
            }
            let now = self.now();
            let (due, rest) =
                std::mem::take(&mut self.out).into_iter().partition(|pending| pending.done <= now);
            self.out = rest;
            let due: Vec<Pending> = due;
            for Pending { balancer, id, attempt, endpoint, outcome, .. } in due {
                if self.rigs[balancer].open(id).contains(&attempt) {
                    let report = self.report(endpoint);
                    self.rigs[balancer].finish_with(id, attempt, outcome, report);
                    self.served += usize::from(outcome == Outcome::Served);
                }
                self.follow(balancer);
            }
        }
    }

    pub fn report(&self, endpoint: EndpointId) -> LoadReport {
        let Some(queues) = &self.queues else { return LoadReport::default() };
        let work = self.work / self.warmth(endpoint, self.now());
        let recent = |sent: &&(f64, EndpointId)| sent.1 == endpoint && sent.0 > self.now() - REPORTED;
        let recent = self.sent.iter().rev().take(1000).filter(recent).count() as f64;
        let busy = if queues[&endpoint] > self.now() { 1.0 } else { (recent * work / REPORTED).min(1.0) };
        LoadReport { utilization: Some(busy), ..LoadReport::default() }
    }

    pub fn follow(&mut self, me: usize) {
        let actions = std::mem::take(&mut self.rigs[me].actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => self.take_on(me, id, endpoint, timeout),
                Action::Cancel { id, attempt } if self.rigs[me].open(id).contains(&attempt) => {
                    drop(self.rigs[me].finish(id, attempt, Outcome::Cancelled));
                }
                _ => {}
            }
        }
    }

    pub fn take_on(&mut self, balancer: usize, id: RequestId, endpoint: EndpointId, timeout: Option<f64>) {
        let now = self.rigs[balancer].now;
        let attempt = self.rigs[balancer].requests[&id].sent.len() as u32 - 1;
        let work = self.work / self.warmth(endpoint, now);
        let (mut done, mut outcome) = (now + work, Outcome::Served);
        if let Some(queues) = &mut self.queues {
            let free = queues.entry(endpoint).or_insert(now);
            *free = free.max(now) + work;
            done = *free;
        }
        match self.conduct.get(&endpoint) {
            Some(Conduct::Fails) => (done, outcome) = (now + ERROR_AFTER, Outcome::Error),
            Some(Conduct::FailsSome(of_ten)) if (7 * id.0 + 3 * balancer as u64) % 10 < *of_ten => {
                (done, outcome) = (now + ERROR_AFTER, Outcome::Error);
            }
            Some(Conduct::Rejects) => (done, outcome) = (now + ERROR_AFTER, Outcome::Rejected),
            Some(Conduct::Silent) => done = f64::INFINITY,
            _ => {}
        }
        if let Some(timeout) = timeout.filter(|timeout| now + timeout < done) {
            (done, outcome) = (now + timeout, Outcome::TimedOut);
            self.given_up += 1;
        }
        self.retries += usize::from(attempt > 0);
        self.sent.push((now, endpoint));
        self.out.push(Pending { balancer, id, attempt, endpoint, done, outcome });
    }

    /// Which of the endpoints bore the most of what it bears, since then.
    pub fn worst_of(&self, ids: &[u32], from: f64) -> (u32, f64) {
        let worst = |id: &u32| self.worst(EndpointId(*id), from);
        (*ids.iter().max_by(|a, b| worst(a).total_cmp(&worst(b))).expect("some endpoint"), from)
    }

    /// The most that an endpoint was sent within `overload_window`, over what it bears then: its budget, and
    /// what is chance beyond it.
    pub fn worst(&self, endpoint: EndpointId, from: f64) -> f64 {
        let Contract { overload_window, overload_multiple, .. } = self.rigs[0].settings.contract;
        let mut at: Vec<f64> =
            self.sent.iter().filter(|(_, of)| *of == endpoint).map(|(at, _)| *at).collect();
        at.retain(|at| *at >= from);
        at.sort_by(f64::total_cmp);
        let window = |end: f64| {
            let count = at.iter().filter(|at| **at > end - overload_window && **at <= end).count() as f64;
            let warmth = (self.warmth(endpoint, end) + self.warmth(endpoint, end - overload_window)) / 2.0;
            let allowed = overload_multiple * warmth * overload_window / self.work;
            let (roots, more) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
            count / (allowed + roots * allowed.sqrt() + more)
        };
        at.iter().map(|at| window(*at)).fold(0.0, f64::max)
    }
}

pub fn cold(id: u32, now: f64) -> EndpointEntry {
    EndpointEntry { started_at: Some(now), ..endpoint(id) }
}
