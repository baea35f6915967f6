//! The limits that the two processes of an upgrade share.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::endpoint_pool::EndpointPool;
use crate::memory_budget::MemoryPools;
use crate::memory_usage::MemoryUsage;
use crate::process_state::ProcessState;
use crate::socket_budget::SocketBudget;

/// Processes on an inherited listening socket: those of an upgrade.
pub const MAX_PROCESSES: usize = 2;
/// How often a process adjusts its share.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Limits that the processes on one listening socket share.
pub struct SharedLimits {
    /// Descriptors.
    pub sockets: Rc<SocketBudget>,
    /// Reservations of memory.
    pub memory_pools: Rc<MemoryPools>,
    /// Memory in use.
    pub memory_usage: Rc<MemoryUsage>,
    /// Where idle connections are closed to keep within the descriptors.
    pub endpoints: Rc<EndpointPool>,
}

impl SharedLimits {
    /// Keeps this process within its share of the descriptor and memory limits while a peer process runs on the
    /// same listening socket. Before `started` it is not known whether one does.
    pub async fn share_with_peer(self, process_state: Rc<ProcessState>, started: CancellationToken) {
        loop {
            let processes = if started.is_cancelled() { process_state.processes() } else { MAX_PROCESSES };
            self.sockets.split_among(processes);
            self.memory_pools.share_with(processes);
            self.sockets.limit_upstreams(self.memory_pools.max_endpoint_connections());
            while self.sockets.is_exceeded() && self.endpoints.evict_idle() {
                tokio::task::yield_now().await;
            }
            if processes > 1 {
                self.memory_usage.return_unused(processes);
            }
            sleep(ADJUSTMENT_INTERVAL).await;
        }
    }
}
