//! Headers that carry the context of an attempt between daemons.

use crate::context::{CallContext, Operation};
use crate::headers::fields::Fields;
use crate::headers::route_path::route_path;
use crate::headers::{HeaderError, HeaderSink, MAX_TIMEOUT_MS, SET};
use bramblewheel_types::{BundleVersion, OperationKey, Timestamp, headers as names};
use std::time::Duration;

/// Writes the headers of an attempt. The deadline is written as the time remaining at `now`,
/// rounded down, so that no hop assumes more time than its caller has. The path is sent in the
/// request line.
pub fn write(now: Timestamp, context: &CallContext, to: &mut impl HeaderSink) {
    to.put(names::CALL_ID, &context.call);
    to.put(names::SERVICE, &context.service);
    to.put(names::RETRY_TOKENS, &context.retry_tokens);
    to.put(names::DEPTH, &context.depth);
    to.put(names::BUNDLE_VERSION, &context.bundle_version);
    if context.may_have_run {
        to.put_word(names::MAY_HAVE_RUN, SET);
    }
    if let Some(operation) = &context.operation {
        let minted = operation.minted_at_unix_millis;
        to.put(names::OPERATION_MINTED, &minted);
    }
    write_for_endpoint(now, context, to);
}

/// Writes the headers that the endpoint receives with an attempt.
pub fn write_for_endpoint(now: Timestamp, context: &CallContext, to: &mut impl HeaderSink) {
    let remaining = context.deadline.since(now).as_millis();
    to.put(names::ATTEMPT, &context.attempt);
    to.put(names::REQUEST_ID, &context.request);
    to.put_word(names::CRITICALITY, context.criticality.as_str());
    to.put(names::TIMEOUT_MS, &remaining);
    if context.in_session {
        to.put_word(names::IN_SESSION, SET);
    }
    if let Some(operation) = &context.operation {
        to.put(names::OPERATION_KEY, &operation.key);
    }
}

/// Parses the context of an attempt that arrived at `now` for `path`.
///
/// # Errors
/// [`HeaderError`] when a header is missing or invalid, or the path is ambiguous.
pub fn parse(now: Timestamp, path: &str, fields: &Fields<'_>) -> Result<CallContext, HeaderError> {
    let remaining = fields
        .required_number::<u64>(names::TIMEOUT_MS)?
        .min(MAX_TIMEOUT_MS);
    Ok(CallContext {
        request: fields.required(names::REQUEST_ID)?,
        call: fields.required(names::CALL_ID)?,
        attempt: fields.required(names::ATTEMPT)?,
        service: fields.required(names::SERVICE)?,
        path: route_path(path)?,
        criticality: fields.required(names::CRITICALITY)?,
        deadline: now + Duration::from_millis(remaining),
        retry_tokens: fields.required_number(names::RETRY_TOKENS)?,
        depth: fields.required_number(names::DEPTH)?,
        in_session: fields.flag(names::IN_SESSION)?,
        operation: parse_operation(fields)?,
        may_have_run: fields.flag(names::MAY_HAVE_RUN)?,
        bundle_version: BundleVersion(fields.required_number(names::BUNDLE_VERSION)?),
    })
}

/// Parses key and creation time of an operation; both or neither must be present.
///
/// # Errors
/// [`HeaderError`] when only one is present or one is malformed.
pub fn parse_operation(fields: &Fields<'_>) -> Result<Option<Operation>, HeaderError> {
    let minted = fields.optional_number(names::OPERATION_MINTED)?;
    let Some(text) = fields.text(names::OPERATION_KEY) else {
        return match minted {
            None => Ok(None),
            Some(_) => Err(HeaderError::Missing(names::OPERATION_KEY)),
        };
    };
    let malformed = || HeaderError::Malformed(names::OPERATION_KEY.to_owned());
    let key = OperationKey::new(text).map_err(|_| malformed())?;
    let minted_at_unix_millis = minted.ok_or(HeaderError::Missing(names::OPERATION_MINTED))?;
    Ok(Some(Operation {
        key,
        minted_at_unix_millis,
    }))
}
