//! What happens to a daemon: the inputs of the [`Engine`](crate::engine::Engine).

use crate::context::{CallContext, CallRequest};
use bramblewheel_bundle::Bundle;
use bramblewheel_types::{
    AttemptId, CallId, Criticality, EndpointId, Millis, NotRunReason, OperationKey, Outcome,
    ServiceName, ZoneName,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// One input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An application asks for a call.
    OutboundCall {
        /// Id drawn by the shell, unique in this process.
        call: CallId,
        /// What is asked for.
        request: CallRequest,
    },
    /// The application went away before its answer.
    OutboundCancelled {
        /// The call given up.
        call: CallId,
    },
    /// An attempt sent to another daemon ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// Another daemon hands an attempt to the local endpoint's daemon.
    InboundCall {
        /// Context from the headers; its attempt id names the call here.
        context: CallContext,
    },
    /// The calling daemon closed its connection before the answer.
    InboundCancelled {
        /// The attempt given up.
        attempt: AttemptId,
    },
    /// The local endpoint ended a dispatched attempt.
    DispatchEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: DispatchResult,
    },
    /// The local endpoint reported its own load.
    LocalReport(EndpointReport),
    /// The ledger answered a claim.
    ClaimAnswered {
        /// The attempt the claim was for.
        attempt: AttemptId,
        /// What the ledger says.
        answer: ClaimAnswer,
    },
    /// A confirmed bundle, already persisted, is to be used from now on.
    BundleInstalled(Arc<Bundle>),
    /// The directory of live endpoints changed.
    DirectoryUpdated(DirectoryUpdate),
    /// A planned stop begins: take no new work, finish what is in progress.
    DrainRequested,
    /// Time passed; sent at or after [`Engine::next_wakeup`](crate::engine::Engine::next_wakeup).
    Tick,
}

/// How an attempt at another daemon ended, as far as this daemon can prove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// No connection could be opened; no byte of the request was sent.
    NotSent,
    /// A whole answer arrived whose attempt id matched.
    Answered {
        /// Outcome that the called daemon states.
        outcome: Outcome,
        /// What the called daemon adds to every answer.
        feedback: Feedback,
    },
    /// The connection broke after the first byte of the request, or the answer was broken.
    Lost,
}

/// News that a called daemon puts on every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Feedback {
    /// Tokens spent in the subtree, out of those lent with the attempt.
    pub retry_tokens_spent: u32,
    /// No hop above may try again (overload, tokens used up).
    pub is_final: bool,
    /// The endpoint is leaving.
    pub draining: bool,
    /// Calls running and queued at the endpoint, per 100 of its concurrency limit.
    pub load_percent: u32,
    /// Callers should shed below this before sending.
    pub admission_level: AdmissionLevel,
}

/// Admission threshold of an endpoint: what is below it would be shed there.
///
/// Ordered: a larger level admits less. Requests of a class above `criticality` pass, those of
/// a class below do not, and of the class itself those pass whose
/// [`shedding_position`](crate::cohort::shedding_position) is at least `cohort`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionLevel {
    /// Class that is admitted in part.
    pub criticality: Criticality,
    /// Smallest admitted cohort of that class, 0 to 127; see [`crate::cohort`].
    pub cohort: u8,
}

impl Default for AdmissionLevel {
    /// The level that admits everything; the default class would not be the lowest.
    fn default() -> Self {
        Self {
            criticality: Criticality::Sheddable,
            cohort: 0,
        }
    }
}

/// How a dispatched attempt ended at the local endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// No connection to the endpoint could be opened; nothing was sent.
    NotSent,
    /// The endpoint refused with its own not-run proof.
    Refused {
        /// Reason given.
        reason: NotRunReason,
        /// When the endpoint asks callers to come back.
        retry_after: Millis,
    },
    /// The endpoint answered in full.
    Answered {
        /// Whether the answer reports an error of the endpoint.
        failed: bool,
        /// Status and body to store for a run-once operation; the shell cuts long bodies.
        stored: StoredAnswer,
    },
    /// The connection broke after the request was begun, or the answer was broken.
    Lost,
}

/// Answer of a run-once operation, kept in the ledger for resends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, if it is no longer than the ledger keeps.
    pub body: Option<Vec<u8>>,
}

/// The local endpoint's own word on its load: a hint that may lag or mislead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// Requests the endpoint can run side by side.
    pub slots: u32,
    /// Requests it says it is running.
    pub busy: u32,
    /// It wants no new work.
    pub draining: bool,
}

/// What the ledger says of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim is durable at a quorum and belongs to this attempt.
    Granted,
    /// The operation ran before; here is its answer.
    Completed {
        /// Whether the endpoint reported an error.
        failed: bool,
        /// The answer as stored.
        answer: StoredAnswer,
    },
    /// Another attempt holds the claim and its result is not known.
    HeldElsewhere,
    /// The key is older than the retention horizon.
    Expired,
    /// No quorum could be reached and the claim was provably not recorded, or was released.
    Unavailable,
}

/// A ledger request of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerRequest {
    /// Claim the operation for this attempt.
    Claim {
        /// Operation key.
        key: OperationKey,
        /// When the key was minted, in milliseconds since the Unix epoch.
        minted_at_unix_millis: u64,
    },
    /// Record the endpoint's answer.
    Complete {
        /// Operation key.
        key: OperationKey,
        /// Whether the endpoint reported an error.
        failed: bool,
        /// The answer to store.
        answer: StoredAnswer,
    },
    /// Give the claim back: the operation was provably not dispatched.
    Release {
        /// Operation key.
        key: OperationKey,
    },
}

/// Change of the set of live endpoints of the services this daemon calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Whether `live` is everything known, so that endpoints not named are gone.
    pub is_complete: bool,
    /// Endpoints that are live or changed.
    pub live: Vec<DirectoryEndpoint>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
}

/// One endpoint as the directory knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEndpoint {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address of its daemon's inbound listener.
    pub address: SocketAddr,
    /// It takes no new work.
    pub draining: bool,
}
