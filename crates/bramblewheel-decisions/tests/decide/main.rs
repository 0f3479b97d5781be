//! The pure decisions, one rule a module: routes, choice of an endpoint, retry budget, admission, limit of a class.

mod admission;
mod choice;
mod class_limit;
mod retry_budget;
mod routes;

use bramblewheel_types::ServiceName;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}
