//! The ordinary path: cost-based scheduling over the groups of endpoints.

use super::{MIN_SELECTION_WEIGHT, PRIOR_RESPONSES};
use crate::endpoint::Endpoint;
use crate::hashing::rendezvous;
use crate::interface::EndpointState;
use crate::sampling::{RandomMinimum, weighted};
use crate::state::{Balancer, Request};

/// What a request costs where its key is warm, against elsewhere; a warm key spares about half the work.
const WARM_COST: f64 = 0.5;
/// The risk of being late grows faster than the wait: with this power of its part of the latency objective.
const LATE_POWER: i32 = 2;
/// An endpoint less ready than this is nobody's home for the moment.
const MIN_HOME_WEIGHT: f64 = 0.5;

impl Balancer {
    /// Cost-based scheduling: the shortest own queue of a sample from every group, then the cheapest winner.
    pub(super) fn pick(&mut self, request: &Request) -> Option<usize> {
        let near = self.near(request);
        let mut best = self.cheapest(request, &near);
        if best.endpoint.is_none() && !near.is_empty() {
            let open: Vec<bool> = self.zones.iter().map(|zone| zone.open > 0.0).collect();
            best = self.cheapest(request, &open);
        }
        if best.endpoint.is_none() {
            // Every group sat out: a hardly ready endpoint, or one that failed this request, beats none.
            let left = self.all_left(None);
            let able = |&h: &usize| (left || self.open(h) > 0.0) && self.is_eligible(request, h);
            let able = (0..self.endpoints.len()).filter(able);
            best.endpoint = able.max_by(|&a, &b| {
                self.endpoints[a].selection_weight.total_cmp(&self.endpoints[b].selection_weight)
            });
        }
        // Departure, where endpoints keep keys warm: the key's home joins the comparison at a warm price.
        let home = request.key.and_then(|key| self.home(request, key));
        let home = home.filter(|&h| near.get(self.endpoints[h].entry.zone) != Some(&false));
        home.filter(|&home| self.cost(request, home, WARM_COST) <= best.cost).or(best.endpoint)
    }

    /// Of the groups in these zones, or in all where none are named.
    fn cheapest(&mut self, request: &Request, zones: &[bool]) -> RandomMinimum {
        let mut best = RandomMinimum::NONE;
        for g in (0..self.groups.len()).filter(|g| zones.is_empty() || zones[g % zones.len()]) {
            if let Some(winner) = self.shortest_of_sample(g, request) {
                best.offer(self.cost(request, winner, 1.0), winner, &mut self.rng);
            }
        }
        best
    }

    /// (own queue + 1) / speed of the kind, as a part of the latency objective, to the LATE_POWER, which
    /// keeps the order. The way to a zone counts as time.
    fn cost(&self, request: &Request, h: usize, part: f64) -> f64 {
        let (endpoint, class) = (&self.endpoints[h], &self.settings.classes[request.class]);
        let usual = part * self.usual(request.class, request.size) / class.latency_objective;
        let way = self.distance(h) / class.latency_objective;
        let late = ((f64::from(endpoint.connections.in_flight) + 1.0) * usual / self.speeds[endpoint.group]
            + way)
            .powi(LATE_POWER);
        // Guards against an endpoint that answers, but not this class: no answer costs as much as a late one.
        late + endpoint.responses.loss_rates[request.class]
    }

    /// The chance that an endpoint can be reached: an open connection can, a new one as lately seen.
    fn reach(&self, h: usize) -> f64 {
        let (endpoint, usual) = (&self.endpoints[h], self.load.connect_failures.shrunk(0.0, PRIOR_RESPONSES));
        if endpoint.connections.has_capacity(self.settings.limits.streams_per_connection) {
            1.0
        } else {
            1.0 - endpoint.connections.failures.shrunk(usual, 1.0)
        }
    }

    /// Where all balancers send a key, without agreement: rendezvous hashing over the ready endpoints by
    /// weight.
    fn home(&self, request: &Request, key: u64) -> Option<usize> {
        // Guards against a release: were cold endpoints nobody's home, the last warm ones would be
        // everybody's.
        let score = |endpoint: &Endpoint| {
            endpoint.entry.weight
                * self.warmth(endpoint)
                * rendezvous(key, u64::from(endpoint.entry.endpoint.0))
        };
        let sound = |endpoint: &Endpoint| {
            endpoint.entry.state == EndpointState::Up && endpoint.selection_weight > MIN_HOME_WEIGHT
        };
        let endpoints = self.endpoints.iter().enumerate().filter(|(_, endpoint)| sound(endpoint));
        let best = endpoints.map(|(h, endpoint)| (h, score(endpoint))).max_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(h, _)| h).filter(|&h| self.is_eligible(request, h))
    }

    /// Samples with replacement, each endpoint with the weight of its readiness; ties at random.
    fn shortest_of_sample(&mut self, g: usize, request: &Request) -> Option<usize> {
        let fit =
            |h: usize| !request.attempts.iter().any(|a| a.endpoint == h) && self.is_eligible(request, h);
        // Guards against slow or refused handshakes: connections that are open already go on serving.
        let able = |endpoint: &Endpoint| {
            endpoint.selection_weight
                * (1.0 - endpoint.responses.loss_rates[request.class]).powi(4).max(MIN_SELECTION_WEIGHT)
        };
        let weight = |h: usize| if fit(h) { able(&self.endpoints[h]) * self.reach(h).powi(2) } else { 0.0 };
        let ready: Vec<(usize, f64)> = self.groups[g].iter().map(|&h| (h, weight(h))).collect();
        let total: f64 = ready.iter().map(|(_, w)| w).sum();
        if total <= 0.0 {
            return None;
        }
        // An unready group is sampled only as often as its best endpoint deserves.
        let fullest = ready.iter().fold(0.0, |most: f64, (_, w)| most.max(*w));
        if fullest < 1.0 && self.random_unit() > fullest {
            return None;
        }
        let mut shortest = RandomMinimum::NONE;
        for _ in 0..2.max(ready.len().div_ceil(2)) {
            let endpoint = weighted(&ready, self.random_unit() * total)?;
            // Departure, where handshakes have a price: of equal queues, one behind an open connection.
            let dial = self.settings.prices.handshake > 0.0
                && !self.endpoints[endpoint]
                    .connections
                    .has_capacity(self.settings.limits.streams_per_connection);
            let queue =
                f64::from(self.endpoints[endpoint].connections.in_flight) + if dial { 0.5 } else { 0.0 };
            shortest.offer(queue, endpoint, &mut self.rng);
        }
        shortest.endpoint
    }
}
