//! An attempt that has not ended yet.
//!
//! The request's time, its caller or a planned stop may cut an attempt off anywhere. The directory must know of
//! that too, since it counts what is outstanding at each endpoint.

use crate::shared::Shared;
use bramblewheel_decisions::directory::AttemptEnd;
use bramblewheel_types::{EndpointId, Timestamp};

/// Tells the directory when dropped that the attempt was given up, unless it ended by itself.
pub(super) struct OpenAttempt<'a> {
    pub(super) shared: &'a Shared,
    pub(super) endpoint: &'a EndpointId,
    /// Name of the route.
    pub(super) route: &'a str,
    pub(super) begun: Timestamp,
    /// Whether the attempt has ended by itself.
    pub(super) is_over: bool,
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let now = self.shared.clock.now();
            let mut routing = self.shared.routing();
            let directory = &mut routing.directory;
            let end = AttemptEnd::GivenUp(now.since(self.begun));
            directory.record_end(now, self.endpoint, self.route, end, None);
        }
    }
}
