//! A call as an application or outside caller states it in header fields.

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

/// What a gateway knows of an outside call besides its header fields.
#[derive(Clone, Copy, Debug)]
pub struct RootFacts {
    /// Address the caller connects from.
    pub peer: IpAddr,
    /// Request id to use when the caller states none.
    pub drawn_request: RequestId,
    /// Whether a valid session token came with the call.
    pub in_session: bool,
}

/// Reads an outside call at a gateway; any other field of the project is not looked at.
///
/// # Errors
/// [`HeaderError`] when a field that callers may set is malformed.
pub fn read_root(parts: &Parts, body: &[u8], facts: RootFacts) -> Result<CallRequest, HeaderError> {
    let stated = request::parse(&fields_from_outside(&parts.headers)?)?;
    let origin = CallOrigin::Root {
        request: stated.request.unwrap_or(facts.drawn_request),
        resend: stated.resend,
        caller: caller_name(stated.caller.as_deref(), facts.peer),
        criticality: stated.criticality,
        in_session: facts.in_session,
    };
    call(parts, body, origin, stated)
}

/// Reads a sub-call of the local endpoint; it must name the attempt it is made for.
///
/// # Errors
/// [`HeaderError`] when a field is missing or malformed.
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

/// The stated name, behind the address so that no caller can use up another's budget.
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
