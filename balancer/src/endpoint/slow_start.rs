//! Slow start of one endpoint: how much work this balancer may still send to it while it warms up.

use crate::decaying_mean::DecayingMean;
use crate::interface::Millis;

/// See the module documentation.
pub(crate) struct SlowStartState {
    /// Work that may still be sent, in milliseconds.
    pub(crate) budget: f64,
    /// When the budget was last below the work of one request; minus infinity before the budget is first
    /// filled.
    pub(crate) below_one_since: Millis,
    /// The latest turn that granted a request while the rate of warmed-up endpoints was unknown.
    pub(crate) turn: Option<f64>,
    /// How much the endpoint is taken to be warmer than the settings guarantee, 0 to 1.
    pub(crate) extra_warmth: f64,
    /// Whether it belongs to the subset of this balancer, even while it is ejected.
    pub(crate) in_own_subset: bool,
    /// How many balancers have it in their subsets and take turns.
    pub(crate) turn_count: f64,
    /// Position of this balancer in the order of turns, 0 to 1.
    pub(crate) turn_phase: f64,
}

impl Default for SlowStartState {
    fn default() -> SlowStartState {
        SlowStartState {
            budget: 0.0,
            below_one_since: f64::NEG_INFINITY,
            turn: None,
            extra_warmth: 0.0,
            in_own_subset: false,
            turn_count: 1.0,
            turn_phase: 0.0,
        }
    }
}

impl SlowStartState {
    /// Refills the budget at `rate`, in milliseconds of work per millisecond, for the `elapsed` time. The
    /// limit is a quarter of what the rate gives in `window`, but at least `request`, the work of one
    /// request.
    ///
    /// If that limit is below one request, a request that was not used for `window` is dropped. Otherwise
    /// many balancers could save up one request each and send them all at the same time.
    pub(crate) fn accrue(
        &mut self,
        rate: f64,
        elapsed: Millis,
        request: Millis,
        window: Millis,
        now: Millis,
    ) {
        let limit = rate * window / 4.0;
        let is_dropped = limit < request && self.below_one_since + window < now;
        let is_first = self.below_one_since.is_infinite();
        let saved = if is_first { request * self.turn_phase } else { self.budget };
        self.budget = if is_dropped { 0.0 } else { (saved + rate * elapsed).min(limit.max(request)) };
        self.below_one_since = if self.budget < request { now } else { self.below_one_since.max(0.0) };
    }

    /// Grants one request in each turn, and nothing between turns. Used while the rate of warmed-up
    /// endpoints is unknown.
    pub(crate) fn grant(&mut self, turn: Option<f64>, request: Millis, is_idle: bool) {
        if turn.is_none() {
            self.budget = 0.0;
        } else if self.turn != turn && is_idle {
            (self.turn, self.budget) = (turn, request);
        }
    }

    /// Adjusts the assumed warmth to the utilization that the endpoint reports: at `busy` or above it falls
    /// towards what the settings guarantee, and at a utilization of 0 the endpoint counts as nearly warmed up
    /// after `ramp`.
    ///
    /// A single balancer cannot know how much work all others send. Without the reports the balancers
    /// together would leave an endpoint in slow start underused.
    pub(crate) fn adjust_warmth(
        &mut self,
        utilization: DecayingMean,
        busy: f64,
        elapsed: Millis,
        ramp: Millis,
    ) {
        let spare = busy * utilization.weight - utilization.sum;
        let increase = spare / utilization.weight.max(1.0) * elapsed / ramp;
        self.extra_warmth = (self.extra_warmth + increase).clamp(0.0, 1.0);
    }
}
