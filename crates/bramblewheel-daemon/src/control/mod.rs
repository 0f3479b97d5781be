//! Client side of the control protocol: bundles, endpoint directory, run-once operations.

pub mod choice;
mod connection;
pub mod ledger;
mod link;
mod poll;
pub mod poll_state;
pub mod store;
pub mod verify;

pub use poll::{PollConfig, Poller};
