//! Share of the memory limit that bodies may use. Requests and responses have a budget each, since a request
//! that waits for its response must not reserve memory that responses need. Within a budget buffered and
//! streamed bodies have separate pools, since a short body should not wait for streams that take seconds. A
//! holder of a streaming permit never waits for the buffered pool.

use std::cell::Cell;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory of one streamed body: the buffers of both connections and a chunk between them.
pub const STREAMED_BODY_BYTES: usize = 48 * 1024;
/// Divisors of the limit: sizes of the pools for buffered and for streamed bodies of one direction. The rest
/// is for the program, its connections and what malloc leaves unused.
const BUFFERED_SHARE_DIVISOR: usize = 10;
const STREAMED_SHARE_DIVISOR: usize = 8;
/// Size of a pool at least, however low the limit.
const MIN_POOL_BYTES: usize = 256 * 1024;
const PERMIT_BYTES: usize = 1024;

/// Reserved memory; returned to its pool on drop.
pub type MemoryPermit = OwnedSemaphorePermit;

/// Memory for the bodies of one direction.
pub struct MemoryBudget {
    buffered: PermitPool,
    streamed: PermitPool,
}

impl MemoryBudget {
    /// The budget for one direction, where the process may use `limit` bytes in total.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            buffered: PermitPool::new(limit / BUFFERED_SHARE_DIVISOR),
            streamed: PermitPool::new(limit / STREAMED_SHARE_DIVISOR),
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

    /// Reduces the budget to the share of one of `processes` processes. Memory that is reserved beyond that
    /// share is given up as it is released.
    pub fn split_among(&self, processes: usize) {
        self.buffered.split_among(processes);
        self.streamed.split_among(processes);
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

    fn split_among(&self, processes: usize) {
        let target = (self.total / processes.max(1)).max(MIN_POOL_BYTES / PERMIT_BYTES / 2);
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
