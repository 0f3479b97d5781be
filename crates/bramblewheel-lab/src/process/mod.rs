//! Processes that the lab starts: always its own executable.

mod child;
mod log_lines;
mod ports;
#[cfg(test)]
mod tests;

pub use child::{Child, ChildEvent, ProcessError, Spawn};
pub use log_lines::{LogEvent, parse};
pub use ports::free_port;
