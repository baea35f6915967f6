//! Metrics: how requests ended, and the figures for operators.

use std::cell::Cell;
use std::rc::Rc;

use balancer::EjectedZone;
use discovery_proto::EndpointLocations;
use serde_json::{Value, json};

use super::Driver;

/// How the requests of one class ended.
#[derive(Clone, Copy, Default)]
pub(super) struct OutcomeCounts {
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
}

impl Driver {
    /// The figures for operators, as one line of JSON. Counts are from the start of the process.
    pub fn figures(&self) -> Value {
        let by_class = |count: fn(&OutcomeCounts) -> u64| -> Value {
            let ended = self.ended.borrow();
            self.names
                .classes
                .iter()
                .zip(ended.iter())
                .map(|(class, ended)| (class.clone(), count(ended)))
                .collect()
        };
        let listed = self.endpoints.endpoint_ids();
        let state = self.state.borrow();
        let avoided = state.balancer.excluded_endpoints(self.clock.now());
        let mut figures = json!({
            "success": by_class(|ended| ended.served),
            "overload": by_class(|ended| ended.refused),
            "error": by_class(|ended| ended.failed),
            "dispatches": self.endpoints.fully_written(),
            "concurrent": self.taken.get(),
            "targets": listed.len(),
            "targets_disabled": avoided.filter(|endpoint| listed.contains(endpoint)).count(),
        });
        if self.locality {
            figures["zones_left"] =
                state.balancer.ejected_zones().iter().map(|left| self.zone_left(left)).collect();
        }
        figures
    }

    /// A zone that gets nothing but trials, for operators.
    fn zone_left(&self, left: &EjectedZone) -> Value {
        let zone = self.names.zones.get(left.zone).map_or("unknown", String::as_str);
        let why = match (left.own_network_suspected, left.unresponsive) {
            (true, _) => "own network",
            (false, true) => "silent",
            (false, false) => "connections fail",
        };
        json!({"zone": zone, "why": why, "for_ms": (self.clock.now() - left.ejected_at).round()})
    }
}

/// A request that was taken and has not ended; it has once this is dropped.
pub struct OutcomeRecorder {
    pub(super) class: usize,
    pub(super) taken: Rc<Cell<bool>>,
    pub(super) driver: Rc<Driver>,
}

impl OutcomeRecorder {
    pub(super) fn count(&self, count: impl FnOnce(&mut OutcomeCounts)) {
        if let Some(ended) = self.driver.ended.borrow_mut().get_mut(self.class) {
            count(ended);
        }
    }

    /// An answer that is passed on as it comes was counted as served when it was begun; it did not come
    /// whole.
    pub fn broke(&self) {
        self.count(|ended| {
            ended.served -= 1;
            ended.failed += 1;
        });
    }
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        // Whatever still waits for the body counts no more.
        if self.taken.replace(true) {
            self.driver.taken.set(self.driver.taken.get() - 1);
        }
    }
}
