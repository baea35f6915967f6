//! The endpoints that discovery has listed: their addresses and the connections to them. A connection carries
//! one request at a time.

mod attempt;
mod connection;
pub(crate) mod response;

pub use attempt::AttemptResult;
pub use response::{ResponseError, Served, UpstreamBody};

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use balancer::EndpointId;
use discovery_proto::{EndpointLocation, EndpointLocations};
use tokio::time::{Instant, sleep};

use self::connection::{IdleConnection, PooledConnection};
use crate::memory_budget::MemoryBudget;
use crate::socket_budget::SocketBudget;

/// Size limit of a connection's buffer in each direction.
pub const BUFFER_SIZE: usize = 16 * 1024;
/// How long an endpoint may accept or send nothing in the middle of a request or response before the attempt
/// or response is given up.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Endpoints close connections that have been idle for `conn_idle`. The pool closes them after this fraction
/// of it, so that no request is sent on one that is just being closed.
const IDLE_TTL_SHARE: f64 = 0.8;
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

struct KnownEndpoint {
    location: EndpointLocation,
    idle: Vec<IdleConnection>,
}

/// The endpoints that discovery has listed, and the idle connections to them.
pub struct EndpointPool {
    sockets: Rc<SocketBudget>,
    endpoints: RefCell<HashMap<EndpointId, KnownEndpoint>>,
    max_idle: Duration,
    dial_timeout: Duration,
    /// Attempts of which the last byte was written.
    fully_written: Rc<Cell<u64>>,
    /// Budget for response bodies.
    response_memory: Rc<MemoryBudget>,
}

impl EndpointPool {
    /// A pool without endpoints. Endpoints close connections that have been idle for `conn_idle` ms; a dial
    /// fails after `dial_timeout` ms.
    pub fn new(
        sockets: Rc<SocketBudget>,
        response_memory: Rc<MemoryBudget>,
        conn_idle: f64,
        dial_timeout: f64,
    ) -> Rc<EndpointPool> {
        Rc::new(EndpointPool {
            sockets,
            endpoints: RefCell::default(),
            max_idle: duration_from_ms(conn_idle * IDLE_TTL_SHARE),
            dial_timeout: duration_from_ms(dial_timeout),
            fully_written: Rc::default(),
            response_memory,
        })
    }

    /// Number of attempts that were written to their last byte.
    pub fn fully_written(&self) -> u64 {
        self.fully_written.get()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(known) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            known.idle.clear();
        }
    }

    /// Closes the connections to an endpoint that became idle before `instant`.
    fn close_idle_since_before(&self, endpoint: EndpointId, instant: Instant) {
        if let Some(known) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            known.idle.retain(|idle| idle.since >= instant);
        }
    }

    /// Frees a slot of the socket budget by closing the connection that has been idle for longest. Returns
    /// whether there was one.
    pub fn evict_idle(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let longest_idle = endpoints
            .values_mut()
            .filter(|known| !known.idle.is_empty())
            .min_by_key(|known| known.idle[0].since);
        longest_idle.map(|known| known.idle.remove(0)).is_some()
    }

    /// Closes connections that have been idle for too long or were closed by their endpoint. Runs for as long
    /// as the program.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for known in self.endpoints.borrow_mut().values_mut() {
                known.idle.retain(|idle| idle.since.elapsed() < self.max_idle && idle.stream.is_quiet());
                known.idle.iter_mut().for_each(IdleConnection::release);
            }
        }
    }

    fn serving_location(&self, endpoint: EndpointId) -> Option<EndpointLocation> {
        self.endpoints.borrow().get(&endpoint).map(|known| known.location).filter(|location| location.serving)
    }

    fn return_connection(&self, endpoint: EndpointId, location: EndpointLocation, conn: PooledConnection) {
        let mut endpoints = self.endpoints.borrow_mut();
        let known =
            endpoints.get_mut(&endpoint).filter(|known| known.location == location && location.serving);
        // A partially written request on the connection would corrupt the next one.
        let is_reusable =
            conn.is_kept_alive && !conn.sender.is_closed() && !conn.stream.is_partially_written();
        if let Some(known) = known.filter(|_| is_reusable) {
            known.idle.push(conn.into_idle());
        }
    }
}

impl EndpointLocations for EndpointPool {
    /// When an endpoint's process or address changes, or it stops accepting requests, its idle connections
    /// are of no further use.
    fn set_location(&self, endpoint: EndpointId, location: EndpointLocation) {
        let mut endpoints = self.endpoints.borrow_mut();
        let known = endpoints.entry(endpoint).or_insert_with(|| KnownEndpoint { location, idle: Vec::new() });
        if known.location != location {
            *known = KnownEndpoint { location, idle: Vec::new() };
        }
    }

    fn remove(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().remove(&endpoint);
    }

    fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.endpoints.borrow().keys().copied().collect()
    }
}

/// Converts milliseconds from the settings; capped at one day.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

#[cfg(test)]
mod tests;
