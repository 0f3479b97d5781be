//! A call's context as header fields between daemons.

use crate::http::fields::{self, FieldError, optional, required, set};
use crate::http::route_path::route_path;
use bramblewheel_core::context::{CallContext, Operation};
use bramblewheel_core::event::{AdmissionLevel, Feedback};
use bramblewheel_protocol::headers;
use bramblewheel_types::{
    BundleVersion, Criticality, Millis, NotRunReason, OperationKey, Outcome, Timestamp,
};
use http::{HeaderMap, Uri};
use std::time::Duration;

/// Longest remaining time believed, in milliseconds; a longer one is cut.
pub const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Writes the context of an attempt; the deadline crosses as remaining time.
pub fn write(map: &mut HeaderMap, context: &CallContext, now: Timestamp) {
    set(map, headers::REQUEST_ID, context.request);
    set(map, headers::CALL_ID, context.call);
    set(map, headers::ATTEMPT, context.attempt);
    set(map, headers::SERVICE, &context.service);
    set(map, headers::CRITICALITY, context.criticality);
    set(map, headers::TIMEOUT_MS, remaining_millis(context, now));
    set(map, headers::RETRY_TOKENS, context.retry_tokens);
    set(map, headers::DEPTH, context.depth);
    set(map, headers::BUNDLE_VERSION, context.bundle_version);
    if context.in_session {
        set(map, headers::IN_SESSION, 1);
    }
    if context.may_have_run {
        set(map, headers::MAY_HAVE_RUN, 1);
    }
    if let Some(operation) = &context.operation {
        set(map, headers::OPERATION_KEY, &operation.key);
        let minted = operation.minted_at_unix_millis;
        set(map, headers::OPERATION_MINTED, minted);
    }
}

/// Writes what the endpoint is told of the attempt it runs.
pub fn write_for_endpoint(map: &mut HeaderMap, context: &CallContext, now: Timestamp) {
    set(map, headers::ATTEMPT, context.attempt);
    set(map, headers::REQUEST_ID, context.request);
    set(map, headers::CRITICALITY, context.criticality);
    set(map, headers::TIMEOUT_MS, remaining_millis(context, now));
    if context.in_session {
        set(map, headers::IN_SESSION, 1);
    }
    if let Some(operation) = &context.operation {
        set(map, headers::OPERATION_KEY, &operation.key);
    }
}

/// Whole milliseconds until the deadline, rounded down so that no hop waits longer.
fn remaining_millis(context: &CallContext, now: Timestamp) -> u128 {
    context.deadline.since(now).as_millis()
}

/// Reads the context that another daemon sent.
///
/// # Errors
/// [`FieldError`] for the first field that is missing, repeated or malformed.
pub fn read(map: &HeaderMap, uri: &Uri, now: Timestamp) -> Result<CallContext, FieldError> {
    let timeout: u64 = required(map, headers::TIMEOUT_MS)?;
    let timeout = Duration::from_millis(timeout.min(MAX_TIMEOUT_MS));
    Ok(CallContext {
        request: required(map, headers::REQUEST_ID)?,
        call: required(map, headers::CALL_ID)?,
        attempt: required(map, headers::ATTEMPT)?,
        service: required(map, headers::SERVICE)?,
        path: route_path(uri)?,
        criticality: required(map, headers::CRITICALITY)?,
        deadline: now + timeout,
        retry_tokens: required(map, headers::RETRY_TOKENS)?,
        depth: required(map, headers::DEPTH)?,
        in_session: fields::is_set(map, headers::IN_SESSION),
        may_have_run: fields::is_set(map, headers::MAY_HAVE_RUN),
        operation: read_operation(map)?,
        bundle_version: BundleVersion(required(map, headers::BUNDLE_VERSION)?),
    })
}

/// Reads an operation's key and mint time; both or neither must be given.
///
/// # Errors
/// [`FieldError`] when one is missing or malformed.
pub fn read_operation(map: &HeaderMap) -> Result<Option<Operation>, FieldError> {
    let Some(text) = optional::<String>(map, headers::OPERATION_KEY)? else {
        return Ok(None);
    };
    let key = OperationKey::new(&text).map_err(|error| FieldError::Malformed {
        name: headers::OPERATION_KEY,
        reason: error.to_string(),
    })?;
    let minted_at_unix_millis = required(map, headers::OPERATION_MINTED)?;
    Ok(Some(Operation {
        key,
        minted_at_unix_millis,
    }))
}

/// Writes an outcome, for callers and daemons alike.
pub fn write_outcome(map: &mut HeaderMap, outcome: Outcome) {
    set(map, headers::OUTCOME, outcome.as_str());
    if let Outcome::NotRun {
        reason,
        retry_after,
    } = outcome
    {
        set(map, headers::REASON, reason);
        set(map, headers::RETRY_AFTER_MS, retry_after.0);
    }
}

/// Reads an outcome.
///
/// # Errors
/// [`FieldError`] when it is missing or malformed: then nothing is known.
pub fn read_outcome(map: &HeaderMap) -> Result<Outcome, FieldError> {
    let name: String = required(map, headers::OUTCOME)?;
    match name.as_str() {
        "completed" => Ok(Outcome::Completed),
        "failed" => Ok(Outcome::Failed),
        "unknown" => Ok(Outcome::Unknown),
        "not-run" => Ok(Outcome::NotRun {
            reason: read_reason(map)?,
            retry_after: Millis(required(map, headers::RETRY_AFTER_MS)?),
        }),
        other => Err(FieldError::Malformed {
            name: headers::OUTCOME,
            reason: format!("unknown outcome `{other}`"),
        }),
    }
}

fn read_reason(map: &HeaderMap) -> Result<NotRunReason, FieldError> {
    let text: String = required(map, headers::REASON)?;
    text.parse().map_err(|()| FieldError::Malformed {
        name: headers::REASON,
        reason: format!("unknown reason `{text}`"),
    })
}

/// Writes what a called daemon adds to every answer.
pub fn write_feedback(map: &mut HeaderMap, feedback: &Feedback) {
    set(map, headers::TOKENS_SPENT, feedback.retry_tokens_spent);
    set(map, headers::LOAD, feedback.load_percent);
    let level = feedback.admission_level;
    let level = format!("{}/{}", level.criticality, level.cohort);
    set(map, headers::ADMISSION_LEVEL, level);
    if feedback.is_final {
        set(map, headers::FINAL, 1);
    }
    if feedback.draining {
        set(map, headers::DRAINING, 1);
    }
}

/// Reads what a called daemon adds to every answer.
///
/// # Errors
/// [`FieldError`] for the first field that is missing or malformed.
pub fn read_feedback(map: &HeaderMap) -> Result<Feedback, FieldError> {
    Ok(Feedback {
        retry_tokens_spent: required(map, headers::TOKENS_SPENT)?,
        is_final: fields::is_set(map, headers::FINAL),
        draining: fields::is_set(map, headers::DRAINING),
        load_percent: required(map, headers::LOAD)?,
        admission_level: read_admission_level(map)?,
    })
}

fn read_admission_level(map: &HeaderMap) -> Result<AdmissionLevel, FieldError> {
    let text: String = required(map, headers::ADMISSION_LEVEL)?;
    parse_admission_level(&text).ok_or_else(|| FieldError::Malformed {
        name: headers::ADMISSION_LEVEL,
        reason: format!("expected CLASS/COHORT, found `{text}`"),
    })
}

fn parse_admission_level(text: &str) -> Option<AdmissionLevel> {
    let (class, cohort) = text.split_once('/')?;
    let criticality: Criticality = class.parse().ok()?;
    let cohort: u8 = cohort.parse().ok()?;
    (cohort < bramblewheel_core::cohort::COHORT_COUNT).then_some(AdmissionLevel {
        criticality,
        cohort,
    })
}
