//! Detects resends of an original request by its caller and tracks the results of earlier sends.
//!
//! A refusal proves that this send was not run, but not that no earlier send was. A caller that is
//! answered `NotRun` may start again under another key, so that answer is given only if all sends of
//! the request came through this daemon and all of them were provably not run.

use crate::table::RecentMap;
use bramblewheel_types::RequestId;

/// Capacity of the map of original requests.
const MAX_REQUESTS: usize = 65_536;

/// Sends of one original request received by this daemon.
#[derive(Debug, Default)]
struct Sends {
    seen: u32,
    in_progress: u32,
    may_have_run: bool,
}

/// Classification of an arriving request by its earlier sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Whether the request was sent before, to this daemon or another.
    pub(crate) is_resend: bool,
    /// Whether an earlier send may have run.
    pub(crate) may_have_run: bool,
}

/// Recent original requests at this daemon.
#[derive(Debug)]
pub(crate) struct RecentRequests {
    requests: RecentMap<RequestId, Sends>,
}

impl RecentRequests {
    pub(crate) fn new() -> Self {
        Self {
            requests: RecentMap::new(MAX_REQUESTS),
        }
    }

    /// Records an arrival; each must be followed by [`Self::record_end`].
    ///
    /// A request is a resend if its resend number is above 0 or it was seen before, so a caller
    /// that does not count its resends gets no fresh tokens either. A number above the count of
    /// sends seen here means that earlier sends went elsewhere or are no longer remembered.
    pub(crate) fn record_arrival(&mut self, request: RequestId, resend: u32) -> Arrival {
        let sends = self.requests.get_or_insert_with(&request, Sends::default);
        sends.may_have_run |= resend > sends.seen;
        let arrival = Arrival {
            is_resend: resend > 0 || sends.seen > 0,
            may_have_run: sends.may_have_run || sends.in_progress > 0,
        };
        sends.seen = sends.seen.max(resend).saturating_add(1);
        sends.in_progress += 1;
        arrival
    }

    /// Records the end of a send.
    pub(crate) fn record_end(&mut self, request: RequestId, is_not_run: bool) {
        let sends = self.requests.get_or_insert_with(&request, Sends::default);
        sends.in_progress = sends.in_progress.saturating_sub(1);
        sends.may_have_run |= !is_not_run;
    }
}
