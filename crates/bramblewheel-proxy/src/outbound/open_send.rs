//! A send that has not ended yet.

use crate::shared::Shared;
use bramblewheel_decisions::directory::AttemptEnd;
use bramblewheel_types::{EndpointId, Timestamp};

/// Tells the directory of a send that was given up, unless it ended by itself.
pub(super) struct OpenSend<'a> {
    pub(super) shared: &'a Shared,
    pub(super) endpoint: &'a EndpointId,
    pub(super) route: &'a str,
    pub(super) begun: Timestamp,
    pub(super) is_over: bool,
}

impl Drop for OpenSend<'_> {
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
