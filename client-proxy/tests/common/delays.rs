//! How much later than it is due a thread of this machine runs. What is judged by its time is allowed that much.

use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(5);

/// Measures the longest delay until `is_over`.
pub fn measure_delay(is_over: impl Fn() -> bool) -> Duration {
    let mut longest = Duration::ZERO;
    while !is_over() {
        let started = Instant::now();
        std::thread::sleep(INTERVAL);
        longest = longest.max(started.elapsed().saturating_sub(INTERVAL));
    }
    longest
}
