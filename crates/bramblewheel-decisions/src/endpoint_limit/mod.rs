//! Rate limit that an endpoint states in its answers.
//!
//! Observability: log line `endpoint rate limit` (`change`, `limit`, `before`).

mod stated_limit;

pub use stated_limit::{KnownLimit, LimitChange, StatedLimit};
