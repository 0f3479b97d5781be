//! The control replica process: bundles, route tables, the directory of daemons, the endpoint
//! registry and the ledger of run-once operations.
//!
//! [`state`] is the replicated state machine and [`node`] the replica that holds it; neither does
//! I/O. [`server`] drives them with sockets, clocks and the disk.

pub mod clock;
pub mod node;
mod report_limit;
pub mod server;
pub mod settings;
pub mod state;

pub use bramblewheel_process::logging;
pub use server::{BoundAddresses, ControlHandle, RunError, StartError, run, start, start_on};
pub use settings::{Settings, SettingsError};
