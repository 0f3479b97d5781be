//! State of one inbound attempt.

use crate::context::CallContext;
use crate::event::AdmissionLevel;
use crate::inbound::queue::QueuePlace;
use crate::retry::tokens::TokenPool;
use bramblewheel_types::{CallId, ServiceName, Timestamp};
use std::collections::BTreeSet;

/// Distinct sub-calls remembered per attempt. Each further one counts as a repeat and costs a
/// token: memory stays bounded, and exceeding the limit does not bypass the retry bound.
const MAX_DISTINCT_SUB_CALLS: usize = 1_024;

/// One attempt sent to the local endpoint by another daemon.
#[derive(Debug)]
pub(crate) struct InboundAttempt {
    pub(crate) context: CallContext,
    pub(crate) stage: Stage,
    pub(crate) arrived: Timestamp,
    /// Number of ledger answers saying that another attempt holds the claim.
    pub(crate) held_answers: u32,
    /// Tokens lent by the caller; sub-calls spend from this pool.
    pub(crate) pool: TokenPool,
    /// Sub-calls in progress.
    pub(crate) sub_calls: BTreeSet<CallId>,
    /// Whether the endpoint has made any sub-call for this attempt.
    pub(crate) has_sub_calls: bool,
    /// Whether a sub-call ended without `Completed`, so that the failure lies below this hop.
    pub(crate) has_failed_sub_call: bool,
    /// Highest admission level among the services called by its sub-calls.
    pub(crate) sub_call_level: AdmissionLevel,
    seen: BTreeSet<(ServiceName, u64)>,
}

/// Processing stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for a slot.
    Queued(QueuePlace),
    /// Holding a slot while waiting for the ledger's answer.
    Claiming {
        /// Time at which the claim request times out or is repeated.
        until: Timestamp,
    },
    /// Running at the local endpoint.
    Running {
        /// Time of dispatch.
        since: Timestamp,
    },
    /// A run-once operation that is still running after its caller was answered `Unknown`; its
    /// result will be recorded in the ledger.
    Detached {
        /// Time of dispatch.
        since: Timestamp,
        /// Time at which waiting for the result ends.
        until: Timestamp,
    },
}

impl InboundAttempt {
    pub(crate) fn new(now: Timestamp, context: CallContext, place: QueuePlace) -> Self {
        Self {
            pool: TokenPool::new(context.retry_tokens),
            context,
            held_answers: 0,
            stage: Stage::Queued(place),
            arrived: now,
            sub_calls: BTreeSet::new(),
            has_sub_calls: false,
            has_failed_sub_call: false,
            sub_call_level: AdmissionLevel::default(),
            seen: BTreeSet::new(),
        }
    }

    /// Whether the local endpoint is running the attempt and may therefore make sub-calls.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running { .. } | Stage::Detached { .. })
    }

    /// Records a sub-call; returns false if the endpoint has made the same sub-call before.
    pub(crate) fn record_sub_call(&mut self, service: &ServiceName, fingerprint: u64) -> bool {
        if self.seen.len() >= MAX_DISTINCT_SUB_CALLS {
            return false;
        }
        self.seen.insert((service.clone(), fingerprint))
    }
}
