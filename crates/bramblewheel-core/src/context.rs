//! What travels with a call from hop to hop.

use bramblewheel_types::{
    AttemptId, BundleVersion, CallId, Criticality, OperationKey, RequestId, ServiceName, Timestamp,
};

/// Context of one attempt, as the calling daemon sends it and the called daemon receives it.
///
/// `deadline` is on the local clock of whoever holds the value; between processes it crosses
/// as remaining time, because clocks differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// The original request at the root of the tree.
    pub request: RequestId,
    /// The call this attempt belongs to.
    pub call: CallId,
    /// This attempt.
    pub attempt: AttemptId,
    /// Service called.
    pub service: ServiceName,
    /// Path called, without query.
    pub path: String,
    /// Importance, set at the root.
    pub criticality: Criticality,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Extra attempts that the subtree below this attempt may spend.
    pub retry_tokens: u32,
    /// Depth of this call; the root call has depth 1.
    pub depth: u8,
    /// Whether a valid session token came with the root request.
    pub in_session: bool,
    /// Set when the request must not run twice.
    pub operation: Option<Operation>,
    /// An earlier try of the same request, or of a call above, may have run: a refusal of this
    /// try proves nothing about the request.
    pub may_have_run: bool,
    /// Bundle version under which the caller's daemon decided.
    pub bundle_version: BundleVersion,
}

/// Identity of a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Key chosen by the original caller.
    pub key: OperationKey,
    /// When the caller minted the key, in milliseconds since the Unix epoch.
    pub minted_at_unix_millis: u64,
}

/// A call as an application hands it to its daemon, before any decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Service called.
    pub service: ServiceName,
    /// Path called, without query.
    pub path: String,
    /// Where the call comes from.
    pub origin: CallOrigin,
    /// Time the caller is ready to wait, from now; the bundle's deadline applies if absent.
    pub timeout: Option<std::time::Duration>,
    /// Operation key, required on routes that are not repeatable.
    pub operation: Option<Operation>,
    /// Hash of method, path, query and body, to recognise an application's own repeats.
    pub fingerprint: u64,
}

/// Where a call comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller outside the call graph: the root of a tree.
    Root {
        /// Original request id; chosen by the caller, or drawn by the shell.
        request: RequestId,
        /// 0 for the first send, then counted up by the caller at each resend.
        resend: u32,
        /// Name under which the caller's retry ratio is kept (its address or stated name).
        caller: String,
        /// Importance the caller states; it may lower the bundle's class, never raise it.
        criticality: Option<Criticality>,
        /// Whether a session token was given and is valid.
        in_session: bool,
    },
    /// The local endpoint, on behalf of an attempt it is running.
    SubCall {
        /// The attempt being run by the local endpoint.
        parent: AttemptId,
    },
}
