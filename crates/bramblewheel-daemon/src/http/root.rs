//! A call as an application or outside caller states it in header fields.

use crate::http::context::{MAX_TIMEOUT_MS, read_operation};
use crate::http::fields::{FieldError, optional, required};
use crate::http::route_path::route_path;
use bramblewheel_core::context::{CallOrigin, CallRequest};
use bramblewheel_protocol::headers;
use bramblewheel_types::RequestId;
use http::request::Parts;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;

/// Longest name a caller may state, in bytes.
const MAX_CALLER_LENGTH: usize = 64;

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
/// [`FieldError`] when a field that callers may set is malformed.
pub fn read_root(parts: &Parts, body: &[u8], facts: RootFacts) -> Result<CallRequest, FieldError> {
    let map = &parts.headers;
    let stated: Option<RequestId> = optional(map, headers::REQUEST_ID)?;
    let origin = CallOrigin::Root {
        request: stated.unwrap_or(facts.drawn_request),
        resend: optional(map, headers::RESEND)?.unwrap_or(0),
        caller: caller_name(parts, facts.peer)?,
        criticality: optional(map, headers::CRITICALITY)?,
        in_session: facts.in_session,
    };
    read_call(parts, body, origin)
}

/// Reads a sub-call of the local endpoint; it must name the attempt it is made for.
///
/// # Errors
/// [`FieldError`] when a field is missing or malformed.
pub fn read_sub_call(parts: &Parts, body: &[u8]) -> Result<CallRequest, FieldError> {
    let parent = required(&parts.headers, headers::PARENT)?;
    read_call(parts, body, CallOrigin::SubCall { parent })
}

fn read_call(parts: &Parts, body: &[u8], origin: CallOrigin) -> Result<CallRequest, FieldError> {
    let map = &parts.headers;
    Ok(CallRequest {
        service: required(map, headers::SERVICE)?,
        path: route_path(&parts.uri)?,
        origin,
        timeout: optional(map, headers::TIMEOUT_MS)?.map(timeout),
        operation: read_operation(map)?,
        fingerprint: fingerprint(parts, body),
    })
}

fn timeout(millis: u64) -> Duration {
    Duration::from_millis(millis.min(MAX_TIMEOUT_MS))
}

/// The stated name, behind the address so that no caller can use up another's budget.
fn caller_name(parts: &Parts, peer: IpAddr) -> Result<String, FieldError> {
    let name: Option<String> = optional(&parts.headers, headers::CALLER)?;
    match name {
        Some(name) if name.len() > MAX_CALLER_LENGTH => Err(FieldError::Malformed {
            name: headers::CALLER,
            reason: format!("more than {MAX_CALLER_LENGTH} bytes"),
        }),
        Some(name) => Ok(format!("{peer}/{name}")),
        None => Ok(peer.to_string()),
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
