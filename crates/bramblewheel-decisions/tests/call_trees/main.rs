//! Call trees: inference of the tree that a call belongs to, and trees that share a bottleneck service, on virtual
//! time.

mod bottleneck;
mod nested_routes;
mod parents;
mod simulation;

use bramblewheel_types::{ServiceName, Timestamp};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).expect("valid name")
}
