//! State of one endpoint, with a type for each concern. These types only record events; the decisions based
//! on them are in [`crate::logic`].

mod connections;
mod outlier;
mod responses;
mod slow_start;

pub(crate) use connections::Connections;
pub(crate) use outlier::OutlierState;
pub(crate) use responses::ResponseHistory;
pub(crate) use slow_start::SlowStartState;

use crate::decaying_mean::DecayingMean;
use crate::interface::{EndpointEntry, EndpointState, Millis};

/// The latest operator override of an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Override {
    /// The endpoint is disabled.
    Disabled,
    /// The endpoint was disabled and then enabled, at this time.
    EnabledAt(Millis),
}

/// State of one endpoint.
pub(crate) struct Endpoint {
    /// Its entry in the endpoint list, with operator overrides applied.
    pub(crate) entry: EndpointEntry,
    /// Its state in the endpoint list, without operator overrides.
    pub(crate) listed_state: EndpointState,
    /// When it was removed from the endpoint list; infinite if it was not.
    pub(crate) removed_at: Millis,
    /// Its position, 0 to 1, in the order of endpoints from which all balancers take their subsets.
    pub(crate) subset_position: f64,
    /// Index of its group, which consists of the endpoints of the same kind and zone.
    pub(crate) group: usize,
    pub(crate) connections: Connections,
    pub(crate) responses: ResponseHistory,
    pub(crate) outlier: OutlierState,
    pub(crate) slow_start: SlowStartState,
    /// Its weight when endpoints of the group are sampled, 0 to 1.
    pub(crate) selection_weight: f64,
    /// Work that was sent to it recently, in milliseconds, scaled up to what a sound endpoint would have
    /// received; decays over `RATE_TIME_CONSTANT`.
    pub(crate) recent_work: f64,
    /// CPU utilization that it reported recently, 0 to 1.
    pub(crate) utilization: DecayingMean,
}

impl Endpoint {
    /// An endpoint without any observations.
    pub(crate) fn new(group: usize, subset_position: f64, classes: usize, entry: EndpointEntry) -> Endpoint {
        Endpoint {
            listed_state: entry.state,
            removed_at: f64::INFINITY,
            subset_position,
            group,
            connections: Connections::default(),
            responses: ResponseHistory::new(classes),
            outlier: OutlierState::default(),
            slow_start: SlowStartState::default(),
            selection_weight: 1.0,
            recent_work: 0.0,
            utilization: DecayingMean::default(),
            entry,
        }
    }

    /// Multiplies the weight of past observations by the factor of the time constant of each.
    pub(crate) fn decay(&mut self, endpoint_factor: f64, rate_factor: f64) {
        self.connections.failures.decay(endpoint_factor);
        self.responses.decay(endpoint_factor);
        self.outlier.failures.decay(endpoint_factor);
        self.recent_work *= rate_factor;
        self.utilization.decay(rate_factor);
    }

    /// Applies an operator override: a disabled endpoint counts as draining, an enabled one as started when
    /// it was enabled.
    pub(crate) fn with_override(mut self, operator_override: Option<Override>) -> Endpoint {
        match operator_override {
            Some(Override::Disabled) if self.listed_state == EndpointState::Up => {
                self.entry.state = EndpointState::Draining;
            }
            Some(Override::EnabledAt(at)) => {
                self.entry.started_at =
                    Some(self.entry.started_at.map_or(at, |started_at| started_at.max(at)));
            }
            _ => {}
        }
        self
    }

    /// Ejects it for `base_time`, doubled with each ejection in a row; see [`OutlierState::eject`].
    pub(crate) fn eject(&mut self, now: Millis, base_time: Millis, trials: u32) {
        self.outlier.eject(now, base_time, trials);
        self.selection_weight = 0.0;
    }

    /// Adds work that is sent to it to its recent work, and returns what was added. The work is divided by
    /// the ratio of its selection weight to `max_weight`, the highest among its warmed-up peers; that ratio
    /// counts as at least `min_ratio`.
    ///
    /// The recent work of warmed-up endpoints limits endpoints in slow start. Unscaled, a slow endpoint
    /// with a low selection weight would limit those of its kind to the little work that it receives
    /// itself.
    pub(crate) fn count_work(&mut self, work: f64, max_weight: f64, min_ratio: f64) -> Millis {
        let max_weight = max_weight.max(self.selection_weight).max(f64::MIN_POSITIVE);
        let ratio = self.selection_weight / max_weight;
        let counted_work = work / ratio.clamp(min_ratio, 1.0);
        self.recent_work += counted_work;
        counted_work
    }

    /// Updates `removed_at` from its state in the endpoint list.
    pub(crate) fn update_removed_at(&mut self, now: Millis) {
        let is_removed = self.listed_state == EndpointState::Removed;
        self.removed_at = if is_removed { self.removed_at.min(now) } else { f64::INFINITY };
    }

    /// Whether it was removed from the endpoint list at least `retention` ago, has no attempts in flight
    /// and is not ejected.
    pub(crate) fn can_be_forgotten(&self, now: Millis, retention: Millis) -> bool {
        let is_idle = self.connections.in_flight == 0 && self.outlier.ejected_until <= now;
        is_idle && self.removed_at + retention <= now
    }
}

/// Removes the endpoints that are marked. Returns the new index of each remaining endpoint by its old index.
pub(crate) fn remove_marked(endpoints: &mut Vec<Endpoint>, marks: &[bool]) -> Vec<usize> {
    let kept = std::mem::take(endpoints).into_iter().zip(marks).filter(|(_, marked)| !**marked);
    endpoints.extend(kept.map(|(endpoint, _)| endpoint));
    let next_index =
        |kept: &mut usize, marked: &bool| Some(std::mem::replace(kept, *kept + usize::from(!marked)));
    marks.iter().scan(0, next_index).collect()
}

#[cfg(test)]
mod tests;
