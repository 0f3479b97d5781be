//! Names of the HTTP headers that carry a call's context between hops, and to and from
//! applications. `docs/SETTINGS.md` lists who may set which.

/// Name of the service called. Set by applications and callers.
pub const SERVICE: &str = "bw-service";
/// Id of the original request at the root, 32 hexadecimal digits. Outside callers may set it and must send the
/// same id when they resend the request.
pub const REQUEST_ID: &str = "bw-request-id";
/// Number of resends of a request, incremented by an outside caller at each resend; absent means 0.
pub const RESEND: &str = "bw-resend";
/// Id of the call that an attempt belongs to, 16 hexadecimal digits. Between daemons.
pub const CALL_ID: &str = "bw-call-id";
/// Id of the attempt, 16 hexadecimal digits. Given to the endpoint, which passes it as [`PARENT`] on
/// its sub-calls; echoed on every answer between daemons.
pub const ATTEMPT: &str = "bw-attempt";
/// On a sub-call: id of the attempt that the endpoint is running.
pub const PARENT: &str = "bw-parent";
/// Importance class. An outside caller may lower its class with it, never raise it.
pub const CRITICALITY: &str = "bw-criticality";
/// Remaining time until the deadline in milliseconds, recomputed at each hop.
pub const TIMEOUT_MS: &str = "bw-timeout-ms";
/// Retry tokens that the subtree may spend. Between daemons.
pub const RETRY_TOKENS: &str = "bw-retry-tokens";
/// Depth of the call. Between daemons.
pub const DEPTH: &str = "bw-depth";
/// Session token held by the caller; see [`SESSION_OPEN`].
pub const SESSION: &str = "bw-session";
/// Value of [`SESSION`] with which a caller asks for a new session.
pub const SESSION_OPEN: &str = "open";
/// Set to `1` between daemons when a valid session token came with the root request.
pub const IN_SESSION: &str = "bw-in-session";
/// Name that an outside caller reports; its retry ratio is tracked per address and name.
pub const CALLER: &str = "bw-caller";
/// Set to `1` between daemons when an earlier attempt of the same request may have run.
pub const MAY_HAVE_RUN: &str = "bw-may-have-run";
/// Key of an operation that must not run twice.
pub const OPERATION_KEY: &str = "bw-operation-key";
/// When the key was minted, in milliseconds since the Unix epoch.
pub const OPERATION_MINTED: &str = "bw-operation-minted-ms";
/// Bundle version under which the caller's daemon decided. Between daemons.
pub const BUNDLE_VERSION: &str = "bw-bundle-version";

/// On answers: `completed`, `not-run`, `failed` or `unknown`.
pub const OUTCOME: &str = "bw-outcome";
/// On answers to requests that were not run: the reason.
pub const REASON: &str = "bw-reason";
/// On answers to requests that were not run: time after which the caller may retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "bw-retry-after-ms";
/// On answers between daemons: retry tokens spent in the subtree.
pub const TOKENS_SPENT: &str = "bw-tokens-spent";
/// On answers between daemons: `1` when no hop above may retry.
pub const FINAL: &str = "bw-final";
/// On answers: `1` when the endpoint is draining.
pub const DRAINING: &str = "bw-draining";
/// On answers between daemons: load of the endpoint in per cent of its concurrency limit.
pub const LOAD: &str = "bw-load";
/// On answers between daemons: admission level, `CLASS/COHORT`.
pub const ADMISSION_LEVEL: &str = "bw-admission-level";

/// Prefix of all of the project's headers; a gateway strips those that outside callers may not set.
pub const PREFIX: &str = "bw-";
