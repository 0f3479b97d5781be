//! Callers outside the deployment: open-loop load by its flows, with resends and sessions.

mod command;
mod gateways;
mod load;
mod request;
mod sessions;

pub use command::CallerCommand;
pub use load::{Caller, CallerConfig};
