//! A weighted mean whose observations lose weight as time passes.

/// A weighted mean with exponential decay: the sum and the weight decay together.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    pub(crate) sum: f64,
    pub(crate) weight: f64,
}

impl DecayingMean {
    pub(crate) fn add(&mut self, value: f64) {
        self.add_weighted(value, 1.0);
    }

    pub(crate) fn add_weighted(&mut self, value: f64, weight: f64) {
        self.sum += value * weight;
        self.weight += weight;
    }

    /// Multiplies the weight of all observations so far by `factor`.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.sum *= factor;
        self.weight *= factor;
    }

    /// The mean of the observations of both.
    pub(crate) fn combined(self, other: DecayingMean) -> DecayingMean {
        DecayingMean { sum: self.sum + other.sum, weight: self.weight + other.weight }
    }

    /// The mean, or `default` if there are no observations.
    pub(crate) fn mean_or(&self, default: f64) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { default }
    }

    /// The mean, shrunk towards `prior`, which counts as much as `strength` observations.
    pub(crate) fn shrunk(&self, prior: f64, strength: f64) -> f64 {
        (self.sum + strength * prior) / (self.weight + strength)
    }
}
