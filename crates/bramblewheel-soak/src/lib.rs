//! A randomized fault soak: control replicas and daemons run as real processes on loopback
//! addresses, faults strike them from outside, and what callers, endpoints and operators saw is
//! checked against the promises.
//!
//! One seed gives one plan of faults. Real processes don't repeat to the millisecond, so a seed that
//! failed once is run again several times (`seeds.txt`).

pub mod check;
pub mod endpoint;
mod endpoint_interface;
pub mod fleet;
pub mod foreign;
pub mod history;
mod load;
pub mod operator;
pub mod plan;
pub mod relay;
pub mod run;
pub mod stop_plan;
mod strike;
pub mod traffic;
pub mod workload;
mod workload_traffic;
