//! Deterministic discrete-event simulator: network, disks, clocks, callers, endpoints, faults and
//! checkers.
//!
//! One seed gives one run. The simulator drives the real decision and replication crates under
//! virtual time; checkers read the history of events only.

pub mod control;
pub mod deployment;
pub mod kernel;
pub mod requests;
pub mod run;
pub mod scenario;
pub mod source_text;
pub mod trace;
