//! Connections and attempts in flight to one endpoint, as far as this balancer can tell from events.

use crate::decaying_mean::DecayingMean;
use crate::interface::{Millis, Outcome};

/// See the module documentation.
#[derive(Default)]
pub(crate) struct Connections {
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Connections that are presumably open, including those being established.
    pub(crate) open: u32,
    /// Connections being established.
    pub(crate) connecting: u32,
    /// When an attempt last ended and left its connection idle.
    pub(crate) last_idle_at: Millis,
    /// 1 for each connection that failed, 0 for each that was established.
    pub(crate) failures: DecayingMean,
}

impl Connections {
    /// The state after a restart of the endpoint's process: attempts in flight still end with an event, and
    /// idle connections are closed.
    pub(crate) fn after_restart(&self) -> Connections {
        let Connections { in_flight, connecting, .. } = *self;
        Connections { in_flight, connecting, open: in_flight, ..Connections::default() }
    }

    /// Whether an open connection can carry another attempt, with `streams` per connection.
    pub(crate) fn has_capacity(&self, streams: u32) -> bool {
        self.in_flight < self.open.saturating_mul(streams)
    }

    /// Whether at least one connection is established.
    pub(crate) fn is_connected(&self) -> bool {
        self.open > self.connecting
    }

    /// Records the start of an attempt. Returns whether it has to open a connection.
    pub(crate) fn begin_attempt(&mut self, streams: u32) -> bool {
        let connects = !self.has_capacity(streams);
        self.open += u32::from(connects);
        self.connecting += u32::from(connects);
        self.in_flight += 1;
        connects
    }

    /// Records the end of an attempt. Returns 1 if the connection that it had to open failed, 0 if it was
    /// established, and `None` if it opened none or the result is not known.
    pub(crate) fn end_attempt(&mut self, opened_connection: bool, outcome: Outcome) -> Option<f64> {
        let failed = outcome == Outcome::ConnectFailed;
        self.in_flight -= 1;
        self.connecting -= u32::from(opened_connection);
        if opened_connection && (failed || outcome == Outcome::NeverSent) {
            self.open = self.open.saturating_sub(1);
        } else if failed || outcome == Outcome::Reset {
            // A connection that was presumed open is closed; the idle ones are then likely closed too.
            self.open = self.open.min(self.in_flight);
        }
        let is_known = opened_connection && !matches!(outcome, Outcome::NeverSent | Outcome::Cancelled);
        is_known.then_some(f64::from(u8::from(failed)))
    }
}
