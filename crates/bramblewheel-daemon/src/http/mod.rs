//! HTTP pieces shared by the listeners: bodies, headers, connections.

pub mod answer;
pub mod body;
pub mod exchange;
pub mod fields;
pub mod pool;
pub mod root;
pub mod server;
