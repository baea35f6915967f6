//! Applies endpoint list updates and operator overrides, and selects the subset of endpoints that this
//! balancer uses.

use std::collections::BTreeMap;

use super::{ENDPOINT_TIME_CONSTANT, INITIAL_POLL_BACKOFF, RATE_TIME_CONSTANT};
use crate::endpoint::{Endpoint, Override, remove_marked};
use crate::hashing::rendezvous;
use crate::interface::{
    Action, DiscoveryMode, EndpointEntry, EndpointId, EndpointState, EndpointUpdate, Millis,
};
use crate::state::{Balancer, TimerPurpose};

/// How long the state of an endpoint is kept after its removal from the list: what it contains has decayed by
/// then.
const REMOVED_RETENTION: Millis = 60_000.0;
/// Subsetting: a balancer uses only as many endpoints as give it this many responses each within
/// ENDPOINT_TIME_CONSTANT ...
const RESPONSES_PER_ENDPOINT: f64 = 4.0;
/// ... but at least this many of a group.
const MIN_SUBSET_SIZE: usize = 2;
/// Discovery handles polls one after another; this is the time that it has for the poll of each balancer.
const POLL_COST: Millis = 50.0;
/// A balancer counts as notified 6 s after discovery has a change: 3.2 s are for a poll, and 2 s for
/// noticing that a watch has stalled.
const MAX_POLL_BACKOFF: Millis = 2_800.0;
const MAX_WATCH_BACKOFF: Millis = 800.0;

impl Balancer {
    /// Applies an update of the endpoint list, or sets a timer for the next poll after a failure.
    pub(super) fn apply_update(&mut self, update: EndpointUpdate, actions: &mut Vec<Action>) {
        let is_incremental =
            matches!(update, EndpointUpdate::Changes(_) | EndpointUpdate::SupersededChanges(_));
        let ends_poll = matches!(update, EndpointUpdate::Changes(_) | EndpointUpdate::FullSnapshot(_));
        let (EndpointUpdate::CachedSnapshot(entries)
        | EndpointUpdate::FullSnapshot(entries)
        | EndpointUpdate::Changes(entries)
        | EndpointUpdate::SupersededSnapshot(entries)
        | EndpointUpdate::SupersededChanges(entries)) = update
        else {
            // If a whole fleet polls faster than discovery can respond, its queue only contains polls that
            // have timed out, and nobody gets a response. The backoff therefore grows with each failure and
            // is random over its whole length.
            let (poll_spread, max_backoff) = (self.poll_spread(), self.max_poll_backoff());
            let backoff = self.random_unit() * (2.0 * (self.poll_backoff + poll_spread)).min(max_backoff);
            self.poll_backoff = (2.0 * self.poll_backoff + poll_spread).min(MAX_POLL_BACKOFF);
            (self.watching, self.awaits_first_poll_since) = (false, None);
            if self.settings.discovery_mode == DiscoveryMode::Pull {
                self.set_timer(backoff.max(self.settings.timer_resolution), TimerPurpose::Poll, actions);
            }
            return;
        };
        if ends_poll {
            // Any other list is no response to the poll under way, so it says nothing about discovery.
            (self.watching, self.awaits_first_poll_since) = (true, None);
            self.poll_backoff = INITIAL_POLL_BACKOFF;
        }
        if !is_incremental {
            // Endpoints that are absent from a full list were removed.
            self.endpoints.iter_mut().for_each(|endpoint| {
                (endpoint.entry.state, endpoint.listed_state) =
                    (EndpointState::Removed, EndpointState::Removed);
            });
        }
        entries.into_iter().for_each(|entry| self.update_endpoint(entry));
        self.evaluate_list();
    }

    /// The longest backoff after a poll that has just failed.
    fn max_poll_backoff(&self) -> Millis {
        match self.awaits_first_poll_since {
            _ if self.watching => MAX_WATCH_BACKOFF,
            // The list is from before the start, and the first poll may have begun late or failed late.
            Some(started_at) => (MAX_POLL_BACKOFF - (self.now - started_at)).max(MAX_WATCH_BACKOFF),
            None => MAX_POLL_BACKOFF,
        }
    }

    fn evaluate_list(&mut self) {
        self.rebuild_groups();
        self.evaluate_kinds();
        self.evaluate_endpoints();
    }

    /// Applies an operator override, which remains in effect until the next one for the same endpoint.
    pub(super) fn set_override(
        &mut self,
        endpoint: EndpointId,
        operator_override: Override,
        actions: &mut Vec<Action>,
    ) {
        self.operator_overrides.insert(endpoint, operator_override);
        if let Some(&index) = self.endpoint_index.get(&endpoint) {
            let known = &self.endpoints[index];
            self.update_endpoint(EndpointEntry { state: known.listed_state, ..known.entry.clone() });
            self.evaluate_list();
            actions.push(Action::CloseIdleConnections { endpoint });
        }
    }

    /// The time that discovery needs for one poll of each balancer in the fleet, beyond the initial backoff.
    pub(super) fn poll_spread(&self) -> Millis {
        let limit = self.settings.contract.max_notification_delay.map_or(f64::INFINITY, |delay| delay / 2.0);
        (POLL_COST * f64::from(self.settings.balancer_count) - INITIAL_POLL_BACKOFF)
            .clamp(0.0, limit.min(MAX_POLL_BACKOFF))
    }

    /// Adds an endpoint, or updates its entry.
    fn update_endpoint(&mut self, mut entry: EndpointEntry) {
        // Kinds that are not in the settings share one additional kind.
        entry.kind = entry.kind.min(self.settings.kind_count);
        entry.zone = entry.zone.min(self.settings.zone_count - 1);
        let subset_position = rendezvous(0, u64::from(entry.endpoint.0));
        let group = entry.kind * self.settings.zone_count + entry.zone;
        let new = Endpoint::new(group, subset_position, self.class_stats.len(), entry);
        let operator_override = self.operator_overrides.get(&new.entry.endpoint).copied();
        let new = new.with_override(operator_override);
        let Some(&index) = self.endpoint_index.get(&new.entry.endpoint) else {
            self.endpoint_index.insert(new.entry.endpoint, self.endpoints.len());
            self.endpoints.push(new);
            return;
        };
        let endpoint = &mut self.endpoints[index];
        if endpoint.entry.started_at == new.entry.started_at {
            (endpoint.entry, endpoint.listed_state, endpoint.group) = (new.entry, new.listed_state, group);
        } else {
            // The endpoint's process was restarted: observations of the previous process no longer apply.
            let connections = endpoint.connections.after_restart();
            *endpoint = Endpoint { connections, ..new };
        }
    }

    /// Drops the state of removed endpoints once nothing refers to it; without this, memory would grow with
    /// every new endpoint. If an operator disabled the endpoint, the override and the endpoint's identifier
    /// are kept.
    pub(super) fn forget_removed_endpoints(&mut self, actions: &mut Vec<Action>) {
        let (now, warm_up) = (self.now, self.settings.contract.warm_up);
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.update_removed_at(now));
        let mut marks: Vec<bool> =
            self.endpoints.iter().map(|endpoint| endpoint.can_be_forgotten(now, REMOVED_RETENTION)).collect();
        if !marks.contains(&true) && self.operator_overrides.is_empty() {
            return;
        }
        self.requests
            .values()
            .flat_map(|request| &request.attempts)
            .for_each(|attempt| marks[attempt.endpoint] = false);
        // For an endpoint with state: whether the state is kept.
        let is_kept = |endpoint: &EndpointId| self.endpoint_index.get(endpoint).map(|&index| !marks[index]);
        // An endpoint that was enabled this long ago has passed slow start, so its override has no effect
        // any more.
        let is_in_effect = |operator_override: Override| match operator_override {
            Override::Disabled => true,
            Override::EnabledAt(at) => at + warm_up + REMOVED_RETENTION > now,
        };
        let operator_overrides = std::mem::take(&mut self.operator_overrides);
        let (kept, expired): (BTreeMap<_, _>, BTreeMap<_, _>) =
            operator_overrides.into_iter().partition(|(endpoint, operator_override)| {
                is_in_effect(*operator_override) || is_kept(endpoint) == Some(true)
            });
        let expired = expired.keys().filter(|endpoint| is_kept(endpoint).is_none());
        let released =
            self.endpoint_index.keys().filter(|endpoint| is_kept(endpoint) == Some(false)).chain(expired);
        let released = released.filter(|endpoint| !kept.contains_key(endpoint));
        actions.extend(released.map(|&endpoint| Action::ReleaseEndpointId { endpoint }));
        self.operator_overrides = kept;
        if marks.contains(&true) {
            let new_indices = remove_marked(&mut self.endpoints, &marks);
            self.endpoint_index = self
                .endpoints
                .iter()
                .enumerate()
                .map(|(index, endpoint)| (endpoint.entry.endpoint, index))
                .collect();
            let attempts = self.requests.values_mut().flat_map(|request| &mut request.attempts);
            attempts.for_each(|attempt| attempt.endpoint = new_indices[attempt.endpoint]);
            self.rebuild_groups();
        }
    }

    /// Rebuilds the groups from the endpoints that are up, and reduces them to the subset of this balancer.
    pub(super) fn rebuild_groups(&mut self) {
        self.groups.iter_mut().for_each(Vec::clear);
        self.zones.iter_mut().for_each(|zone| zone.endpoint_count = 0);
        for (index, endpoint) in self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.entry.state == EndpointState::Up)
        {
            self.groups[endpoint.group].push(index);
            self.zones.get_mut(endpoint.entry.zone).into_iter().for_each(|zone| zone.endpoint_count += 1);
        }
        // A balancer with few responses cannot learn the state of all endpoints, but it can of a small
        // subset.
        let max_endpoints =
            self.load.recent_responses * ENDPOINT_TIME_CONSTANT / RATE_TIME_CONSTANT / RESPONSES_PER_ENDPOINT;
        let fraction = max_endpoints / self.groups.iter().map(Vec::len).sum::<usize>() as f64;
        let mut groups = std::mem::take(&mut self.groups);
        groups.iter_mut().for_each(|group| self.select_subset(group, fraction));
        self.groups = groups;
    }

    /// Reduces a group to the subset that this balancer uses, about `fraction` of its endpoints.
    fn select_subset(&mut self, group: &mut Vec<usize>, fraction: f64) {
        let (len, balancers) = (group.len() as f64, f64::from(self.settings.balancer_count));
        // With random subsets some endpoints would be in many subsets and others in few. Instead all
        // balancers agree on a circular order of the endpoints, and each takes the arc that starts at its
        // own position in the fleet. Ejected endpoints are replaced by the next ones in the order.
        let start = len * self.fleet_position;
        let mut arc = group.clone();
        arc.sort_by(|&left, &right| {
            self.endpoints[left].subset_position.total_cmp(&self.endpoints[right].subset_position)
        });
        arc.rotate_left((start as usize).min(group.len().saturating_sub(1)));
        let size = ((fraction * len).ceil() as usize).max(MIN_SUBSET_SIZE);
        // With few balancers the arcs may leave gaps, and an endpoint in slow start in such a gap would get
        // no requests. The arc must reach to where the next balancer may start.
        let own = size.max((2.0 * len / balancers).ceil() as usize).min(group.len());
        for (position, &index) in arc.iter().enumerate() {
            let endpoint = &mut self.endpoints[index];
            endpoint.slow_start.in_own_subset = position < own;
            endpoint.slow_start.turn_count = (balancers * own as f64 / len).max(1.0);
            // If a balancer had its turns at several endpoints at the same time, one request could use only
            // one of them. Its turns therefore follow each other along its arc, as do the turns of all
            // balancers at each endpoint.
            endpoint.slow_start.turn_phase = ((start.fract() - position as f64) / own as f64).rem_euclid(1.0);
        }
        if size < group.len() {
            let is_ejected = |endpoint: &Endpoint| self.now < endpoint.outlier.ejected_until;
            let is_unusable =
                |endpoint: &Endpoint| !endpoint.slow_start.in_own_subset && self.warmth(endpoint) < 1.0;
            arc.sort_by_key(|&index| {
                is_ejected(&self.endpoints[index]) || is_unusable(&self.endpoints[index])
            });
            arc.truncate(size);
            *group = arc;
        }
    }
}
