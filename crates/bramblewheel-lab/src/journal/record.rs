//! The events of a run.

use bramblewheel_types::{
    AttemptId, Criticality, NotRunReason, OperationKey, RequestId, ServiceName,
};
use serde::{Deserialize, Serialize};

/// One line of a journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event in microseconds on the machine's monotonic clock, comparable between processes.
    pub at_us: u64,
    /// Name of the process, endpoint or caller that recorded the event.
    pub source: String,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// An endpoint received a request.
    Received {
        /// Number of the arrival, by which later events refer to it; unique in a run.
        arrival: u64,
        /// Context that came with the request.
        context: CallContext,
    },
    /// An endpoint refused a request before running any of it.
    Refused {
        /// The arrival.
        arrival: u64,
        /// Reason of the refusal.
        reason: NotRunReason,
    },
    /// An endpoint began to run a request.
    Ran {
        /// The arrival.
        arrival: u64,
    },
    /// An endpoint finished a request and answered it.
    Ended {
        /// The arrival.
        arrival: u64,
        /// Whether it answered with an error.
        failed: bool,
    },
    /// An endpoint abandoned a request because the connection was closed.
    Cancelled {
        /// The arrival.
        arrival: u64,
    },
    /// A sub-call of an endpoint ended.
    SubCall(SubCallEnd),
    /// A caller sent a request.
    Sent(RootSend),
    /// A send ended with an answer, or the caller stopped waiting for one.
    #[serde(rename = "told")]
    SendEnded {
        /// The send, as in [`RootSend::send`].
        send: u64,
        /// How it ended.
        #[serde(rename = "told")]
        reply: ReplyFromDaemon,
    },
    /// A caller did not send a request because it had too many in progress.
    NotSent {
        /// Flow of the request.
        flow: String,
    },
    /// The fleet runner acted on a process.
    Fault {
        /// The process.
        process: String,
        /// The action.
        kind: FaultKind,
    },
    /// A process exited.
    Exited {
        /// The process.
        process: String,
        /// Exit status; none when a signal terminated it.
        status: Option<i32>,
    },
    /// A daemon logged that a bundle is in force.
    BundleInForce {
        /// The daemon.
        process: String,
        /// The bundle's version.
        version: u64,
    },
}

/// Context of a request at an endpoint, from the daemon's header fields and the lab's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// The caller's send at the root, as in [`RootSend::send`].
    pub send: u64,
    /// Number of the call, assigned by the calling side; at the root the number of the send.
    pub call: u64,
    /// Depth of the call; 1 at the root.
    pub depth: u32,
    /// Id of the original request.
    #[serde(with = "super::text")]
    pub request: RequestId,
    /// Id of the attempt.
    #[serde(with = "super::text")]
    pub attempt: AttemptId,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Path of the request.
    pub path: String,
    /// Class of the request.
    pub criticality: Criticality,
    /// Whether the root request carried a valid session token, as reported by the daemon.
    pub in_session: bool,
    /// Key of a run-once operation.
    pub operation: Option<OperationKey>,
    /// Time until the deadline, in milliseconds.
    pub timeout_ms: u64,
}

/// End of a sub-call as seen by the endpoint that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubCallEnd {
    /// Arrival for which it was made.
    pub arrival: u64,
    /// Number of the call.
    pub call: u64,
    /// Service called.
    pub service: ServiceName,
    /// Class of the call tree.
    pub criticality: Criticality,
    /// Answer of the endpoint's own daemon.
    #[serde(rename = "told")]
    pub reply: ReplyFromDaemon,
}

/// A send of an original request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootSend {
    /// Number of the send; unique in a run.
    pub send: u64,
    /// Id of the request, the same for all its sends.
    #[serde(with = "super::text")]
    pub request: RequestId,
    /// Number of earlier sends of the request, as stated to the gateway.
    pub resend: u32,
    /// Flow of the deployment.
    pub flow: String,
    /// Service called.
    pub service: ServiceName,
    /// Class that the bundle gives to the route.
    pub criticality: Criticality,
    /// Key of a run-once operation.
    pub operation: Option<OperationKey>,
    /// Index of the session whose token was sent, if any.
    pub session: Option<u64>,
    /// Gateway that it was sent to.
    pub gateway: String,
    /// Time until the request's deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Time at which the request was due, on the clock of [`Record::at_us`]. Latency counts from here, since an
    /// open-loop caller does not wait for earlier answers.
    pub due_us: u64,
}

/// Reply of a gateway or of an endpoint's own daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyFromDaemon {
    /// Outcome that it reports.
    #[serde(rename = "told")]
    pub outcome: CallerOutcome,
    /// HTTP status, if an answer arrived.
    pub status: Option<u16>,
    /// Whether the body equals the expected answer to this request byte for byte. None if no endpoint's answer was
    /// received.
    pub own_whole: Option<bool>,
}

/// Outcome of a send or sub-call as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// Completed.
    Completed,
    /// Certainly not run.
    NotRun {
        /// Reason.
        reason: NotRunReason,
    },
    /// The endpoint reported an error.
    Failed,
    /// It may have run.
    Unknown,
    /// There is no answer, or one without an outcome.
    Nothing {
        /// Why there is no outcome.
        failure: Failure,
    },
}

/// Why a caller has no answer with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// No connection; nothing was sent.
    NotConnected,
    /// The connection broke before the answer was complete.
    Broken,
    /// No answer within the time-out, which ends after the deadline.
    Silent,
    /// The answer has no valid outcome.
    NoOutcome,
}

/// Action of the fleet runner on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process was started.
    Started,
    /// SIGKILL.
    Killed,
    /// SIGTERM: a planned stop.
    PlannedStop,
    /// SIGSTOP.
    Frozen,
    /// SIGCONT.
    Thawed,
    /// The endpoint reports that it is leaving while its daemon keeps running.
    Leaving,
    /// The endpoint reports that it accepts work again.
    Returned,
    /// The endpoint's work was slowed down, or set back to its usual speed.
    SpeedChanged,
}
