//! What a trace is recorded from.

use super::model::Head;
use crate::requests::{CallerBehaviour, LoadProfile};

/// What a trace is recorded from: the head that the trace will have, and the load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Head of the trace.
    pub head: Head,
    /// Load.
    pub load: LoadProfile,
    /// How callers behave.
    pub callers: CallerBehaviour,
}
