//! Benchmarks, one module each.

pub mod latency;
