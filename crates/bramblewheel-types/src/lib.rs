//! Identifiers, criticality, outcomes, deadlines and time shared by every crate.
//!
//! Nothing here reads a clock, opens a socket or draws a random number, because the pure decision crates
//! that depend on this one must stay free of side effects.

pub mod criticality;
pub mod endpoint_id;
pub mod headers;
pub mod ids;
pub mod outcome;
pub mod rate_limit;
pub mod time;

pub use criticality::Criticality;
pub use endpoint_id::{EndpointId, InvalidEndpointId};
pub use ids::{
    AttemptId, BundleDigest, BundleVersion, CallId, DaemonId, InvalidName, OperationKey,
    RegionName, RequestId, ServiceName, TenantName, ZoneName,
};
pub use outcome::{NotRunReason, Outcome};
pub use rate_limit::{InvalidRateLimit, RateLimit};
pub use time::{Millis, Timestamp};
