//! State of the balancer. The decisions based on it are in [`crate::logic`].

mod forwarded;
mod load;
mod request;
mod zone;

pub(crate) use forwarded::ForwardedRequests;
pub(crate) use load::{ClassStats, Load};
pub(crate) use request::{Attempt, Request};
pub(crate) use zone::Zone;

use std::collections::BTreeMap;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::decaying_mean::DecayingMean;
use crate::endpoint::{Endpoint, Override};
use crate::interface::{Action, Effect, EndpointId, Millis, RequestId, Settings};
use crate::proportional_integral::ProportionalIntegral;

/// Zones whose latency differs by less than this are taken to be at the same distance: it may be noise.
const LATENCY_NOISE: Millis = 5.0;

#[derive(Clone, Copy)]
pub(crate) enum TimerPurpose {
    Evaluate,
    RetryDispatch(RequestId),
    Poll,
}

/// The load balancer of one client proxy: it selects the endpoint of each attempt, decides on retries, and
/// determines the final response of requests that no endpoint served.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    /// Position of this balancer in the fleet, 0 to 1: random within the interval that belongs to its index.
    pub(crate) fleet_position: f64,
    pub(crate) now: Millis,
    pub(crate) endpoints: Vec<Endpoint>,
    /// Index of each endpoint in `endpoints`.
    pub(crate) endpoint_index: BTreeMap<EndpointId, usize>,
    /// Operator overrides, including those of endpoints that are not in the endpoint list yet.
    pub(crate) operator_overrides: BTreeMap<EndpointId, Override>,
    /// Indices of the endpoints in use, by group. A group consists of the endpoints of one kind in one zone.
    pub(crate) groups: Vec<Vec<usize>>,
    /// State of each zone; empty if locality is off.
    pub(crate) zones: Vec<Zone>,
    /// By tier: the share of requests that it passes on to the next tier. Requests that no tier takes go to
    /// the nearest one.
    pub(crate) spillover: [ProportionalIntegral; 3],
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that must not take effect again under the same identity.
    pub(crate) forwarded: ForwardedRequests,
    pub(crate) timers: BTreeMap<u64, TimerPurpose>,
    /// Token of the timer that was set last.
    pub(crate) last_token: u64,
    /// When the state was last evaluated; `None` before the first event.
    pub(crate) last_evaluated_at: Option<Millis>,
    pub(crate) class_stats: Vec<ClassStats>,
    /// By group: latency as a multiple of the expected latency of the request.
    pub(crate) group_latencies: Vec<DecayingMean>,
    /// By kind: the inverse of its relative latency.
    pub(crate) kind_speeds: Vec<f64>,
    /// By group: the inverse of its relative latency.
    pub(crate) group_speeds: Vec<f64>,
    /// Highest selection weight of a warmed-up endpoint, by kind; by group if locality is on.
    pub(crate) max_selection_weights: Vec<f64>,
    /// By tenant: number of requests, decayed over `RATE_TIME_CONSTANT`.
    pub(crate) recent_tenant_requests: Vec<f64>,
    /// By class and tenant: work of the requests that arrived, decayed over `CLASS_TIME_CONSTANT`.
    pub(crate) offered_work: Vec<f64>,
    /// Work that a warmed-up endpoint recently received from this balancer, in milliseconds per
    /// millisecond, by kind; by group if locality is on.
    pub(crate) warm_rates: Vec<f64>,
    pub(crate) load: Load,
    /// Number of retries that may be sent.
    pub(crate) retry_budget: f64,
    /// A watch of the endpoint list is established.
    pub(crate) watching: bool,
    /// When the balancer started, until its first poll ends: the list is from before then.
    pub(crate) awaits_first_poll_since: Option<Millis>,
    pub(crate) poll_backoff: Millis,
    /// All classes are [`Effect::Unsafe`].
    pub(crate) only_unsafe: bool,
}

impl Balancer {
    /// A balancer without any observations but the initial assumptions in `load`.
    pub(crate) fn with_load(settings: Settings, seed: u64, load: Load) -> Balancer {
        let mut rng = Pcg32::seed_from_u64(seed);
        let offset = f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0);
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len().max(1));
        let groups = (settings.kind_count + 1) * settings.zone_count;
        Balancer {
            rng,
            fleet_position: (f64::from(settings.balancer_index % settings.balancer_count) + offset)
                / f64::from(settings.balancer_count),
            now: 0.0,
            endpoints: Vec::new(),
            endpoint_index: BTreeMap::new(),
            operator_overrides: BTreeMap::new(),
            groups: vec![Vec::new(); groups],
            zones: settings.locality.as_ref().map(Zone::for_locality).unwrap_or_default(),
            spillover: Default::default(),
            requests: BTreeMap::new(),
            forwarded: ForwardedRequests::default(),
            timers: BTreeMap::new(),
            last_token: 0,
            last_evaluated_at: None,
            class_stats: vec![ClassStats::default(); classes],
            group_latencies: vec![DecayingMean::default(); groups],
            kind_speeds: vec![1.0; settings.kind_count + 1],
            group_speeds: vec![1.0; groups],
            max_selection_weights: vec![1.0; groups],
            recent_tenant_requests: vec![0.0; tenants],
            offered_work: vec![0.0; classes * tenants],
            warm_rates: vec![0.0; groups],
            load,
            retry_budget: 0.0,
            watching: false,
            awaits_first_poll_since: None,
            poll_backoff: 0.0,
            only_unsafe: settings.classes.iter().all(|class| class.effect == Effect::Unsafe),
            settings,
        }
    }

    /// Identities of the requests that this balancer forwarded recently and that may have been executed.
    pub fn forwarded_identities(&self) -> Vec<u64> {
        self.forwarded.own().collect()
    }

    /// The probability that a request may use the zone of an endpoint; 1 if locality is off.
    pub(crate) fn zone_weight(&self, endpoint: usize) -> f64 {
        self.zones.get(self.endpoints[endpoint].entry.zone).map_or(1.0, |zone| zone.weight)
    }

    /// The network latency to the zone of an endpoint beyond that to the nearest zone.
    pub(crate) fn extra_zone_latency(&self, endpoint: usize) -> Millis {
        let zone = self.zones.get(self.endpoints[endpoint].entry.zone);
        let nearest =
            self.zones.iter().fold(f64::INFINITY, |nearest, zone| nearest.min(zone.min_extra_latency));
        let extra = zone.map_or(0.0, |zone| zone.min_extra_latency - nearest - LATENCY_NOISE);
        if extra.is_finite() { extra.max(0.0) } else { 0.0 }
    }

    /// Whether all zones that have endpoints are ejected, not counting the zone `except`.
    pub(crate) fn all_zones_ejected(&self, except: Option<usize>) -> bool {
        let mut used = self
            .zones
            .iter()
            .enumerate()
            .filter(|(index, zone)| zone.endpoint_count > 0 && Some(*index) != except);
        used.clone().next().is_some() && used.all(|(_, zone)| zone.ejection.is_some())
    }

    /// Attempts in flight of requests that still await a response and whose body is complete.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = (&Request, &Attempt)> {
        let waiting =
            self.requests.values().filter(|request| request.awaits_response() && !request.body_pending);
        waiting.flat_map(|request| {
            request.attempts.iter().filter(|attempt| attempt.in_flight).map(move |attempt| (request, attempt))
        })
    }

    /// A uniformly distributed random number, at least 0 and below 1.
    pub(crate) fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Sets a timer that is due after `delay`.
    pub(crate) fn set_timer(&mut self, delay: Millis, purpose: TimerPurpose, actions: &mut Vec<Action>) {
        self.last_token += 1;
        self.timers.insert(self.last_token, purpose);
        actions.push(Action::SetTimer { at: self.now + delay, token: self.last_token });
    }
}
