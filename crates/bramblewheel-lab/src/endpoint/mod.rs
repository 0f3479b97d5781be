//! Stand-in endpoint with slots, service times, cold start, sub-calls and a delayed load report.

mod command;
mod context;
mod load;
mod server;
mod slots;
mod state;
mod sub_calls;
#[cfg(test)]
mod tests;
mod work;

pub use command::{EndpointChange, EndpointCommand};
pub use server::{RunningEndpoint, start};
pub use state::EndpointConfig;
