//! What applications and callers outside say of a call.

use crate::context::Operation;
use crate::headers::context::parse_operation;
use crate::headers::fields::Fields;
use crate::headers::{HeaderError, MAX_TIMEOUT_MS};
use bramblewheel_types::{AttemptId, Criticality, RequestId, ServiceName, headers as names};
use std::time::Duration;

/// Longest name a caller may state, in bytes.
pub const MAX_CALLER_LENGTH: usize = 64;

/// Headers of a call as an application or a caller outside sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Service called.
    pub service: ServiceName,
    /// Attempt on whose behalf an endpoint calls; absent for root calls.
    pub parent: Option<AttemptId>,
    /// Original request, if the caller chose one.
    pub request: Option<RequestId>,
    /// Name the caller gives itself.
    pub caller: Option<String>,
    /// Number of this resend; 0 for the first send.
    pub resend: u32,
    /// Importance stated.
    pub criticality: Option<Criticality>,
    /// Time that the caller is ready to wait, cut at [`MAX_TIMEOUT_MS`].
    pub timeout: Option<Duration>,
    /// Session token, or the wish for one; not verified yet.
    pub session: Option<String>,
    /// Key of an operation that must not run twice.
    pub operation: Option<Operation>,
}

/// Parses the headers of a call.
///
/// # Errors
/// [`HeaderError`] when the service is missing or a header can't be understood.
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
