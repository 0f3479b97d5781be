//! The routed data path: a daemon that sends requests by route tables to registered endpoints.
//!
//! The crate `bramblewheel-decisions` holds the decisions: route tables, the choice of an endpoint, the retry budget, the
//! admission to the endpoint beside the daemon. They are pure: time and a seed are arguments.
//! [`http`] carries requests and answers as they come, [`control`] keeps in touch with the control
//! replicas, and [`daemon`] wires all of it. How callers and endpoints name the headers that
//! concern this layer is a value, the [`dialect`].

pub mod control;
pub mod daemon;
pub mod dialect;
pub mod http;
pub mod in_progress;
pub mod inbound;
pub mod local;
pub mod metrics;
pub mod outbound;
pub mod planned_stop;
pub mod settings;
pub mod shared;
pub mod wire;

pub use daemon::{Daemon, StartError};
pub use dialect::Dialect;
pub use settings::Settings;
