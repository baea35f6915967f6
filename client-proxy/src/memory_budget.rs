//! A part of the memory limit for bodies: apart for each direction, since what waits for answers must hold
//! nothing that answers need; and apart for short and long ones, since a short one ought not to wait behind
//! those that take seconds. Nobody who holds some for a long one waits for a short one's.

use std::cell::Cell;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What a body that goes on as it comes needs: the buffers of both connections, and a part between them.
pub const STREAMED_BODY_BYTES: usize = 48 * 1024;
/// Of the limit, for the bodies of one direction that are held whole, and for the long ones. The rest is for
/// the program, its connections and what malloc leaves unused.
const BUFFERED_SHARE_DIVISOR: usize = 10;
const STREAMED_SHARE_DIVISOR: usize = 8;
/// However small the limit, there is room for this much.
const MIN_POOL_BYTES: usize = 256 * 1024;
const PERMIT_BYTES: usize = 1024;

/// A hold on some of it; free again when dropped.
pub type MemoryPermit = OwnedSemaphorePermit;

/// Room for the bodies of one direction.
pub struct MemoryBudget {
    buffered: PermitPool,
    streamed: PermitPool,
}

impl MemoryBudget {
    /// For one direction, of a process that may use `limit` bytes in all.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            buffered: PermitPool::new(limit / BUFFERED_SHARE_DIVISOR),
            streamed: PermitPool::new(limit / STREAMED_SHARE_DIVISOR),
        }
    }

    /// Waits for room for so many bytes of bodies that are held whole.
    pub async fn reserve_buffered(&self, bytes: usize) -> Option<MemoryPermit> {
        self.buffered.acquire(bytes).await
    }

    /// Waits for room for a body that goes on as it comes.
    pub async fn reserve_streamed(&self) -> Option<MemoryPermit> {
        self.streamed.acquire(STREAMED_BODY_BYTES).await
    }

    /// Keeps to the part that one of so many processes has; what is held beyond it goes as it becomes free.
    pub fn split_among(&self, processes: usize) {
        self.buffered.split_among(processes);
        self.streamed.split_among(processes);
    }
}

struct PermitPool {
    permits: Arc<Semaphore>,
    total: usize,
    /// How many there are at present, held or not.
    current: Cell<usize>,
}

impl PermitPool {
    fn new(bytes: usize) -> PermitPool {
        let total = bytes.max(MIN_POOL_BYTES).div_ceil(PERMIT_BYTES);
        PermitPool { permits: Arc::new(Semaphore::new(total)), total, current: Cell::new(total) }
    }

    async fn acquire(&self, bytes: usize) -> Option<MemoryPermit> {
        // More than there ever is would be waited for in vain.
        let permits = bytes.div_ceil(PERMIT_BYTES).min(MIN_POOL_BYTES / PERMIT_BYTES / 2) as u32;
        // Closed never, so there is always an answer in the end.
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
