//! State of one outbound call.

use crate::context::Operation;
use crate::event::AdmissionLevel;
use crate::retry::tokens::TokenPool;
use bramblewheel_types::{
    AttemptId, Criticality, EndpointId, Outcome, RequestId, ServiceName, Timestamp,
};

/// One call of a local application or of a caller at a gateway.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) path: String,
    /// Number of the route among those of the service.
    pub(crate) route: usize,
    pub(crate) criticality: Criticality,
    pub(crate) in_session: bool,
    pub(crate) position: AdmissionLevel,
    pub(crate) deadline: Timestamp,
    pub(crate) depth: u8,
    /// Present if and only if the call must not run twice.
    pub(crate) operation: Option<Operation>,
    pub(crate) tokens: TokenSource,
    /// Key of the caller's retry ratio budget.
    pub(crate) caller: String,
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) free_reroutes: u8,
    pub(crate) evidence: Evidence,
    pub(crate) current: Option<OutstandingAttempt>,
}

/// Pool from which a call spends tokens.
#[derive(Debug)]
pub(crate) enum TokenSource {
    /// The call is a root and has its own pool.
    Own(TokenPool),
    /// The call is a sub-call of an attempt that the local endpoint is running.
    Parent(AttemptId),
}

impl Call {
    pub(crate) fn parent(&self) -> Option<AttemptId> {
        match self.tokens {
            TokenSource::Own(_) => None,
            TokenSource::Parent(parent) => Some(parent),
        }
    }
}

/// An attempt whose answer is awaited.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Timestamp,
    /// Tokens lent with the attempt.
    pub(crate) lent: u32,
}

/// Combined evidence of the earlier attempts of a call, whose results were not its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Evidence {
    /// Every attempt was refused with a not-run proof or never sent.
    #[default]
    NotRun,
    /// An attempt ran and its endpoint reported an error.
    Failed,
    /// An attempt may have run.
    Unknown,
}

impl Evidence {
    /// Evidence given by the outcome of an ended attempt.
    pub(crate) fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun { .. } => Self::NotRun,
            Outcome::Completed | Outcome::Failed => Self::Failed,
            Outcome::Unknown => Self::Unknown,
        }
    }

    /// Outcome of a call that ends with `refusal`, given the evidence of its attempts.
    pub(crate) fn outcome_or(self, refusal: Outcome) -> Outcome {
        match self {
            Self::NotRun => refusal,
            Self::Failed => Outcome::Failed,
            Self::Unknown => Outcome::Unknown,
        }
    }
}
