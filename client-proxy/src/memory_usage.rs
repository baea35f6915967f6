//! What memory the process uses, as the system counts it, and as its budgets have reserved it: for operators.

use std::fs;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::memory_budget::MemoryPools;
use crate::socket_budget::{Side, SocketBudget};

/// How often memory is compared with the limit.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Percentages of the limit: above the first, memory is logged as high; below the second, as normal again.
const HIGH_PERCENT: usize = 85;
const NORMAL_PERCENT: usize = 75;

/// Memory of the program without connections, where the system does not tell how much of it is resident.
const DEFAULT_PROGRAM_BYTES: usize = 6 << 20;
/// What is added to the memory that is resident at the start: code that has not run yet, the endpoint list, and what
/// the balancer learns.
const PROGRAM_GROWTH_BYTES: usize = 1792 * 1024;

/// Divisor of a process's share of the limit; up to this part of it, unused memory is kept in an upgrade.
const KEPT_SHARE_DIVISOR: usize = 2;

/// Memory of a process as the system counts it, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProcessMemory {
    resident: usize,
    /// The most that has been resident since the start.
    peak: usize,
}

impl ProcessMemory {
    /// Of this process; `None` if the system does not tell.
    fn read() -> Option<ProcessMemory> {
        ProcessMemory::parse(&fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<ProcessMemory> {
        let bytes = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kilobytes: usize = value.trim().strip_suffix(" kB")?.parse().ok()?;
            Some(kilobytes * 1024)
        };
        Some(ProcessMemory { resident: bytes("VmRSS:")?, peak: bytes("VmHWM:")? })
    }
}

/// What the program takes without connections, in bytes. To be called at the start: the size of the program differs
/// between builds, and nothing else is resident yet.
pub fn program_memory() -> usize {
    ProcessMemory::read().map_or(DEFAULT_PROGRAM_BYTES, |memory| memory.resident + PROGRAM_GROWTH_BYTES)
}

/// Memory and connections of this process, beside their limits.
pub struct MemoryUsage {
    limit: usize,
    pools: Rc<MemoryPools>,
    sockets: Rc<SocketBudget>,
}

impl MemoryUsage {
    /// For a process that may use `limit` bytes.
    pub fn new(limit: usize, pools: Rc<MemoryPools>, sockets: Rc<SocketBudget>) -> MemoryUsage {
        MemoryUsage { limit, pools, sockets }
    }

    /// All figures; those of the system are `null` where it does not tell them. Memory is in bytes.
    pub fn to_json(&self) -> Value {
        let process = ProcessMemory::read();
        json!({
            "limit": self.limit,
            "resident": process.map(|memory| memory.resident),
            "peak": process.map(|memory| memory.peak),
            "reserved": self.pools.reserved(),
            "client_connections": self.sockets.used(Side::Client),
            "endpoint_connections": self.sockets.used(Side::Upstream),
        })
    }

    /// Gives memory that requests no longer use back to the system, while so many processes share the limit. Below a
    /// part of this process's share it is kept, since it will be used again.
    pub fn return_unused(&self, processes: usize) {
        let kept = self.limit / processes / KEPT_SHARE_DIVISOR;
        if ProcessMemory::read().is_some_and(|memory| memory.resident > kept) {
            trim_allocator();
        }
    }

    /// Logs when memory comes near the limit, and when it is normal again. Runs for as long as the program.
    pub async fn watch(self: Rc<Self>) {
        let mut was_high = false;
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(ProcessMemory { resident, .. }) = ProcessMemory::read() else { continue };
            let is_high = is_high(resident, self.limit, was_high);
            if is_high != was_high {
                let state = if is_high { "high" } else { "normal again" };
                tracing::info!(usage = %self.to_json(), "memory is {state}");
            }
            was_high = is_high;
        }
    }
}

/// Whether memory counts as high, if it did or did not before.
fn is_high(resident: usize, limit: usize, was_high: bool) -> bool {
    let percent = if was_high { NORMAL_PERCENT } else { HIGH_PERCENT };
    resident > limit / 100 * percent
}

/// Has the allocator return whole unused pages to the system, which it otherwise does only at the end of its heap.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code)]
fn trim_allocator() {
    // SAFETY: `malloc_trim` may be called at any time and frees no memory that is allocated.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(target_env = "gnu"))]
fn trim_allocator() {}

#[cfg(test)]
mod tests;
