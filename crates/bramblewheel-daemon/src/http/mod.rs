//! HTTP pieces shared by the listeners: bodies, headers, connections.
//!
//! What is the same for the routed data path stands in `bramblewheel-http`. What stays here differs
//! for a reason: requests are held whole, up to `limits.body_bytes`, so that every attempt can send
//! them anew, and the header fields of this way are read and written here only.

pub mod answer;
pub mod body;
pub mod exchange;
pub mod fields;
pub(crate) mod forward;
pub mod pool;
pub mod root;
pub mod server;
