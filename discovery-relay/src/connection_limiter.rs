//! Limits the number of downstream connections. At the limit, the connection that has been idle for longest
//! is closed to admit a new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Counts the open connections and knows which of them are idle.
#[derive(Default)]
pub struct ConnectionLimiter {
    max_connections: usize,
    open: Cell<usize>,
    last_number: Cell<u64>,
    /// Connections without a request in flight, by when they became idle.
    idle: RefCell<BTreeMap<(Instant, u64), CancellationToken>>,
}

impl ConnectionLimiter {
    /// Starts without connections.
    pub fn new(max_connections: usize) -> ConnectionLimiter {
        ConnectionLimiter { max_connections, ..ConnectionLimiter::default() }
    }

    /// Whether the limit is reached.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.max_connections
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.get() == 0
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub fn close_longest_idle(&self) -> bool {
        let longest_idle = self.idle.borrow_mut().pop_first();
        longest_idle.map(|(_, close)| close.cancel()).is_some()
    }
}

/// One connection.
pub struct TrackedConnection {
    number: u64,
    idle_since: Cell<Instant>,
    close: CancellationToken,
}

impl TrackedConnection {
    /// Counts a new connection, which is idle at first.
    pub fn new(limiter: &ConnectionLimiter) -> TrackedConnection {
        limiter.open.set(limiter.open.get() + 1);
        limiter.last_number.set(limiter.last_number.get() + 1);
        let connection = TrackedConnection {
            number: limiter.last_number.get(),
            idle_since: Cell::new(Instant::now()),
            close: CancellationToken::new(),
        };
        connection.set_idle(limiter);
        connection
    }

    /// A request is in flight from now on.
    pub fn set_busy(&self, limiter: &ConnectionLimiter) {
        limiter.idle.borrow_mut().remove(&(self.idle_since.get(), self.number));
    }

    /// No request is in flight any more.
    pub fn set_idle(&self, limiter: &ConnectionLimiter) {
        self.idle_since.set(Instant::now());
        limiter.idle.borrow_mut().insert((self.idle_since.get(), self.number), self.close.clone());
    }

    /// The connection is closed and no longer counts.
    pub fn release(&self, limiter: &ConnectionLimiter) {
        self.set_busy(limiter);
        limiter.open.set(limiter.open.get() - 1);
    }

    /// Resolves when the limiter wants the connection to be closed.
    pub async fn close_requested(&self) {
        self.close.cancelled().await;
    }
}
