//! What the two data paths, that of signed bundles and that of route tables, need of HTTP/1.1 alike.
//!
//! Owns nothing that lasts: the pools, listeners and limits belong to the data paths, since they
//! differ for a reason. Relies on hyper for the protocol itself.

pub mod body;
pub mod connection;
pub mod fields;
pub mod stop;
