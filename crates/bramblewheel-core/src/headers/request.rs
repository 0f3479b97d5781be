//! Headers of a call from an application or an external caller.

use crate::context::Operation;
use crate::headers::context::parse_operation;
use crate::headers::fields::Fields;
use crate::headers::{HeaderError, MAX_TIMEOUT_MS};
use bramblewheel_types::{AttemptId, Criticality, RequestId, ServiceName, headers as names};
use std::time::Duration;

/// Longest caller name, in bytes.
pub const MAX_CALLER_LENGTH: usize = 64;

/// Parsed headers of a call from an application or an external caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Service called.
    pub service: ServiceName,
    /// Attempt for which an endpoint makes the call; absent for root calls.
    pub parent: Option<AttemptId>,
    /// Original request id, if the caller chose one.
    pub request: Option<RequestId>,
    /// Name stated by the caller.
    pub caller: Option<String>,
    /// Number of this resend; 0 for the first send.
    pub resend: u32,
    /// Requested class.
    pub criticality: Option<Criticality>,
    /// How long the caller waits, at most [`MAX_TIMEOUT_MS`].
    pub timeout: Option<Duration>,
    /// Unverified session token, or a request for a new one.
    pub session: Option<String>,
    /// Identity of an operation that must not run twice.
    pub operation: Option<Operation>,
}

/// Parses the headers of a call.
///
/// # Errors
/// [`HeaderError`] when the service is missing or a header is malformed.
pub fn parse(fields: &Fields<'_>) -> Result<RequestHeaders, HeaderError> {
    Ok(RequestHeaders {
        service: fields.required(names::SERVICE)?,
        parent: fields.optional(names::PARENT)?,
        request: fields.optional(names::REQUEST_ID)?,
        caller: parse_caller(fields)?,
        resend: fields.optional_number(names::RESEND)?.unwrap_or(0),
        criticality: fields.optional(names::CRITICALITY)?,
        timeout: fields
            .optional_number(names::TIMEOUT_MS)?
            .map(|millis: u64| Duration::from_millis(millis.min(MAX_TIMEOUT_MS))),
        session: fields.text(names::SESSION).map(str::to_owned),
        operation: parse_operation(fields)?,
    })
}

fn parse_caller(fields: &Fields<'_>) -> Result<Option<String>, HeaderError> {
    let name = fields.text(names::CALLER);
    match name.map(str::len) {
        Some(length) if length > MAX_CALLER_LENGTH => Err(HeaderError::TooLong {
            name: names::CALLER.to_owned(),
            length,
        }),
        _ => Ok(name.map(str::to_owned)),
    }
}
