//! Budget of open sockets, which keeps the process below its descriptor limit.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors for the standard streams, the listener, the runtime, signals and discovery.
const RESERVED_DESCRIPTORS: usize = 24;

/// Sockets that are allowed at least, however low the share: enough for a few requests.
const MIN_SOCKETS: usize = 8;

/// Clients and endpoints may each use at most this fraction of the budget: a request needs a socket on both
/// sides.
pub const MAX_SIDE_SHARE: (usize, usize) = (3, 4);

/// Side of the proxy that a connection belongs to.
#[derive(Clone, Copy)]
pub enum Side {
    /// Accepted from a client.
    Client,
    /// Opened to an endpoint.
    Upstream,
}

/// Budget of open sockets, shared by clients and endpoints.
pub struct SocketBudget {
    limit: usize,
    reserved: usize,
    max_open: Cell<usize>,
    /// The most connections to endpoints for which there is memory.
    max_upstream: Cell<usize>,
    used: [Cell<usize>; 2],
    slot_freed: Notify,
}

impl SocketBudget {
    /// A budget within `limit` descriptors, of which `reserved` are for other uses.
    pub fn new(limit: usize, reserved: usize) -> Rc<SocketBudget> {
        let sockets = SocketBudget {
            limit,
            reserved: RESERVED_DESCRIPTORS + reserved,
            max_open: Cell::new(0),
            max_upstream: Cell::new(usize::MAX),
            used: Default::default(),
            slot_freed: Notify::new(),
        };
        sockets.split_among(1);
        Rc::new(sockets)
    }

    /// Takes a slot for one more connection, if one is free for that side.
    pub fn try_acquire(self: &Rc<Self>, side: Side) -> Option<SocketPermit> {
        let used = &self.used[side as usize];
        let share = self.max_open.get() * MAX_SIDE_SHARE.0 / MAX_SIDE_SHARE.1;
        let allowed = match side {
            Side::Client => share,
            Side::Upstream => share.min(self.max_upstream.get()),
        };
        if self.is_full() || used.get() >= allowed {
            return None;
        }
        used.set(used.get() + 1);
        Some(SocketPermit { sockets: Rc::clone(self), side })
    }

    /// Reduces the budget to the share of one of `processes` processes.
    pub fn split_among(&self, processes: usize) {
        let allowed = (self.limit / processes.max(1)).saturating_sub(self.reserved).max(MIN_SOCKETS);
        if allowed > self.max_open.replace(allowed) {
            self.slot_freed.notify_one();
        }
    }

    /// Allows at most so many connections to endpoints; those that are open beyond that stay.
    pub fn limit_upstreams(&self, connections: usize) {
        self.max_upstream.set(connections);
    }

    /// Connections that are open on one side.
    pub fn used(&self, side: Side) -> usize {
        self.used[side as usize].get()
    }

    /// Whether more sockets are open than the budget allows.
    pub fn is_exceeded(&self) -> bool {
        self.used[0].get() + self.used[1].get() > self.max_open.get()
    }

    /// Whether no slot is free for either side.
    pub fn is_full(&self) -> bool {
        self.used[0].get() + self.used[1].get() >= self.max_open.get()
    }

    /// Waits until a slot has become free.
    pub async fn slot_freed(&self) {
        self.slot_freed.notified().await;
    }
}

/// One slot of the budget; released on drop.
pub struct SocketPermit {
    sockets: Rc<SocketBudget>,
    side: Side,
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        let used = &self.sockets.used[self.side as usize];
        used.set(used.get() - 1);
        self.sockets.slot_freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
