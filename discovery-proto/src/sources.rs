//! Selects which of several sources of one list to poll: near sources first, a source that failed not again
//! for a while, and the clients of a failed source spread over the others. Without I/O and without a clock.
//! All sources serve the same versions, so the current list stays valid when the source changes.

use std::net::SocketAddr;
use std::time::Duration;

use rand_core::Rng;

/// The clients of a failed source fail over after a random delay of up to this. They all see it fail at the
/// same moment, and would otherwise reach the other sources at the same moment.
pub const FAILOVER_SPREAD: Duration = Duration::from_millis(500);
/// How long a source that failed is avoided: the first time, and at most.
const MIN_QUARANTINE: Duration = Duration::from_secs(1);
const MAX_QUARANTINE: Duration = Duration::from_secs(60);
/// A client of a far source tries to return to a near one after between half of this and all of it.
const FAILBACK_AFTER: Duration = Duration::from_secs(60);

/// How to go on after a failed poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// Repeat the poll at another source after this delay.
    NextSource(Duration),
    /// All sources have failed since the last response; the caller decides how long to back off.
    AllFailed,
}

#[derive(Debug)]
struct Source {
    address: SocketAddr,
    far: bool,
    quarantined_until: Duration,
    quarantine: Duration,
    /// Whether it failed since any source last responded.
    failed: bool,
}

/// Selects the source to poll. See the module documentation. `now` is the time since some fixed moment.
#[derive(Debug)]
pub struct Sources {
    sources: Vec<Source>,
    current: usize,
    /// When to return to a near source, if the current one is far.
    fail_back_at: Option<Duration>,
}

impl Sources {
    /// Starts with a random near source, or a random far one if there are no near ones. `None` if there are
    /// no sources at all.
    pub fn new(near: &[SocketAddr], far: &[SocketAddr], rng: &mut impl Rng) -> Option<Sources> {
        let source = |far| {
            move |&address| Source {
                address,
                far,
                quarantined_until: Duration::ZERO,
                quarantine: MIN_QUARANTINE,
                failed: false,
            }
        };
        let sources: Vec<Source> =
            near.iter().map(source(false)).chain(far.iter().map(source(true))).collect();
        let preferred = if near.is_empty() { far.len() } else { near.len() };
        (!sources.is_empty()).then(|| Sources {
            current: random_index(preferred, rng),
            fail_back_at: None,
            sources,
        })
    }

    /// The address of the source to poll.
    pub fn address(&self) -> SocketAddr {
        self.sources[self.current].address
    }

    /// Whether there is only one source.
    pub fn is_single(&self) -> bool {
        self.sources.len() == 1
    }

    /// Records a response of the current source.
    pub fn on_response(&mut self) {
        self.sources.iter_mut().for_each(|source| source.failed = false);
        self.sources[self.current].quarantine = MIN_QUARANTINE;
    }

    /// Records a failed or rejected poll of the current source, and selects the next source.
    pub fn on_failure(&mut self, now: Duration, rng: &mut impl Rng) -> Fallback {
        let source = &mut self.sources[self.current];
        source.failed = true;
        // Randomized, so that clients that left the source together do not return together.
        source.quarantined_until = now + source.quarantine.mul_f64(0.5 + 0.5 * random_fraction(rng));
        source.quarantine = (2 * source.quarantine).min(MAX_QUARANTINE);
        let any_left = self.sources.iter().any(|source| !source.failed);
        if !any_left {
            self.sources.iter_mut().for_each(|source| source.failed = false);
        }
        self.select(now, rng);
        if any_left {
            Fallback::NextSource(FAILOVER_SPREAD.mul_f64(random_fraction(rng)))
        } else {
            Fallback::AllFailed
        }
    }

    /// Selects a source: prefers those that have not failed since the last response, then those not in
    /// quarantine, then near ones, and picks at random among equals. If all are in quarantine, it takes the
    /// one whose quarantine ends first.
    fn select(&mut self, now: Duration, rng: &mut impl Rng) {
        let rank = |source: &Source| {
            let is_quarantined = source.quarantined_until > now;
            (
                source.failed,
                is_quarantined,
                if is_quarantined { source.quarantined_until } else { Duration::ZERO },
                source.far,
            )
        };
        let best = self.sources.iter().map(rank).min();
        let equals: Vec<usize> =
            (0..self.sources.len()).filter(|index| Some(rank(&self.sources[*index])) == best).collect();
        self.current = equals.get(random_index(equals.len(), rng)).copied().unwrap_or(self.current);
        self.fail_back_at = self.sources[self.current]
            .far
            .then(|| now + FAILBACK_AFTER.mul_f64(0.5 + 0.5 * random_fraction(rng)));
    }

    /// Returns from a far source to a near one that is not in quarantine, if it is time to try that. To be
    /// called before each poll. Returns whether the source changed.
    pub fn fail_back(&mut self, now: Duration, rng: &mut impl Rng) -> bool {
        if self.fail_back_at.is_none_or(|at| at > now) {
            return false;
        }
        let previous = self.current;
        let near_available = self.sources.iter().any(|source| !source.far && source.quarantined_until <= now);
        if near_available {
            self.select(now, rng);
        } else {
            self.fail_back_at = Some(now + FAILBACK_AFTER.mul_f64(0.5 + 0.5 * random_fraction(rng)));
        }
        self.current != previous
    }
}

/// A random number in `0.0..1.0`.
fn random_fraction(rng: &mut impl Rng) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// A random number in `0..len`; 0 if `len` is 0.
fn random_index(len: usize, rng: &mut impl Rng) -> usize {
    (random_fraction(rng) * len as f64) as usize
}

#[cfg(test)]
mod tests;
