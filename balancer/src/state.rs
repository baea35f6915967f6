//! What the balancer remembers. Types only; nothing here decides anything.

mod load;
mod request;
mod zone;

pub(crate) use load::{ClassStats, Load};
pub(crate) use request::{Attempt, Request};
pub(crate) use zone::Zone;

use std::collections::BTreeMap;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::decaying_mean::DecayingMean;
use crate::endpoint::{Endpoint, OperatorOverride};
use crate::interface::{Action, Effect, EndpointId, Millis, RequestId, Settings};
use crate::proportional_integral::ProportionalIntegral;

/// Ways that differ by less than this are alike: so much is chance.
const NO_DISTANCE: Millis = 5.0;

#[derive(Clone, Copy)]
pub(crate) enum TimerPurpose {
    Evaluate,
    RetryDispatch(RequestId),
    Poll,
}

/// Decides for one client proxy: where each request goes, when it goes again, and how it ends.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    /// Where among all balancers this one stands, from 0 to 1; at random within the part that is its own.
    pub(crate) fleet_position: f64,
    pub(crate) now: Millis,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) index: BTreeMap<EndpointId, usize>,
    /// What operators have said of endpoints, also of those that no list has named yet.
    pub(crate) operator_overrides: BTreeMap<EndpointId, OperatorOverride>,
    /// The design's groups: the endpoints of one kind in one zone.
    pub(crate) groups: Vec<Vec<usize>>,
    /// Of each zone; none where locality is off.
    pub(crate) zones: Vec<Zone>,
    /// What each tier passes on to the next; what the last one does stays as near as it can.
    pub(crate) spill: [ProportionalIntegral; 3],
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) timers: BTreeMap<u64, TimerPurpose>,
    pub(crate) next_token: u64,
    /// When all was last judged; nothing before the first event.
    pub(crate) last_evaluated_at: Option<Millis>,
    pub(crate) classes: Vec<ClassStats>,
    /// Latency of each group, in multiples of the usual.
    pub(crate) latencies: Vec<DecayingMean>,
    pub(crate) kind_speeds: Vec<f64>,
    pub(crate) speeds: Vec<f64>,
    /// Readiness of the soundest warm endpoint of each kind; of each group, where locality is on.
    pub(crate) soundest: Vec<f64>,
    /// Requests of each tenant, faded over RATE_MEMORY.
    pub(crate) tenant_rate: Vec<f64>,
    /// Work offered, by class and tenant, faded over CLASS_MEMORY.
    pub(crate) offered: Vec<f64>,
    /// Work that a warm endpoint of each kind lately got from here; of each group, where locality is on.
    pub(crate) warm_rates: Vec<f64>,
    pub(crate) load: Load,
    pub(crate) retry_budget: f64,
    pub(crate) watching: bool,
    pub(crate) poll_backoff: Millis,
    pub(crate) only_unsafe: bool,
}

impl Balancer {
    /// One that has seen nothing yet, with `load` for what is taken to be usual before anything is known.
    pub(crate) fn empty(settings: Settings, seed: u64, load: Load) -> Balancer {
        let mut rng = Pcg32::seed_from_u64(seed);
        let share = f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0);
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len().max(1));
        let groups = (settings.kind_count + 1) * settings.zone_count;
        Balancer {
            rng,
            fleet_position: (f64::from(settings.balancer_index % settings.balancer_count) + share)
                / f64::from(settings.balancer_count),
            now: 0.0,
            endpoints: Vec::new(),
            index: BTreeMap::new(),
            operator_overrides: BTreeMap::new(),
            groups: vec![Vec::new(); groups],
            zones: settings.locality.as_ref().map(Zone::all).unwrap_or_default(),
            spill: Default::default(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_token: 0,
            last_evaluated_at: None,
            classes: vec![ClassStats::default(); classes],
            latencies: vec![DecayingMean::default(); groups],
            kind_speeds: vec![1.0; settings.kind_count + 1],
            speeds: vec![1.0; groups],
            soundest: vec![1.0; groups],
            tenant_rate: vec![0.0; tenants],
            offered: vec![0.0; classes * tenants],
            warm_rates: vec![0.0; groups],
            load,
            retry_budget: 0.0,
            watching: false,
            poll_backoff: 0.0,
            only_unsafe: settings.classes.iter().all(|class| class.effect == Effect::Unsafe),
            settings,
        }
    }

    /// The chance that the zone of an endpoint is open to a request; always, where locality is off.
    pub(crate) fn open(&self, h: usize) -> f64 {
        self.zones.get(self.endpoints[h].entry.zone).map_or(1.0, |zone| zone.open)
    }

    /// What the way to an endpoint takes beyond the way to the nearest.
    pub(crate) fn distance(&self, h: usize) -> Millis {
        let zone = self.zones.get(self.endpoints[h].entry.zone);
        let least = self.zones.iter().fold(f64::INFINITY, |least, zone| least.min(zone.least));
        let beyond = zone.map_or(0.0, |zone| zone.least - least - NO_DISTANCE);
        if beyond.is_finite() { beyond.max(0.0) } else { 0.0 }
    }

    /// Whether all zones that have endpoints are left, but perhaps this one.
    pub(crate) fn all_left(&self, but: Option<usize>) -> bool {
        let mut used =
            self.zones.iter().enumerate().filter(|(z, zone)| zone.endpoints > 0 && Some(*z) != but);
        used.clone().next().is_some() && used.all(|(_, zone)| zone.left.is_some())
    }

    /// Attempts that are out, of requests that still wait for an answer.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = (&Request, &Attempt)> {
        let waiting = self.requests.values().filter(|r| r.waits() && !r.body_pending);
        waiting.flat_map(|r| r.attempts.iter().filter(|a| a.open).map(move |a| (r, a)))
    }

    /// From 0 to under 1, all alike.
    pub(crate) fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Has the caller come back after so long.
    pub(crate) fn set_timer(&mut self, after: Millis, set_timer: TimerPurpose, out: &mut Vec<Action>) {
        self.next_token += 1;
        self.timers.insert(self.next_token, set_timer);
        out.push(Action::SetTimer { at: self.now + after, token: self.next_token });
    }
}
