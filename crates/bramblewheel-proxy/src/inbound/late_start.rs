//! Refuses requests that are begun too late: what could only end after its deadline is not started.
//!
//! A request may have waited unread while this process was suspended, or in the queue for a slot. Its time goes on
//! meanwhile, and its caller may have been answered already. Before it is sent to the endpoint, closed connections are
//! therefore read, and the time left is compared to the usual run time ([`bramblewheel_decisions::run_time`]).
//!
//! Appears in the log lines `request read late` and `too late to start` and as the result `out-of-time` of the metric
//! `bramblewheel_inbound_total`.

use crate::in_progress::Progress;
use crate::inbound::dispatch::id_text;
use crate::shared::Shared;
use crate::wire::Handover;
use bramblewheel_types::{Millis, Timestamp};
use http::HeaderValue;
use std::time::Duration;

/// Least remaining time with which a request is sent to the endpoint. The header that states it has a unit of one
/// millisecond, so that less would be stated as zero.
const MIN_REMAINING: Duration = Duration::from_millis(1);
/// Time in which a process that was suspended reads which connections were closed meanwhile.
const CLOSE_READ_TIME: Duration = Duration::from_millis(5);

/// Subtracts from the remaining time of a request read at `arrived` how long it may have waited unread.
pub(super) fn subtract_unread_time(
    shared: &Shared,
    handover: &mut Handover,
    arrived: Timestamp,
    progress: &Progress,
) {
    let unread = shared.lateness.longest_unread(arrived);
    if unread.is_zero() {
        return;
    }
    handover.remaining = handover.remaining.saturating_sub(unread);
    slog::info!(shared.log, "request read late"; "id" => progress.id().map_or("", id_text),
        "endpoint" => %handover.endpoint, "unread_ms" => Millis::of(unread).0,
        "left_ms" => Millis::of(handover.remaining).0);
}

/// Waits until closed connections were read if this process was suspended; the requests on them are dropped.
pub(super) async fn read_closed_connections(shared: &Shared) {
    let unread = shared.lateness.longest_unread(shared.clock.now());
    if !unread.is_zero() {
        tokio::time::sleep(CLOSE_READ_TIME).await;
    }
}

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
