//! Discrete-event kernel: virtual time, processes, network, clocks, seeded randomness, history.
//!
//! A domain (control group, requests) defines one [`Actor`] type, usually an enum over its kinds of processes, and the
//! kernel runs any number of them. Runs with the same seed are identical.

mod actor;
mod clock;
mod context;
mod core;
mod history;
mod network;
mod process;
mod queue;
mod random;
mod simulation;
#[cfg(test)]
mod tests;

pub use actor::{Actor, StartCause, StopCause};
pub use clock::Clock;
pub use context::Context;
pub use history::{Entry, Fact, History, HistoryDigest};
pub use network::{Delay, Disorder, Network, ZoneId};
pub use process::{ProcessId, ProcessState};
pub use random::{Purpose, Streams};
pub use simulation::Simulation;
