//! Hashes that must be the same in all balancers: of names, and for rendezvous hashing.

/// FNV-1a followed by a 64-bit finalizer. All balancers must compute the same hash, so it must not change.
pub(crate) fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// The finalizer of SplitMix64: each bit of the input affects all bits of the result.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The score of an endpoint for a key in rendezvous hashing: the endpoint with the highest score owns the
/// key.
pub(crate) fn rendezvous(key: u64, endpoint: u64) -> f64 {
    let point = mix(key ^ mix(endpoint)) >> 11;
    -1.0 / ((point as f64 + 0.5) / (1u64 << 53) as f64).ln()
}
