//! CPU time and memory of this process.

use std::fs;

use rustix::time::{ClockId, clock_gettime};

use super::ScaleError;

/// CPU time of this thread, in microseconds.
pub fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Resident memory of this process, in KiB.
///
/// # Errors
/// If `/proc/self/status` cannot be read or has no `VmRSS`.
pub fn resident_memory_kb() -> Result<f64, ScaleError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    number.ok_or_else(|| ScaleError::SetUp("/proc/self/status has no VmRSS in kB".to_owned()))
}
