//! Parsing of calls from applications and external callers.

use crate::http::fields::{fields, fields_from_outside};
use bramblewheel_core::context::{CallOrigin, CallRequest};
use bramblewheel_core::headers::HeaderError;
use bramblewheel_core::headers::request::{self, RequestHeaders};
use bramblewheel_core::headers::route_path::route_path;
use bramblewheel_protocol::headers;
use bramblewheel_types::RequestId;
use http::request::Parts;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;

/// Properties of an external call that are not taken from its headers.
#[derive(Clone, Copy, Debug)]
pub struct RootDetails {
    /// Address of the caller.
    pub peer: IpAddr,
    /// Generated request id, used if the caller states none.
    pub generated_request: RequestId,
    /// Whether the call carries a valid session token.
    pub in_session: bool,
}

/// Parses an external call at a gateway; headers that external callers may not set are ignored.
///
/// # Errors
/// [`HeaderError`] when a header that callers may set is malformed.
pub fn read_root(
    parts: &Parts,
    body: &[u8],
    details: RootDetails,
) -> Result<CallRequest, HeaderError> {
    let stated = request::parse(&fields_from_outside(&parts.headers)?)?;
    let origin = CallOrigin::Root {
        request: stated.request.unwrap_or(details.generated_request),
        resend: stated.resend,
        caller: caller_name(stated.caller.as_deref(), details.peer),
        criticality: stated.criticality,
        in_session: details.in_session,
    };
    call(parts, body, origin, stated)
}

/// Parses a sub-call of the local endpoint, which must name the attempt for which it is made.
///
/// # Errors
/// [`HeaderError`] when a header is missing or malformed.
pub fn read_sub_call(parts: &Parts, body: &[u8]) -> Result<CallRequest, HeaderError> {
    let stated = request::parse(&fields(&parts.headers)?)?;
    let parent = stated.parent.ok_or(HeaderError::Missing(headers::PARENT))?;
    call(parts, body, CallOrigin::SubCall { parent }, stated)
}

fn call(
    parts: &Parts,
    body: &[u8],
    origin: CallOrigin,
    stated: RequestHeaders,
) -> Result<CallRequest, HeaderError> {
    Ok(CallRequest {
        service: stated.service,
        path: route_path(parts.uri.path())?,
        origin,
        timeout: stated.timeout,
        operation: stated.operation,
        fingerprint: fingerprint(parts, body),
    })
}

/// The stated name, prefixed with the address so that no caller can use up another's budget.
fn caller_name(stated: Option<&str>, peer: IpAddr) -> String {
    match stated {
        Some(name) => format!("{peer}/{name}"),
        None => peer.to_string(),
    }
}

fn fingerprint(parts: &Parts, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.method.as_str().hash(&mut hasher);
    parts.uri.path().hash(&mut hasher);
    parts.uri.query().hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}
