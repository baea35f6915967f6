//! Request metrics, and their form for operators.

use std::cell::Cell;
use std::rc::Rc;

use balancer::EjectedZone;
use discovery_proto::EndpointLocations;
use serde_json::{Value, json};

use super::Driver;
use crate::endpoint_pool::ResponseError;

/// Outcomes of the requests of one class.
#[derive(Clone, Copy, Default)]
pub(super) struct OutcomeCounts {
    pub(super) served: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
}

impl Driver {
    /// All metrics as one line of JSON. Counters start with the process.
    pub fn metrics_json(&self) -> Value {
        let by_class = |count: fn(&OutcomeCounts) -> u64| -> Value {
            let outcomes = self.outcomes.borrow();
            self.names
                .classes
                .iter()
                .zip(outcomes.iter())
                .map(|(class, outcomes)| (class.clone(), count(outcomes)))
                .collect()
        };
        let endpoints = self.endpoints.endpoint_ids();
        let state = self.state.borrow();
        let avoided = state.balancer.excluded_endpoints(self.clock.now());
        let mut metrics = json!({
            "success": by_class(|outcomes| outcomes.served),
            "overload": by_class(|outcomes| outcomes.rejected),
            "error": by_class(|outcomes| outcomes.failed),
            "dispatches": self.endpoints.fully_written(),
            "concurrent": self.requests_in_progress.get(),
            "targets": endpoints.len(),
            "targets_disabled": avoided.filter(|endpoint| endpoints.contains(endpoint)).count(),
        });
        if self.locality {
            metrics["zones_left"] = state
                .balancer
                .ejected_zones()
                .iter()
                .map(|ejected| self.ejected_zone_json(ejected))
                .collect();
        }
        metrics
    }

    /// An ejected zone, which gets only trial requests, in the form for operators.
    fn ejected_zone_json(&self, ejected: &EjectedZone) -> Value {
        let zone = self.names.zones.get(ejected.zone).map_or("unknown", String::as_str);
        let reason = match (ejected.own_network_suspected, ejected.unresponsive) {
            (true, _) => "own network",
            (false, true) => "silent",
            (false, false) => "connections fail",
        };
        json!({"zone": zone, "why": reason, "for_ms": (self.clock.now() - ejected.ejected_at).round()})
    }
}

/// Records the outcome of a request and counts it as in progress until this is dropped.
pub struct OutcomeRecorder {
    /// The client's id of the request.
    pub(super) id: Box<str>,
    pub(super) class: usize,
    pub(super) is_counted: Rc<Cell<bool>>,
    pub(super) driver: Rc<Driver>,
}

impl OutcomeRecorder {
    pub(super) fn record(&self, count: impl FnOnce(&mut OutcomeCounts)) {
        if let Some(outcomes) = self.driver.outcomes.borrow_mut().get_mut(self.class) {
            count(outcomes);
        }
    }

    /// Corrects the outcome of a streamed response that was truncated: it was counted as served when its
    /// forwarding began.
    pub fn record_truncated(&self, error: &ResponseError, forwarded: u64) {
        tracing::info!(id = %self.id, forwarded, "response truncated: {error}");
        self.record(|outcomes| {
            outcomes.served -= 1;
            outcomes.failed += 1;
        });
    }
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        // From now on a task that still waits for the body does not count the request any more.
        if self.is_counted.replace(true) {
            self.driver.requests_in_progress.set(self.driver.requests_in_progress.get() - 1);
        }
    }
}
