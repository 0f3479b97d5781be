//! Discrete-event kernel: virtual time, processes, network, clocks, seeded randomness, history.
//!
//! A domain (control group, requests) brings one [`Actor`] type, usually an enum of its kinds of
//! process, and the kernel runs any number of them. One seed gives one run.

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
