//! Outlier detection: which endpoints are ejected, which are tried again, and what each can take at present.

use super::{
    HALF_OPEN_TRIALS, MAX_RELATIVE_LATENCY, MIN_SELECTION_WEIGHT, PRIOR_RESPONSES, SLOW_EJECTION_TIME,
};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::interface::{EndpointState, Millis};
use crate::state::Balancer;

/// An endpoint this many times slower than its kind begins to lose traffic.
const SLOW_FROM: f64 = 1.4;
/// This share of failures above twice the peers' makes an endpoint an outlier ...
const EJECT_FAILURE_RATE: f64 = 0.2;
/// ... and so do this many without an answer between them.
const EJECT_CONSECUTIVE_FAILURES: u32 = 5;
/// How long an ejected endpoint gets nothing; after that a single request at a time tries it.
const EJECTION_TIME: Millis = 2_000.0;
/// Panic threshold: at most this share of the endpoints is ejected at a time.
const MAX_EJECTED_SHARE: f64 = 0.8;
/// An endpoint so many times slower than its kind is left alone for a while, if not too many are.
const SLOW_EJECTION_RATIO: f64 = 2.2;
const MAX_SLOW_EJECTED_SHARE: f64 = 0.3;

impl Balancer {
    /// Speed of a kind: the inverse of its smoothed latency, shrunk towards the mean of the others.
    pub(super) fn evaluate_kinds(&mut self) {
        let zones = self.latencies.chunks(self.settings.zone_count);
        let kinds: Vec<DecayingMean> = zones
            .map(|zones| zones.iter().fold(DecayingMean::default(), |all, zone| all.joined(*zone)))
            .collect();
        for (k, kind) in kinds.iter().enumerate() {
            let mut others = DecayingMean::default();
            let heard = kinds.iter().enumerate().filter(|(o, other)| *o != k && other.n > 0.05);
            heard.for_each(|(_, other)| others.add(other.n / other.sum));
            self.kind_speeds[k] = 1.0 / kind.shrunk(1.0 / others.value_or(1.0), PRIOR_RESPONSES);
        }
        // Guards against a jammed zone that hides behind its kind: own counts of a small balancer are all 0.
        for (g, latency) in self.latencies.iter().enumerate() {
            let kind = self.kind_speeds[g / self.settings.zone_count];
            self.speeds[g] = 1.0 / latency.shrunk(1.0 / kind, PRIOR_RESPONSES);
        }
    }

    pub(super) fn evaluate_endpoints(&mut self) {
        // Attempts that hang are news too: their age is the least that their latency will be.
        let mut attempts_in_flight = vec![DecayingMean::default(); self.endpoints.len()];
        let mut lost: Vec<DecayingMean> =
            self.endpoints.iter().flat_map(|endpoint| endpoint.responses.lost.iter().copied()).collect();
        let mut open_lost = 0.0;
        for (request, attempt) in self.attempts_in_flight() {
            let waited = self.now - attempt.sent - self.distance(attempt.endpoint);
            let age = waited / self.usual(request.class, request.size);
            if self.open(attempt.endpoint) == 0.0 {
                open_lost += attempt.work;
            } else if !self.endpoints[attempt.endpoint].responses.is_overtaken(attempt.sent) {
                if age > SLOW_FROM {
                    attempts_in_flight[attempt.endpoint].add(age.min(MAX_RELATIVE_LATENCY));
                }
            } else if age * self.kind_speeds[self.endpoints[attempt.endpoint].entry.kind]
                > MAX_RELATIVE_LATENCY
            {
                lost[attempt.endpoint * self.classes.len() + request.class].add(1.0);
                open_lost += attempt.work;
            }
        }
        self.load.open_lost = open_lost;
        for (endpoint, lost) in self.endpoints.iter_mut().zip(lost.chunks(self.classes.len())) {
            endpoint
                .responses
                .loss_rates
                .iter_mut()
                .zip(lost)
                .for_each(|(loses, lost)| *loses = lost.shrunk(0.0, 1.0));
        }
        // A cold endpoint counts for the part of it that is warm, lest new endpoints raise the limit at once.
        let ready = |h: &usize| {
            self.endpoints[*h].entry.state == EndpointState::Up && self.endpoints[*h].outlier.trials_left == 0
        };
        let ready = (0..self.endpoints.len()).filter(ready);
        self.load.ready_endpoints = ready.map(|h| self.warmth(&self.endpoints[h]) * self.open(h)).sum();
        // Counted among the warm: where most are cold, the few warm ones carry the load and may not rest.
        let warm: Vec<bool> = self.endpoints.iter().map(|endpoint| self.warmth(endpoint) >= 1.0).collect();
        let known =
            self.endpoints.iter().zip(&warm).filter(|(h, warm)| h.entry.state == EndpointState::Up && **warm);
        let mut may_rest = known
            .map(|(h, _)| {
                if h.outlier.trials_left > 0 { MAX_SLOW_EJECTED_SHARE - 1.0 } else { MAX_SLOW_EJECTED_SHARE }
            })
            .sum::<f64>();
        for ((endpoint, attempts_in_flight), warm) in
            self.endpoints.iter_mut().zip(attempts_in_flight).zip(warm)
        {
            let kind = 1.0 / self.kind_speeds[endpoint.entry.kind];
            let ratio =
                endpoint.responses.relative_latency.joined(attempts_in_flight).shrunk(kind, PRIOR_RESPONSES)
                    / kind;
            // Guards against instant errors drawing traffic where ejection is exhausted or not yet due.
            let sound = 1.0 - endpoint.outlier.failures.shrunk(0.0, PRIOR_RESPONSES);
            endpoint.selection_weight =
                (sound * SLOW_FROM / ratio).min(sound).powi(2).clamp(MIN_SELECTION_WEIGHT, 1.0);
            if ratio > SLOW_EJECTION_RATIO && endpoint.outlier.trials_left == 0 && warm && may_rest >= 1.0 {
                // Guards against endpoints that were crowded and stay slow until they have been left alone.
                may_rest -= 1.0;
                endpoint.eject(self.now, SLOW_EJECTION_TIME, HALF_OPEN_TRIALS);
            }
            if self.now < endpoint.outlier.ejected_until {
                endpoint.selection_weight = 0.0;
            } else if endpoint.outlier.trials_left > 0 {
                // Half open: one request at a time shows whether the endpoint has recovered.
                endpoint.selection_weight = if endpoint.connections.in_flight == 0 { 0.2 } else { 0.0 };
            }
        }
        self.find_soundest();
    }

    /// Where all are jammed none gets less than the others: only readiness against peers tells a part.
    fn find_soundest(&mut self) {
        let mut soundest = vec![0.0; self.soundest.len()];
        let warm = |endpoint: &&Endpoint| {
            endpoint.entry.state == EndpointState::Up
                && endpoint.outlier.trials_left == 0
                && self.warmth(endpoint) >= 1.0
        };
        for endpoint in self.endpoints.iter().filter(warm) {
            let most = &mut soundest[self.rate_of(endpoint)];
            *most = f64::max(*most, endpoint.selection_weight);
        }
        self.soundest = soundest;
    }

    /// Outlier ejection, on the endpoint's own evidence against its peers, never of too many at once.
    pub(super) fn consider_ejection(&mut self, h: usize) {
        let (mut ejected, mut fleet) = (DecayingMean::default(), DecayingMean::default());
        for other in self.endpoints.iter().filter(|other| other.entry.state == EndpointState::Up) {
            ejected.add(f64::from(u8::from(other.outlier.trials_left > 0)));
            fleet = fleet.joined(other.outlier.failures);
        }
        let endpoint = &mut self.endpoints[h];
        let others =
            (fleet.sum - endpoint.outlier.failures.sum) / (fleet.n - endpoint.outlier.failures.n).max(1.0);
        // Guards against most of a fleet dying at once: what is dead need not stand out from its peers.
        let proven = endpoint.outlier.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
            || endpoint.outlier.failures.shrunk(0.0, PRIOR_RESPONSES) > EJECT_FAILURE_RATE + 2.0 * others;
        if endpoint.outlier.trials_left > 0
            || (proven && ejected.sum + 1.0 <= (ejected.n * MAX_EJECTED_SHARE).max(1.0))
        {
            endpoint.eject(self.now, EJECTION_TIME, HALF_OPEN_TRIALS);
        }
    }
}
