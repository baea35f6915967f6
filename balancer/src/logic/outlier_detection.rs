//! Outlier detection: which endpoints are ejected, which are tried again, and the selection weight of each.

use super::{
    HALF_OPEN_TRIALS, MAX_RELATIVE_LATENCY, MIN_SELECTION_WEIGHT, PRIOR_RESPONSES, SLOW_EJECTION_TIME,
};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::interface::{EndpointState, Millis};
use crate::state::Balancer;

/// An endpoint that is slower than its kind by more than this factor gets a lower selection weight.
const SLOW_RATIO: f64 = 1.4;
/// An endpoint is an outlier if its failure rate exceeds twice that of its peers by this much ...
const EJECT_FAILURE_RATE: f64 = 0.2;
/// ... or after this many consecutive failures.
const EJECT_CONSECUTIVE_FAILURES: u32 = 5;
/// Base ejection time of an outlier; after it, the endpoint is half open.
const EJECTION_TIME: Millis = 2_000.0;
/// Panic threshold: the maximum share of endpoints that outlier detection ejects at a time.
const MAX_EJECTED_SHARE: f64 = 0.8;
/// An endpoint that is slower than its kind by more than this factor is ejected for SLOW_EJECTION_TIME ...
const SLOW_EJECTION_RATIO: f64 = 2.2;
/// ... unless more than this share of the warmed-up endpoints would be ejected.
const MAX_SLOW_EJECTED_SHARE: f64 = 0.3;

impl Balancer {
    /// Updates the speeds of kinds: the inverse of the relative latency, shrunk towards the mean of the
    /// other kinds.
    pub(super) fn evaluate_kinds(&mut self) {
        let zones = self.group_latencies.chunks(self.settings.zone_count);
        let kinds: Vec<DecayingMean> = zones
            .map(|zones| zones.iter().fold(DecayingMean::default(), |total, zone| total.combined(*zone)))
            .collect();
        for (index, kind) in kinds.iter().enumerate() {
            let mut others = DecayingMean::default();
            let observed = kinds
                .iter()
                .enumerate()
                .filter(|(other_index, other)| *other_index != index && other.weight > 0.05);
            observed.for_each(|(_, other)| others.add(other.weight / other.sum));
            self.kind_speeds[index] = 1.0 / kind.shrunk(1.0 / others.mean_or(1.0), PRIOR_RESPONSES);
        }
        // Speeds of groups, because an overloaded zone is not visible in the mean of its kind. Queue
        // lengths do not show it either if traffic is low: this balancer then has no attempts in flight
        // anywhere.
        for (group, latency) in self.group_latencies.iter().enumerate() {
            let kind_speed = self.kind_speeds[group / self.settings.zone_count];
            self.group_speeds[group] = 1.0 / latency.shrunk(1.0 / kind_speed, PRIOR_RESPONSES);
        }
    }

    /// Updates loss rates and selection weights, and ejects slow endpoints.
    pub(super) fn evaluate_endpoints(&mut self) {
        // Attempts in flight count as well: their age is a lower bound of their latency.
        let mut ages = vec![DecayingMean::default(); self.endpoints.len()];
        let mut losses: Vec<DecayingMean> =
            self.endpoints.iter().flat_map(|endpoint| endpoint.responses.losses.iter().copied()).collect();
        let mut lost_work = 0.0;
        for (request, attempt) in self.attempts_in_flight() {
            let waited = self.now - attempt.sent_at - self.extra_zone_latency(attempt.endpoint);
            let relative_age = waited / self.expected_latency(request.class, request.size);
            if self.zone_weight(attempt.endpoint) == 0.0 {
                lost_work += attempt.work;
            } else if !self.endpoints[attempt.endpoint].responses.is_overtaken(attempt.sent_at) {
                if relative_age > SLOW_RATIO {
                    ages[attempt.endpoint].add(relative_age.min(MAX_RELATIVE_LATENCY));
                }
            } else if relative_age * self.kind_speeds[self.endpoints[attempt.endpoint].entry.kind]
                > MAX_RELATIVE_LATENCY
            {
                losses[attempt.endpoint * self.class_stats.len() + request.class].add(1.0);
                lost_work += attempt.work;
            }
        }
        self.load.lost_work_in_flight = lost_work;
        for (endpoint, losses) in self.endpoints.iter_mut().zip(losses.chunks(self.class_stats.len())) {
            endpoint
                .responses
                .loss_rates
                .iter_mut()
                .zip(losses)
                .for_each(|(loss_rate, losses)| *loss_rate = losses.shrunk(0.0, 1.0));
        }
        // An endpoint in slow start counts in proportion to its warmth. Otherwise new endpoints would raise
        // the concurrency limit before they can do the work.
        let is_ready = |index: &usize| {
            self.endpoints[*index].entry.state == EndpointState::Up
                && self.endpoints[*index].outlier.trials_left == 0
        };
        let ready = (0..self.endpoints.len()).filter(is_ready);
        self.load.ready_endpoints =
            ready.map(|index| self.warmth(&self.endpoints[index]) * self.zone_weight(index)).sum();
        // The share refers to warmed-up endpoints: while most endpoints are in slow start, the few others
        // carry the load and must not be ejected.
        let warm: Vec<bool> = self.endpoints.iter().map(|endpoint| self.warmth(endpoint) >= 1.0).collect();
        let counted = self
            .endpoints
            .iter()
            .zip(&warm)
            .filter(|(endpoint, warm)| endpoint.entry.state == EndpointState::Up && **warm);
        let mut ejections_left = counted
            .map(|(endpoint, _)| {
                if endpoint.outlier.trials_left > 0 {
                    MAX_SLOW_EJECTED_SHARE - 1.0
                } else {
                    MAX_SLOW_EJECTED_SHARE
                }
            })
            .sum::<f64>();
        for ((endpoint, ages), warm) in self.endpoints.iter_mut().zip(ages).zip(warm) {
            let kind_latency = 1.0 / self.kind_speeds[endpoint.entry.kind];
            let slowness =
                endpoint.responses.relative_latency.combined(ages).shrunk(kind_latency, PRIOR_RESPONSES)
                    / kind_latency;
            // An endpoint that fails immediately always has the shortest queue. Its success rate reduces
            // its weight, so that it does not attract traffic before it is ejected, or when no more
            // endpoints may be ejected.
            let success_rate = 1.0 - endpoint.outlier.failures.shrunk(0.0, PRIOR_RESPONSES);
            endpoint.selection_weight = (success_rate * SLOW_RATIO / slowness)
                .min(success_rate)
                .powi(2)
                .clamp(MIN_SELECTION_WEIGHT, 1.0);
            if slowness > SLOW_EJECTION_RATIO
                && endpoint.outlier.trials_left == 0
                && warm
                && ejections_left >= 1.0
            {
                // An endpoint that was overloaded may stay slow until it gets no requests for a while.
                ejections_left -= 1.0;
                endpoint.eject(self.now, SLOW_EJECTION_TIME, HALF_OPEN_TRIALS);
            }
            if self.now < endpoint.outlier.ejected_until {
                endpoint.selection_weight = 0.0;
            } else if endpoint.outlier.trials_left > 0 {
                // Half open: one request at a time shows whether the endpoint has recovered.
                endpoint.selection_weight = if endpoint.connections.in_flight == 0 { 0.2 } else { 0.0 };
            }
        }
        self.update_max_selection_weights();
    }

    /// Updates the weights that others are compared with. If all endpoints of a kind are overloaded, none
    /// of them receives less than the others, so only the ratio to the highest weight shows how much less
    /// an endpoint gets.
    fn update_max_selection_weights(&mut self) {
        let mut max_weights = vec![0.0; self.max_selection_weights.len()];
        let is_warm = |endpoint: &&Endpoint| {
            endpoint.entry.state == EndpointState::Up
                && endpoint.outlier.trials_left == 0
                && self.warmth(endpoint) >= 1.0
        };
        for endpoint in self.endpoints.iter().filter(is_warm) {
            let max_weight = &mut max_weights[self.peer_index(endpoint)];
            *max_weight = f64::max(*max_weight, endpoint.selection_weight);
        }
        self.max_selection_weights = max_weights;
    }

    /// Ejects an endpoint if its failures stand out from those of its peers and not too many endpoints are
    /// ejected. A half-open endpoint is ejected again at once.
    pub(super) fn eject_if_outlier(&mut self, index: usize) {
        let (mut ejected, mut failures) = (DecayingMean::default(), DecayingMean::default());
        for other in self.endpoints.iter().filter(|other| other.entry.state == EndpointState::Up) {
            ejected.add(f64::from(u8::from(other.outlier.trials_left > 0)));
            failures = failures.combined(other.outlier.failures);
        }
        let endpoint = &mut self.endpoints[index];
        let peer_failure_rate = (failures.sum - endpoint.outlier.failures.sum)
            / (failures.weight - endpoint.outlier.failures.weight).max(1.0);
        // If most of a fleet fails at once, a failed endpoint does not stand out from its peers;
        // consecutive failures are enough.
        let is_outlier = endpoint.outlier.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
            || endpoint.outlier.failures.shrunk(0.0, PRIOR_RESPONSES)
                > EJECT_FAILURE_RATE + 2.0 * peer_failure_rate;
        if endpoint.outlier.trials_left > 0
            || (is_outlier && ejected.sum + 1.0 <= (ejected.weight * MAX_EJECTED_SHARE).max(1.0))
        {
            endpoint.eject(self.now, EJECTION_TIME, HALF_OPEN_TRIALS);
        }
    }
}
