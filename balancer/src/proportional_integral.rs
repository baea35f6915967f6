//! A proportional-integral controller whose output is a share.

/// A share from 0 to [`ProportionalIntegral::MAX_SHARE`], set by a proportional-integral controller.
#[derive(Clone, Copy, Default)]
pub(crate) struct ProportionalIntegral {
    /// The integral term.
    integral: f64,
    pub(crate) share: f64,
    /// By how much the controlled value exceeded its target at the last update.
    pub(crate) excess: f64,
}

impl ProportionalIntegral {
    const MAX_SHARE: f64 = 0.95;

    /// Sets the share; later updates continue from there.
    pub(crate) fn set(&mut self, share: f64) {
        self.integral = share.clamp(0.0, ProportionalIntegral::MAX_SHARE);
        self.share = self.integral;
    }

    /// Updates the share from the `excess` of the controlled value over its target. `elapsed` is in
    /// milliseconds, and `integral_gain` is per second.
    pub(crate) fn update(&mut self, excess: f64, elapsed: f64, proportional_gain: f64, integral_gain: f64) {
        self.excess = excess;
        self.integral = (self.integral + integral_gain * excess * elapsed / 1000.0)
            .clamp(0.0, ProportionalIntegral::MAX_SHARE);
        self.share = (self.integral + proportional_gain * excess).clamp(0.0, ProportionalIntegral::MAX_SHARE);
    }
}
