//! Runs a node with sockets, clocks and the disk.

mod admin;
mod connection_metrics;
mod current_connections;
mod daemon_stream;
mod error;
mod event_log;
mod exposition;
mod founding;
mod handle;
mod input;
mod listener;
mod listeners;
mod node_thread;
mod opening;
mod peer_in;
mod peer_out;
mod peer_refusals;
mod peer_stream;
mod received_bytes;
mod run;
mod service;
mod spare_offers;
mod start;
mod usage_file;

pub use error::{RunError, StartError};
pub use handle::{BoundAddresses, ControlHandle};
pub use run::run;
pub use start::{start, start_on};
