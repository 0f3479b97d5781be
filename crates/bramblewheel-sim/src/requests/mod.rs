//! Requests through a deployment: callers, endpoints and the layer between them.
//!
//! Each machine of the deployment is one process of the kernel: an endpoint with its daemon, or a
//! gateway. The layer is nothing, a naive one, or the real engines of `bramblewheel-core`, so that
//! all three are measured by the same models.

mod actor;
pub mod bound;
mod callers;
mod connections;
mod endpoint;
mod host;
mod layer;
mod ledger;
mod load;
pub mod measure;
mod message;
pub mod overload;
mod places;
mod record;
pub mod scenario;
mod simulation;
mod slab;
mod topology;
mod work;

pub use actor::RequestActor;
pub use callers::{Callers, RequestResult};
pub use connections::{Acquired, Connections};
pub use endpoint::{EndpointAction, EndpointModel, Run, RunKey, RunRequest};
pub use host::{Host, SlotUse};
pub use layer::direct::{OutCall, OutCallKey};
pub use layer::{Environment, Layer, LayerCounters, LayerKind, LayerSettings};
pub use ledger::LedgerService;
pub use load::{CallerBehaviour, LoadProfile};
pub use message::{Message, RootRequest, SendId, Timer};
pub use places::Places;
pub use record::Record;
pub use simulation::{RequestSettings, RequestSimulation};
pub use slab::{Key, Slab};
pub use topology::{
    Endpoint, EndpointIndex, Flow, FlowIndex, Route, RouteIndex, Service, ServiceIndex, Topology,
    ZoneIndex,
};
pub use work::{log_normal, log_normal_mean, next_arrival};
