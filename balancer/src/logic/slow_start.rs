//! Slow start: what an endpoint may be sent while it warms up, over the sum of all balancers.

use super::{PRIOR_RESPONSES, RATE_MEMORY};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::interface::{Contract, Millis};
use crate::state::Balancer;

/// Below so many requests the contract leaves more to chance.
const SMALL_BUDGET: f64 = 30.0;
/// A cold endpoint that reports less load than this, from all balancers together, is taken for warmer than it
/// has to be by then; after about so long at no load, for nearly warm.
const COLD_BUSY: f64 = 0.7;
const WARMER_IN: Millis = 3_000.0;

impl Balancer {
    /// The part of its capacity that an endpoint has at least: less than 1 while it is cold.
    pub(super) fn warmth(&self, endpoint: &Endpoint) -> f64 {
        let Contract { warm_up: cold, initial_capacity, .. } = self.settings.contract;
        let age = endpoint.entry.started_at.map_or(1.0, |started| (self.now - started) / cold.max(1.0));
        (initial_capacity + (1.0 - initial_capacity) * age).clamp(initial_capacity.min(1.0), 1.0)
    }

    /// Whose rate of work bounds a cold endpoint: its kind's; its group's, where zones differ in what they
    /// get.
    pub(super) fn rate_of(&self, endpoint: &Endpoint) -> usize {
        if self.zones.is_empty() { endpoint.entry.kind } else { endpoint.group }
    }

    /// How many requests of such work the contract lets come to an endpoint of this warmth within
    /// `overload_window`: its budget, and what may be chance beyond it.
    fn requests_borne(&self, warmth: f64, work: Millis) -> f64 {
        let Contract { overload_window, overload_multiple, .. } = self.settings.contract;
        let budget = overload_multiple * warmth * overload_window / work;
        let spread = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        budget + spread * (budget.sqrt() + 1.0)
    }

    /// How many turns at a cold endpoint of an unknown kind may be used within `overload_window`, by all
    /// balancers together. Guards against requests that need more than is believed before the first answer,
    /// up to the latency objective, beyond which none is answered in time; and, where the belief is right,
    /// against two processes of each number.
    fn turns_per_window(&self, warmth: f64, one: Millis) -> f64 {
        let latency_objective =
            self.settings.classes.iter().map(|class| class.latency_objective).fold(0.0, f64::max);
        self.requests_borne(warmth, latency_objective).min(self.requests_borne(warmth, one) / 2.0)
    }

    /// Which turn of this balancer's it is at a cold endpoint of an unknown kind, if any. A turn stays for
    /// half of `overload_window`, so those that begin within one and a half times `overload_window` may be
    /// used within `overload_window`.
    fn slow_start_turn(&self, h: usize, one: Millis) -> Option<f64> {
        let Contract { initial_capacity, overload_window, .. } = self.settings.contract;
        let (endpoint, warmth) = (&self.endpoints[h], self.warmth(&self.endpoints[h]));
        let age = self.now - endpoint.entry.started_at.unwrap_or(self.now);
        // Evenly from the first to the last moment, as warmth grows: what is borne between is more than that.
        let (first, last) = (self.turns_per_window(initial_capacity, one), self.turns_per_window(1.0, one));
        let borne = first
            + (last - first) * (warmth - initial_capacity) / (1.0 - initial_capacity).max(f64::MIN_POSITIVE);
        let begun = age / (1.5 * overload_window).max(1.0) * (first + borne) / 2.0;
        let at = begun / endpoint.slow_start.round - endpoint.slow_start.round_phase;
        (at.rem_euclid(1.0) * endpoint.slow_start.round < (borne / 3.0).max(1.0)).then(|| at.floor())
    }

    /// Slow start: a cold endpoint gets at most the ramped part of what a warm one lately got from here.
    pub(super) fn refill_slow_start_budgets(&mut self, passed: Millis) {
        self.measure_warm_rates();
        let request = (0..self.classes.len()).map(|class| self.typical(class)).fold(0.0, f64::max);
        for h in 0..self.endpoints.len() {
            if self.warmth(&self.endpoints[h]) < 1.0 {
                self.refill_slow_start_budget(h, request, passed);
            }
        }
    }

    /// Measures what warm endpoints get, of those in use here: the others would starve the cold ones where
    /// subsets are small.
    fn measure_warm_rates(&mut self) {
        let mut warm = vec![DecayingMean::default(); self.warm_rates.len()];
        let used = self.groups.iter().flatten().filter(|&&h| self.open(h) >= 1.0);
        let used = used.map(|&h| &self.endpoints[h]);
        for endpoint in used.filter(|h| self.warmth(h) >= 1.0 && h.outlier.trials_left == 0) {
            let (kin, sent) = (self.rate_of(endpoint), endpoint.recent_work / RATE_MEMORY);
            let served = sent * (1.0 - endpoint.outlier.failures.shrunk(0.0, PRIOR_RESPONSES));
            // Guards against errors that come at once and draw retries: beyond what was known before, only
            // what is served says what an endpoint can take.
            warm[kin].add(sent.min(served.max(self.warm_rates[kin])));
        }
        self.warm_rates.iter_mut().zip(warm).for_each(|(rate, seen)| *rate = seen.value_or(*rate));
    }

    fn refill_slow_start_budget(&mut self, h: usize, request: Millis, passed: Millis) {
        let window = self.settings.contract.overload_window;
        let endpoint = &self.endpoints[h];
        // Guards against a cold endpoint that something else slows down as well: both shrink what it can do.
        let warmth = (self.warmth(endpoint) + endpoint.slow_start.extra_warmth).min(1.0);
        let rate = self.warm_rates[self.rate_of(endpoint)] * warmth * endpoint.selection_weight;
        // Guards against balancers in step, and against more of them than the round has.
        let turn = self.slow_start_turn(h, request / self.kind_speeds[endpoint.entry.kind]);
        let turn = turn.filter(|_| endpoint.slow_start.in_own_subset);
        let endpoint = &mut self.endpoints[h];
        endpoint.slow_start.adjust_warmth(endpoint.utilization, COLD_BUSY, passed, WARMER_IN);
        if rate > 0.0 {
            endpoint.slow_start.accrue(rate, passed, request, window, self.now);
        } else {
            let is_idle = endpoint.connections.in_flight == 0;
            endpoint.slow_start.grant(turn, request, is_idle);
        }
    }
}
