//! Scenarios of kind `requests`: a deployment under load and faults, checked against the promises.

mod examples;
mod figures;
mod file;
mod plan;
mod run;
mod world;

pub use file::{
    CallersTable, Direction, Fault, FaultKind, LoadTable, MachineKind, Outcomes, RequestScenario,
    SeenOn, WorldTable,
};
pub use run::{RequestRun, check_inputs, run};
