//! Callers at the far end: open-loop load by a deployment's flows, resends, sessions.

mod command;
mod gateways;
mod load;
mod request;
mod sessions;

pub use command::CallerCommand;
pub use load::{Caller, CallerConfig};
