//! Route tables and registered endpoints in the replicated state.

mod registry;
mod tables;

pub use registry::Registry;
pub use tables::Tables;
