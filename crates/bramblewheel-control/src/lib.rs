//! The control replica process: bundles, the directory of daemons, the ledger of run-once
//! operations.
//!
//! [`state`] is the replicated state machine and [`node`] the replica that holds it; both are pure.
//! [`server`] is the shell that owns the sockets, the clock and the disk.

pub mod clock;
pub mod node;
pub mod server;
pub mod settings;
pub mod state;

pub use bramblewheel_process::logging;
pub use server::{BoundAddresses, ControlHandle, RunError, StartError, run, start, start_on};
pub use settings::{Settings, SettingsError};
