//! Which idle connections to endpoints are closed.

use crate::interface::{Action, Millis};
use crate::state::Balancer;

/// Idle timeout of connections if new connections have no price: far longer than a busy balancer takes to
/// reuse one.
const IDLE_CONNECTION_TTL: Millis = 1_000.0;

impl Balancer {
    /// Closes idle connections. Many balancers that each keep a rarely used connection to every endpoint
    /// would otherwise exhaust the connections that an endpoint can hold.
    pub(super) fn close_idle_connections(&mut self, actions: &mut Vec<Action>) {
        let (now, endpoint_timeout) = (self.now, self.settings.limits.connection_idle_timeout);
        let timeout =
            if self.settings.prices.handshake > 0.0 { endpoint_timeout } else { IDLE_CONNECTION_TTL };
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| {
            endpoint.connections.in_flight == 0
                && endpoint.connections.open > 0
                && endpoint.connections.last_idle_at + timeout <= now
        }) {
            endpoint.connections.open = 0;
            if timeout < endpoint_timeout {
                actions.push(Action::CloseIdleConnections { endpoint: endpoint.entry.endpoint });
            }
        }
    }
}
