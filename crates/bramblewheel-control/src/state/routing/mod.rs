//! Replicated state used for routing: route tables, registered endpoints and quarantined requests.

mod quarantine;
mod registry;
mod tables;

pub use quarantine::Quarantine;
pub use registry::Registry;
pub use tables::Tables;
