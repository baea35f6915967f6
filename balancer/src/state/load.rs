//! Statistics of classes and of the load of all endpoints.

use crate::decaying_mean::DecayingMean;
use crate::interface::Millis;
use crate::proportional_integral::ProportionalIntegral;

/// Statistics of a class of requests.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassStats {
    /// Latency per unit of size.
    pub(crate) latency_per_size: DecayingMean,
    /// Sizes of the requests that arrived; the weight is their recent number.
    pub(crate) size: DecayingMean,
    /// The sum counts responses within the latency objective, the weight counts requests other than clients'
    /// retries.
    pub(crate) in_objective: DecayingMean,
}

impl ClassStats {
    pub(crate) fn decay(&mut self, factor: f64) {
        self.latency_per_size.decay(factor);
        self.size.decay(factor);
        self.in_objective.decay(factor);
    }
}

#[derive(Default)]
pub(crate) struct Load {
    /// By class: latency as a fraction of the latency objective, at most 1, weighted by priority.
    pub(crate) overloads: Vec<DecayingMean>,
    /// By class: whether it is exempt from shedding, because its own overload is low and another class lacks
    /// endpoints that still serve this one.
    pub(crate) is_shedding_exempt: Vec<bool>,
    /// Weight of an attempt without a response in `overloads`.
    pub(crate) timeout_weight: f64,
    /// 1 for each overdue attempt that got a response in the end, 0 for each that did not.
    pub(crate) overdue_responses: DecayingMean,
    /// 1 for each connection to any endpoint that failed, 0 for each that was established.
    pub(crate) connect_failures: DecayingMean,
    /// Mean priority weight of the requests that arrive.
    pub(crate) mean_priority_weight: f64,
    /// Number of responses, decayed over `RATE_TIME_CONSTANT`.
    pub(crate) recent_responses: f64,
    /// The share of the work that is shed.
    pub(crate) shedding: ProportionalIntegral,
    /// Expected latency of all attempts in flight.
    pub(crate) work_in_flight: f64,
    /// `work_in_flight` for each ready endpoint, as it is without overload.
    pub(crate) baseline_work: f64,
    /// The part of `work_in_flight` whose responses are taken to be lost: no endpoint is working on it.
    pub(crate) lost_work_in_flight: f64,
    /// Recent maximum of the overload, decayed over `RATE_TIME_CONSTANT`.
    pub(crate) peak_overload: f64,
    /// Number of endpoints that are ready; those in slow start and in zones that ramp up count in part.
    pub(crate) ready_endpoints: f64,
    /// Time since the first event, plus the time that the initial `baseline_work` counts for.
    pub(crate) observed_time: Millis,
}

impl Load {
    pub(crate) fn new(classes: usize, baseline_work: f64, observed_time: Millis, peak_overload: f64) -> Load {
        let (overloads, is_shedding_exempt) = (vec![DecayingMean::default(); classes], vec![false; classes]);
        Load {
            overloads,
            is_shedding_exempt,
            baseline_work,
            observed_time,
            peak_overload,
            timeout_weight: 1.0,
            ..Load::default()
        }
    }

    /// Multiplies the weight of past observations by the factor of the time constant of each.
    pub(crate) fn decay(&mut self, class_factor: f64, endpoint_factor: f64, rate_factor: f64) {
        self.overdue_responses.decay(class_factor);
        self.connect_failures.decay(endpoint_factor);
        self.recent_responses *= rate_factor;
    }
}
