//! Updates the statistics of kinds, endpoints and load from the outcomes of attempts.

use super::{
    HALF_OPEN_TRIALS, MAX_RELATIVE_LATENCY, OBJECTIVE_TO_EXPECTED_LATENCY, OVERDUE_RATIO, SLOW_EJECTION_TIME,
};
use crate::decaying_mean::DecayingMean;
use crate::interface::{AttemptEnd, Class, Millis, Outcome};
use crate::state::{Balancer, Request};

/// Number of recent attempts that determine an endpoint's loss rate for a class. A lost response is certain
/// once later ones have arrived, so few attempts are enough.
const LOSS_WINDOW: f64 = 8.0;

impl Balancer {
    /// The expected latency of a request of this class and size, over all kinds of endpoints.
    pub(super) fn expected_latency(&self, class: usize, size: f64) -> Millis {
        let DecayingMean { sum, weight } = self.class_stats[class].latency_per_size;
        // Without responses so far, a size hint is itself the best estimate: it is in milliseconds.
        let prior = if size == 1.0 {
            self.settings.classes[class].latency_objective / OBJECTIVE_TO_EXPECTED_LATENCY
        } else {
            1.0
        };
        size * if weight > 0.0 { (sum / weight).max(1e-3) } else { prior }
    }

    /// What a request takes from a slow-start budget: at least the expected latency of its class. Otherwise
    /// requests whose size hints are too low would be selected for endpoints in slow start.
    pub(super) fn slow_start_cost(&self, request: &Request) -> Millis {
        self.expected_latency(request.class, request.size).max(self.expected_class_latency(request.class))
    }

    /// The expected latency of a request of this class with the mean size.
    pub(super) fn expected_class_latency(&self, class: usize) -> Millis {
        self.expected_latency(class, self.class_stats[class].size.mean_or(1.0))
    }

    /// Records the outcome of an attempt. `is_time_up` tells whether the client's deadline has passed.
    pub(super) fn record_outcome(
        &mut self,
        index: usize,
        class: usize,
        size: f64,
        end: &AttemptEnd,
        is_time_up: bool,
    ) {
        // Network latency to a distant zone does not make the endpoint slow.
        let (outcome, latency) = (end.outcome, (end.latency - self.extra_zone_latency(index)).max(0.0));
        let sent_at = self.now - end.latency;
        let expected = self.expected_latency(class, size);
        let relative_latency = (latency / expected).clamp(0.0, MAX_RELATIVE_LATENCY);
        let Class { latency_objective, priority_weight, .. } = self.settings.classes[class];
        // An endpoint that responds to later attempts but not to this one is neither overloaded nor slow: the
        // response was lost.
        let lost = outcome == Outcome::TimedOut && self.endpoints[index].responses.is_overtaken(sent_at);
        if matches!(outcome, Outcome::Served | Outcome::TimedOut | Outcome::Rejected) && !lost {
            let ratio =
                if outcome == Outcome::Rejected { 1.0 } else { (latency / latency_objective).min(1.0) };
            // An endpoint that is slow compared with its peers says little about the load of all endpoints;
            // its selection weight accounts for it.
            let outcome_weight = if outcome == Outcome::TimedOut { self.load.timeout_weight } else { 1.0 };
            let weight = priority_weight
                * self.endpoints[index].selection_weight
                * outcome_weight
                * self.zone_weight(index);
            self.load.recent_responses += 1.0;
            self.load.overloads[class].add_weighted(ratio, weight);
        }
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected) {
            let expected_here = expected / self.group_speeds[self.endpoints[index].group];
            let extra_latency = (outcome == Outcome::Served).then_some(end.latency - expected_here);
            let objective_here = (latency_objective - self.extra_zone_latency(index)).max(1.0);
            self.record_zone_response(
                index,
                extra_latency,
                (latency / objective_here).min(1.0),
                priority_weight,
            );
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut) && !lost {
            // A time-out is no evidence against a zone that has responded since the attempt was sent.
            self.endpoints[index].responses.last_failure_at =
                if outcome == Outcome::TimedOut { sent_at } else { self.now };
        }
        if let Some(utilization) = end.load_report.utilization {
            self.endpoints[index].utilization.add(utilization.clamp(0.0, 1.0));
        }
        let is_served = outcome == Outcome::Served;
        if latency > OVERDUE_RATIO * expected && (is_served || is_time_up && outcome == Outcome::TimedOut) {
            self.load.overdue_responses.add(f64::from(u8::from(is_served)));
        }
        match outcome {
            Outcome::Served => {
                self.group_latencies[self.endpoints[index].group].add(relative_latency);
                let stats = &mut self.class_stats[class];
                stats.latency_per_size.add(latency / size);
                let endpoint = &mut self.endpoints[index];
                endpoint.responses.relative_latency.add(relative_latency);
                endpoint.responses.add_loss(class, false, LOSS_WINDOW);
                endpoint.responses.last_responded_sent_at =
                    endpoint.responses.last_responded_sent_at.max(sent_at);
                endpoint.outlier.record_response();
            }
            // A failure to open a further connection beside an established one is no evidence against the
            // endpoint itself.
            Outcome::ConnectFailed if self.endpoints[index].connections.is_connected() => {}
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Unknown => {
                self.endpoints[index].outlier.record_failure();
                self.eject_if_outlier(index);
            }
            Outcome::TimedOut if lost => self.endpoints[index].responses.add_loss(class, true, LOSS_WINDOW),
            Outcome::TimedOut => {
                let endpoint = &mut self.endpoints[index];
                endpoint.responses.relative_latency.add(relative_latency.max(1.0));
                if endpoint.outlier.trials_left > 0 {
                    // A half-open endpoint that does not respond is ejected again at once. Otherwise each of
                    // many balancers would go on sending it one trial request after another.
                    endpoint.eject(self.now, SLOW_EJECTION_TIME, HALF_OPEN_TRIALS);
                }
            }
            Outcome::Rejected => self.endpoints[index].responses.relative_latency.add(MAX_RELATIVE_LATENCY),
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }
}
