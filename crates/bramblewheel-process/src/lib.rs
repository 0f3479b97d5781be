//! What the server programs share: reading of the settings file, the log, and the end of the
//! process on a broken invariant.

pub mod clock;
pub mod invariants;
pub mod logging;
pub mod settings;
