//! Contact with the control replicas: updates of routes, endpoints and the quarantine, the registration
//! of the local endpoint, the lease on the route table, reports on contents.
//!
//! Owns the addresses of the replicas and what is still to be sent to them. Relies on the protocol crate's
//! client for connections.

pub mod content_reports;
pub mod group;
pub mod line_limit;
pub mod registrar;
pub mod renewal;
pub mod watch;
