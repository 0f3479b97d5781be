//! Default values for keys that a bundle's text omits.

use crate::model::{AdmissionPolicy, RequestLimits, RoutingPolicy};
use bramblewheel_types::Millis;

/// Deadline of a root request.
pub const DEADLINE: Millis = Millis(2_000);

/// Limits for every request tree.
pub const LIMITS: RequestLimits = RequestLimits {
    retry_tokens: 3,
    retry_ratio_percent: 10,
    max_depth: 16,
    max_free_reroutes: 2,
    operation_retention: Millis(24 * 60 * 60 * 1_000),
};

/// Admission control of one endpoint.
pub const ADMISSION: AdmissionPolicy = AdmissionPolicy {
    queue_length: 32,
    min_concurrency: 1,
    max_concurrency: 16,
    max_sessions: 128,
};

/// Load balancing over a service's endpoints.
pub const ROUTING: RoutingPolicy = RoutingPolicy {
    spill_over_percent: 80,
    slow_start: Millis(10_000),
    max_ejected_percent: 50,
    max_connections: 8,
};
