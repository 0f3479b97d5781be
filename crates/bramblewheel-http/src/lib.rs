//! HTTP/1.1 code shared by the two data paths, for signed bundles and for route tables, and by operators' interfaces.
//!
//! Stateless; the data paths have their own pools, listeners and limits, whose requirements differ. The
//! protocol itself is implemented by hyper.

pub mod body;
pub mod connection;
pub mod fields;
pub mod interface;
pub mod status;
pub mod stop;
