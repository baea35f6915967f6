//! Random selection: the minimum with random tie-breaking, and weighted sampling.

use rand_core::Rng;
use rand_pcg::Pcg32;

/// Keeps the endpoint with the lowest cost that it was offered; among ties, each with the same probability.
pub(crate) struct RandomMinimum {
    pub(crate) cost: f64,
    pub(crate) endpoint: Option<usize>,
    ties: u32,
}

impl RandomMinimum {
    pub(crate) const EMPTY: RandomMinimum = RandomMinimum { cost: f64::INFINITY, endpoint: None, ties: 0 };

    pub(crate) fn offer(&mut self, cost: f64, endpoint: usize, rng: &mut Pcg32) {
        if cost > self.cost {
            return;
        }
        self.ties = if cost < self.cost { 1 } else { self.ties + 1 };
        if self.ties == 1 || (u64::from(rng.next_u32()) * u64::from(self.ties)) >> 32 == 0 {
            (self.cost, self.endpoint) = (cost, Some(endpoint));
        }
    }
}

/// The entry at `point` in the cumulative weights, where `point` is between 0 and the sum of the weights.
pub(crate) fn pick_weighted(entries: &[(usize, f64)], mut point: f64) -> Option<usize> {
    let picked = entries.iter().find(|(_, weight)| {
        point -= weight;
        point < 0.0
    });
    picked.or(entries.iter().rfind(|(_, weight)| *weight > 0.0)).map(|(entry, _)| *entry)
}
