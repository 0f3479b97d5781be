//! Plan from which a trace is recorded.

use super::model::Head;
use crate::requests::{CallerBehaviour, LoadProfile};

/// Plan from which a trace is recorded: the head of the trace, the load and the behaviour of callers.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Head of the trace.
    pub head: Head,
    /// Load to generate.
    pub load: LoadProfile,
    /// Behaviour of callers.
    pub callers: CallerBehaviour,
}
