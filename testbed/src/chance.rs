//! All chance of a play: streams that are each drawn from its seed and a name, so that one more draw from one of them
//! changes nothing in another.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The stream of that name.
pub fn stream(seed: u64, name: &str) -> Pcg32 {
    let step = |h: u64, byte: u8| (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    Pcg32::seed_from_u64(name.bytes().fold(0xcbf2_9ce4_8422_2325 ^ seed, step))
}

/// From 0 to under 1, all alike.
pub fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// From an exponential distribution with the mean 1.
pub fn exponential(rng: &mut Pcg32) -> f64 {
    -(1.0 - uniform(rng)).ln()
}
