//! HTTP client and server of the routed data path: streams requests and answers, and tells whether a request was
//! sent.
//!
//! Code shared with the data path of signed bundles is in `bramblewheel-http`. The rest differs on purpose: this path
//! streams long bodies, while the other buffers each request up to `limits.body_bytes`, so that every attempt can
//! send it again.

pub mod ahead;
pub mod answer_rest;
pub mod body;
pub mod exchange;
pub mod fields;
pub mod open_connections;
pub mod pool;
pub mod server;
