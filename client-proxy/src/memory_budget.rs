//! Shares of the memory limit. What is allocated for a request is reserved before, in its full size, and released
//! when it is freed: malloc hands out again what others have touched, so that a buffer counts as a whole.
//!
//! A client connection at rest has its part of the limit. While it serves requests it holds an exchange. Requests
//! and responses have a budget each for bodies, since a request that waits for its response must not reserve memory
//! that responses need. Within a budget buffered and streamed bodies have separate pools, since a short body should
//! not wait for streams that take seconds. A holder of a streaming permit never waits for the buffered pool. Heads
//! have pools of their own, from which only those take that are longer or have more fields than usual.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use serde::Serialize;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::socket_budget::MAX_SIDE_SHARE;

/// Memory of one streamed body: the buffers of both connections, beyond those of a connection at rest, and the
/// chunks between them.
pub const STREAMED_BODY_BYTES: usize = 72 * 1024;
/// Memory of one connection at rest, on either side: the socket's state and its task.
const CONNECTION_BYTES: usize = 4 * 1024;
/// Memory of one client connection that serves a request, beyond that: the HTTP library's two buffers of 8 KiB each,
/// and the request's fields and state.
const EXCHANGE_BYTES: usize = 20 * 1024;
/// Memory of one connection to an endpoint that carries a request, beyond that: the same, the HTTP library's queue of
/// requests with places for 32 of them, and the state of the attempt.
const ACTIVE_ENDPOINT_BYTES: usize = 30 * 1024;
/// What a long head takes beyond that: the bytes that were awaited, the growth of the buffer that it is read into, and
/// of the one from which it is sent to an endpoint, which doubles up to 32 KiB.
const LONG_HEAD_BYTES: usize = (8 + 8 + 24) * 1024;
/// Parts of the memory beyond the connections at rest, in percent, that clients' exchanges, their long heads, and
/// active connections to endpoints get at most. Exchanges beyond [`NEEDED_EXCHANGES`] get a smaller part, which leaves
/// more for bodies.
const NEEDED_EXCHANGE_PERCENT: usize = 36;
const EXCHANGE_PERCENT: usize = 22;
const LONG_HEAD_PERCENT: usize = 9;
const ACTIVE_ENDPOINT_PERCENT: usize = 32;
/// Exchanges as a part of all connections that clients need: their requests use a third of the descriptors at most.
const NEEDED_EXCHANGES: (usize, usize) = (2, 5);
/// While two processes run, each has one of so many parts of what one may use alone. What the old one has used by then
/// stays resident, so that one part has to fit beside it.
const PARTS_IN_UPGRADE: usize = 3;
/// At least this part of the limit is for heads and bodies, however many connections are allowed.
const MIN_SHARE_DIVISOR: usize = 8;
/// Divisors of the memory for heads and bodies: sizes of the pools for buffered and for streamed bodies of one
/// direction, and for fields of heads. The rest is for what malloc leaves unused.
const BUFFERED_SHARE_DIVISOR: usize = 8;
const STREAMED_SHARE_DIVISOR: usize = 4;
const FIELD_SHARE_DIVISOR: usize = 6;
/// Fields of a head that need no memory from the pool; a usual head has fewer.
const FREE_FIELDS: usize = 20;
/// Memory of one field beyond those: its place in the map of fields, with the reserve that the map keeps, and its
/// name, both twice, as an attempt has a copy.
const FIELD_BYTES: usize = 2 * (2 * 112 + 48);
/// Size of a pool at least, however low the limit.
const MIN_POOL_BYTES: usize = 256 * 1024;
/// The same for streamed bodies: a few of them.
const MIN_STREAMED_POOL_BYTES: usize = 384 * 1024;
const PERMIT_BYTES: usize = 1024;
/// Connections to endpoints that are allowed at least, however low the limit.
const MIN_ENDPOINT_CONNECTIONS: usize = 16;

/// Memory of client connections that serve requests. Long heads have a pool of their own, so that requests with a
/// usual one do not wait behind them.
pub struct ExchangeMemory {
    exchanges: PermitPool,
    long_heads: PermitPool,
    /// Connections that wait for the memory of an exchange.
    waiting: Cell<usize>,
}

/// Counts one connection that waits, until it is dropped.
struct Waiting<'c>(&'c Cell<usize>);

impl<'c> Waiting<'c> {
    fn new(waiting: &'c Cell<usize>) -> Waiting<'c> {
        waiting.set(waiting.get() + 1);
        Waiting(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Memory of one exchange; returned to its pools on drop.
pub struct ExchangePermit {
    _exchange: MemoryPermit,
    _long_head: Option<MemoryPermit>,
}

impl ExchangeMemory {
    /// Waits until memory for one exchange is available; more of it if its head is long.
    pub async fn reserve(&self, is_head_long: bool) -> Option<ExchangePermit> {
        let long_head = match is_head_long {
            true => Some(self.long_heads.acquire(LONG_HEAD_BYTES).await?),
            false => None,
        };
        let _waiting = Waiting::new(&self.waiting);
        let exchange = self.exchanges.acquire(EXCHANGE_BYTES).await?;
        Some(ExchangePermit { _exchange: exchange, _long_head: long_head })
    }

    /// Whether a connection waits for the memory of an exchange.
    pub fn is_awaited(&self) -> bool {
        self.waiting.get() > 0
    }

    fn split_among(&self, parts: usize) {
        self.exchanges.split_among(parts);
        self.long_heads.split_among(parts);
    }
}

/// Memory of heads with more fields than usual.
pub struct FieldMemory(PermitPool);

impl FieldMemory {
    /// Memory for so many fields, which is empty if they are few.
    ///
    /// # Errors
    /// If there is none left.
    pub fn reserve(&self, fields: usize) -> Result<Option<MemoryPermit>, NoMemory> {
        match fields.saturating_sub(FREE_FIELDS) {
            0 => Ok(None),
            beyond => self.0.try_acquire(beyond * FIELD_BYTES).map(Some),
        }
    }
}

/// No memory is left in a pool.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("there is no room for the request at present")]
pub struct NoMemory;

/// Reserved memory; returned to its pool on drop.
pub type MemoryPermit = OwnedSemaphorePermit;

/// What the processes of a client proxy may use together; memory is in bytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// All of the memory.
    pub total: usize,
    /// What of it each process takes without connections.
    pub program: usize,
    /// Connections of both sides.
    pub sockets: usize,
    /// Processes that may run at the same time.
    pub processes: usize,
}

/// All budgets of a process.
pub struct MemoryPools {
    /// For client connections that serve requests.
    pub exchanges: ExchangeMemory,
    /// For request bodies.
    pub requests: Rc<MemoryBudget>,
    /// For response bodies.
    pub responses: Rc<MemoryBudget>,
    /// For heads with many fields.
    pub fields: FieldMemory,
    /// Connections to endpoints that one process alone may have.
    endpoint_connections: usize,
    /// Parts into which the budgets are split at present.
    parts: Cell<usize>,
}

/// Bytes that are reserved at present.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ReservedMemory {
    exchanges: usize,
    long_heads: usize,
    head_fields: usize,
    request_bodies: usize,
    response_bodies: usize,
}

impl MemoryPools {
    /// The budgets within these limits.
    pub fn new(limits: &MemoryLimits) -> MemoryPools {
        let Shares { exchanges, long_heads, bodies, endpoint_connections } = Shares::new(limits);
        let budget = || Rc::new(MemoryBudget::new(bodies));
        MemoryPools {
            exchanges: ExchangeMemory {
                exchanges: PermitPool::new(exchanges),
                long_heads: PermitPool::new(long_heads),
                waiting: Cell::default(),
            },
            requests: budget(),
            responses: budget(),
            fields: FieldMemory(PermitPool::new(bodies / FIELD_SHARE_DIVISOR)),
            endpoint_connections,
            parts: Cell::new(1),
        }
    }

    /// The most connections to endpoints for which there is memory.
    pub fn max_endpoint_connections(&self) -> usize {
        (self.endpoint_connections / self.parts.get()).max(MIN_ENDPOINT_CONNECTIONS)
    }

    /// Reduces all budgets while so many processes run. Memory that is reserved beyond that is given up as it is
    /// released.
    pub fn share_with(&self, processes: usize) {
        let parts = if processes > 1 { PARTS_IN_UPGRADE } else { 1 };
        self.parts.set(parts);
        self.exchanges.split_among(parts);
        self.requests.split_among(parts);
        self.responses.split_among(parts);
        self.fields.0.split_among(parts);
    }

    /// What is reserved at present.
    pub fn reserved(&self) -> ReservedMemory {
        ReservedMemory {
            exchanges: self.exchanges.exchanges.reserved(),
            long_heads: self.exchanges.long_heads.reserved(),
            head_fields: self.fields.0.reserved(),
            request_bodies: self.requests.reserved(),
            response_bodies: self.responses.reserved(),
        }
    }
}

/// Parts of the limit, in bytes.
struct Shares {
    exchanges: usize,
    long_heads: usize,
    /// For bodies and long heads.
    bodies: usize,
    /// Connections to endpoints, unlimited if descriptors are scarcer than memory.
    endpoint_connections: usize,
}

impl Shares {
    /// The parts of these limits.
    fn new(limits: &MemoryLimits) -> Shares {
        let MemoryLimits { total, program, sockets, processes } = *limits;
        let at_rest = processes * program + sockets * CONNECTION_BYTES;
        let unused = total.saturating_sub(at_rest);
        let available = match processes {
            1 => unused,
            _ => unused * PARTS_IN_UPGRADE / (PARTS_IN_UPGRADE + 1),
        };
        let most_of_a_side = sockets * MAX_SIDE_SHARE.0 / MAX_SIDE_SHARE.1;
        let all_exchanges = most_of_a_side * EXCHANGE_BYTES;
        let needed_exchanges = sockets * NEEDED_EXCHANGES.0 / NEEDED_EXCHANGES.1 * EXCHANGE_BYTES;
        let exchanges = needed_exchanges
            .min(available / 100 * NEEDED_EXCHANGE_PERCENT)
            .max(available / 100 * EXCHANGE_PERCENT)
            .min(all_exchanges);
        // All connections are active, and as many of them as possible are to endpoints.
        let all_active = sockets * EXCHANGE_BYTES + most_of_a_side * (ACTIVE_ENDPOINT_BYTES - EXCHANGE_BYTES);
        let most_endpoints = available / 100 * ACTIVE_ENDPOINT_PERCENT;
        let endpoints = (all_active - exchanges).min(most_endpoints);
        let long_heads = available / 100 * LONG_HEAD_PERCENT;
        let bodies = available.saturating_sub(exchanges + long_heads + endpoints);
        let endpoint_connections = match endpoints < all_active - exchanges {
            true => endpoints / ACTIVE_ENDPOINT_BYTES,
            false => usize::MAX,
        };
        Shares {
            exchanges,
            long_heads,
            bodies: bodies.max(total / processes / MIN_SHARE_DIVISOR),
            endpoint_connections,
        }
    }
}

/// Memory for the bodies of one direction.
pub struct MemoryBudget {
    buffered: PermitPool,
    streamed: PermitPool,
}

impl MemoryBudget {
    /// The budget for one direction, of `available` bytes for heads and bodies.
    pub fn new(available: usize) -> MemoryBudget {
        MemoryBudget {
            buffered: PermitPool::new(available / BUFFERED_SHARE_DIVISOR),
            streamed: PermitPool::new((available / STREAMED_SHARE_DIVISOR).max(MIN_STREAMED_POOL_BYTES)),
        }
    }

    /// Waits until that many bytes are available for buffered bodies.
    pub async fn reserve_buffered(&self, bytes: usize) -> Option<MemoryPermit> {
        self.buffered.acquire(bytes).await
    }

    /// Waits until memory for one streamed body is available.
    pub async fn reserve_streamed(&self) -> Option<MemoryPermit> {
        self.streamed.acquire(STREAMED_BODY_BYTES).await
    }

    /// Reduces the budget to one of so many parts. Memory that is reserved beyond that is given up as it is
    /// released.
    fn split_among(&self, parts: usize) {
        self.buffered.split_among(parts);
        self.streamed.split_among(parts);
    }

    fn reserved(&self) -> usize {
        self.buffered.reserved() + self.streamed.reserved()
    }
}

struct PermitPool {
    permits: Arc<Semaphore>,
    total: usize,
    /// Permits in existence at present, reserved or not.
    current: Cell<usize>,
}

impl PermitPool {
    fn new(bytes: usize) -> PermitPool {
        let total = bytes.max(MIN_POOL_BYTES).div_ceil(PERMIT_BYTES);
        PermitPool { permits: Arc::new(Semaphore::new(total)), total, current: Cell::new(total) }
    }

    async fn acquire(&self, bytes: usize) -> Option<MemoryPermit> {
        // A request for more permits than the pool may ever have would wait forever.
        let permits = bytes.div_ceil(PERMIT_BYTES).min(MIN_POOL_BYTES / PERMIT_BYTES / 2) as u32;
        // Never closed, so this always succeeds in the end.
        Arc::clone(&self.permits).acquire_many_owned(permits).await.ok()
    }

    /// Takes memory if it is available now.
    fn try_acquire(&self, bytes: usize) -> Result<MemoryPermit, NoMemory> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).map_err(|_| NoMemory)?;
        Arc::clone(&self.permits).try_acquire_many_owned(permits).map_err(|_| NoMemory)
    }

    /// Bytes that are reserved at present.
    fn reserved(&self) -> usize {
        self.current.get().saturating_sub(self.permits.available_permits()) * PERMIT_BYTES
    }

    fn split_among(&self, parts: usize) {
        let target = (self.total / parts.max(1)).max(MIN_POOL_BYTES / PERMIT_BYTES / 2);
        let current = self.current.get();
        if target > current {
            self.permits.add_permits(target - current);
            self.current.set(target);
        } else {
            self.current.set(current - self.permits.forget_permits(current - target));
        }
    }
}

#[cfg(test)]
mod tests;
