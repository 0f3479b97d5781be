//! Contact with the control replicas: news of routes and endpoints, words of the local endpoint, ends of
//! endpoints.

pub mod content_reports;
pub mod group;
pub mod registrar;
pub mod renewal;
pub mod watch;
