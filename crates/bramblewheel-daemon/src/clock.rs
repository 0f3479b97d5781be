//! The monotonic clock of the process, which gives the engine's timestamps.

pub use bramblewheel_process::clock::Clock;
