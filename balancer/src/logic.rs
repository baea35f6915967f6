//! All decisions of the balancer, with one file for each concern. Settings, events and actions are in
//! `src/interface.rs`, the state in `src/state.rs`, and plain arithmetic in files such as
//! `src/decaying_mean.rs` and `src/hashing.rs`.
//!
//! This file contains the entry points and the periodic evaluation of the state. Times are milliseconds of
//! the caller's clock. No decision depends on the name of a class, tenant, zone or kind.

mod admission;
mod dispatch;
mod endpoint_list;
mod idle_connections;
mod learning;
mod locality;
mod outlier_detection;
mod report;
mod selection;
mod slow_start;

use crate::decaying_mean::DecayingMean;
use crate::endpoint::Override;
use crate::interface::{Action, DiscoveryMode, EndpointUpdate, Event, Millis, Settings, SettingsError};
use crate::state::{Balancer, Load, TimerPurpose};

/// Interval between evaluations of health and load: far below the seconds over which failures develop.
const EVALUATION_INTERVAL: Millis = 100.0;
/// Time constant of the decay of a kind's relative latency: long enough for a few responses at low traffic,
/// but no longer than a queue takes to fill. With a longer one the whole fleet would continue to overload
/// the kind that was the fastest some seconds ago.
const KIND_TIME_CONSTANT: Millis = 1_500.0;
/// Time constant of the decay of an endpoint's latency and failures: a few seconds, so that an endpoint that
/// has recovered soon receives traffic again.
const ENDPOINT_TIME_CONSTANT: Millis = 4_000.0;
/// Time constant of the decay of a class's expected latency. It is long, since other latencies are compared
/// with the expected one.
const CLASS_TIME_CONSTANT: Millis = 30_000.0;
/// Ratio of the latency objective of a class to its assumed latency before its first response.
const OBJECTIVE_TO_EXPECTED_LATENCY: f64 = 5.0;
/// Time constant of the decay of traffic rates, used for priorities, quotas and slow-start budgets.
const RATE_TIME_CONSTANT: Millis = 3_000.0;
/// Number of responses that a prior counts as much as; with fewer real responses a mean is mostly prior.
const PRIOR_RESPONSES: f64 = 4.0;
/// Upper limit of the relative latency of a single response. Work is heavy-tailed, so one slow response says
/// little about the endpoint.
const MAX_RELATIVE_LATENCY: f64 = 6.0;
/// Minimum selection weight of a slow endpoint: it needs some traffic for its recovery to be noticed.
const MIN_SELECTION_WEIGHT: f64 = 0.03;
/// Ejection time of an endpoint that is much slower than its kind.
const SLOW_EJECTION_TIME: Millis = 5_000.0;
/// Responses that a half-open endpoint must give, one request at a time, before it gets regular traffic.
const HALF_OPEN_TRIALS: u32 = 3;
/// Maximum number of retries that can be saved up in the retry budget.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// An attempt is overdue when it takes longer than this multiple of its expected latency.
const OVERDUE_RATIO: f64 = 3.0;
/// Attempts get a time-out for hedging while less than this share of overdue attempts gets a response in
/// the end.
const HEDGE_MAX_RESPONSE_RATE: f64 = 0.5;
/// Target of load shedding for the overload: the mean of latency divided by latency objective, at most 1,
/// weighted by priority. Above the target a proportional-integral controller sets the share of the work to
/// shed.
const OVERLOAD_TARGET: f64 = 0.35;
/// Initial assumption of how many requests an endpoint can have in flight, from all balancers, without
/// overload.
const INITIAL_REQUESTS_PER_ENDPOINT: f64 = 2.0;
/// Time constant with which the baseline of work in flight without overload grows.
const BASELINE_RISE_TIME: Millis = 700.0;
/// Time constant of the decay of the overload: long enough for a few responses, but shorter than a queue
/// takes to fill.
const OVERLOAD_TIME_CONSTANT: Millis = 400.0;
/// With few responses the time constant is extended to cover this many, up to the maximum below.
const OVERLOAD_RESPONSES: f64 = 4.0;
const MAX_OVERLOAD_TIME_CONSTANT: Millis = 3_000.0;
/// Initial backoff after a failed poll of discovery; the time that the polls of the whole fleet take is
/// added.
const INITIAL_POLL_BACKOFF: Millis = 250.0;

impl Balancer {
    /// A balancer without any observations. `seed` determines its random choices.
    ///
    /// # Errors
    /// Returns the error of [`Settings::validate`] if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let latencies =
            settings.classes.iter().map(|class| class.latency_objective / OBJECTIVE_TO_EXPECTED_LATENCY);
        let mean_latency = latencies.sum::<f64>() / settings.classes.len() as f64;
        let load = Load::new(
            settings.classes.len(),
            INITIAL_REQUESTS_PER_ENDPOINT * mean_latency,
            BASELINE_RISE_TIME,
            OVERLOAD_TARGET,
        );
        Ok(Self {
            retry_budget: MAX_RETRY_BUDGET,
            poll_backoff: INITIAL_POLL_BACKOFF,
            ..Self::with_load(settings, seed, load)
        })
    }

    /// Handles an event that happened at `now`, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        if self.last_evaluated_at.is_none() {
            (self.last_evaluated_at, self.awaits_first_poll_since) = (Some(self.now), Some(self.now));
            self.set_timer(EVALUATION_INTERVAL, TimerPurpose::Evaluate, actions);
            if self.settings.discovery_mode == DiscoveryMode::Pull {
                // When a whole fleet starts at once, its first polls would overload discovery. A balancer
                // with a cached list can serve without a current one, so it waits for a random part of
                // `poll_spread`.
                let has_list = match &event {
                    Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(list)) => !list.is_empty(),
                    _ => false,
                };
                let wait = if has_list { self.random_unit() * self.poll_spread() } else { 0.0 };
                if wait > 0.0 {
                    self.set_timer(wait, TimerPurpose::Poll, actions);
                } else {
                    actions.push(Action::Watch);
                }
            }
        }
        match event {
            Event::EndpointUpdate(update) => self.apply_update(update, actions),
            Event::Request(request) if self.requests.contains_key(&request.id) => {} // a duplicate
            Event::Request(request) => self.request_arrived(&request, actions),
            Event::BodyComplete { id, timeout } => self.body_completed(id, timeout),
            Event::FirstByte { id, attempt } => self.response_started(id, attempt, actions),
            Event::AttemptFinished(end) => self.attempt_ended(&end, actions),
            Event::ClientDisconnected { id } => self.end_request(id, actions),
            Event::ClientHalfClosed { id } => self.client_half_closed(id, actions),
            Event::ForwardedByPeer { identity } => {
                self.forwarded.add(identity, None, self.now);
            }
            Event::Disabled { endpoint } => self.set_override(endpoint, Override::Disabled, actions),
            Event::Enabled { endpoint, at } => self.set_override(endpoint, Override::EnabledAt(at), actions),
            Event::TimerFired { token } => self.timer_fired(token, actions),
            Event::ProbeFinished { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn timer_fired(&mut self, token: u64, actions: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(TimerPurpose::Evaluate) => {
                self.evaluate(actions);
                self.forget_removed_endpoints(actions);
                self.close_idle_connections(actions);
                self.set_timer(EVALUATION_INTERVAL, TimerPurpose::Evaluate, actions);
            }
            Some(TimerPurpose::RetryDispatch(id)) => self.dispatch(id, actions),
            Some(TimerPurpose::Poll) if !self.watching => actions.push(Action::Watch),
            _ => {}
        }
    }

    /// The periodic evaluation: decays past observations and evaluates load, kinds, endpoints and zones.
    fn evaluate(&mut self, actions: &mut Vec<Action>) {
        let elapsed = self.now - self.last_evaluated_at.replace(self.now).unwrap_or(self.now);
        let decay = |time_constant: Millis| (-elapsed / time_constant).exp();
        self.class_stats.iter_mut().for_each(|stats| stats.decay(decay(CLASS_TIME_CONSTANT)));
        self.group_latencies.iter_mut().for_each(|latency| latency.decay(decay(KIND_TIME_CONSTANT)));
        self.recent_tenant_requests.iter_mut().for_each(|count| *count *= decay(RATE_TIME_CONSTANT));
        self.offered_work.iter_mut().for_each(|work| *work *= decay(CLASS_TIME_CONSTANT));
        self.load.decay(decay(CLASS_TIME_CONSTANT), decay(ENDPOINT_TIME_CONSTANT), decay(RATE_TIME_CONSTANT));
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.decay(decay(ENDPOINT_TIME_CONSTANT), decay(RATE_TIME_CONSTANT)));
        // At low traffic all responses would have decayed before the next one arrives, and the balancer
        // would see no overload. The time constant is therefore extended to cover OVERLOAD_RESPONSES
        // responses.
        let overload_decay = |recent_responses: f64| {
            let time_constant = OVERLOAD_RESPONSES * RATE_TIME_CONSTANT / recent_responses.max(1.0);
            decay(time_constant.clamp(OVERLOAD_TIME_CONSTANT, MAX_OVERLOAD_TIME_CONSTANT))
        };
        let (overloads, factor) = (&mut self.load.overloads, overload_decay(self.load.recent_responses));
        overloads.iter_mut().for_each(|overload| overload.decay(factor));
        self.zones
            .iter_mut()
            .for_each(|zone| zone.decay(overload_decay(zone.recent_responses), decay(RATE_TIME_CONSTANT)));
        self.evaluate_load(elapsed);
        self.evaluate_kinds();
        let mut priority = DecayingMean::default();
        let classes = self.class_stats.iter().zip(&self.settings.classes);
        classes.for_each(|(stats, class)| priority.add_weighted(class.priority_weight, stats.size.weight));
        self.load.mean_priority_weight = priority.mean_or(0.0);
        self.evaluate_endpoints();
        self.evaluate_zones(elapsed, actions);
        self.rebuild_groups();
        self.refill_slow_start_budgets(elapsed);
    }
}
