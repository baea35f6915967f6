//! Reports to operators about the decisions of the balancer.

use crate::endpoint::{Endpoint, Override};
use crate::interface::{EjectedZone, EndpointId, EndpointState, Millis};
use crate::state::Balancer;

impl Balancer {
    /// The endpoints that receive no requests at present because an operator disabled them, or because they
    /// or their zones are ejected.
    pub fn excluded_endpoints(&self, now: Millis) -> impl Iterator<Item = EndpointId> {
        let is_disabled = |endpoint: &Endpoint| {
            self.operator_overrides.get(&endpoint.entry.endpoint) == Some(&Override::Disabled)
        };
        let is_ejected = move |endpoint: &Endpoint| {
            endpoint.entry.state == EndpointState::Up && now < endpoint.outlier.ejected_until
        };
        let is_zone_ejected =
            |endpoint: &Endpoint| self.zones.get(endpoint.entry.zone).is_some_and(|zone| zone.weight == 0.0);
        let is_excluded = move |endpoint: &&Endpoint| {
            is_disabled(endpoint) || is_ejected(endpoint) || is_zone_ejected(endpoint)
        };
        self.endpoints.iter().filter(is_excluded).map(|endpoint| endpoint.entry.endpoint)
    }

    /// The zones that are ejected at present, and why.
    pub fn ejected_zones(&self) -> Vec<EjectedZone> {
        let own_zone = self.settings.locality.as_ref().and_then(|locality| locality.own_zone);
        let others_ejected = own_zone.is_some() && self.zones.len() > 2 && self.all_zones_ejected(own_zone);
        let ejections = self.zones.iter().filter_map(|zone| zone.ejection);
        ejections
            .map(|ejection| EjectedZone {
                own_network_suspected: others_ejected || ejection.own_network_suspected,
                ..ejection
            })
            .collect()
    }
}
