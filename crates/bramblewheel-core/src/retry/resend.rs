//! Recognises a caller's own resends of one original request.

use crate::table::RecentMap;
use bramblewheel_types::RequestId;

/// Original requests that are remembered.
const MAX_REQUESTS: usize = 65_536;

/// Original requests seen lately at this daemon.
#[derive(Debug)]
pub(crate) struct RecentRequests {
    seen: RecentMap<RequestId, ()>,
}

impl RecentRequests {
    pub(crate) fn new() -> Self {
        Self {
            seen: RecentMap::new(MAX_REQUESTS),
        }
    }

    /// Records an arrival; returns whether it is a resend, by its number or because the request
    /// was seen before (a caller that forgot to count gets no fresh tokens either).
    pub(crate) fn is_resend(&mut self, request: RequestId, resend: u32) -> bool {
        let is_new = self.seen.insert(request, ());
        resend > 0 || !is_new
    }
}
