//! The test tool: stand-in endpoints and callers, a runner of whole fleets on loopback, benches.
//!
//! The only program of the project that starts processes. It runs its own executable with hidden
//! commands for the daemons and control replicas, so that nothing else has to be built or found.

pub mod answer;
pub mod bench;
pub mod check;
pub mod commands;
pub mod error;
pub mod journal;
pub mod options;
