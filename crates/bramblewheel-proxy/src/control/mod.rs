//! Communication with the control replicas: updates of routes, endpoints and the quarantine, registration of the
//! local endpoint, renewal of the lease on the route table, reports on contents.

pub mod content_reports;
pub mod group;
pub mod line_limit;
pub mod registrar;
pub mod renewal;
pub mod watch;
