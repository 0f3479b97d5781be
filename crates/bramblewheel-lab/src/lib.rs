//! Test tool: stand-in endpoints and callers, a runner for whole fleets on loopback, and benchmarks.
//!
//! Daemons and control replicas run as child processes of the lab's own executable, started with hidden
//! commands, so that no other binary has to be built or located. No other program of the project starts processes.

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
