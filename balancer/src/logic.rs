//! Every decision of the balancer, one concern a file. Types, events and actions are in `src/interface.rs`;
//! what is remembered in `src/state.rs`; plain arithmetic (a fading mean, a hash) in `src/tools.rs`.
//!
//! Here: the entry points, and the regular look at everything. Times are milliseconds of the caller's clock.
//! No decision depends on a name.

mod admission;
mod dispatch;
mod endpoint_list;
mod learning;
mod locality;
mod outlier_detection;
mod report;
mod selection;
mod slow_start;

use crate::decaying_mean::DecayingMean;
use crate::endpoint::OperatorOverride;
use crate::interface::{Action, DiscoveryMode, EndpointUpdate, Event, Millis, Settings, SettingsError};
use crate::state::{Balancer, Load, TimerPurpose};

/// How often health and admission are judged. Far below the seconds over which troubles come and go.
const EVALUATION_INTERVAL: Millis = 100.0;
/// Memory of a kind's speed: a few answers of a quiet balancer, but no longer than a queue takes to jam.
/// Guards against a fleet of them that still fills the kind that was the fastest some seconds ago.
const KIND_MEMORY: Millis = 1_500.0;
/// Memory of one endpoint's slowness and failures: a few seconds, so that a recovered endpoint comes back
/// soon.
const ENDPOINT_MEMORY: Millis = 4_000.0;
/// Memory of what a class usually takes. Long: this is the yardstick that the others are held against.
const CLASS_MEMORY: Millis = 30_000.0;
/// A class is taken to need its latency objective over this before its first answer has come.
const OBJECTIVE_OVER_USUAL: f64 = 5.0;
/// Memory of traffic rates, for worth, quotas and cold budgets.
const RATE_MEMORY: Millis = 3_000.0;
/// Answers that a prior weighs as much as; a mean of fewer real answers is mostly prior.
const PRIOR_RESPONSES: f64 = 4.0;
/// One answer counts at most as so many times its usual latency: work is heavy-tailed, an endpoint is not.
const MAX_RELATIVE_LATENCY: f64 = 6.0;
/// The least chance in a sample that a slow endpoint keeps, so that its recovery is seen.
const MIN_SELECTION_WEIGHT: f64 = 0.03;
const SLOW_EJECTION_TIME: Millis = 5_000.0;
/// Answers that an endpoint on probation must serve.
const HALF_OPEN_TRIALS: u32 = 3;
const MAX_RETRY_BUDGET: f64 = 10.0;
/// An attempt is out for long after so many times what its class usually takes.
const OVERDUE_RATIO: f64 = 3.0;
/// Such time-outs are set while less than this share of the attempts out for long is answered in the end;
/// until some were seen, all are taken to be, with the weight of so many.
const HEDGE_BELOW: f64 = 0.5;
/// Load shedding holds the overload (mean of latency over latency objective, at most 1, weighted by worth)
/// here. Above it a share of the work is refused, by a proportional-integral rule; the second gain is per
/// second.
const OVERLOAD_TARGET: f64 = 0.35;
/// What an endpoint is taken to hold without overload, from all balancers, before anything is known.
const OPEN_START: f64 = 2.0;
/// Memory of the unstrained work in flight: while it grows, and while it falls.
const OPEN_UP: Millis = 700.0;
/// Memory of the overload: a few answers, but shorter than a queue takes to fill.
const OVERLOAD_MEMORY: Millis = 400.0;
/// Where answers are few it holds so many of them, but is never longer than this.
const OVERLOAD_RESPONSES: f64 = 4.0;
const MAX_OVERLOAD_MEMORY: Millis = 3_000.0;
/// Pauses before it is asked again: the first, and the longest; to both comes the time for the whole fleet.
const POLL_BACKOFF: Millis = 250.0;

impl Balancer {
    /// A balancer that knows nothing but its settings.
    ///
    /// # Errors
    /// When [`Settings::check`] finds fault with the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aims = settings.classes.iter().map(|class| class.latency_objective / OBJECTIVE_OVER_USUAL);
        let usual = aims.sum::<f64>() / settings.classes.len() as f64;
        // Before anything is known: some requests on each endpoint, from all balancers together.
        let load = Load::new(settings.classes.len(), OPEN_START * usual, OPEN_UP, OVERLOAD_TARGET);
        Ok(Self {
            retry_budget: MAX_RETRY_BUDGET,
            poll_backoff: POLL_BACKOFF,
            ..Self::empty(settings, seed, load)
        })
    }

    /// Takes in one event that happened at `now` and appends to `out` what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        if self.last_evaluated_at.is_none() {
            self.last_evaluated_at = Some(self.now);
            self.set_timer(EVALUATION_INTERVAL, TimerPurpose::Evaluate, out);
            if self.settings.discovery_mode == DiscoveryMode::Pull {
                // Guards against a fleet that starts together: who has a list can wait for a turn.
                let known = match &event {
                    Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(list)) => !list.is_empty(),
                    _ => false,
                };
                let wait = if known { self.random_unit() * self.poll_spread() } else { 0.0 };
                if wait > 0.0 {
                    self.set_timer(wait, TimerPurpose::Poll, out);
                } else {
                    out.push(Action::Watch);
                }
            }
        }
        match event {
            Event::EndpointUpdate(news) => self.apply_update(news, out),
            Event::Request(request) if self.requests.contains_key(&request.id) => {} // taken already
            Event::Request(request) => self.arrive(&request, out),
            Event::BodyComplete { id, timeout } => self.body_completed(id, timeout),
            Event::FirstByte { id, attempt } => self.stream_began(id, attempt, out),
            Event::AttemptFinished(end) => self.attempt_ended(&end, out),
            Event::ClientDisconnected { id } => self.request_over(id, out),
            Event::ClientHalfClosed { id } => self.client_closed(id, out),
            Event::Disabled { endpoint } => self.apply_override(endpoint, OperatorOverride::Out, out),
            Event::Enabled { endpoint, at } => self.apply_override(endpoint, OperatorOverride::Back(at), out),
            Event::TimerFired { token } => self.timer_fired(token, out),
            Event::ProbeFinished { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn timer_fired(&mut self, token: u64, out: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(TimerPurpose::Evaluate) => {
                self.evaluate(out);
                self.forget(out);
                self.close_idle(out);
                self.set_timer(EVALUATION_INTERVAL, TimerPurpose::Evaluate, out);
            }
            Some(TimerPurpose::RetryDispatch(id)) => self.dispatch(id, out),
            Some(TimerPurpose::Poll) if !self.watching => out.push(Action::Watch),
            _ => {}
        }
    }

    /// The regular look at everything: fades memories, judges kinds, endpoints and load.
    fn evaluate(&mut self, out: &mut Vec<Action>) {
        let passed = self.now - self.last_evaluated_at.replace(self.now).unwrap_or(self.now);
        let keep = |memory: Millis| (-passed / memory).exp();
        self.classes.iter_mut().for_each(|class| class.fade(keep(CLASS_MEMORY)));
        self.latencies.iter_mut().for_each(|latency| latency.fade(keep(KIND_MEMORY)));
        self.tenant_rate.iter_mut().for_each(|rate| *rate *= keep(RATE_MEMORY));
        self.offered.iter_mut().for_each(|work| *work *= keep(CLASS_MEMORY));
        self.load.fade(keep(CLASS_MEMORY), keep(ENDPOINT_MEMORY), keep(RATE_MEMORY));
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.fade(keep(ENDPOINT_MEMORY), keep(RATE_MEMORY)));
        // Guards against small balancers that see no overload: their memory holds as many answers as it
        // needs.
        let pace = |answers: f64| {
            let few = OVERLOAD_RESPONSES * RATE_MEMORY / answers.max(1.0);
            keep(few.clamp(OVERLOAD_MEMORY, MAX_OVERLOAD_MEMORY))
        };
        let (overloads, strain_keep) = (&mut self.load.overloads, pace(self.load.answers));
        overloads.iter_mut().for_each(|overload| overload.fade(strain_keep));
        self.zones.iter_mut().for_each(|zone| zone.fade(pace(zone.answers), keep(RATE_MEMORY)));
        self.evaluate_load(passed);
        self.evaluate_kinds();
        let mut priority_weight = DecayingMean::default();
        let classes = self.classes.iter().zip(&self.settings.classes);
        classes.for_each(|(stats, class)| priority_weight.weigh(class.priority_weight, stats.size.n));
        self.load.mean_priority_weight = priority_weight.value_or(0.0);
        self.evaluate_endpoints();
        self.evaluate_zones(passed, out);
        self.rebuild_groups();
        self.refill_slow_start_budgets(passed);
    }
}
