//! Calls to other services made by local applications or by callers at a gateway.

mod accept;
mod attempt;
pub(crate) mod call;
mod send;

use crate::outbound::call::Call;
use crate::table::Table;
use bramblewheel_types::{AttemptId, CallId};

/// Maximum number of calls in progress; further calls are refused.
pub(crate) const MAX_CALLS: usize = 65_536;

/// Outbound calls in progress.
#[derive(Debug, Default)]
pub(crate) struct Outbound {
    pub(crate) calls: Table<CallId, Call>,
    /// Calls of the attempts in progress.
    pub(crate) attempts: Table<AttemptId, CallId>,
}
