//! The process's monotonic clock, as the engine's timestamps.

pub use bramblewheel_process::clock::Clock;
