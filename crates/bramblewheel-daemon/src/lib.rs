//! The daemon of the way of signed bundles: beside each endpoint, or alone as a gateway. The daemon of
//! the routed data path is `bramblewheel-proxy`.
//!
//! All decisions are made by [`bramblewheel_core::engine::Engine`]; this crate is its shell: it
//! owns the sockets, the clock and the files, turns what happens into events, and carries out the
//! actions in the order in which the engine gave them.

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
