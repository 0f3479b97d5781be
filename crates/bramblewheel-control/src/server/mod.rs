//! The shell around a node: sockets, clock, disk.

mod admin;
mod exposition;
mod input;
mod listener;
mod node_thread;
mod peer_in;
mod peer_out;
mod service;
mod start;

pub use start::{BoundAddresses, ControlHandle, RunError, StartError, run, start, start_on};
