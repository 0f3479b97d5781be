//! Replicated log as a pure state machine: election, replication, membership change, snapshots,
//! read leases.

pub mod types;

pub use types::*;
