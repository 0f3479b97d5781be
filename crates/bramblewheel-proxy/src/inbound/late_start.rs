//! Refuses requests that are begun too late: what could only end after its deadline is not started.
//!
//! Before a request is sent to the endpoint, the time left is compared to the usual run time
//! ([`bramblewheel_decisions::run_time`]).
//!
//! Appears in the log line `too late to start` and as the result `out-of-time` of the metric
//! `bramblewheel_inbound_total`.

use crate::inbound::dispatch::id_text;
use crate::shared::Shared;
use crate::wire::Handover;
use bramblewheel_types::{Millis, Timestamp};
use http::HeaderValue;
use std::time::Duration;

/// Least remaining time with which a request is sent to the endpoint. The header that states it has a unit of one
/// millisecond, so that less would be stated as zero.
const MIN_REMAINING: Duration = Duration::from_millis(1);

/// Time that a request of this class needs at the endpoint.
pub(super) fn needed_time(shared: &Shared, handover: &Handover) -> Duration {
    let now = shared.clock.now();
    let usual = shared.local.usual_run_time(now, handover.class);
    usual.unwrap_or_default().max(MIN_REMAINING)
}

/// Whether a request that is sent to the endpoint now would end after its deadline; logs it.
pub(super) fn is_too_late(
    shared: &Shared,
    handover: &Handover,
    deadline: Timestamp,
    id: &HeaderValue,
) -> bool {
    let needed = needed_time(shared, handover);
    let left = shared.clock.remaining_until(deadline);
    if left >= needed {
        return false;
    }
    slog::info!(shared.log, "too late to start"; "id" => id_text(id),
        "endpoint" => %handover.endpoint, "left_ms" => Millis::of(left).0,
        "usual_ms" => Millis::of(needed).0);
    true
}
