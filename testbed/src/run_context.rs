//! What all simulated parties of a run share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::Ledger;
use crate::station::Seconds;

/// What all simulated parties of a run share: the time at which the load starts, and the ledger.
#[derive(Clone)]
pub struct RunContext {
    start: Rc<Cell<Instant>>,
    /// Record of all requests of the run.
    pub ledger: Rc<RefCell<Ledger>>,
}

impl RunContext {
    /// Creates a run whose load has not started.
    pub fn new(ledger: Ledger) -> RunContext {
        RunContext { start: Rc::new(Cell::new(Instant::now())), ledger: Rc::new(RefCell::new(ledger)) }
    }

    /// Sets when the load starts.
    pub fn begin(&self, at: Instant) {
        self.start.set(at);
    }

    /// Time since the start of the load; negative before it.
    pub fn now(&self) -> Seconds {
        let now = Instant::now();
        match now.checked_duration_since(self.start.get()) {
            Some(passed) => passed.as_secs_f64(),
            None => -self.start.get().duration_since(now).as_secs_f64(),
        }
    }

    /// Converts a time since the start of the load to the machine's clock.
    pub fn instant(&self, at: Seconds) -> Instant {
        self.start.get() + Duration::from_secs_f64(at.max(0.0))
    }
}
