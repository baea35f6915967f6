//! Random streams of a run, each seeded from the run's seed and the stream's name, so that an additional draw
//! from one stream does not change another.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The random stream with this name. The seed is hashed with the name by FNV-1a.
pub fn stream(seed: u64, name: &str) -> Pcg32 {
    let hash_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    Pcg32::seed_from_u64(name.bytes().fold(0xcbf2_9ce4_8422_2325 ^ seed, hash_byte))
}

/// A uniformly distributed number from 0 (inclusive) to 1 (exclusive).
pub fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// An exponentially distributed number with mean 1.
pub fn exponential(rng: &mut Pcg32) -> f64 {
    -(1.0 - uniform(rng)).ln()
}
