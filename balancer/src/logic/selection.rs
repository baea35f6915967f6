//! Endpoint selection: cost-based scheduling over the groups of endpoints.

use super::{MIN_SELECTION_WEIGHT, PRIOR_RESPONSES};
use crate::endpoint::Endpoint;
use crate::hashing::rendezvous;
use crate::interface::EndpointState;
use crate::sampling::{RandomMinimum, pick_weighted};
use crate::state::{Balancer, Request};

/// Relative cost of a request at the endpoint that likely has its key cached: a cached key saves about half
/// the work.
const CACHED_KEY_COST: f64 = 0.5;
/// The cost of a request is its expected latency, as a fraction of the latency objective, raised to this
/// power: the risk of missing the objective grows faster than the wait.
const LATENCY_COST_POWER: i32 = 2;
/// An endpoint with a lower selection weight owns no keys.
const MIN_KEY_OWNER_WEIGHT: f64 = 0.5;

impl Balancer {
    /// Selects the endpoint for an attempt: the shortest queue of a sample from every group, then the
    /// cheapest of these endpoints.
    pub(super) fn select_endpoint(&mut self, request: &Request) -> Option<usize> {
        let allowed_zones = self.select_zones(request);
        let mut best = self.cheapest_of_groups(request, &allowed_zones);
        if best.endpoint.is_none() && !allowed_zones.is_empty() {
            let not_ejected: Vec<bool> = self.zones.iter().map(|zone| zone.weight > 0.0).collect();
            best = self.cheapest_of_groups(request, &not_ejected);
        }
        if best.endpoint.is_none() {
            // No group offered an endpoint: one with a low selection weight, or one that already failed this
            // request, is better than none.
            let all_ejected = self.all_zones_ejected(None);
            let is_usable = |&index: &usize| {
                (all_ejected || self.zone_weight(index) > 0.0) && self.is_eligible(request, index)
            };
            let usable = (0..self.endpoints.len()).filter(is_usable);
            best.endpoint = usable.max_by(|&left, &right| {
                self.endpoints[left].selection_weight.total_cmp(&self.endpoints[right].selection_weight)
            });
        }
        // Where endpoints cache by key, the owner of the key competes with the best endpoint, at reduced
        // cost.
        let owner = request.key.and_then(|key| self.key_owner(request, key));
        let owner =
            owner.filter(|&index| allowed_zones.get(self.endpoints[index].entry.zone) != Some(&false));
        owner.filter(|&owner| self.cost(request, owner, CACHED_KEY_COST) <= best.cost).or(best.endpoint)
    }

    /// The cheapest endpoint of the groups in the marked zones; of all groups if `zones` is empty.
    fn cheapest_of_groups(&mut self, request: &Request, zones: &[bool]) -> RandomMinimum {
        let mut best = RandomMinimum::EMPTY;
        for group in (0..self.groups.len()).filter(|group| zones.is_empty() || zones[group % zones.len()]) {
            if let Some(candidate) = self.shortest_queue_of_sample(group, request) {
                best.offer(self.cost(request, candidate, 1.0), candidate, &mut self.rng);
            }
        }
        best
    }

    /// The expected latency, which is (own queue + 1) / speed of the group plus the extra latency to the
    /// zone, as a fraction of the latency objective and raised to LATENCY_COST_POWER. Such a power keeps
    /// the order of endpoints.
    fn cost(&self, request: &Request, index: usize, work_factor: f64) -> f64 {
        let (endpoint, class) = (&self.endpoints[index], &self.settings.classes[request.class]);
        let work = work_factor * self.expected_latency(request.class, request.size) / class.latency_objective;
        let extra_latency = self.extra_zone_latency(index) / class.latency_objective;
        let latency_cost = ((f64::from(endpoint.connections.in_flight) + 1.0) * work
            / self.group_speeds[endpoint.group]
            + extra_latency)
            .powi(LATENCY_COST_POWER);
        // An endpoint may lose the responses of this class only: a lost response costs as much as one at the
        // latency objective.
        latency_cost + endpoint.responses.loss_rates[request.class]
    }

    /// The probability that an endpoint can be reached: 1 over an open connection, otherwise estimated from
    /// recent connection failures.
    fn connect_probability(&self, index: usize) -> f64 {
        let (endpoint, prior) =
            (&self.endpoints[index], self.load.connect_failures.shrunk(0.0, PRIOR_RESPONSES));
        if endpoint.connections.has_capacity(self.settings.limits.streams_per_connection) {
            1.0
        } else {
            1.0 - endpoint.connections.failures.shrunk(prior, 1.0)
        }
    }

    /// The endpoint to which all balancers send a key: by weighted rendezvous hashing over the sound
    /// endpoints, without communication.
    fn key_owner(&self, request: &Request, key: u64) -> Option<usize> {
        // Endpoints in slow start own keys too, in proportion to their warmth. During a rolling release the
        // last endpoints that are warmed up would otherwise own all keys.
        let score = |endpoint: &Endpoint| {
            endpoint.entry.weight
                * self.warmth(endpoint)
                * rendezvous(key, u64::from(endpoint.entry.endpoint.0))
        };
        let is_sound = |endpoint: &Endpoint| {
            endpoint.entry.state == EndpointState::Up && endpoint.selection_weight > MIN_KEY_OWNER_WEIGHT
        };
        let endpoints = self.endpoints.iter().enumerate().filter(|(_, endpoint)| is_sound(endpoint));
        let best = endpoints
            .map(|(index, endpoint)| (index, score(endpoint)))
            .max_by(|left, right| left.1.total_cmp(&right.1));
        best.map(|(index, _)| index).filter(|&index| self.is_eligible(request, index))
    }

    /// Samples the endpoints of a group with replacement, each with its selection weight, and returns the
    /// one with the shortest queue; ties are broken at random.
    fn shortest_queue_of_sample(&mut self, group: usize, request: &Request) -> Option<usize> {
        let is_candidate = |index: usize| {
            !request.attempts.iter().any(|attempt| attempt.endpoint == index)
                && self.is_eligible(request, index)
        };
        let response_weight = |endpoint: &Endpoint| {
            endpoint.selection_weight
                * (1.0 - endpoint.responses.loss_rates[request.class]).powi(4).max(MIN_SELECTION_WEIGHT)
        };
        // While new connections are slow or fail, endpoints with an open connection are preferred: they still
        // serve.
        let weight = |index: usize| {
            if is_candidate(index) {
                response_weight(&self.endpoints[index]) * self.connect_probability(index).powi(2)
            } else {
                0.0
            }
        };
        let weights: Vec<(usize, f64)> =
            self.groups[group].iter().map(|&index| (index, weight(index))).collect();
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return None;
        }
        // A group without a fully weighted endpoint offers one only as often as its highest weight says.
        let max_weight = weights.iter().fold(0.0, |max: f64, (_, weight)| max.max(*weight));
        if max_weight < 1.0 && self.random_unit() > max_weight {
            return None;
        }
        let mut shortest = RandomMinimum::EMPTY;
        for _ in 0..2.max(weights.len().div_ceil(2)) {
            let endpoint = pick_weighted(&weights, self.random_unit() * total)?;
            // If new connections have a price, the queue behind an open connection wins among equal queues.
            let needs_connection = self.settings.prices.handshake > 0.0
                && !self.endpoints[endpoint]
                    .connections
                    .has_capacity(self.settings.limits.streams_per_connection);
            let queue = f64::from(self.endpoints[endpoint].connections.in_flight)
                + if needs_connection { 0.5 } else { 0.0 };
            shortest.offer(queue, endpoint, &mut self.rng);
        }
        shortest.endpoint
    }
}
