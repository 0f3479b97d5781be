//! The answer to an attempt: outcome and feedback.

use crate::event::{AdmissionLevel, Feedback};
use crate::headers::fields::Fields;
use crate::headers::{HeaderError, HeaderList};
use bramblewheel_types::{AttemptId, Criticality, Millis, NotRunReason, Outcome, headers as names};

/// Headers of an answer between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHeaders {
    /// The attempt answered; the caller drops an answer whose attempt is not the one it sent.
    pub attempt: AttemptId,
    /// Outcome.
    pub outcome: Outcome,
    /// News for the calling daemon.
    pub feedback: Feedback,
}

/// Headers that tell an application, or a caller outside, the outcome.
pub fn encode_outcome(outcome: Outcome) -> HeaderList {
    let mut list = vec![(names::OUTCOME, outcome.as_str().to_owned())];
    if let Outcome::NotRun {
        reason,
        retry_after,
    } = outcome
    {
        list.push((names::REASON, reason.to_string()));
        list.push((names::RETRY_AFTER_MS, retry_after.0.to_string()));
    }
    list
}

/// Headers of an answer between daemons.
pub fn encode(answer: &AnswerHeaders) -> HeaderList {
    let feedback = &answer.feedback;
    let level = feedback.admission_level;
    let mut list = encode_outcome(answer.outcome);
    list.push((names::ATTEMPT, answer.attempt.to_string()));
    list.push((names::TOKENS_SPENT, feedback.retry_tokens_spent.to_string()));
    list.push((names::LOAD, feedback.load_percent.to_string()));
    let level = format!("{}/{}", level.criticality, level.cohort);
    list.push((names::ADMISSION_LEVEL, level));
    if feedback.is_final {
        list.push((names::FINAL, "1".to_owned()));
    }
    if feedback.draining {
        list.push((names::DRAINING, "1".to_owned()));
    }
    list
}

/// Parses the headers of an answer between daemons.
///
/// # Errors
/// [`HeaderError`] when one is missing or can't be understood; the answer is then broken.
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
/// [`HeaderError`] when it is missing, unknown or lacks its reason.
pub fn parse_outcome(fields: &Fields<'_>) -> Result<Outcome, HeaderError> {
    match fields.text(names::OUTCOME) {
        Some("completed") => Ok(Outcome::Completed),
        Some("failed") => Ok(Outcome::Failed),
        Some("unknown") => Ok(Outcome::Unknown),
        Some("not-run") => Ok(Outcome::NotRun {
            reason: fields.required::<NotRunReason>(names::REASON)?,
            retry_after: Millis(fields.required_number(names::RETRY_AFTER_MS)?),
        }),
        Some(_) => Err(HeaderError::Malformed(names::OUTCOME.to_owned())),
        None => Err(HeaderError::Missing(names::OUTCOME)),
    }
}

fn parse_level(fields: &Fields<'_>) -> Result<AdmissionLevel, HeaderError> {
    let text = fields
        .text(names::ADMISSION_LEVEL)
        .ok_or(HeaderError::Missing(names::ADMISSION_LEVEL))?;
    let parsed = text.split_once('/').and_then(|(class, cohort)| {
        let is_number = cohort.bytes().all(|byte| byte.is_ascii_digit());
        let cohort = cohort.parse::<u8>().ok().filter(|_| is_number)?;
        let criticality = class.parse::<Criticality>().ok()?;
        Some(AdmissionLevel {
            criticality,
            cohort,
        })
    });
    parsed.ok_or_else(|| HeaderError::Malformed(names::ADMISSION_LEVEL.to_owned()))
}
