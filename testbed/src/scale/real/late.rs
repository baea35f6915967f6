//! How late a thread of the testbed is: a figure that a stand-in took while it was late itself is none.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::{Instant, sleep_until};

use crate::ledger::microseconds;

/// How often it is looked.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// How much later than due its timers came, in microseconds. One millisecond of it is the timer's own step.
#[derive(Clone)]
pub struct Late(Arc<Mutex<Histogram<u64>>>);

impl Default for Late {
    fn default() -> Late {
        Late(Arc::new(Mutex::new(microseconds())))
    }
}

impl Late {
    /// Looks for as long as the thread runs.
    pub async fn follow(self) {
        loop {
            let due = Instant::now() + LOOK_EVERY;
            sleep_until(due).await;
            let late = due.elapsed().as_micros() as u64;
            self.0.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(late);
        }
    }

    /// The 99th percentile since this was last asked, in milliseconds.
    pub fn take_ms(&self) -> f64 {
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let late = seen.value_at_quantile(0.99) as f64 / 1e3;
        seen.reset();
        late
    }
}
