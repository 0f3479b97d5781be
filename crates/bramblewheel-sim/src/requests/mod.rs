//! Simulation of requests through a deployment: callers, endpoints and the layer between them.
//!
//! Each machine of the deployment is one simulated process: an endpoint with its daemon, or a gateway.
//! The layer is absent, naive, or made of the real engines of `bramblewheel-core`, so that the same
//! models measure all three.

mod actor;
pub mod bound;
mod callers;
pub mod check;
mod connections;
mod content;
mod double;
mod endpoint;
mod faults;
mod host;
mod layer;
mod ledger;
mod load;
pub mod measure;
mod message;
pub mod overload;
pub mod overload_scenario;
mod process_layout;
mod record;
mod replica;
pub mod scenario;
mod scripted;
mod simulation;
mod slab;
mod tape;
mod topology;
mod work;

pub use actor::RequestActor;
pub use callers::{Callers, RequestResult};
pub use connections::{Acquired, Connections};
pub use content::{Content, RunId};
pub use double::UnsafeDouble;
pub use endpoint::{EndpointAction, EndpointModel, ReportFault, Run, RunKey, RunRequest};
pub use faults::{DrainSeenOn, FaultRecord};
pub use host::{Host, SlotUse};
pub use layer::direct::{OutCall, OutCallKey};
pub use layer::{
    Environment, Instruction, Layer, LayerCounters, LayerKind, LayerOptions, LayerSettings,
};
pub use ledger::LedgerService;
pub use load::{CallerBehaviour, LoadProfile};
pub use message::{CallerAnswer, Message, PeerEnvelope, RootRequest, SendId, SessionClaim, Timer};
pub use process_layout::ProcessLayout;
pub use record::Record;
pub use replica::Replica;
pub use scripted::{ScriptedCallers, ScriptedSend};
pub use simulation::{RequestSettings, RequestSimulation, Script};
pub use slab::{Key, Slab};
pub use tape::{CallPath, Draws, RunDraws, Tape};
pub use topology::{
    Endpoint, EndpointIndex, Flow, FlowIndex, Route, RouteIndex, Service, ServiceIndex, Topology,
    ZoneIndex,
};
pub use work::{log_normal, log_normal_mean, next_arrival};
