//! How many sockets may be open: a budget that keeps the process below its limit of descriptors.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors for standard streams, the listener, the runtime, signals and discovery.
const RESERVED_DESCRIPTORS: usize = 24;

/// However small the part: room for a few requests.
const MIN_SOCKETS: usize = 8;

/// Neither clients nor endpoints get more than this part: a request needs a place on both sides.
const MAX_SIDE_SHARE: (usize, usize) = (3, 4);

/// Which side a connection is on.
#[derive(Clone, Copy)]
pub enum Side {
    /// It came from a client.
    Client,
    /// It goes to an endpoint.
    Upstream,
}

/// How many sockets may be open, shared by clients and endpoints.
pub struct SocketBudget {
    limit: usize,
    reserved: usize,
    max_open: Cell<usize>,
    used: [Cell<usize>; 2],
    slot_freed: Notify,
}

impl SocketBudget {
    /// A budget below `limit` descriptors, of which `apart` are for other uses.
    pub fn new(limit: usize, reserved: usize) -> Rc<SocketBudget> {
        let (reserved, max_open) = (RESERVED_DESCRIPTORS + reserved, Cell::new(0));
        let sockets =
            SocketBudget { limit, reserved, max_open, used: Default::default(), slot_freed: Notify::new() };
        sockets.split_among(1);
        Rc::new(sockets)
    }

    /// A place for one more connection, if there is one for that side.
    pub fn try_acquire(self: &Rc<Self>, side: Side) -> Option<SocketPermit> {
        let used = &self.used[side as usize];
        if self.is_full() || used.get() >= self.max_open.get() * MAX_SIDE_SHARE.0 / MAX_SIDE_SHARE.1 {
            return None;
        }
        used.set(used.get() + 1);
        Some(SocketPermit { sockets: Rc::clone(self), side })
    }

    /// Keeps within the part of the limit that one of so many processes has.
    pub fn split_among(&self, processes: usize) {
        let allowed = (self.limit / processes.max(1)).saturating_sub(self.reserved).max(MIN_SOCKETS);
        if allowed > self.max_open.replace(allowed) {
            self.slot_freed.notify_one();
        }
    }

    /// Whether more are open than the part of the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.used[0].get() + self.used[1].get() > self.max_open.get()
    }

    /// Whether there is no place for either side.
    pub fn is_full(&self) -> bool {
        self.used[0].get() + self.used[1].get() >= self.max_open.get()
    }

    /// Waits until a place has become free.
    pub async fn slot_freed(&self) {
        self.slot_freed.notified().await;
    }
}

/// One place in the budget; free again when dropped.
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
