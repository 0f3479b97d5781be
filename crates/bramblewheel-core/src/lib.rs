//! Request decisions as pure state machines: admission, routing, retries, run-once claims.
//!
//! The [`engine::Engine`] makes all decisions of one daemon. A driver, either the daemon process
//! (tokio) or the simulator, passes it events and carries out the actions it returns; time and
//! random seed are arguments.

pub mod action;
pub mod cohort;
pub mod context;
pub mod engine;
pub mod event;
pub mod headers;
pub mod inbound;
pub mod metrics;
pub mod retry;
pub mod session;

mod feedback;
mod outbound;
mod route;
mod table;
mod timers;
