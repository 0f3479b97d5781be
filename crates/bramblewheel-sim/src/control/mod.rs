//! Simulation of the control group under faults: real replicas on faulty disks, operators, and daemons that serve no
//! requests.

mod actor;
mod address;
mod bundles;
pub mod check;
mod daemon;
mod disk;
mod double;
mod faults;
mod message;
mod operator;
mod plan;
pub mod record;
mod replica;
mod run;
pub mod scenario;
mod world;

pub use actor::ControlActor;
pub use double::UnsafeDouble;
pub use record::{BundleName, ControlRecord, FaultRecord, PublishAnswer};
pub use run::{ControlRun, run};
pub use scenario::ControlScenario;
pub use world::ProcessRoles;
