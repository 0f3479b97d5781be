//! Recognises a caller's own resends of one original request, and what became of the others.
//!
//! A refusal proves that this send was not run, not that an earlier one was not. A caller that is
//! told `NotRun` may start anew under another key, so it is told so only if all sends of the
//! request came through this daemon and all of them were provably not run.

use crate::table::RecentMap;
use bramblewheel_types::RequestId;

/// Original requests that are remembered.
const MAX_REQUESTS: usize = 65_536;

/// Sends of one original request that this daemon has seen.
#[derive(Debug, Default)]
struct Sends {
    seen: u32,
    in_progress: u32,
    may_have_run: bool,
}

/// What is known of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Whether the request was sent before, here or elsewhere.
    pub(crate) is_resend: bool,
    /// Whether an earlier send may have run.
    pub(crate) may_have_run: bool,
}

/// Original requests seen lately at this daemon.
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

    /// Records an arrival; [`Self::record_end`] must follow.
    ///
    /// A request is a resend by its number, or because it was seen before: a caller that forgot
    /// to count gets no fresh tokens either. A number beyond the sends seen here means that
    /// others went elsewhere, or were forgotten.
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

    /// Records how a send ended.
    pub(crate) fn record_end(&mut self, request: RequestId, is_not_run: bool) {
        let sends = self.requests.get_or_insert_with(&request, Sends::default);
        sends.in_progress = sends.in_progress.saturating_sub(1);
        sends.may_have_run |= !is_not_run;
    }
}
