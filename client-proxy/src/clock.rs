//! Time as the balancer sees it: the machine's monotonic clock. It is unaffected by steps of the wall clock,
//! and all processes of one machine read the same values.

use std::fs;
use std::time::{SystemTime, UNIX_EPOCH};

use balancer::Millis;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::endpoint_pool::duration_from_ms;

/// File in which Linux identifies the current boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Milliseconds on the machine's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    base_ms: Millis,
}

impl Clock {
    /// Reads the machine's clock once; later readings add the time elapsed on tokio's monotonic clock.
    pub fn new() -> Clock {
        let monotonic = clock_gettime(ClockId::Monotonic);
        Clock {
            base: Instant::now(),
            base_ms: monotonic.tv_sec as f64 * 1e3 + monotonic.tv_nsec as f64 / 1e6,
        }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.base_ms + self.base.elapsed().as_secs_f64() * 1e3
    }

    /// Converts `at` to the instant at which a timer has to fire.
    pub fn instant(&self, at: Millis) -> Instant {
        // Relative to the current time, not to `base`: `duration_from_ms` caps a duration at one day.
        Instant::now() + duration_from_ms(at - self.now())
    }
}

/// Identifies the boot from which the monotonic clock counts; `None` if the system does not tell.
pub fn boot_id() -> Option<String> {
    let text = fs::read_to_string(BOOT_ID).ok()?;
    Some(text.trim().to_owned()).filter(|id| !id.is_empty())
}

/// The wall clock in Unix milliseconds, which may be stepped at any time. Used only for the field that
/// earlier versions of the program read.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1e3)
}

#[cfg(test)]
mod tests;
