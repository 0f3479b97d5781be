//! The daemon's side of the control plane: bundles, directory, run-once operations.

mod connection;
pub mod ledger;
mod link;
mod poll;
pub mod store;
mod verify;

pub use poll::{PollConfig, Poller};
