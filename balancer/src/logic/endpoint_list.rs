//! Discovery: what lists and operators say of endpoints, and which of them are this balancer's part.

use std::collections::BTreeMap;

use super::{ENDPOINT_MEMORY, POLL_BACKOFF, RATE_MEMORY};
use crate::endpoint::{Endpoint, OperatorOverride, remove_marked};
use crate::hashing::rendezvous;
use crate::interface::{
    Action, DiscoveryMode, EndpointEntry, EndpointId, EndpointState, EndpointUpdate, Millis,
};
use crate::state::{Balancer, TimerPurpose};

/// An endpoint that the list has taken out is forgotten after so long: what was learnt of it has faded by
/// then.
const REMOVED_RETENTION: Millis = 60_000.0;
/// Subsetting: a balancer uses no more endpoints than give it so many answers each in ENDPOINT_MEMORY ...
const ANSWERS_EACH: f64 = 4.0;
/// ... but at least so many of a group.
const MIN_SUBSET_SIZE: usize = 2;
/// Discovery takes calls one after another: so much time is left to it for the call of each balancer.
const POLL_COST: Millis = 50.0;
/// A change counts as told 6 s after discovery has it: 3.2 s are for a call, 2 s to see a watch fall silent.
const MAX_POLL_BACKOFF: Millis = 2_800.0;
const MAX_WATCH_BACKOFF: Millis = 800.0;

impl Balancer {
    pub(super) fn apply_update(&mut self, news: EndpointUpdate, out: &mut Vec<Action>) {
        let changes = matches!(news, EndpointUpdate::Changes(_));
        let persisted = matches!(news, EndpointUpdate::CachedSnapshot(_));
        let (EndpointUpdate::CachedSnapshot(entries)
        | EndpointUpdate::FullSnapshot(entries)
        | EndpointUpdate::Changes(entries)) = news
        else {
            // Guards against calls that wait in vain behind others that did: a queue that a whole fleet keeps
            // filling answers nobody. So the pause grows, and is spread over all of its length.
            let (poll_spread, most) =
                (self.poll_spread(), if self.watching { MAX_WATCH_BACKOFF } else { MAX_POLL_BACKOFF });
            let pause = self.random_unit() * (2.0 * (self.poll_backoff + poll_spread)).min(most);
            self.poll_backoff = (2.0 * self.poll_backoff + poll_spread).min(MAX_POLL_BACKOFF);
            self.watching = false;
            if self.settings.discovery_mode == DiscoveryMode::Pull {
                self.set_timer(pause.max(self.settings.timer_resolution), TimerPurpose::Poll, out);
            }
            return;
        };
        if !persisted {
            // What was known before a restart is a start, but no answer to a call.
            (self.watching, self.poll_backoff) = (true, POLL_BACKOFF);
        }
        if !changes {
            // Whoever is absent from a whole list is gone.
            self.endpoints.iter_mut().for_each(|endpoint| {
                (endpoint.entry.state, endpoint.listed_state) =
                    (EndpointState::Removed, EndpointState::Removed);
            });
        }
        entries.into_iter().for_each(|entry| self.list(entry));
        self.evaluate_list();
    }

    fn evaluate_list(&mut self) {
        self.rebuild_groups();
        self.evaluate_kinds();
        self.evaluate_endpoints();
    }

    /// What an operator says of an endpoint, which stands until the operator says otherwise.
    pub(super) fn apply_override(
        &mut self,
        endpoint: EndpointId,
        hand: OperatorOverride,
        out: &mut Vec<Action>,
    ) {
        self.operator_overrides.insert(endpoint, hand);
        if let Some(&h) = self.index.get(&endpoint) {
            let known = &self.endpoints[h];
            self.list(EndpointEntry { state: known.listed_state, ..known.entry.clone() });
            self.evaluate_list();
            out.push(Action::CloseIdleConnections { endpoint });
        }
    }

    /// The time that the fleet's calls to discovery need, each in its turn, beyond the first pause.
    pub(super) fn poll_spread(&self) -> Millis {
        let most = self.settings.contract.max_notification_delay.map_or(f64::INFINITY, |within| within / 2.0);
        (POLL_COST * f64::from(self.settings.balancer_count) - POLL_BACKOFF)
            .clamp(0.0, most.min(MAX_POLL_BACKOFF))
    }

    fn list(&mut self, mut entry: EndpointEntry) {
        // Kinds that the settings do not name share one group.
        entry.kind = entry.kind.min(self.settings.kind_count);
        entry.zone = entry.zone.min(self.settings.zone_count - 1);
        let place = rendezvous(0, u64::from(entry.endpoint.0));
        let group = entry.kind * self.settings.zone_count + entry.zone;
        let fresh = Endpoint::new(group, place, self.classes.len(), entry);
        let hand = self.operator_overrides.get(&fresh.entry.endpoint).copied();
        let fresh = fresh.with_override(hand);
        let Some(&h) = self.index.get(&fresh.entry.endpoint) else {
            self.index.insert(fresh.entry.endpoint, self.endpoints.len());
            self.endpoints.push(fresh);
            return;
        };
        let endpoint = &mut self.endpoints[h];
        if endpoint.entry.started_at == fresh.entry.started_at {
            (endpoint.entry, endpoint.listed_state, endpoint.group) =
                (fresh.entry, fresh.listed_state, group);
        } else {
            // A new process on the endpoint: nothing learnt of the old one holds.
            let connections = endpoint.connections.after_restart();
            *endpoint = Endpoint { connections, ..fresh };
        }
    }

    /// Guards against memory that grows with every new name: what the list has taken out goes once nothing
    /// refers to it. An operator's word that an endpoint is out stays, and so does the endpoint's number.
    pub(super) fn forget(&mut self, out: &mut Vec<Action>) {
        let (now, cold) = (self.now, self.settings.contract.warm_up);
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.update_removed_at(now));
        let mut goes: Vec<bool> =
            self.endpoints.iter().map(|endpoint| endpoint.can_be_forgotten(now, REMOVED_RETENTION)).collect();
        if !goes.contains(&true) && self.operator_overrides.is_empty() {
            return;
        }
        self.requests.values().flat_map(|r| &r.attempts).for_each(|attempt| goes[attempt.endpoint] = false);
        let known = |endpoint: &EndpointId| self.index.get(endpoint).map(|&h| !goes[h]);
        // What came back so long ago is warm by now, so that nothing follows from it any more.
        let stands = |hand: OperatorOverride| match hand {
            OperatorOverride::Out => true,
            OperatorOverride::Back(at) => at + cold + REMOVED_RETENTION > now,
        };
        let operator_overrides = std::mem::take(&mut self.operator_overrides);
        let (stay, over): (BTreeMap<_, _>, BTreeMap<_, _>) = operator_overrides
            .into_iter()
            .partition(|(endpoint, hand)| stands(*hand) || known(endpoint) == Some(true));
        let over = over.keys().filter(|endpoint| known(endpoint).is_none());
        let numbers = self.index.keys().filter(|endpoint| known(endpoint) == Some(false)).chain(over);
        let numbers = numbers.filter(|endpoint| !stay.contains_key(endpoint));
        out.extend(numbers.map(|&endpoint| Action::ReleaseEndpointId { endpoint }));
        self.operator_overrides = stay;
        if goes.contains(&true) {
            let places = remove_marked(&mut self.endpoints, &goes);
            self.index =
                self.endpoints.iter().enumerate().map(|(h, endpoint)| (endpoint.entry.endpoint, h)).collect();
            let attempts = self.requests.values_mut().flat_map(|request| &mut request.attempts);
            attempts.for_each(|attempt| attempt.endpoint = places[attempt.endpoint]);
            self.rebuild_groups();
        }
    }

    pub(super) fn rebuild_groups(&mut self) {
        self.groups.iter_mut().for_each(Vec::clear);
        self.zones.iter_mut().for_each(|zone| zone.endpoints = 0);
        for (h, endpoint) in self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.entry.state == EndpointState::Up)
        {
            self.groups[endpoint.group].push(h);
            self.zones.get_mut(endpoint.entry.zone).into_iter().for_each(|zone| zone.endpoints += 1);
        }
        // Subsetting: a balancer with few answers learns of few endpoints what it could not learn of all.
        let enough = self.load.answers * ENDPOINT_MEMORY / RATE_MEMORY / ANSWERS_EACH;
        let part = enough / self.groups.iter().map(Vec::len).sum::<usize>() as f64;
        let mut groups = std::mem::take(&mut self.groups);
        groups.iter_mut().for_each(|group| self.take_part(group, part));
        self.groups = groups;
    }

    /// Leaves the endpoints of a group that this balancer uses, about `part` of them.
    fn take_part(&mut self, group: &mut Vec<usize>, part: f64) {
        let (len, balancers) = (group.len() as f64, f64::from(self.settings.balancer_count));
        // Guards against endpoints that chance gives to many balancers: an arc of an order that all agree
        // on, begun by the balancer's number. What rests is made up for by the next in the order.
        let begins = len * self.fleet_position;
        let mut arc = group.clone();
        arc.sort_by(|&a, &b| self.endpoints[a].subset_position.total_cmp(&self.endpoints[b].subset_position));
        arc.rotate_left((begins as usize).min(group.len().saturating_sub(1)));
        let most = ((part * len).ceil() as usize).max(MIN_SUBSET_SIZE);
        // Guards against a cold endpoint that a few balancers leave to nobody: the next may begin so much
        // later.
        let own = most.max((2.0 * len / balancers).ceil() as usize).min(group.len());
        for (n, &h) in arc.iter().enumerate() {
            let endpoint = &mut self.endpoints[h];
            endpoint.slow_start.in_own_subset = n < own;
            endpoint.slow_start.round = (balancers * own as f64 / len).max(1.0);
            // Guards against turns of one balancer that come together, where one request can use only one of
            // them: at the endpoints of its arc they come one after another, as at each endpoint do those of
            // all balancers whose arc it is in.
            endpoint.slow_start.round_phase = ((begins.fract() - n as f64) / own as f64).rem_euclid(1.0);
        }
        if most < group.len() {
            let ejected = |endpoint: &Endpoint| self.now < endpoint.outlier.ejected_until;
            let useless =
                |endpoint: &Endpoint| !endpoint.slow_start.in_own_subset && self.warmth(endpoint) < 1.0;
            arc.sort_by_key(|&h| ejected(&self.endpoints[h]) || useless(&self.endpoints[h]));
            arc.truncate(most);
            *group = arc;
        }
    }
}
