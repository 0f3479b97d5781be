//! HTTP components shared by the listeners: bodies, headers, connections.
//!
//! Code shared with the routed data path is in `bramblewheel-http`. This module differs from it in
//! two ways: request bodies are buffered, up to `limits.body_bytes`, so that every attempt can send
//! them again, and only this daemon reads and writes the headers of calls with signed bundles.

pub mod answer;
pub mod body;
pub mod exchange;
pub mod fields;
pub(crate) mod forward;
pub mod pool;
pub mod root;
pub mod server;
