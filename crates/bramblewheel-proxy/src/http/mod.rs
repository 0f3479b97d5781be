//! Requests and answers on connections: streamed both ways, with proof of what was sent.
//!
//! What is the same for the way of signed bundles stands in `bramblewheel-http`. What stays here
//! differs for a reason: this path passes long bodies on as they come, while the other holds each
//! request whole, up to `limits.body_bytes`, so that every attempt can send it anew.

pub mod body;
pub mod exchange;
pub mod fields;
pub mod open_connections;
pub mod pool;
pub mod server;
