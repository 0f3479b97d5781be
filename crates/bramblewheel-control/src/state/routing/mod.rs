//! Route tables, registered endpoints and requests in quarantine in the replicated state.

mod quarantine;
mod registry;
mod tables;

pub use quarantine::Quarantine;
pub use registry::Registry;
pub use tables::Tables;
