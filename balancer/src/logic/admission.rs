//! Admission: what is refused so that the rest is answered in time.

use super::{HEDGE_BELOW, OPEN_UP, OVERLOAD_TARGET, PRIOR_RESPONSES, RATE_MEMORY};
use crate::decaying_mean::DecayingMean;
use crate::interface::{Millis, Settings};
use crate::state::Balancer;

/// Below it silence counts less in the overload, but for no less than this: it may be load all the same.
const MIN_SILENCE_WEIGHT: f64 = 0.4;
const SHED_PROPORTIONAL_GAIN: f64 = 2.0;
const SHED_INTEGRAL_GAIN: f64 = 1.0;
/// Where endpoints lose this part more of another class's answers, a class with less than that part of the
/// overload held is not shed for it: it has endpoints that the other one lacks.
const LACKS_MORE: f64 = 0.1;
const CALM_PART: f64 = 0.6;
/// Strain that is assumed, with the weight of two answers of mean worth.
pub(super) const OVERLOAD_PRIOR: f64 = 0.1;
/// Classes and tenants whose worth per work differs by less than this factor are shed alike.
const LEVEL: f64 = 1.5;
/// Requests that a tenant's share of the traffic is shrunk to its quota with.
const SHARE_PRIOR: f64 = 10.0;
/// What a client's known repeat is worth in shedding: part of its latency objective went by before it came.
const REPEAT_WORTH: f64 = 0.5;
/// Concurrency limit: own work in flight may grow to this multiple of what it lately was without overload ...
const OPEN_MULTIPLE: f64 = 2.0;
/// ... plus so many requests, and one for each ready endpoint that is this balancer's part: small counts
/// jump.
const OPEN_SPARE: f64 = 4.0;
/// Shedding begins at this part of the limit.
const OPEN_SHED_FROM: f64 = 0.7;
/// Below this overload the limit widens, up to double.
const OPEN_EASE: f64 = 0.3;
const OPEN_DOWN: Millis = 10_000.0;

impl Balancer {
    /// The part of its worth that a request of this tenant is likely to keep, given the tenant's quota.
    fn share_worth(&self, tenant: usize) -> f64 {
        let Some(promised) = self.settings.tenants.get(tenant) else { return 1.0 };
        // Guards against unequal balancers: own traffic tells how much of it is whose, not how much all send.
        let total: f64 = self.tenant_rate.iter().sum();
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let share = promised.quota_per_s / quotas.max(f64::MIN_POSITIVE);
        let used = (self.tenant_rate[tenant] + SHARE_PRIOR * share) / (total + SHARE_PRIOR);
        let within = (share / used.max(f64::MIN_POSITIVE)).min(1.0);
        within + (1.0 - within) * self.settings.over_quota_weight
    }

    /// What the goal gains by one more answer of a class: its part of the whole, and while the class is
    /// the one served worst, of what that counts for.
    fn class_value(&self, class: usize) -> f64 {
        let Settings { objective_weights: goal, weight_by_work, .. } = &self.settings;
        let priority_weight = |c: usize| {
            self.settings.classes[c].priority_weight * if *weight_by_work { self.typical(c) } else { 1.0 }
        };
        let asked = |c: usize| self.classes[c].kept.n.max(1.0);
        let kept = |c: usize| self.classes[c].kept.shrunk(1.0, PRIOR_RESPONSES);
        let all: f64 = (0..self.classes.len()).map(|c| priority_weight(c) * asked(c)).sum();
        let worst = (0..self.classes.len()).all(|c| kept(class) <= kept(c));
        let whole = (goal.overall + goal.worst_window).max(f64::EPSILON);
        whole * priority_weight(class) / all + if worst { goal.worst_class / asked(class) } else { 0.0 }
    }

    /// Load shedding: refuses the share `shed` of the work offered, from the least worth per work upwards.
    pub(super) fn sheds(&mut self, class: usize, tenant: usize, is_retry: bool) -> bool {
        // Guards against bursts: work piles up at the endpoints long before the first late answer shows it.
        let part = self.load.ready_endpoints / f64::from(self.settings.balancer_count);
        // Clumps of arrivals on an easy day are no burst: far from overload the limit is wider.
        let ease = 1.0 + (1.0 - self.load.strained / OPEN_EASE).max(0.0);
        let limit = OPEN_MULTIPLE * ease * self.load.open_calm * self.load.ready_endpoints
            + (OPEN_SPARE + part) * self.typical(class);
        let full =
            ((self.load.open_work - self.load.open_lost) / limit - OPEN_SHED_FROM) / (1.0 - OPEN_SHED_FROM);
        // Guards against a class shed in vain, for the overload of one that its absence gives no endpoints.
        let strained = if self.load.calm[class] { 0.0 } else { self.load.shed.share };
        let shed = strained.max(full.min(1.0));
        if shed <= 0.0 {
            return false;
        }
        let tenants = self.tenant_rate.len();
        let density = |c: usize, t: usize| self.class_value(c) * self.share_worth(t) / self.typical(c);
        let mine = density(class, tenant) * if is_retry { REPEAT_WORTH } else { 1.0 };
        let (mut below, mut level, mut total) = (0.0, 0.0, 0.0);
        for (i, work) in self.offered.iter().enumerate() {
            let other = density(i / tenants, i % tenants);
            total += work;
            if other * LEVEL < mine {
                below += work;
            } else if other < mine * LEVEL {
                level += work;
            }
        }
        let chance = (shed * total - below) / level.max(f64::MIN_POSITIVE);
        chance > 0.0 && self.random_unit() < chance
    }

    /// How far the fleet is from answering in time; attempts that hang count with their age so far.
    pub(super) fn evaluate_load(&mut self, passed: Millis) {
        // Guards against shedding for lost answers: silence counts in full only where it may be slowness.
        self.load.silence = (self.overdue_response_rate() / HEDGE_BELOW).clamp(MIN_SILENCE_WEIGHT, 1.0);
        let mut overloads = self.load.overloads.clone();
        for (request, attempt) in self.attempts_in_flight() {
            let class = &self.settings.classes[request.class];
            let part = (self.now - attempt.sent - self.distance(attempt.endpoint)) / class.latency_objective;
            if part > OVERLOAD_TARGET
                && !self.endpoints[attempt.endpoint].responses.is_overtaken(attempt.sent)
            {
                let weight = class.priority_weight
                    * self.endpoints[attempt.endpoint].selection_weight
                    * self.open(attempt.endpoint);
                overloads[request.class].weigh(part.min(1.0), weight * self.load.silence);
            }
        }
        // Guards against a balancer that sheds nearly all for good: old overload must pass without new
        // answers.
        let strength = 2.0 * self.load.mean_priority_weight.max(f64::MIN_POSITIVE);
        let lacks = |class: usize| {
            self.endpoints.iter().map(|endpoint| endpoint.responses.loss_rates[class]).sum::<f64>()
        };
        let most =
            (0..overloads.len()).map(lacks).fold(0.0, f64::max) - LACKS_MORE * self.load.ready_endpoints;
        let calm = |(class, overload): (usize, &DecayingMean)| {
            lacks(class) < most && overload.shrunk(OVERLOAD_PRIOR, strength) < CALM_PART * OVERLOAD_TARGET
        };
        self.load.calm = overloads.iter().enumerate().map(calm).collect();
        let overload = overloads.into_iter().fold(DecayingMean::default(), DecayingMean::joined);
        // What some tier of zones still answers in time is passed on to it, not refused.
        let over = (overload.shrunk(OVERLOAD_PRIOR, strength) - OVERLOAD_TARGET).min(self.least_overload());
        let eased = self.load.strained * (-passed / RATE_MEMORY).exp();
        self.load.strained = eased.max(over + OVERLOAD_TARGET);
        self.load.shed.steer(over, passed, SHED_PROPORTIONAL_GAIN, SHED_INTEGRAL_GAIN);
        self.load.age += passed;
        // Counted for each ready endpoint, so that the limit falls at once when many are lost.
        let each = self.load.open_work / self.load.ready_endpoints.max(1.0);
        if over < 0.0 {
            // Upwards only as fast as the overload is low, lest a growing jam be learnt as normal.
            let up = passed / OPEN_UP * -over / OVERLOAD_TARGET;
            let pace = if each > self.load.open_calm { up } else { passed / OPEN_DOWN.min(self.load.age) };
            self.load.open_calm += (each - self.load.open_calm) * pace.min(1.0);
        }
    }
}
