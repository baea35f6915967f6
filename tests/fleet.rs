//! Many balancers together: what cold hosts bear of all of them.

mod common;
use common::*;
use marblebay::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The time of one request on a warm host, which does one at a time.
const WORK: f64 = 40.0;
const STEP: f64 = 20.0;

/// Balancers without a word between them, the hosts that they share, and what those were sent.
struct Fleet {
    rigs: Vec<Rig>,
    list: Vec<HostEntry>,
    chance: Pcg32,
    /// The request, its attempt, its host and when it is done, by balancer.
    out: Vec<(usize, RequestId, u32, HostId, f64)>,
    sent: Vec<(f64, HostId)>,
    served: usize,
    /// By balancer: its part of the traffic.
    parts: Vec<f64>,
}

impl Fleet {
    fn new(count: u32, skewed: bool, list: Vec<HostEntry>) -> Fleet {
        Fleet::under(settings(), count, skewed, list)
    }

    fn under(settings: Settings, count: u32, skewed: bool, list: Vec<HostEntry>) -> Fleet {
        let s = Settings { balancers: count, ..settings };
        let rig = |me| Rig::seeded(Settings { me, ..s.clone() }, list.clone(), u64::from(me));
        // One in ten gets half of all.
        let part = |me| if skewed && me % 10 == 0 { 9.0 } else { 1.0 };
        let parts: Vec<f64> = (0..count).map(part).collect();
        let total: f64 = parts.iter().sum();
        let parts = parts.into_iter().map(|part| part / total).collect();
        let (rigs, chance) = ((0..count).map(rig).collect(), Pcg32::seed_from_u64(7));
        Fleet { rigs, list, chance, out: Vec::new(), sent: Vec::new(), served: 0, parts }
    }

    fn now(&self) -> f64 {
        self.rigs[0].now
    }

    fn warmth(&self, host: HostId, at: f64) -> f64 {
        let Contract { cold, cold_from, .. } = self.rigs[0].settings.contract;
        let entry = self.list.iter().find(|entry| entry.host == host).expect("listed");
        let age = entry.started.map_or(1.0, |started| (at - started) / cold);
        (cold_from + (1.0 - cold_from) * age).clamp(cold_from, 1.0)
    }

    fn tell(&mut self, list: Vec<HostEntry>) {
        self.rigs.iter_mut().for_each(|rig| drop(rig.news(HostNews::Complete(list.clone()))));
        self.list = list;
    }

    /// Kills every balancer whose number fits and starts it anew with the list.
    fn restart(&mut self, which: impl Fn(usize) -> bool) {
        for me in (0..self.rigs.len()).filter(|me| which(*me)) {
            let old = &self.rigs[me];
            let mut new = Rig::seeded(old.settings.clone(), Vec::new(), 1000 + me as u64);
            new.now = old.now;
            new.news(HostNews::Complete(self.list.clone()));
            self.rigs[me] = new;
            self.out.retain(|(of, ..)| *of != me);
        }
    }

    /// So many requests a second arrive at all balancers together.
    fn run(&mut self, lasts: f64, per_s: f64) {
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
            let (now, out) = (self.now(), std::mem::take(&mut self.out));
            let (due, rest) = out.into_iter().partition(|(.., at)| *at <= now);
            self.out = rest;
            let due: Vec<_> = due;
            for (me, id, attempt, _, _) in due {
                if self.rigs[me].open(id).contains(&attempt) {
                    self.rigs[me].finish(id, attempt, Outcome::Served);
                    self.served += 1;
                }
                self.follow(me);
            }
        }
    }

    fn follow(&mut self, me: usize) {
        let actions = std::mem::take(&mut self.rigs[me].actions);
        for action in actions {
            if let Action::Send { id, host, .. } = action {
                let now = self.rigs[me].now;
                let attempt = self.rigs[me].requests[&id].sent.len() as u32 - 1;
                self.out.push((me, id, attempt, host, now + WORK / self.warmth(host, now)));
                self.sent.push((now, host));
            }
        }
    }

    /// The most that a host was sent within `fall`, over what it bears then: its budget, and what is chance beyond it.
    fn worst(&self, host: HostId, from: f64) -> f64 {
        let Contract { fall, fall_multiple, .. } = self.rigs[0].settings.contract;
        let at: Vec<f64> = self.sent.iter().filter(|(_, of)| *of == host).map(|(at, _)| *at).collect();
        let window = |end: f64| {
            let count = at.iter().filter(|at| **at > end - fall && **at <= end).count() as f64;
            let bears = fall_multiple * self.warmth(host, end) * fall / WORK;
            count / (bears + 2.0 * bears.sqrt() + 2.0)
        };
        at.iter().filter(|at| **at > from).map(|at| window(*at)).fold(0.0, f64::max)
    }
}

fn cold(id: u32, now: f64) -> HostEntry {
    HostEntry { started: Some(now), ..host(id) }
}

const FLEETS: [(u32, bool); 7] =
    [(1, false), (4, false), (4, true), (30, false), (30, true), (300, false), (300, true)];

/// Guards against cold hosts that fall under the sum of what all send: where none was ever warm each balancer has one
/// request to try each host with.
#[test]
fn hosts_that_are_all_cold_are_not_pushed_over_by_the_sum() {
    for (count, skewed) in FLEETS {
        let mut fleet = Fleet::new(count, skewed, (1..=4).map(|id| cold(id, 1000.0)).collect());
        fleet.run(7000.0, 300.0);
        for id in 1..=4 {
            let worst = fleet.worst(HostId(id), 0.0);
            assert!(worst <= 1.0, "{count} balancers, skewed {skewed}: {worst} times what host {id} bears");
        }
        assert!(fleet.served > 150, "{count} balancers, skewed {skewed}: {} served", fleet.served);
    }
}

/// Guards against what all have saved up: the warm hosts go at once, and a cold one is all that is left; then most of the
/// balancers are started anew in the middle of its ramp.
#[test]
fn a_cold_host_that_is_left_alone_is_not_pushed_over_by_the_sum() {
    for (count, skewed) in FLEETS {
        let warm = |n: u32| (1..=n).map(host).collect::<Vec<_>>();
        let mut fleet = Fleet::new(count, skewed, warm(6));
        fleet.run(3000.0, 80.0);
        let (now, mut list) = (fleet.now(), warm(6));
        list.push(cold(9, now));
        fleet.tell(list.clone());
        fleet.run(2000.0, 80.0);
        fleet.tell(list.split_off(6));
        fleet.run(1500.0, 300.0);
        fleet.restart(|me| me % 10 < 7);
        fleet.run(1500.0, 300.0);
        let worst = fleet.worst(HostId(9), now);
        assert!(worst <= 1.0, "{count} balancers, skewed {skewed}: {worst} times what it bears");
    }
}

/// Guards against what all have saved up over a long time: a cold host that could not be used for most of its ramp, while
/// others like it were, is then all that is left.
#[test]
fn savings_for_a_cold_host_that_was_out_of_use_are_not_spent_together() {
    let mut s = settings();
    (s.contract.cold, s.contract.fall, s.contract.fall_multiple) = (20_000.0, 1000.0, 4.0);
    for count in [30, 300] {
        let warm: Vec<HostEntry> = (1..=6).map(host).collect();
        let mut fleet = Fleet::under(s.clone(), count, false, warm.clone());
        fleet.run(2000.0, 140.0);
        let unused = HostEntry { phase: Phase::Draining, ..cold(9, fleet.now()) };
        fleet.tell(warm.into_iter().chain([unused.clone()]).collect());
        fleet.run(15_000.0, 140.0);
        fleet.tell(vec![HostEntry { phase: Phase::Up, ..unused }]);
        fleet.run(1500.0, 2000.0);
        let worst = fleet.worst(HostId(9), 0.0);
        assert!(worst <= 1.0, "{count} balancers: {worst} times what it bears");
    }
}
