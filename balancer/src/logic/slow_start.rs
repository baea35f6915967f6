//! Slow start: limits what all balancers together send to an endpoint while it warms up.

use super::{PRIOR_RESPONSES, RATE_TIME_CONSTANT};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::interface::{Contract, Millis};
use crate::state::Balancer;

/// For budgets below this many requests, the settings tolerate a wider statistical spread.
const SMALL_BUDGET: f64 = 30.0;
/// An endpoint in slow start that reports a lower utilization than this, caused by all balancers together, is
/// assumed to be warmer than the settings guarantee at that time; ...
const BUSY_UTILIZATION: f64 = 0.7;
/// ... after about this time at a utilization of 0, it is assumed to be nearly warmed up.
const EXTRA_WARMTH_RAMP: Millis = 3_000.0;

impl Balancer {
    /// The fraction of its capacity that an endpoint has at least: below 1 while it is in slow start.
    pub(super) fn warmth(&self, endpoint: &Endpoint) -> f64 {
        let Contract { warm_up, initial_capacity, .. } = self.settings.contract;
        let age =
            endpoint.entry.started_at.map_or(1.0, |started_at| (self.now - started_at) / warm_up.max(1.0));
        (initial_capacity + (1.0 - initial_capacity) * age).clamp(initial_capacity.min(1.0), 1.0)
    }

    /// Index into `warm_rates` and `max_selection_weights`: the endpoint's kind, or its group if locality
    /// is on and zones therefore receive different amounts of work.
    pub(super) fn peer_index(&self, endpoint: &Endpoint) -> usize {
        if self.zones.is_empty() { endpoint.entry.kind } else { endpoint.group }
    }

    /// How many requests of this work an endpoint of this warmth can receive within `overload_window`: its
    /// budget, plus the statistical spread that is tolerated.
    fn tolerated_requests(&self, warmth: f64, work: Millis) -> f64 {
        let Contract { overload_window, overload_multiple, .. } = self.settings.contract;
        let budget = overload_multiple * warmth * overload_window / work;
        let spread = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        budget + spread * (budget.sqrt() + 1.0)
    }

    /// How many turns at an endpoint whose kind is unknown may be used within `overload_window`, by all
    /// balancers together.
    ///
    /// Before the first response, requests may need more work than assumed, up to the latency objective;
    /// beyond that no response is in time. The number for the assumed work is halved, because two processes
    /// may run with the same balancer index.
    fn turns_per_window(&self, warmth: f64, request_work: Millis) -> f64 {
        let latency_objective =
            self.settings.classes.iter().map(|class| class.latency_objective).fold(0.0, f64::max);
        self.tolerated_requests(warmth, latency_objective)
            .min(self.tolerated_requests(warmth, request_work) / 2.0)
    }

    /// The number of this balancer's current turn at an endpoint whose kind is unknown, if it has one. A
    /// turn lasts half of `overload_window`, so the turns that start within one and a half times
    /// `overload_window` may all be used within one `overload_window`.
    fn slow_start_turn(&self, index: usize, request_work: Millis) -> Option<f64> {
        let Contract { initial_capacity, overload_window, .. } = self.settings.contract;
        let (endpoint, warmth) = (&self.endpoints[index], self.warmth(&self.endpoints[index]));
        let age = self.now - endpoint.entry.started_at.unwrap_or(self.now);
        // Linear between the first and the last moment, as warmth is; what is tolerated in between is higher.
        let (first, last) =
            (self.turns_per_window(initial_capacity, request_work), self.turns_per_window(1.0, request_work));
        let turns = first
            + (last - first) * (warmth - initial_capacity) / (1.0 - initial_capacity).max(f64::MIN_POSITIVE);
        let started_turns = age / (1.5 * overload_window).max(1.0) * (first + turns) / 2.0;
        let turn = started_turns / endpoint.slow_start.turn_count - endpoint.slow_start.turn_phase;
        (turn.rem_euclid(1.0) * endpoint.slow_start.turn_count < (turns / 3.0).max(1.0)).then(|| turn.floor())
    }

    /// Refills the budgets of endpoints in slow start: each receives at most the fraction, by its warmth,
    /// of what a warmed-up endpoint recently received from this balancer.
    pub(super) fn refill_slow_start_budgets(&mut self, elapsed: Millis) {
        self.measure_warm_rates();
        let request_work =
            (0..self.class_stats.len()).map(|class| self.expected_class_latency(class)).fold(0.0, f64::max);
        for index in 0..self.endpoints.len() {
            if self.warmth(&self.endpoints[index]) < 1.0 {
                self.refill_slow_start_budget(index, request_work, elapsed);
            }
        }
    }

    /// Measures the work that warmed-up endpoints receive. Only those that this balancer uses count: with
    /// small subsets, the idle ones would reduce the budgets of endpoints in slow start to nearly nothing.
    fn measure_warm_rates(&mut self) {
        let mut measured = vec![DecayingMean::default(); self.warm_rates.len()];
        let used = self.groups.iter().flatten().filter(|&&index| self.zone_weight(index) >= 1.0);
        let used = used.map(|&index| &self.endpoints[index]);
        for endpoint in
            used.filter(|endpoint| self.warmth(endpoint) >= 1.0 && endpoint.outlier.trials_left == 0)
        {
            let (peers, sent) = (self.peer_index(endpoint), endpoint.recent_work / RATE_TIME_CONSTANT);
            let served = sent * (1.0 - endpoint.outlier.failures.shrunk(0.0, PRIOR_RESPONSES));
            // Immediate errors cause retries, which raise the rate of sent work without showing any capacity.
            // Above the previous rate only served work counts.
            measured[peers].add(sent.min(served.max(self.warm_rates[peers])));
        }
        self.warm_rates.iter_mut().zip(measured).for_each(|(rate, measured)| *rate = measured.mean_or(*rate));
    }

    fn refill_slow_start_budget(&mut self, index: usize, request_work: Millis, elapsed: Millis) {
        let window = self.settings.contract.overload_window;
        let endpoint = &self.endpoints[index];
        // An endpoint in slow start may also be slow for another reason; both reduce its capacity.
        let warmth = (self.warmth(endpoint) + endpoint.slow_start.extra_warmth).min(1.0);
        let rate = self.warm_rates[self.peer_index(endpoint)] * warmth * endpoint.selection_weight;
        // Only balancers with the endpoint in their subsets have turns. Others would exceed the number of
        // turns, and several balancers would use the same turn.
        let turn = self.slow_start_turn(index, request_work / self.kind_speeds[endpoint.entry.kind]);
        let turn = turn.filter(|_| endpoint.slow_start.in_own_subset);
        let endpoint = &mut self.endpoints[index];
        endpoint.slow_start.adjust_warmth(endpoint.utilization, BUSY_UTILIZATION, elapsed, EXTRA_WARMTH_RAMP);
        if rate > 0.0 {
            endpoint.slow_start.accrue(rate, elapsed, request_work, window, self.now);
        } else {
            let is_idle = endpoint.connections.in_flight == 0;
            endpoint.slow_start.grant(turn, request_work, is_idle);
        }
    }
}
