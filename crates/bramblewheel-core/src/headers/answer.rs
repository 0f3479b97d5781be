//! Headers of the answer to an attempt: outcome and feedback.

use crate::cohort::COHORT_COUNT;
use crate::event::{AdmissionLevel, Feedback};
use crate::headers::fields::Fields;
use crate::headers::{HeaderError, HeaderSink, SET};
use bramblewheel_types::{AttemptId, Criticality, Millis, NotRunReason, Outcome, headers as names};

/// [`Outcome::as_str`] of [`Outcome::NotRun`].
const NOT_RUN: &str = "not-run";

/// An endpoint's statement that it did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointRefusal {
    /// Reason, if stated.
    pub reason: Option<NotRunReason>,
    /// How long callers should wait, if stated.
    pub retry_after: Option<Millis>,
}

/// Headers of an answer between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHeaders {
    /// The answered attempt; the caller discards an answer to an attempt that it did not send.
    pub attempt: AttemptId,
    /// Outcome.
    pub outcome: Outcome,
    /// Feedback for the calling daemon.
    pub feedback: Feedback,
}

/// Writes the headers that report the outcome to an application or an external caller.
pub fn write_outcome(outcome: Outcome, to: &mut impl HeaderSink) {
    to.put_word(names::OUTCOME, outcome.as_str());
    if let Outcome::NotRun {
        reason,
        retry_after,
    } = outcome
    {
        to.put_word(names::REASON, reason.as_str());
        to.put(names::RETRY_AFTER_MS, &retry_after.0);
    }
}

/// Writes the headers of an answer between daemons.
pub fn write(answer: &AnswerHeaders, to: &mut impl HeaderSink) {
    write_outcome(answer.outcome, to);
    write_feedback(answer.attempt, &answer.feedback, to);
}

/// Writes the headers of an answer between daemons other than the outcome.
pub fn write_feedback(attempt: AttemptId, feedback: &Feedback, to: &mut impl HeaderSink) {
    let level = feedback.admission_level;
    to.put(names::ATTEMPT, &attempt);
    to.put(names::TOKENS_SPENT, &feedback.retry_tokens_spent);
    to.put(names::LOAD, &feedback.load_percent);
    let level = format_args!("{}/{}", level.criticality, level.cohort);
    to.put(names::ADMISSION_LEVEL, &level);
    if feedback.is_final {
        to.put_word(names::FINAL, SET);
    }
    if feedback.draining {
        to.put_word(names::DRAINING, SET);
    }
}

/// Parses the headers of an answer between daemons.
///
/// # Errors
/// [`HeaderError`] when a header is missing or malformed; the answer is then invalid.
pub fn parse(fields: &Fields<'_>) -> Result<AnswerHeaders, HeaderError> {
    Ok(AnswerHeaders {
        attempt: fields.required(names::ATTEMPT)?,
        outcome: parse_outcome(fields)?,
        feedback: Feedback {
            retry_tokens_spent: fields.required_number(names::TOKENS_SPENT)?,
            is_final: fields.flag(names::FINAL)?,
            draining: fields.flag(names::DRAINING)?,
            load_percent: fields.required_number(names::LOAD)?,
            admission_level: parse_level(fields)?,
        },
    })
}

/// Parses an outcome.
///
/// # Errors
/// [`HeaderError`] when the outcome is missing or unknown, or lacks its reason.
pub fn parse_outcome(fields: &Fields<'_>) -> Result<Outcome, HeaderError> {
    match fields.text(names::OUTCOME) {
        Some("completed") => Ok(Outcome::Completed),
        Some("failed") => Ok(Outcome::Failed),
        Some("unknown") => Ok(Outcome::Unknown),
        Some(NOT_RUN) => Ok(Outcome::NotRun {
            reason: fields.required::<NotRunReason>(names::REASON)?,
            retry_after: Millis(fields.required_number(names::RETRY_AFTER_MS)?),
        }),
        Some(_) => Err(HeaderError::Malformed(names::OUTCOME.to_owned())),
        None => Err(HeaderError::Missing(names::OUTCOME)),
    }
}

/// Parses an endpoint's statement that it did not run the request. A malformed reason or
/// retry-after time is ignored.
pub fn parse_refusal(fields: &Fields<'_>) -> Option<EndpointRefusal> {
    if fields.text(names::OUTCOME) != Some(NOT_RUN) {
        return None;
    }
    let retry_after = fields.optional_number(names::RETRY_AFTER_MS).ok().flatten();
    Some(EndpointRefusal {
        reason: fields.optional(names::REASON).ok().flatten(),
        retry_after: retry_after.map(Millis),
    })
}

fn parse_level(fields: &Fields<'_>) -> Result<AdmissionLevel, HeaderError> {
    let text = fields
        .text(names::ADMISSION_LEVEL)
        .ok_or(HeaderError::Missing(names::ADMISSION_LEVEL))?;
    let parsed = text.split_once('/').and_then(|(class, cohort)| {
        let is_number = cohort.bytes().all(|byte| byte.is_ascii_digit());
        let cohort = cohort.parse::<u8>().ok().filter(|_| is_number)?;
        let cohort = Some(cohort).filter(|cohort| *cohort < COHORT_COUNT)?;
        let criticality = class.parse::<Criticality>().ok()?;
        Some(AdmissionLevel {
            criticality,
            cohort,
        })
    });
    parsed.ok_or_else(|| HeaderError::Malformed(names::ADMISSION_LEVEL.to_owned()))
}
