//! The test tool: stand-in endpoints and callers, a runner of whole fleets on loopback, benches.
//!
//! The only program of the project that starts processes. It runs its own executable with hidden
//! commands for the daemons and control replicas, so that nothing else has to be built or found.

pub mod answer;
pub mod bench;
pub mod caller;
pub mod check;
pub mod client;
pub mod commands;
pub mod deployments;
pub mod endpoint;
pub mod error;
pub mod fleet;
pub mod journal;
pub mod lab_headers;
pub mod options;
pub mod process;
pub mod runtime;
pub mod signals;
pub mod sim;
pub mod stdin_commands;
pub mod trace;
