//! Deterministic discrete-event simulator: network, disks, clocks, callers, endpoints, faults and
//! checkers.
//!
//! Runs with the same seed are identical. The simulator drives the real decision and replication crates under virtual
//! time; checkers read only the event history.

pub mod control;
pub mod deployment;
pub mod kernel;
pub mod requests;
pub mod run;
pub mod scenario;
pub mod source_text;
pub mod trace;
