//! Benches, one folder each.

pub mod latency;
pub mod overload;
