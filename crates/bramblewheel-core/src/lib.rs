//! Request decisions as pure state machines: admission, routing, retries, run-once claims.
//!
//! The [`engine::Engine`] is one daemon's mind. It is driven by the daemon process (tokio) and by
//! the simulator alike: events in, actions out, time and seed as arguments.

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
