//! A stand-in endpoint: slots, service times, cold start, sub-calls, a load report that lags.

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
