//! Which tree a call belongs to, and what comes of trees that share a narrow service, on virtual time.

mod narrow_service;
mod nested_routes;
mod parents;
mod scene;

use bramblewheel_types::{ServiceName, Timestamp};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).expect("a name")
}
