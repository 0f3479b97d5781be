//! Configuration bundles: model, checks, canonical bytes, digest and signatures.

pub mod model;

pub use model::{
    AdmissionPolicy, Bundle, OperatorPolicy, OperatorPublicKey, RequestLimits, ResolvedRoute,
    RoutePolicy, RoutingPolicy, ServicePolicy,
};
