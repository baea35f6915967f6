//! What a balancer remembers of one endpoint, with a type for each concern. State and its plain updates only:
//! what follows from them is decided in [`crate::logic`].

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

/// What operators have last said of an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum OperatorOverride {
    /// It is administratively disabled.
    Out,
    /// It was enabled again, at this time.
    Back(Millis),
}

/// One endpoint.
pub(crate) struct Endpoint {
    /// As discovery has it, with operator overrides applied.
    pub(crate) entry: EndpointEntry,
    /// Its state by the endpoint list alone, without operator overrides.
    pub(crate) listed_state: EndpointState,
    /// Since when the list has it no more; infinite while it has.
    pub(crate) removed_at: Millis,
    /// Its position, 0 to 1, in the order from which balancers take their subsets.
    pub(crate) subset_position: f64,
    /// Index of its group: the endpoints of its kind and zone.
    pub(crate) group: usize,
    pub(crate) connections: Connections,
    pub(crate) responses: ResponseHistory,
    pub(crate) outlier: OutlierState,
    pub(crate) slow_start: SlowStartState,
    /// Weight in the sample of its group, 0 to 1.
    pub(crate) selection_weight: f64,
    /// Work sent lately, in milliseconds and as much as if the endpoint were sound; decays over RATE_MEMORY.
    pub(crate) recent_work: f64,
    /// The part of its CPU in use, as it lately reported.
    pub(crate) utilization: DecayingMean,
}

impl Endpoint {
    /// An endpoint of which nothing is known yet.
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

    /// Keeps these parts of what was seen over the memory of endpoints and over that of rates.
    pub(crate) fn fade(&mut self, evidence: f64, rate: f64) {
        self.connections.failures.fade(evidence);
        self.responses.fade(evidence);
        self.outlier.failures.fade(evidence);
        self.recent_work *= rate;
        self.utilization.fade(rate);
    }

    /// Applies an operator override: a disabled endpoint counts as draining, an enabled one as just started.
    pub(crate) fn with_override(mut self, operator: Option<OperatorOverride>) -> Endpoint {
        match operator {
            Some(OperatorOverride::Out) if self.listed_state == EndpointState::Up => {
                self.entry.state = EndpointState::Draining;
            }
            Some(OperatorOverride::Back(at)) => {
                self.entry.started_at = Some(self.entry.started_at.map_or(at, |started| started.max(at)));
            }
            _ => {}
        }
        self
    }

    /// Sends it nothing for `pause`, which doubles with each ejection; see [`OutlierState::eject`].
    pub(crate) fn eject(&mut self, now: Millis, pause: Millis, trials: u32) {
        self.outlier.eject(now, pause, trials);
        self.selection_weight = 0.0;
    }

    /// Counts work that is sent to it, as much as would be if it were as sound as the `soundest` of its warm
    /// peers.
    ///
    /// Prevents a cold endpoint from being held to the little that a slow one of its kind gets. Returns what
    /// was counted.
    pub(crate) fn count_work(&mut self, work: f64, soundest: f64, least_sound: f64) -> Millis {
        let soundest = soundest.max(self.selection_weight).max(f64::MIN_POSITIVE);
        let soundness = self.selection_weight / soundest;
        let counted = work / soundness.clamp(least_sound, 1.0);
        self.recent_work += counted;
        counted
    }

    /// Updates since when the list has it no more.
    pub(crate) fn update_removed_at(&mut self, now: Millis) {
        let is_removed = self.listed_state == EndpointState::Removed;
        self.removed_at = if is_removed { self.removed_at.min(now) } else { f64::INFINITY };
    }

    /// Whether the list has had it no more for `retention`, and nothing of it is still under way.
    pub(crate) fn can_be_forgotten(&self, now: Millis, retention: Millis) -> bool {
        let is_idle = self.connections.in_flight == 0 && self.outlier.ejected_until <= now;
        is_idle && self.removed_at + retention <= now
    }
}

/// Takes out the endpoints that `goes` marks; gives the new index of each one that stays.
pub(crate) fn remove_marked(endpoints: &mut Vec<Endpoint>, goes: &[bool]) -> Vec<usize> {
    let kept = std::mem::take(endpoints).into_iter().zip(goes).filter(|(_, goes)| !**goes);
    endpoints.extend(kept.map(|(endpoint, _)| endpoint));
    let count = |kept: &mut usize, goes: &bool| Some(std::mem::replace(kept, *kept + usize::from(!goes)));
    goes.iter().scan(0, count).collect()
}

#[cfg(test)]
mod tests;
