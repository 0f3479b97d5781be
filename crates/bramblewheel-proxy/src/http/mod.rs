//! Requests and answers on connections: streamed both ways, with proof of what was sent.

pub mod body;
pub mod exchange;
pub mod fields;
pub mod open_connections;
pub mod pool;
pub mod server;
