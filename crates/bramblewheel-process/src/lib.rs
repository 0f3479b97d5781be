//! What the server programs share: settings file, log, clock, listeners, and the end of the process
//! on a broken invariant.

pub mod clock;
pub mod invariants;
pub mod listener;
pub mod logging;
pub mod program;
pub mod settings;
