//! Locality: keeping close, leaving a zone that fails as one, the slow return. See `docs/zones.md`.

use super::admission::OVERLOAD_PRIOR;
use super::{EVALUATION_INTERVAL, MAX_RELATIVE_LATENCY};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::interface::{Action, Effect, EjectedZone, EndpointState, KeyScope, Millis};
use crate::state::{Balancer, Request, Zone};

/// A tier keeps what it answers with this overload; below that of shedding: what can go elsewhere goes first.
const SPILL_TARGET: f64 = 0.3;
/// Proportional and integral part of the share that goes on to the next tier; the latter a second. Gentle:
/// answers show late what a share does, and a zone that is nearly full swings under a strong hand.
const SPILL_PROPORTIONAL_GAIN: f64 = 0.5;
const SPILL_INTEGRAL_GAIN: f64 = 0.5;
/// So many endpoints with a bad sign each, of one zone and since its last answer, are no chance. Nor is
/// silence for MAX_RELATIVE_LATENCY times the usual, and at least this, since processes pause.
const WITNESSES: usize = 3;
const SILENCE: Millis = 150.0;
/// The first rest of a zone, and how often it doubles while the zone is left again within EJECTION_MEMORY.
const ZONE_EJECTION_TIME: Millis = 500.0;
const MAX_ZONE_EJECTION_DOUBLINGS: u32 = 5;
const EJECTION_MEMORY: Millis = 30_000.0;
/// The ramp of a zone that is back: what it starts at, and how soon it doubles at the most.
const RAMP_FROM: f64 = 0.05;
const RAMP_DOUBLES: Millis = 1_000.0;
/// What an answer adds to the least that the way to a zone is known to take, of what it took beyond that.
const LEAST_RISES: f64 = 0.02;

impl Balancer {
    /// The zones that a request may go to now; none named where locality is off. Of the nearest tier those
    /// that a draw lets in; where that spills, with those of the next tier that has room.
    pub(super) fn near(&mut self, request: &Request) -> Vec<bool> {
        let count = self.zones.len();
        if count == 0 {
            return Vec::new();
        }
        if let Some(trial) = self.trial(request) {
            return (0..count).map(|z| z == trial).collect();
        }
        let (mut near, mut home) = (vec![false; count], None);
        for tier in 0..self.spill.len() {
            // Guards against zones that spill onto each other: a tier that has no room either is passed over.
            if home.is_some() && self.random_unit() < self.spill[tier].share {
                continue;
            }
            for (z, near) in near.iter_mut().enumerate() {
                let Zone { tier: of, endpoints, open, .. } = self.zones[z];
                *near |= of == tier && endpoints > 0 && self.random_unit() < open;
            }
            let first = home.is_none() && near.contains(&true);
            if first && self.random_unit() < self.spill[tier].share {
                home = Some(near.clone());
            } else if near.contains(&true) {
                return near;
            }
        }
        home.unwrap_or_else(|| self.zones.iter().map(|zone| zone.open > 0.0).collect())
    }

    /// A zone that has rested and that this request may try, one at a time.
    fn trial(&self, request: &Request) -> Option<usize> {
        let effect = self.settings.classes[request.class].effect;
        let harmless = effect != Effect::Unsafe || self.only_unsafe;
        let idle = |z: usize| {
            self.endpoints
                .iter()
                .all(|endpoint| endpoint.entry.zone != z || endpoint.connections.in_flight == 0)
        };
        let due = |zone: &Zone| zone.left.is_some() && zone.endpoints > 0 && zone.rest_until <= self.now;
        let mut due = self.zones.iter().enumerate().filter(|(_, zone)| due(zone));
        due.find(|(z, _)| harmless && request.attempts.is_empty() && idle(*z)).map(|(z, _)| z)
    }

    /// By how much the tier with most room that was shown is over its target; infinite where there is none.
    pub(super) fn least_overload(&self) -> f64 {
        let shown = |zone: &&Zone| zone.open >= 1.0 && zone.last_response_at + RAMP_DOUBLES > self.now;
        let over = self.zones.iter().filter(shown).map(|zone| self.spill[zone.tier].over);
        over.fold(f64::INFINITY, f64::min)
    }

    /// An answer of any kind; `beyond` is what it took beyond the usual, which is the way and some chance.
    pub(super) fn record_zone_response(
        &mut self,
        h: usize,
        beyond: Option<Millis>,
        part: f64,
        priority_weight: f64,
    ) {
        self.endpoints[h].responses.last_response_at = self.now;
        let Some(zone) = self.zones.get_mut(self.endpoints[h].entry.zone) else { return };
        (zone.last_response_at, zone.answers) = (self.now, zone.answers + 1.0);
        zone.overload.weigh(part, priority_weight);
        beyond.into_iter().for_each(|beyond| zone.measure(beyond, LEAST_RISES));
    }

    /// The regular look at zones: which are left, which come back, and what each tier spills.
    pub(super) fn evaluate_zones(&mut self, passed: Millis, out: &mut Vec<Action>) {
        if self.zones.is_empty() {
            return;
        }
        let failed = |endpoint: &Endpoint| {
            endpoint.responses.last_failure_at > self.zones[endpoint.entry.zone].last_response_at
        };
        let mut bad: Vec<bool> = self.endpoints.iter().map(failed).collect();
        let mut overloads: Vec<DecayingMean> = self.zones.iter().map(|zone| zone.overload).collect();
        for (request, attempt) in self.attempts_in_flight() {
            let (entry, class) =
                (&self.endpoints[attempt.endpoint].entry, &self.settings.classes[request.class]);
            let (zone, distance) = (&self.zones[entry.zone], self.distance(attempt.endpoint));
            let usual = self.usual(request.class, request.size) / self.kind_speeds[entry.kind];
            bad[attempt.endpoint] |= attempt.sent > zone.last_response_at
                && self.now - attempt.sent > (MAX_RELATIVE_LATENCY * usual).max(SILENCE) + distance;
            let part = (self.now - attempt.sent - distance) / (class.latency_objective - distance).max(1.0);
            if part > SPILL_TARGET {
                overloads[entry.zone].weigh(part.min(1.0), class.priority_weight);
            }
        }
        for (z, overload) in overloads.iter().enumerate() {
            self.evaluate_zone(z, &bad, *overload, passed, out);
        }
        if self.all_left(None) {
            // Nobody is cold, and none else has left: the ramp is not needed.
            self.zones
                .iter_mut()
                .flat_map(|zone| &mut zone.left)
                .for_each(|left| left.own_network_suspected = true);
        }
        let strength = 2.0 * self.load.mean_priority_weight.max(f64::MIN_POSITIVE);
        for (tier, spill) in self.spill.iter_mut().enumerate() {
            let zones =
                self.zones.iter().zip(&overloads).filter(|(zone, _)| zone.tier == tier && zone.open > 0.0);
            let overload = zones.fold(DecayingMean::default(), |all, (_, overload)| all.joined(*overload));
            let over = overload.shrunk(OVERLOAD_PRIOR, strength) - SPILL_TARGET;
            spill.steer(over, passed, SPILL_PROPORTIONAL_GAIN, SPILL_INTEGRAL_GAIN);
        }
    }

    fn evaluate_zone(
        &mut self,
        z: usize,
        bad: &[bool],
        overload: DecayingMean,
        passed: Millis,
        out: &mut Vec<Action>,
    ) {
        let up = |h: &usize| {
            self.endpoints[*h].entry.zone == z && self.endpoints[*h].entry.state == EndpointState::Up
        };
        let ups: Vec<usize> = (0..self.endpoints.len()).filter(up).collect();
        let signs: Vec<usize> = ups.iter().copied().filter(|&h| bad[h]).collect();
        let kind = |h: usize| self.endpoints[h].entry.kind;
        let kinds = |endpoints: &[usize]| endpoints.iter().any(|&h| kind(h) != kind(endpoints[0]));
        // Guards against a pause of this process: what came meanwhile is not read yet.
        let many =
            ups.len() > 1 && signs.len() >= WITNESSES.min(ups.len()) && passed < 2.0 * EVALUATION_INTERVAL;
        let fails = many && (kinds(&signs) || !kinds(&ups));
        let since =
            |at: Millis| ups.iter().filter(|&&h| self.endpoints[h].responses.last_response_at > at).count();
        let warm =
            ups.iter().map(|&h| self.warmth(&self.endpoints[h])).sum::<f64>() / ups.len().max(1) as f64;
        let zone = &self.zones[z];
        match zone.left {
            Some(left) if since(left.ejected_at) >= 2.min(ups.len()) && !ups.is_empty() => {
                let open = if left.own_network_suspected { 1.0 } else { RAMP_FROM };
                (self.zones[z].left, self.zones[z].open) = (None, open);
            }
            Some(_) if ups.iter().any(|&h| self.endpoints[h].responses.last_failure_at > zone.rest_until) => {
                self.leave(z, &signs, out);
            }
            None if fails || zone.open < 1.0 && !signs.is_empty() => self.leave(z, &signs, out),
            None if zone.open < 1.0 && zone.last_response_at + RAMP_DOUBLES > self.now => {
                let headroom = (1.0 - overload.shrunk(OVERLOAD_PRIOR, 1.0) / SPILL_TARGET).clamp(0.0, 1.0);
                let open = zone.open * (headroom * passed / RAMP_DOUBLES).exp2();
                self.zones[z].open = open.min(warm);
            }
            _ if zone.rest_until + EJECTION_MEMORY < self.now => self.zones[z].rests = 0,
            _ => {}
        }
    }

    /// Nothing new goes there until it has rested; what may be repeated is cancelled, to go elsewhere.
    fn leave(&mut self, z: usize, signs: &[usize], out: &mut Vec<Action>) {
        let hangs = signs
            .iter()
            .all(|&h| self.endpoints[h].responses.last_failure_at <= self.zones[z].last_response_at);
        let rest = ZONE_EJECTION_TIME
            * f64::from(1 << self.zones[z].rests.min(MAX_ZONE_EJECTION_DOUBLINGS))
            * (0.5 + self.random_unit());
        let left =
            EjectedZone { zone: z, ejected_at: self.now, unresponsive: hangs, own_network_suspected: false };
        if self.zones[z].open >= 1.0 {
            self.predict_spillover(z);
        }
        self.zones[z].leave(self.now, rest, left);
        let there = |request: &Request| {
            let open = request.attempts.iter().any(|a| a.open && self.endpoints[a.endpoint].entry.zone == z);
            let effect = self.settings.classes[request.class].effect;
            let anywhere = matches!(effect, Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. });
            open && request.waits() && anywhere
        };
        let off: Vec<_> = self.requests.iter().filter(|(_, r)| there(r)).map(|(id, _)| *id).collect();
        off.into_iter().for_each(|id| self.cancel_attempts(id, None, out));
    }

    /// The next tier is taken to be as busy as this zone was: where it then lacks room for the zone's work,
    /// that goes on past it at once, until it shows how it really is.
    fn predict_spillover(&mut self, z: usize) {
        let tier = self.zones[z].tier;
        let Some(next) = self.spill.get_mut(tier + 1) else { return };
        let behind = self.zones.iter().filter(|zone| zone.tier == tier + 1 && zone.open > 0.0);
        let (here, there) = (self.zones[z].endpoints, behind.map(|zone| zone.endpoints).sum::<usize>());
        let endpoints = self.endpoints.iter().filter(|endpoint| endpoint.entry.zone == z);
        let busy = endpoints
            .fold(DecayingMean::default(), |all, endpoint| all.joined(endpoint.utilization))
            .value_or(0.5);
        next.set(f64::from(u8::from(busy * here as f64 > (1.0 - busy) * there as f64)));
    }
}
