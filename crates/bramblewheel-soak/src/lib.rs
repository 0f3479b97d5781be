//! Randomized fault soak: runs control replicas and daemons as real processes on loopback addresses,
//! injects faults from outside, and checks what callers, endpoints and operators observed against the promises.
//!
//! The seed determines the fault plan. The timing of real processes still varies between runs, so a seed that
//! failed once is run again several times (`seeds.txt`).

pub mod check;
mod cuts;
pub mod disk_losses;
pub mod endpoint;
mod endpoint_interface;
mod fault_injection;
mod final_reads;
pub mod fleet;
pub mod foreign;
pub mod history;
pub mod host_controls;
pub mod late_starts;
pub mod lateness;
mod load;
pub mod lost_machine;
mod open_files;
pub mod operator;
pub mod plan;
pub mod relay;
pub mod run;
pub mod scenario;
pub mod sent_body;
mod signal_handlers;
pub mod stop_plan;
pub mod suspensions;
pub mod tenants;
pub mod traffic;
pub mod workload;
mod workload_traffic;
