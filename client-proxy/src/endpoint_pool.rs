//! All endpoints that discovery has named: where they are, and the connections to them. One request a
//! connection at a time.

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

/// What a connection's buffer holds at most, in each direction.
pub const BUFFER_SIZE: usize = 16 * 1024;
/// An endpoint that takes or gives nothing for so long, where it has begun, has ended for us.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// An endpoint closes a connection that has been idle for the time in the settings; ours go by this part of
/// it.
const IDLE_TTL_SHARE: f64 = 0.8;
/// How often idle connections are looked over.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

struct KnownEndpoint {
    location: EndpointLocation,
    idle: Vec<IdleConnection>,
}

/// All endpoints that discovery has named, and the connections to them that are idle.
pub struct EndpointPool {
    sockets: Rc<SocketBudget>,
    endpoints: RefCell<HashMap<EndpointId, KnownEndpoint>>,
    max_idle: Duration,
    dial_timeout: Duration,
    /// Attempts whose last byte was written.
    fully_written: Rc<Cell<u64>>,
    /// For answers.
    response_memory: Rc<MemoryBudget>,
}

impl EndpointPool {
    /// No endpoints yet. `conn_idle` is when endpoints close what is idle, `dial_timeout` when a dial has
    /// failed.
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

    /// How many attempts were written to their last byte.
    pub fn fully_written(&self) -> u64 {
        self.fully_written.get()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(known) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            known.idle.clear();
        }
    }

    /// Closes the connections to an endpoint that have been idle since before `instant`.
    fn close_idle_since_before(&self, endpoint: EndpointId, instant: Instant) {
        if let Some(known) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            known.idle.retain(|idle| idle.since >= instant);
        }
    }

    /// Frees a place in the budget of sockets by closing whichever connection has been idle for longest.
    pub fn evict_idle(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let longest_idle = endpoints
            .values_mut()
            .filter(|known| !known.idle.is_empty())
            .min_by_key(|known| known.idle[0].since);
        longest_idle.map(|known| known.idle.remove(0)).is_some()
    }

    /// Closes what has been idle for long or was closed by its endpoint, for as long as the program runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for known in self.endpoints.borrow_mut().values_mut() {
                known.idle.retain(|idle| {
                    idle.since.elapsed() < self.max_idle
                        && !idle.conn.sender.is_closed()
                        && idle.conn.stream.is_quiet()
                });
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
        // Guards against a connection on which half a request was written.
        if let Some(known) = known.filter(|_| !conn.sender.is_closed() && !conn.stream.is_partially_written())
        {
            known.idle.push(IdleConnection { conn, since: Instant::now() });
        }
    }
}

impl EndpointLocations for EndpointPool {
    /// Connections to an earlier process or address, or to an endpoint that wants nothing new, are of no more
    /// use.
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

/// Milliseconds of the settings as a time; absurdly long ones are cut to a day.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

#[cfg(test)]
mod tests;
