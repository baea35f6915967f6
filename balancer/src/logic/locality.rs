//! Locality-aware routing: prefers near zones, ejects a zone that fails as a whole, and lets its traffic
//! ramp up slowly afterwards. See `docs/zones.md`.

use super::admission::OVERLOAD_PRIOR;
use super::{EVALUATION_INTERVAL, MAX_RELATIVE_LATENCY};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::interface::{Action, Effect, EjectedZone, EndpointState, KeyScope, Millis};
use crate::state::{Balancer, Request, Zone};

/// Target overload of a tier, above which requests spill over to the next tier. It is below the target of
/// load shedding, so that requests spill over before they are shed.
const SPILLOVER_TARGET: f64 = 0.3;
/// Gains of the share that spills over; the integral gain is per second. They are low because responses
/// show the effect of a change late, and with high gains the load of a nearly full zone would oscillate.
const SPILLOVER_PROPORTIONAL_GAIN: f64 = 0.5;
const SPILLOVER_INTEGRAL_GAIN: f64 = 0.5;
/// A zone is ejected when this many of its endpoints failed since its last response: that many do not fail
/// independently of each other at the same time. An attempt without a response is a failure after
/// MAX_RELATIVE_LATENCY times its expected latency, but not before ZONE_RESPONSE_TIMEOUT, because processes
/// may pause.
const MIN_FAILED_ENDPOINTS: usize = 3;
const ZONE_RESPONSE_TIMEOUT: Millis = 150.0;
/// Base ejection time of a zone.
const ZONE_EJECTION_TIME: Millis = 500.0;
/// The ejection time doubles with each ejection in a row, up to this many times ...
const MAX_ZONE_EJECTION_DOUBLINGS: u32 = 5;
/// ... and starts from the base again this long after the last ejection ended.
const ZONE_EJECTION_RESET_TIME: Millis = 30_000.0;
/// Weight of a zone at the start of the ramp after an ejection.
const RAMP_FROM: f64 = 0.05;
/// Minimum time in which that weight doubles.
const RAMP_DOUBLING_TIME: Millis = 1_000.0;
/// The minimum extra latency of a zone rises by this fraction of the excess of each measurement above it.
const MIN_LATENCY_RISE: f64 = 0.02;

impl Balancer {
    /// Marks the zones that a request may use now; empty if locality is off. These are the zones of the
    /// nearest tier, each with a probability of its weight. If that tier spills this request over, the next
    /// tier that does not spill it over is added.
    pub(super) fn select_zones(&mut self, request: &Request) -> Vec<bool> {
        let count = self.zones.len();
        if count == 0 {
            return Vec::new();
        }
        if let Some(trial_zone) = self.zone_due_for_trial(request) {
            return (0..count).map(|index| index == trial_zone).collect();
        }
        let (mut selected, mut nearest) = (vec![false; count], None);
        for tier in 0..self.spillover.len() {
            // A tier that spills over itself is skipped. Overloaded tiers would otherwise send their excess
            // load to each other.
            if nearest.is_some() && self.random_unit() < self.spillover[tier].share {
                continue;
            }
            for (index, is_selected) in selected.iter_mut().enumerate() {
                let Zone { tier: zone_tier, endpoint_count, weight, .. } = self.zones[index];
                *is_selected |= zone_tier == tier && endpoint_count > 0 && self.random_unit() < weight;
            }
            let is_nearest = nearest.is_none() && selected.contains(&true);
            if is_nearest && self.random_unit() < self.spillover[tier].share {
                nearest = Some(selected.clone());
            } else if selected.contains(&true) {
                return selected;
            }
        }
        nearest.unwrap_or_else(|| self.zones.iter().map(|zone| zone.weight > 0.0).collect())
    }

    /// An ejected zone whose ejection time is over and that this request may try. A zone gets one trial
    /// request at a time.
    fn zone_due_for_trial(&self, request: &Request) -> Option<usize> {
        let effect = self.settings.classes[request.class].effect;
        let may_try = effect != Effect::Unsafe || self.only_unsafe;
        let is_idle = |zone: usize| {
            self.endpoints
                .iter()
                .all(|endpoint| endpoint.entry.zone != zone || endpoint.connections.in_flight == 0)
        };
        let is_due = |zone: &Zone| {
            zone.ejection.is_some() && zone.endpoint_count > 0 && zone.ejected_until <= self.now
        };
        let mut due = self.zones.iter().enumerate().filter(|(_, zone)| is_due(zone));
        due.find(|(index, _)| may_try && request.attempts.is_empty() && is_idle(*index))
            .map(|(index, _)| index)
    }

    /// The excess over its target of the tier with the most spare capacity, among tiers with a recent
    /// response; infinite if there is none.
    pub(super) fn min_tier_excess(&self) -> f64 {
        let is_observed =
            |zone: &&Zone| zone.weight >= 1.0 && zone.last_response_at + RAMP_DOUBLING_TIME > self.now;
        let excess = self.zones.iter().filter(is_observed).map(|zone| self.spillover[zone.tier].excess);
        excess.fold(f64::INFINITY, f64::min)
    }

    /// Records a response of any kind. `extra_latency` is its latency beyond the expected one, which
    /// consists of the network latency to the zone and of random variation. `overload` is its latency as a
    /// fraction of the latency objective.
    pub(super) fn record_zone_response(
        &mut self,
        index: usize,
        extra_latency: Option<Millis>,
        overload: f64,
        priority_weight: f64,
    ) {
        self.endpoints[index].responses.last_response_at = self.now;
        let Some(zone) = self.zones.get_mut(self.endpoints[index].entry.zone) else { return };
        (zone.last_response_at, zone.recent_responses) = (self.now, zone.recent_responses + 1.0);
        zone.overload.add_weighted(overload, priority_weight);
        extra_latency
            .into_iter()
            .for_each(|extra_latency| zone.record_extra_latency(extra_latency, MIN_LATENCY_RISE));
    }

    /// The periodic evaluation of zones: ejections, their end, and the share that spills over from each tier.
    pub(super) fn evaluate_zones(&mut self, elapsed: Millis, actions: &mut Vec<Action>) {
        if self.zones.is_empty() {
            return;
        }
        let has_failed = |endpoint: &Endpoint| {
            endpoint.responses.last_failure_at > self.zones[endpoint.entry.zone].last_response_at
        };
        let mut failed: Vec<bool> = self.endpoints.iter().map(has_failed).collect();
        let mut overloads: Vec<DecayingMean> = self.zones.iter().map(|zone| zone.overload).collect();
        for (request, attempt) in self.attempts_in_flight() {
            let (entry, class) =
                (&self.endpoints[attempt.endpoint].entry, &self.settings.classes[request.class]);
            let (zone, extra_latency) = (&self.zones[entry.zone], self.extra_zone_latency(attempt.endpoint));
            let expected = self.expected_latency(request.class, request.size) / self.kind_speeds[entry.kind];
            failed[attempt.endpoint] |= attempt.sent_at > zone.last_response_at
                && self.now - attempt.sent_at
                    > (MAX_RELATIVE_LATENCY * expected).max(ZONE_RESPONSE_TIMEOUT) + extra_latency;
            let ratio = (self.now - attempt.sent_at - extra_latency)
                / (class.latency_objective - extra_latency).max(1.0);
            if ratio > SPILLOVER_TARGET {
                overloads[entry.zone].add_weighted(ratio.min(1.0), class.priority_weight);
            }
        }
        for (index, overload) in overloads.iter().enumerate() {
            self.evaluate_zone(index, &failed, *overload, elapsed, actions);
        }
        if self.all_zones_ejected(None) {
            // The balancer's own network is the likely cause. The endpoints then lost no warmth, and no
            // other balancer moved its traffic, so traffic does not have to ramp up.
            self.zones
                .iter_mut()
                .flat_map(|zone| &mut zone.ejection)
                .for_each(|ejection| ejection.own_network_suspected = true);
        }
        let strength = 2.0 * self.load.mean_priority_weight.max(f64::MIN_POSITIVE);
        for (tier, spillover) in self.spillover.iter_mut().enumerate() {
            let zones =
                self.zones.iter().zip(&overloads).filter(|(zone, _)| zone.tier == tier && zone.weight > 0.0);
            let overload =
                zones.fold(DecayingMean::default(), |total, (_, overload)| total.combined(*overload));
            let excess = overload.shrunk(OVERLOAD_PRIOR, strength) - SPILLOVER_TARGET;
            spillover.update(excess, elapsed, SPILLOVER_PROPORTIONAL_GAIN, SPILLOVER_INTEGRAL_GAIN);
        }
    }

    /// Ejects a zone that fails, ends its ejection once endpoints respond, or continues the ramp of its
    /// weight.
    fn evaluate_zone(
        &mut self,
        index: usize,
        failed: &[bool],
        overload: DecayingMean,
        elapsed: Millis,
        actions: &mut Vec<Action>,
    ) {
        let is_up = |endpoint: &usize| {
            self.endpoints[*endpoint].entry.zone == index
                && self.endpoints[*endpoint].entry.state == EndpointState::Up
        };
        let up: Vec<usize> = (0..self.endpoints.len()).filter(is_up).collect();
        let down: Vec<usize> = up.iter().copied().filter(|&endpoint| failed[endpoint]).collect();
        let kind = |endpoint: usize| self.endpoints[endpoint].entry.kind;
        let has_several_kinds =
            |endpoints: &[usize]| endpoints.iter().any(|&endpoint| kind(endpoint) != kind(endpoints[0]));
        // A late evaluation means that this process was paused. Responses that arrived meanwhile have not
        // been read yet, so attempts only seem to have failed.
        let enough_down = up.len() > 1
            && down.len() >= MIN_FAILED_ENDPOINTS.min(up.len())
            && elapsed < 2.0 * EVALUATION_INTERVAL;
        // Failures of a single kind are no failure of the zone if it has endpoints of other kinds.
        let outage = enough_down && (has_several_kinds(&down) || !has_several_kinds(&up));
        let responded_since = |time: Millis| {
            up.iter().filter(|&&endpoint| self.endpoints[endpoint].responses.last_response_at > time).count()
        };
        let mean_warmth = up.iter().map(|&endpoint| self.warmth(&self.endpoints[endpoint])).sum::<f64>()
            / up.len().max(1) as f64;
        let zone = &self.zones[index];
        match zone.ejection {
            Some(ejection) if responded_since(ejection.ejected_at) >= 2.min(up.len()) && !up.is_empty() => {
                let weight = if ejection.own_network_suspected { 1.0 } else { RAMP_FROM };
                (self.zones[index].ejection, self.zones[index].weight) = (None, weight);
            }
            Some(_)
                if up.iter().any(|&endpoint| {
                    self.endpoints[endpoint].responses.last_failure_at > zone.ejected_until
                }) =>
            {
                self.eject_zone(index, &down, actions);
            }
            None if outage || zone.weight < 1.0 && !down.is_empty() => self.eject_zone(index, &down, actions),
            None if zone.weight < 1.0 && zone.last_response_at + RAMP_DOUBLING_TIME > self.now => {
                let headroom =
                    (1.0 - overload.shrunk(OVERLOAD_PRIOR, 1.0) / SPILLOVER_TARGET).clamp(0.0, 1.0);
                let weight = zone.weight * (headroom * elapsed / RAMP_DOUBLING_TIME).exp2();
                self.zones[index].weight = weight.min(mean_warmth);
            }
            _ if zone.ejected_until + ZONE_EJECTION_RESET_TIME < self.now => self.zones[index].ejections = 0,
            _ => {}
        }
    }

    /// Ejects a zone: no new attempts go there until the ejection time is over. Attempts in flight there are
    /// cancelled if their requests may be retried in any zone.
    fn eject_zone(&mut self, zone_index: usize, failed: &[usize], actions: &mut Vec<Action>) {
        let is_unresponsive = failed.iter().all(|&index| {
            self.endpoints[index].responses.last_failure_at <= self.zones[zone_index].last_response_at
        });
        let duration = ZONE_EJECTION_TIME
            * f64::from(1 << self.zones[zone_index].ejections.min(MAX_ZONE_EJECTION_DOUBLINGS))
            * (0.5 + self.random_unit());
        let ejection = EjectedZone {
            zone: zone_index,
            ejected_at: self.now,
            unresponsive: is_unresponsive,
            own_network_suspected: false,
        };
        if self.zones[zone_index].weight >= 1.0 {
            self.predict_spillover(zone_index);
        }
        self.zones[zone_index].eject(self.now, duration, ejection);
        let may_move = |request: &Request| {
            let has_attempt_there = request.attempts.iter().any(|attempt| {
                attempt.in_flight && self.endpoints[attempt.endpoint].entry.zone == zone_index
            });
            let effect = self.settings.classes[request.class].effect;
            let is_retriable_anywhere =
                matches!(effect, Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. });
            has_attempt_there && request.awaits_response() && is_retriable_anywhere
        };
        let moved: Vec<_> =
            self.requests.iter().filter(|(_, request)| may_move(request)).map(|(id, _)| *id).collect();
        moved.into_iter().for_each(|id| self.cancel_attempts(id, None, actions));
    }

    /// Sets the share that spills over from the next tier when a zone is ejected. That tier is assumed to
    /// be as busy as the ejected zone. If it then lacks the capacity for the zone's work, that work goes to
    /// the tier after it at once, until responses show the actual load.
    fn predict_spillover(&mut self, zone_index: usize) {
        let tier = self.zones[zone_index].tier;
        let Some(next_tier) = self.spillover.get_mut(tier + 1) else { return };
        let next_zones = self.zones.iter().filter(|zone| zone.tier == tier + 1 && zone.weight > 0.0);
        let (ejected_endpoints, next_endpoints) = (
            self.zones[zone_index].endpoint_count,
            next_zones.map(|zone| zone.endpoint_count).sum::<usize>(),
        );
        let endpoints = self.endpoints.iter().filter(|endpoint| endpoint.entry.zone == zone_index);
        let utilization = endpoints
            .fold(DecayingMean::default(), |total, endpoint| total.combined(endpoint.utilization))
            .mean_or(0.5);
        next_tier.set(f64::from(u8::from(
            utilization * ejected_endpoints as f64 > (1.0 - utilization) * next_endpoints as f64,
        )));
    }
}
