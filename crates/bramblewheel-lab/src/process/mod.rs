//! Child processes of the lab, which all run its own executable.

mod child;
mod log_lines;
#[cfg(test)]
mod tests;

pub use bramblewheel_ports::claim_address;
pub use child::{Child, ChildEvent, ProcessError, Spawn};
pub use log_lines::{LogEvent, parse};
