//! Calls that the local applications, or callers at a gateway, make to other services.

mod accept;
mod attempt;
pub(crate) mod call;
mod send;

use crate::outbound::call::Call;
use crate::table::Table;
use bramblewheel_types::{AttemptId, CallId};

/// Calls in progress beyond which new ones are refused.
pub(crate) const MAX_CALLS: usize = 65_536;

/// Outbound calls in progress.
#[derive(Debug, Default)]
pub(crate) struct Outbound {
    pub(crate) calls: Table<CallId, Call>,
    /// Attempts in progress and the calls they belong to.
    pub(crate) attempts: Table<AttemptId, CallId>,
}
