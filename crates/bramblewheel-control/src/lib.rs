//! The control replica process: bundles, the directory of daemons, the ledger of run-once
//! operations.
//!
//! [`state`] is the replicated state machine and [`node`] the replica that holds it; both are pure.

pub mod node;
pub mod state;
