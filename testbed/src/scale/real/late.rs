//! Timer delay of a testbed thread. Figures are invalid if the thread that measures them was delayed itself.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::{Instant, sleep_until};

use crate::ledger::microseconds;

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Histogram of how much later than due the thread's timers fired, in microseconds. Up to one millisecond of
/// it is the timer's resolution.
#[derive(Clone)]
pub struct TimerDelay(Arc<Mutex<Histogram<u64>>>);

impl Default for TimerDelay {
    fn default() -> TimerDelay {
        TimerDelay(Arc::new(Mutex::new(microseconds())))
    }
}

impl TimerDelay {
    /// Measures for as long as the thread runs.
    pub async fn measure(self) {
        loop {
            let due = Instant::now() + CHECK_INTERVAL;
            sleep_until(due).await;
            let delay_us = due.elapsed().as_micros() as u64;
            self.0.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(delay_us);
        }
    }

    /// Takes the 99th percentile since the last call, in milliseconds.
    pub fn take_ms(&self) -> f64 {
        let mut delays_us = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let p99_ms = delays_us.value_at_quantile(0.99) as f64 / 1e3;
        delays_us.reset();
        p99_ms
    }
}
