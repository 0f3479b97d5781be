//! The routed data path: a daemon that sends requests to registered endpoints according to route tables.
//!
//! The decision rules are in the crate `bramblewheel-decisions`: route tables, choice of endpoints, retry budget,
//! admission to the local endpoint. They are pure functions of their inputs, including time and random seed.
//! [`http`] streams requests and answers, [`control`] communicates with the control replicas, and [`daemon`] puts the
//! parts together. The names of the headers that callers and endpoints use are configured by the [`dialect`].

pub mod control;
pub mod daemon;
pub mod dialect;
pub mod http;
pub mod in_progress;
pub mod inbound;
pub mod local;
pub mod metrics;
pub mod outbound;
mod overdue;
pub mod planned_stop;
pub mod settings;
pub mod shared;
pub mod wire;

pub use daemon::{Daemon, StartError};
pub use dialect::Dialect;
pub use http::ahead::AheadSettings;
pub use settings::Settings;
