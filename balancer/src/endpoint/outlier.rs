//! Outlier state of one endpoint: its failures, its ejections, and the half-open trials after an ejection.

use crate::decaying_mean::DecayingMean;
use crate::interface::Millis;

/// Each ejection in a row lasts twice as long as the previous one, up to this many doublings.
const MAX_DOUBLINGS: u32 = 4;

/// See the module documentation.
#[derive(Default)]
pub(crate) struct OutlierState {
    /// 1 for each failure, 0 for each response.
    pub(crate) failures: DecayingMean,
    /// Failures since the last response.
    pub(crate) consecutive_failures: u32,
    /// End of the latest ejection; in the past if the endpoint is not ejected.
    pub(crate) ejected_until: Millis,
    /// Ejections since it last passed its trials.
    pub(crate) ejections: u32,
    /// Responses that it must still give while it is half open and gets one request at a time; 0 if it is not
    /// half open.
    pub(crate) trials_left: u32,
}

impl OutlierState {
    /// Ejects the endpoint for `base_time`, doubled with each ejection in a row. After that it is half open
    /// for this number of trials.
    pub(crate) fn eject(&mut self, now: Millis, base_time: Millis, trials: u32) {
        self.ejected_until = now + base_time * f64::from(1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.trials_left = trials;
    }

    /// Records a response. It ends a series of consecutive failures and counts as a passed trial.
    pub(crate) fn record_response(&mut self) {
        self.failures.add(0.0);
        self.consecutive_failures = 0;
        if self.trials_left == 0 {
            return;
        }
        self.trials_left -= 1;
        if self.trials_left == 0 {
            self.ejections = 0;
            self.failures = DecayingMean::default();
        }
    }

    /// Records a failure.
    pub(crate) fn record_failure(&mut self) {
        self.failures.add(1.0);
        self.consecutive_failures += 1;
    }
}
