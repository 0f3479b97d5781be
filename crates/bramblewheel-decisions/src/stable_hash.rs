//! A hash of names that is the same at all daemons, whatever build they run.
//!
//! Numbers of routes, tenants and classes, and the preferred endpoints of a daemon, are derived from names with it, so
//! that no table of numbers has to be shared. Not for input that an attacker may choose.

/// FNV-1a of the bytes, 64 bits.
///
/// ```
/// use bramblewheel_decisions::stable_hash::stable_hash;
///
/// assert_eq!(stable_hash(*b"a"), 0xaf63_dc4c_8601_ec8c);
/// ```
pub fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    /// The algorithm's offset basis.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    /// The algorithm's prime.
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    bytes.into_iter().fold(OFFSET, mix)
}
