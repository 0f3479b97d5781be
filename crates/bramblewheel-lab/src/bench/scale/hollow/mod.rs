//! Hollow daemons: each with a connection, a long poll, a lease and a directory of its own, and
//! the daemons' own rule for taking over answers, but with no calls. All share one process.
//!
//! What a hollow daemon leaves out: it does not write the bundle to disk, and keeps one decoded
//! bundle with all others after decoding and checking its own; on request, one does that for all.

mod connection;
mod counters;
mod daemon;
mod fleet;

pub use counters::Traffic;
pub use fleet::Fleet;
