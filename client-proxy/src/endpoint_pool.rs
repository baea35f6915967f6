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
use crate::socket_budget::Sockets;

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
    place: EndpointLocation,
    idle: Vec<IdleConnection>,
}

/// All endpoints that discovery has named, and the connections to them that are idle.
pub struct EndpointPool {
    sockets: Rc<Sockets>,
    table: RefCell<HashMap<EndpointId, KnownEndpoint>>,
    idle_most: Duration,
    dial_most: Duration,
    /// Attempts whose last byte was written.
    fully_written: Rc<Cell<u64>>,
    /// For answers.
    room: Rc<MemoryBudget>,
}

impl EndpointPool {
    /// No endpoints yet. `conn_idle` is when endpoints close what is idle, `dial_timeout` when a dial has
    /// failed.
    pub fn new(
        sockets: Rc<Sockets>,
        room: Rc<MemoryBudget>,
        conn_idle: f64,
        dial_timeout: f64,
    ) -> Rc<EndpointPool> {
        Rc::new(EndpointPool {
            sockets,
            table: RefCell::default(),
            idle_most: millis(conn_idle * IDLE_TTL_SHARE),
            dial_most: millis(dial_timeout),
            fully_written: Rc::default(),
            room,
        })
    }

    /// How many attempts were written to their last byte.
    pub fn fully_written(&self) -> u64 {
        self.fully_written.get()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(upstream) = self.table.borrow_mut().get_mut(&endpoint) {
            upstream.idle.clear();
        }
    }

    /// Closes the connections to an endpoint that have been idle since before `instant`.
    fn close_idle_since_before(&self, endpoint: EndpointId, instant: Instant) {
        if let Some(upstream) = self.table.borrow_mut().get_mut(&endpoint) {
            upstream.idle.retain(|idle| idle.since >= instant);
        }
    }

    /// Frees a place in the budget of sockets by closing whichever connection has been idle for longest.
    pub fn evict_idle(&self) -> bool {
        let mut table = self.table.borrow_mut();
        let longest = table
            .values_mut()
            .filter(|upstream| !upstream.idle.is_empty())
            .min_by_key(|upstream| upstream.idle[0].since);
        longest.map(|upstream| upstream.idle.remove(0)).is_some()
    }

    /// Closes what has been idle for long or was closed by its endpoint, for as long as the program runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for upstream in self.table.borrow_mut().values_mut() {
                upstream.idle.retain(|idle| {
                    idle.since.elapsed() < self.idle_most
                        && !idle.conn.sender.is_closed()
                        && idle.conn.watched.is_quiet()
                });
            }
        }
    }

    fn serving(&self, endpoint: EndpointId) -> Option<EndpointLocation> {
        self.table.borrow().get(&endpoint).map(|upstream| upstream.place).filter(|place| place.serving)
    }

    fn keep(&self, endpoint: EndpointId, place: EndpointLocation, conn: PooledConnection) {
        let mut table = self.table.borrow_mut();
        let upstream = table.get_mut(&endpoint).filter(|upstream| upstream.place == place && place.serving);
        // Guards against a connection on which half a request was written.
        if let Some(upstream) =
            upstream.filter(|_| !conn.sender.is_closed() && !conn.watched.is_partially_written())
        {
            upstream.idle.push(IdleConnection { conn, since: Instant::now() });
        }
    }
}

impl EndpointLocations for EndpointPool {
    /// Connections to an earlier process or address, or to an endpoint that wants nothing new, are of no more
    /// use.
    fn set_location(&self, endpoint: EndpointId, place: EndpointLocation) {
        let mut table = self.table.borrow_mut();
        let upstream = table.entry(endpoint).or_insert_with(|| KnownEndpoint { place, idle: Vec::new() });
        if upstream.place != place {
            *upstream = KnownEndpoint { place, idle: Vec::new() };
        }
    }

    fn remove(&self, endpoint: EndpointId) {
        self.table.borrow_mut().remove(&endpoint);
    }

    fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.table.borrow().keys().copied().collect()
    }
}

/// Milliseconds of the settings as a time; absurdly long ones are cut to a day.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

#[cfg(test)]
mod tests;
