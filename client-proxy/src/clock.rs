//! The clock of the decisions: the machine's monotonic clock. No step of the wall clock moves it, and all
//! processes of one machine read the same.

use std::fs;
use std::time::{SystemTime, UNIX_EPOCH};

use balancer::Millis;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::endpoint_pool::duration_from_ms;

/// Where Linux names the present boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Milliseconds on the machine's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    base_ms: Millis,
}

impl Clock {
    /// Reads the machine's clock once; from then on it is the standard library's monotonic clock that counts.
    pub fn new() -> Clock {
        let monotonic = clock_gettime(ClockId::Monotonic);
        Clock {
            base: Instant::now(),
            base_ms: monotonic.tv_sec as f64 * 1e3 + monotonic.tv_nsec as f64 / 1e6,
        }
    }

    /// The present.
    pub fn now(&self) -> Millis {
        self.base_ms + self.base.elapsed().as_secs_f64() * 1e3
    }

    /// When a timer for `at` is due.
    pub fn instant(&self, at: Millis) -> Instant {
        // From now, not from the start: `millis` cuts what is longer than a day.
        Instant::now() + duration_from_ms(at - self.now())
    }
}

/// The boot that the monotonic clock counts from; `None` where the system does not say.
pub fn boot_id() -> Option<String> {
    let text = fs::read_to_string(BOOT_ID).ok()?;
    Some(text.trim().to_owned()).filter(|id| !id.is_empty())
}

/// The wall clock in Unix milliseconds, which may be stepped at any time. Only for what earlier versions
/// read.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1e3)
}

#[cfg(test)]
mod tests;
