//! State of one inbound attempt.

use crate::context::CallContext;
use crate::event::AdmissionLevel;
use crate::inbound::queue::QueuePlace;
use crate::retry::tokens::TokenPool;
use bramblewheel_types::{CallId, ServiceName, Timestamp};
use std::collections::BTreeSet;

/// Different sub-calls of one attempt that are told apart; each further one counts as a repeat
/// and costs a token, so that memory stays bounded without opening a way round the bound.
const MAX_DISTINCT_SUB_CALLS: usize = 1_024;

/// One attempt handed to the local endpoint's daemon.
#[derive(Debug)]
pub(crate) struct InboundAttempt {
    pub(crate) context: CallContext,
    pub(crate) stage: Stage,
    pub(crate) arrived: Timestamp,
    /// Times that the ledger said another attempt holds the claim.
    pub(crate) times_held: u32,
    /// Tokens lent by the caller; sub-calls spend from it.
    pub(crate) pool: TokenPool,
    /// Sub-calls in progress.
    pub(crate) sub_calls: BTreeSet<CallId>,
    /// Whether the endpoint has asked for any sub-call on behalf of this attempt.
    pub(crate) has_sub_calls: bool,
    /// Whether a sub-call ended other than completed: the failure lies below this hop.
    pub(crate) has_failed_sub_call: bool,
    /// Highest admission level that its sub-calls met.
    pub(crate) met_level: AdmissionLevel,
    seen: BTreeSet<(ServiceName, u64)>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for a slot.
    Queued(QueuePlace),
    /// Holding a slot until the ledger answers or `until` passes.
    Claiming {
        /// When the wait is given up.
        until: Timestamp,
    },
    /// Running at the local endpoint.
    Running {
        /// When it was passed on.
        since: Timestamp,
    },
    /// A run-once operation still running after its caller was answered `Unknown`; its end is
    /// recorded in the ledger.
    Detached {
        /// When it was passed on.
        since: Timestamp,
        /// When the wait for its end is given up.
        until: Timestamp,
    },
}

impl InboundAttempt {
    pub(crate) fn new(now: Timestamp, context: CallContext, place: QueuePlace) -> Self {
        Self {
            pool: TokenPool::new(context.retry_tokens),
            context,
            times_held: 0,
            stage: Stage::Queued(place),
            arrived: now,
            sub_calls: BTreeSet::new(),
            has_sub_calls: false,
            has_failed_sub_call: false,
            met_level: AdmissionLevel::default(),
            seen: BTreeSet::new(),
        }
    }

    /// Whether the local endpoint is running it, so that it may ask for sub-calls.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running { .. } | Stage::Detached { .. })
    }

    /// Records a sub-call; false if the endpoint asked for the same before.
    pub(crate) fn note_sub_call(&mut self, service: &ServiceName, fingerprint: u64) -> bool {
        if self.seen.len() >= MAX_DISTINCT_SUB_CALLS {
            return false;
        }
        self.seen.insert((service.clone(), fingerprint))
    }
}
