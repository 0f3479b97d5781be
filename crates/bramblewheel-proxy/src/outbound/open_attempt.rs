//! Guard of an attempt in progress.
//!
//! The request's deadline, its caller or a planned stop may cancel an attempt at any await point. The directory
//! counts outstanding attempts per endpoint, so a cancelled attempt must be recorded as well.

use crate::shared::Shared;
use bramblewheel_decisions::directory::AttemptEnd;
use bramblewheel_types::{EndpointId, Timestamp};

/// Records the attempt in the directory as given up when dropped, unless it has ended.
pub(super) struct OpenAttempt<'a> {
    pub(super) shared: &'a Shared,
    pub(super) endpoint: &'a EndpointId,
    /// Name of the route.
    pub(super) route: &'a str,
    pub(super) started_at: Timestamp,
    /// Whether the attempt ended without being cancelled.
    pub(super) has_ended: bool,
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = self.shared.clock.now();
            let mut routing = self.shared.routing();
            let directory = &mut routing.directory;
            let end = AttemptEnd::GivenUp(now.since(self.started_at));
            directory.record_end(now, self.endpoint, self.route, end, None);
        }
    }
}
