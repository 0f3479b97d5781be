//! Decision logic of the routed data path, free of side effects: route tables, endpoint selection, admission, early
//! refusal, the retry bound, tenants and quotas, planned stops, quarantine.
//!
//! `docs/DECISIONS.md` lists the rules with their inputs, constants, metrics and log lines. Each rule is implemented in
//! one module of this crate.
//!
//! Nothing here reads a clock, socket, file, thread or global random source: the time and random numbers are arguments.
//! The async code of `bramblewheel-proxy` supplies the inputs, carries out the decisions and logs them.

pub mod admission;
pub mod attempt_result;
mod bounded_map;
pub mod class_limit;
pub mod credential;
pub mod decaying_share;
pub mod directory;
pub mod early_refusal;
pub mod endpoint_crash;
pub mod endpoint_limit;
pub mod exemption;
pub mod fair_share;
pub mod incarnations;
pub mod load_statement;
pub mod machine_identity;
pub mod nested_routes;
pub mod quarantine;
pub mod request_class;
pub mod request_content;
pub mod retry;
pub mod retry_after;
pub mod retry_bound;
pub mod retry_budget;
pub mod run_time;
pub mod running_requests;
pub mod stable_hash;
pub mod stop_schedule;
pub mod table;
pub mod table_lease;
pub mod tenant_quota;
pub mod tenants;
