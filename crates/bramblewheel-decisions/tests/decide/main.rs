//! Tests of the decisions, one rule per module: routes, choice of an endpoint, retry budget, admission, class limit.

mod admission;
mod choice;
mod class_limit;
mod fair_share;
mod retry_budget;
mod routes;

use bramblewheel_types::ServiceName;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("valid name")
}
