//! Code shared by the server programs: settings file, log, clock, listeners, and termination of the process
//! on a violated invariant.

pub mod clock;
pub mod invariants;
pub mod lateness;
pub mod listener;
pub mod logging;
pub mod program;
pub mod settings;
