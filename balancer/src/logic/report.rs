//! What operators are told of the decisions; nothing here decides anything.

use crate::endpoint::{Endpoint, OperatorOverride};
use crate::interface::{EjectedZone, EndpointId, EndpointState, Millis};
use crate::state::Balancer;

impl Balancer {
    /// The endpoints that get nothing at present, by hand or by this balancer's choice, whatever the list
    /// says.
    pub fn excluded_endpoints(&self, now: Millis) -> impl Iterator<Item = EndpointId> {
        let operator_overrides = |endpoint: &Endpoint| {
            self.operator_overrides.get(&endpoint.entry.endpoint) == Some(&OperatorOverride::Out)
        };
        let chosen = move |endpoint: &Endpoint| {
            endpoint.entry.state == EndpointState::Up && now < endpoint.outlier.ejected_until
        };
        let left =
            |endpoint: &Endpoint| self.zones.get(endpoint.entry.zone).is_some_and(|zone| zone.open == 0.0);
        let avoided =
            move |endpoint: &&Endpoint| operator_overrides(endpoint) || chosen(endpoint) || left(endpoint);
        self.endpoints.iter().filter(avoided).map(|endpoint| endpoint.entry.endpoint)
    }

    /// The zones that are left at present, and what for.
    pub fn ejected_zones(&self) -> Vec<EjectedZone> {
        let own = self.settings.locality.as_ref().and_then(|locality| locality.own_zone);
        let others = own.is_some() && self.zones.len() > 2 && self.all_left(own);
        let left = self.zones.iter().filter_map(|zone| zone.left);
        left.map(|left| EjectedZone { own_network_suspected: others || left.own_network_suspected, ..left })
            .collect()
    }
}
