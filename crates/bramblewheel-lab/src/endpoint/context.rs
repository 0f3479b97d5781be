//! Reads the context of a request from the header fields set by the daemon and by the lab's callers.

use crate::client::text;
use crate::journal::CallContext;
use crate::lab_headers;
use bramblewheel_protocol::headers;
use bramblewheel_types::{OperationKey, ServiceName};
use http::HeaderMap;
use std::str::FromStr;

/// Reads the context of a request; the error is the name of the header field that is missing or malformed.
pub(super) fn read(
    service: &ServiceName,
    path: &str,
    map: &HeaderMap,
) -> Result<CallContext, &'static str> {
    let operation = text(map, headers::OPERATION_KEY);
    let operation = operation.map(OperationKey::new).transpose();
    Ok(CallContext {
        send: required(map, lab_headers::SEND)?,
        call: required(map, lab_headers::CALL)?,
        depth: required(map, lab_headers::DEPTH)?,
        request: required(map, headers::REQUEST_ID)?,
        attempt: required(map, headers::ATTEMPT)?,
        service: service.clone(),
        path: path.to_owned(),
        criticality: required(map, headers::CRITICALITY)?,
        in_session: text(map, headers::IN_SESSION) == Some("1"),
        operation: operation.map_err(|_| headers::OPERATION_KEY)?,
        timeout_ms: required(map, headers::TIMEOUT_MS)?,
    })
}

fn required<T: FromStr>(map: &HeaderMap, name: &'static str) -> Result<T, &'static str> {
    let text = text(map, name).ok_or(name)?;
    text.parse().map_err(|_| name)
}
