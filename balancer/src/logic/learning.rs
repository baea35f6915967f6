//! Learning: what answers, and their absence, say of kinds, endpoints and load.

use super::{
    HALF_OPEN_TRIALS, MAX_RELATIVE_LATENCY, OBJECTIVE_OVER_USUAL, OVERDUE_RATIO, SLOW_EJECTION_TIME,
};
use crate::decaying_mean::DecayingMean;
use crate::interface::{AttemptEnd, Class, Millis, Outcome};
use crate::state::{Balancer, Request};

/// Whether an endpoint loses a class's answers is read from so many attempts of it: they are proof, not
/// noise.
const LOST_ATTEMPTS: f64 = 8.0;

impl Balancer {
    /// What a request of this class and size usually takes, over all kinds.
    pub(super) fn usual(&self, class: usize, size: f64) -> Millis {
        let DecayingMean { sum, n } = self.classes[class].usual;
        // With hints and no answers yet, the hint itself is the best guess.
        let prior = if size == 1.0 {
            self.settings.classes[class].latency_objective / OBJECTIVE_OVER_USUAL
        } else {
            1.0
        };
        size * if n > 0.0 { (sum / n).max(1e-3) } else { prior }
    }

    /// What a cold budget pays. Guards against hints: those too low for the work would be picked out by it.
    pub(super) fn charge(&self, request: &Request) -> Millis {
        self.usual(request.class, request.size).max(self.typical(request.class))
    }

    /// What a request of this class usually takes, whatever its size.
    pub(super) fn typical(&self, class: usize) -> Millis {
        self.usual(class, self.classes[class].size.value_or(1.0))
    }

    pub(super) fn learn(&mut self, h: usize, class: usize, size: f64, end: &AttemptEnd, time_up: bool) {
        // The way is no slowness of the endpoint.
        let (outcome, latency) = (end.outcome, (end.latency - self.distance(h)).max(0.0));
        let sent = self.now - end.latency;
        let usual = self.usual(class, size);
        let relative = (latency / usual).clamp(0.0, MAX_RELATIVE_LATENCY);
        let Class { latency_objective, priority_weight, .. } = self.settings.classes[class];
        // Guards against an endpoint that answers, but not this class: that is neither load nor slowness.
        let lost = outcome == Outcome::TimedOut && self.endpoints[h].responses.is_overtaken(sent);
        if matches!(outcome, Outcome::Served | Outcome::TimedOut | Outcome::Rejected) && !lost {
            let part =
                if outcome == Outcome::Rejected { 1.0 } else { (latency / latency_objective).min(1.0) };
            // An endpoint slow against its peers says little of the fleet: that is for readiness to answer.
            let heard = if outcome == Outcome::TimedOut { self.load.silence } else { 1.0 };
            let weight = priority_weight * self.endpoints[h].selection_weight * heard * self.open(h);
            self.load.answers += 1.0;
            self.load.overloads[class].weigh(part, weight);
        }
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected) {
            let took = usual / self.speeds[self.endpoints[h].group];
            let beyond = (outcome == Outcome::Served).then_some(end.latency - took);
            let in_time = (latency_objective - self.distance(h)).max(1.0);
            self.record_zone_response(h, beyond, (latency / in_time).min(1.0), priority_weight);
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut) && !lost {
            // A time-out says nothing of a zone that has answered since it was sent.
            self.endpoints[h].responses.last_failure_at =
                if outcome == Outcome::TimedOut { sent } else { self.now };
        }
        if let Some(busy) = end.load_report.utilization {
            self.endpoints[h].utilization.add(busy.clamp(0.0, 1.0));
        }
        let answered = outcome == Outcome::Served;
        if latency > OVERDUE_RATIO * usual && (answered || time_up && outcome == Outcome::TimedOut) {
            self.load.overdue.add(f64::from(u8::from(answered)));
        }
        match outcome {
            Outcome::Served => {
                self.latencies[self.endpoints[h].group].add(relative);
                let stats = &mut self.classes[class];
                stats.usual.add(latency / size);
                let endpoint = &mut self.endpoints[h];
                endpoint.responses.relative_latency.add(relative);
                endpoint.responses.record_loss(class, false, LOST_ATTEMPTS);
                endpoint.responses.last_answered_sent_at = endpoint.responses.last_answered_sent_at.max(sent);
                endpoint.outlier.record_response();
            }
            // Where a connection is open, one more that fails says nothing of the endpoint itself.
            Outcome::ConnectFailed if self.endpoints[h].connections.is_connected() => {}
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Unknown => {
                self.endpoints[h].outlier.record_failure();
                self.consider_ejection(h);
            }
            Outcome::TimedOut if lost => self.endpoints[h].responses.record_loss(class, true, LOST_ATTEMPTS),
            Outcome::TimedOut => {
                let endpoint = &mut self.endpoints[h];
                endpoint.responses.relative_latency.add(relative.max(1.0));
                if endpoint.outlier.trials_left > 0 {
                    // Guards against a silent endpoint that many balancers try again and again, one request
                    // each.
                    endpoint.eject(self.now, SLOW_EJECTION_TIME, HALF_OPEN_TRIALS);
                }
            }
            Outcome::Rejected => self.endpoints[h].responses.relative_latency.add(MAX_RELATIVE_LATENCY),
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }
}
