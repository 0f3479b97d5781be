//! The events of a run.

use bramblewheel_types::{
    AttemptId, Criticality, NotRunReason, OperationKey, RequestId, ServiceName,
};
use serde::{Deserialize, Serialize};

/// One line of a journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When, in microseconds on the machine's monotonic clock: comparable between processes.
    pub at_us: u64,
    /// Name of the process, endpoint or caller that writes.
    pub source: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// An endpoint received a request.
    Received {
        /// Names the arrival at this endpoint in later events; unique in a run.
        arrival: u64,
        /// What the endpoint was given with it.
        context: CallContext,
    },
    /// An endpoint refused a request before doing anything for it.
    Refused {
        /// The arrival.
        arrival: u64,
        /// Why.
        reason: NotRunReason,
    },
    /// An endpoint began to work for a request: from here on it ran.
    Ran {
        /// The arrival.
        arrival: u64,
    },
    /// An endpoint ended its work and answered.
    Ended {
        /// The arrival.
        arrival: u64,
        /// Whether it answered with an error.
        failed: bool,
    },
    /// An endpoint stopped its work because the connection was closed.
    Cancelled {
        /// The arrival.
        arrival: u64,
    },
    /// A sub-call of an endpoint ended.
    SubCall(SubCallEnd),
    /// A caller sent a request.
    Sent(RootSend),
    /// A caller got the outcome of a send, or gave it up.
    #[serde(rename = "told")]
    SendEnded {
        /// The send, as in [`RootSend::send`].
        send: u64,
        /// How it ended.
        #[serde(rename = "told")]
        reply: ReplyFromDaemon,
    },
    /// A caller did not send a request because it has too many in progress.
    NotSent {
        /// The flow.
        flow: String,
    },
    /// The fleet runner did something to a process.
    Fault {
        /// The process.
        process: String,
        /// What was done.
        kind: FaultKind,
    },
    /// A process ended.
    Exited {
        /// The process.
        process: String,
        /// Exit status; none when a signal ended it.
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

/// What an endpoint is given with a request, and what the lab's own header fields add.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallContext {
    /// The caller's send at the root, as in [`RootSend::send`].
    pub send: u64,
    /// The call, drawn by whoever calls: the send itself at the root.
    pub call: u64,
    /// Depth of the call; 1 at the root.
    pub depth: u32,
    /// Original request.
    #[serde(with = "super::text")]
    pub request: RequestId,
    /// Attempt.
    #[serde(with = "super::text")]
    pub attempt: AttemptId,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// Class.
    pub criticality: Criticality,
    /// Whether the daemon says that the root request came with a valid session token.
    pub in_session: bool,
    /// Key of a run-once operation.
    pub operation: Option<OperationKey>,
    /// Remaining time in milliseconds.
    pub timeout_ms: u64,
}

/// A sub-call as the endpoint that made it saw it end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubCallEnd {
    /// Arrival that it was made for.
    pub arrival: u64,
    /// The call.
    pub call: u64,
    /// Service called.
    pub service: ServiceName,
    /// Class of the tree.
    pub criticality: Criticality,
    /// Answer of the endpoint's own daemon.
    #[serde(rename = "told")]
    pub reply: ReplyFromDaemon,
}

/// A send of an original request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootSend {
    /// Names the send; unique in a run.
    pub send: u64,
    /// The request; the same for all its sends.
    #[serde(with = "super::text")]
    pub request: RequestId,
    /// How many sends went before it, as stated to the gateway.
    pub resend: u32,
    /// Flow of the deployment.
    pub flow: String,
    /// Service called.
    pub service: ServiceName,
    /// Class that the bundle gives to the route.
    pub criticality: Criticality,
    /// Key of a run-once operation.
    pub operation: Option<OperationKey>,
    /// Number of the session whose token went along.
    pub session: Option<u64>,
    /// Gateway that it was sent to.
    pub gateway: String,
    /// Time until the request's deadline, in milliseconds.
    pub timeout_ms: u64,
    /// When the request was due, in microseconds as [`Record::at_us`]: an open-loop caller does
    /// not wait for answers, and neither does the latency it sees.
    pub due_us: u64,
}

/// An answer of a gateway or of an endpoint's own daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyFromDaemon {
    /// What it says.
    #[serde(rename = "told")]
    pub outcome: CallerOutcome,
    /// HTTP status, if an answer came.
    pub status: Option<u16>,
    /// Whether the body is, byte for byte, the answer to this very request. None where there is
    /// no endpoint's answer to compare.
    pub own_whole: Option<bool>,
}

/// How a send or sub-call ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// Completed.
    Completed,
    /// Provably not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
    /// The endpoint reported an error.
    Failed,
    /// It may have run.
    Unknown,
    /// Nothing: there is no answer, or none with an outcome.
    Nothing {
        /// What the caller met instead.
        failure: Failure,
    },
}

/// Why a caller has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// No connection; nothing was sent.
    NotConnected,
    /// The connection broke before the whole answer was there.
    Broken,
    /// No answer until well after the deadline.
    Silent,
    /// An answer without a readable outcome.
    NoOutcome,
}

/// What the fleet runner does to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// It started.
    Started,
    /// SIGKILL.
    Killed,
    /// SIGTERM: a planned stop.
    PlannedStop,
    /// SIGSTOP.
    Frozen,
    /// SIGCONT.
    Thawed,
    /// The endpoint says of itself that it is leaving, while its daemon runs on.
    Leaving,
    /// The endpoint says of itself that it is back.
    Returned,
    /// The endpoint works more slowly than usual, or at its usual speed again.
    SpeedChanged,
}
