//! The daemon for signed bundles, running beside each endpoint or alone as a gateway. The daemon of
//! the routed data path is `bramblewheel-proxy`.
//!
//! All decisions are made by [`bramblewheel_core::engine::Engine`]. This crate drives the engine: it
//! owns the sockets, the clock and the files, passes events to the engine, and carries out the
//! returned actions in order.

pub mod admin;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod driver;
pub mod http;
pub mod inbound;
pub mod load_report;
pub mod metrics;
pub mod outbound;
pub mod process;
pub mod sessions;
pub mod settings;
mod shared;

pub use bramblewheel_process::logging;
pub use daemon::{BoundAddresses, DaemonHandle, StartError, run};
pub use settings::{Settings, SettingsError};
