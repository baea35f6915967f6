//! Admission control: which requests are shed so that the admitted ones get their responses in time.

use super::{
    BASELINE_RISE_TIME, HEDGE_MAX_RESPONSE_RATE, OVERLOAD_TARGET, PRIOR_RESPONSES, RATE_TIME_CONSTANT,
};
use crate::decaying_mean::DecayingMean;
use crate::interface::{Millis, Settings};
use crate::state::Balancer;

/// Minimum weight in the overload of attempts without a response. The weight falls with the rate of overdue
/// responses below HEDGE_MAX_RESPONSE_RATE, but a missing response can always be a sign of load.
const MIN_TIMEOUT_WEIGHT: f64 = 0.4;
const SHED_PROPORTIONAL_GAIN: f64 = 2.0;
/// Per second.
const SHED_INTEGRAL_GAIN: f64 = 1.0;
/// A class is exempt from shedding if this fraction more of the endpoints loses the responses of another
/// class, so that it has endpoints which the other class lacks, ...
const EXEMPT_LOSS_MARGIN: f64 = 0.1;
/// ... and if its own overload is below this fraction of the target.
const EXEMPT_MAX_OVERLOAD: f64 = 0.6;
/// Assumed overload without observations; it counts as much as two responses of mean priority.
pub(super) const OVERLOAD_PRIOR: f64 = 0.1;
/// Classes and tenants whose priority per unit of work differs by less than this factor are shed alike.
const SAME_PRIORITY_RATIO: f64 = 1.5;
/// Number of requests with which a tenant's share of the traffic is shrunk towards its quota.
const QUOTA_PRIOR_REQUESTS: f64 = 10.0;
/// Priority factor of a request that the client marked as a retry: part of its latency objective passed
/// before it arrived.
const CLIENT_RETRY_PRIORITY: f64 = 0.5;
/// Concurrency limit: the work in flight may grow to this multiple of its baseline without overload ...
const LIMIT_MULTIPLE: f64 = 2.0;
/// ... plus this many requests, and one for each ready endpoint in this balancer's share of the fleet: small
/// numbers of requests vary strongly by chance.
const LIMIT_SPARE_REQUESTS: f64 = 4.0;
/// Shedding begins at this fraction of the limit.
const LIMIT_SHED_FROM: f64 = 0.7;
/// Below this overload the limit is raised, up to twice its normal value.
const LIMIT_RAISE_BELOW: f64 = 0.3;
/// Time constant with which the baseline of work in flight without overload falls.
const BASELINE_FALL_TIME: Millis = 10_000.0;

impl Balancer {
    /// The expected fraction of its priority that a request of this tenant keeps, given the tenant's quota.
    fn quota_factor(&self, tenant: usize) -> f64 {
        let Some(promised) = self.settings.tenants.get(tenant) else { return 1.0 };
        // The usage of a quota is estimated from the tenant's share of this balancer's traffic, not from its
        // request rate: balancers receive unequal traffic, so the rate says nothing about the whole fleet.
        let total: f64 = self.recent_tenant_requests.iter().sum();
        let quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota_share = promised.quota_per_s / quotas.max(f64::MIN_POSITIVE);
        let used_share = (self.recent_tenant_requests[tenant] + QUOTA_PRIOR_REQUESTS * quota_share)
            / (total + QUOTA_PRIOR_REQUESTS);
        let within = (quota_share / used_share.max(f64::MIN_POSITIVE)).min(1.0);
        within + (1.0 - within) * self.settings.over_quota_weight
    }

    /// How much one more response of a class improves the service objective: by its part of the overall
    /// priority weight, and, while the class is the one served worst, by its part of that objective.
    fn class_value(&self, class: usize) -> f64 {
        let Settings { objective_weights, weight_by_work, .. } = &self.settings;
        let priority_weight = |class: usize| {
            self.settings.classes[class].priority_weight
                * if *weight_by_work { self.expected_class_latency(class) } else { 1.0 }
        };
        let arrived = |class: usize| self.class_stats[class].in_objective.weight.max(1.0);
        let in_objective = |class: usize| self.class_stats[class].in_objective.shrunk(1.0, PRIOR_RESPONSES);
        let total: f64 =
            (0..self.class_stats.len()).map(|other| priority_weight(other) * arrived(other)).sum();
        let is_worst = (0..self.class_stats.len()).all(|other| in_objective(class) <= in_objective(other));
        let overall = (objective_weights.overall + objective_weights.worst_window).max(f64::EPSILON);
        overall * priority_weight(class) / total
            + if is_worst { objective_weights.worst_class / arrived(class) } else { 0.0 }
    }

    /// Load shedding: whether to reject this request. The share of the offered work to shed is taken from the
    /// lowest priority per unit of work upwards.
    pub(super) fn should_shed(&mut self, class: usize, tenant: usize, is_retry: bool) -> bool {
        // The concurrency limit reacts to bursts: work accumulates at the endpoints long before the first
        // late response raises the overload.
        let own_endpoints = self.load.ready_endpoints / f64::from(self.settings.balancer_count);
        // Far from overload, arrivals that happen to cluster are harmless, so the limit is higher.
        let raise = 1.0 + (1.0 - self.load.peak_overload / LIMIT_RAISE_BELOW).max(0.0);
        let limit = LIMIT_MULTIPLE * raise * self.load.baseline_work * self.load.ready_endpoints
            + (LIMIT_SPARE_REQUESTS + own_endpoints) * self.expected_class_latency(class);
        let limit_share = ((self.load.work_in_flight - self.load.lost_work_in_flight) / limit
            - LIMIT_SHED_FROM)
            / (1.0 - LIMIT_SHED_FROM);
        // Shedding an exempt class would not help the overloaded class, which cannot use its endpoints.
        let overload_share = if self.load.is_shedding_exempt[class] { 0.0 } else { self.load.shedding.share };
        let shed_share = overload_share.max(limit_share.min(1.0));
        if shed_share <= 0.0 {
            return false;
        }
        let tenants = self.recent_tenant_requests.len();
        let priority = |class: usize, tenant: usize| {
            self.class_value(class) * self.quota_factor(tenant) / self.expected_class_latency(class)
        };
        let own_priority = priority(class, tenant) * if is_retry { CLIENT_RETRY_PRIORITY } else { 1.0 };
        let (mut lower, mut same, mut total) = (0.0, 0.0, 0.0);
        for (index, work) in self.offered_work.iter().enumerate() {
            let other_priority = priority(index / tenants, index % tenants);
            total += work;
            if other_priority * SAME_PRIORITY_RATIO < own_priority {
                lower += work;
            } else if other_priority < own_priority * SAME_PRIORITY_RATIO {
                same += work;
            }
        }
        let probability = (shed_share * total - lower) / same.max(f64::MIN_POSITIVE);
        probability > 0.0 && self.random_unit() < probability
    }

    /// Updates the overload and what follows from it: the share to shed, the exempt classes and the
    /// baseline of work in flight. Attempts in flight count with their age so far.
    pub(super) fn evaluate_load(&mut self, elapsed: Millis) {
        // Lost responses are no sign of load: attempts without a response count in full only as long as
        // overdue responses usually arrive in the end, so that slowness may be the cause.
        self.load.timeout_weight =
            (self.overdue_response_rate() / HEDGE_MAX_RESPONSE_RATE).clamp(MIN_TIMEOUT_WEIGHT, 1.0);
        let mut overloads = self.load.overloads.clone();
        for (request, attempt) in self.attempts_in_flight() {
            let class = &self.settings.classes[request.class];
            let ratio = (self.now - attempt.sent_at - self.extra_zone_latency(attempt.endpoint))
                / class.latency_objective;
            if ratio > OVERLOAD_TARGET
                && !self.endpoints[attempt.endpoint].responses.is_overtaken(attempt.sent_at)
            {
                let weight = class.priority_weight
                    * self.endpoints[attempt.endpoint].selection_weight
                    * self.zone_weight(attempt.endpoint);
                overloads[request.class].add_weighted(ratio.min(1.0), weight * self.load.timeout_weight);
            }
        }
        // The prior makes a past overload decay without new responses. A balancer that sheds nearly all
        // requests would otherwise never notice that the overload is over.
        let strength = 2.0 * self.load.mean_priority_weight.max(f64::MIN_POSITIVE);
        let lost_endpoints = |class: usize| {
            self.endpoints.iter().map(|endpoint| endpoint.responses.loss_rates[class]).sum::<f64>()
        };
        let max_lost = (0..overloads.len()).map(lost_endpoints).fold(0.0, f64::max)
            - EXEMPT_LOSS_MARGIN * self.load.ready_endpoints;
        let is_exempt = |(class, overload): (usize, &DecayingMean)| {
            lost_endpoints(class) < max_lost
                && overload.shrunk(OVERLOAD_PRIOR, strength) < EXEMPT_MAX_OVERLOAD * OVERLOAD_TARGET
        };
        self.load.is_shedding_exempt = overloads.iter().enumerate().map(is_exempt).collect();
        let overload = overloads.into_iter().fold(DecayingMean::default(), DecayingMean::combined);
        // While some tier of zones still responds in time, requests spill over to it and are not shed.
        let excess =
            (overload.shrunk(OVERLOAD_PRIOR, strength) - OVERLOAD_TARGET).min(self.min_tier_excess());
        let decayed_peak = self.load.peak_overload * (-elapsed / RATE_TIME_CONSTANT).exp();
        self.load.peak_overload = decayed_peak.max(excess + OVERLOAD_TARGET);
        self.load.shedding.update(excess, elapsed, SHED_PROPORTIONAL_GAIN, SHED_INTEGRAL_GAIN);
        self.load.observed_time += elapsed;
        // Per ready endpoint, so that the concurrency limit falls at once when many endpoints fail.
        let work_per_endpoint = self.load.work_in_flight / self.load.ready_endpoints.max(1.0);
        if excess < 0.0 {
            // The baseline rises the more slowly, the closer the overload is to its target. Otherwise a
            // growing queue would be learnt as the normal state.
            let rise = elapsed / BASELINE_RISE_TIME * -excess / OVERLOAD_TARGET;
            let step = if work_per_endpoint > self.load.baseline_work {
                rise
            } else {
                elapsed / BASELINE_FALL_TIME.min(self.load.observed_time)
            };
            self.load.baseline_work += (work_per_endpoint - self.load.baseline_work) * step.min(1.0);
        }
    }
}
