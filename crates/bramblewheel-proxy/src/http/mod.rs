//! Requests and answers on connections: streamed both ways, with proof of what was sent.

pub mod body;
pub mod crowd;
pub mod exchange;
pub mod fields;
pub mod pool;
pub mod server;
