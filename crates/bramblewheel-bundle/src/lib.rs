//! Configuration bundles: model, validation, canonical encoding, digest and signatures.
//!
//! Operators write TOML ([`parse()`]). All validation is done on the model ([`check::check`]), so that
//! a bundle decoded from bytes ([`canonical::decode`]) has to satisfy the same rules as one parsed from text.

pub mod canonical;
pub mod check;
pub mod defaults;
pub mod delta;
pub mod diff;
pub mod digest;
pub mod error;
mod format;
pub mod key_file;
pub mod model;
pub mod operators;
mod parse;
pub mod sections;
pub mod signature;
pub mod warning;

pub use canonical::DecodeError;
pub use delta::{Delta, DeltaError};
pub use diff::{Change, changes};
pub use digest::digest;
pub use error::{BundleError, Finding, InvalidBundle, LocatedFinding, Location, Problem};
pub use format::to_toml;
pub use key_file::{KeyFileError, OperatorKey};
pub use model::{
    AdmissionPolicy, Bundle, OperatorPolicy, OperatorPublicKey, RequestLimits, ResolvedRoute,
    RoutePolicy, RoutingPolicy, ServicePolicy,
};
pub use operators::{AuthorizationError, TrustedOperators};
pub use parse::parse;
pub use sections::Head;
pub use signature::{SignatureError, verify};
pub use warning::{Warning, warnings};
