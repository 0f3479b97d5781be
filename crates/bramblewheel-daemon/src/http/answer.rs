//! HTTP answers to callers and daemons.

use crate::http::body::AnswerBody;
use crate::http::exchange::WholeAnswer;
use crate::http::fields::{MapSink, end_to_end, set};
use bramblewheel_core::event::StoredAnswer;
use bramblewheel_core::headers::answer::write_outcome;
use bramblewheel_http::status::is_final;
use bramblewheel_types::{Millis, NotRunReason, Outcome};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};

/// Answer of a listener.
pub type HttpAnswer = Response<AnswerBody>;

/// Retry-after time for malformed requests: a corrected request may be sent at once.
const RETRY_AT_ONCE: Millis = Millis(0);

/// Forwards the answer of an endpoint with its outcome.
pub fn forwarded(answer: &WholeAnswer, outcome: Outcome) -> HttpAnswer {
    let body = AnswerBody::whole(answer.body.clone());
    with_head(answer.status, end_to_end(&answer.headers), outcome, body)
}

/// Builds an answer from status, headers, outcome and body.
pub fn with_head(
    status: StatusCode,
    mut headers: HeaderMap,
    outcome: Outcome,
    body: AnswerBody,
) -> HttpAnswer {
    write_outcome(outcome, &mut MapSink::new(&mut headers));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds an answer from the stored answer of a run-once operation. A status that is not final is no success, whoever
/// stored it.
pub fn stored(answer: StoredAnswer, outcome: Outcome) -> HttpAnswer {
    let status = StatusCode::from_u16(answer.status).ok();
    let status = status.filter(|status| is_final(*status));
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let body = AnswerBody::whole(answer.body.unwrap_or_default().into());
    with_head(status, HeaderMap::new(), outcome, body)
}

/// An answer whose body only states the outcome.
pub fn outcome_only(outcome: Outcome) -> HttpAnswer {
    let text = match outcome {
        Outcome::NotRun { reason, .. } => format!("not run: {reason}\n"),
        other => format!("{}\n", other.as_str()),
    };
    with_text(outcome, text)
}

/// Refusal of an invalid request; the body states the cause.
pub fn invalid_request(cause: &str) -> HttpAnswer {
    let outcome = not_run(NotRunReason::InvalidRequest);
    with_text(outcome, format!("not run: {cause}\n"))
}

/// A not-run outcome with a retry-after time of zero.
pub fn not_run(reason: NotRunReason) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after: RETRY_AT_ONCE,
    }
}

fn with_text(outcome: Outcome, text: String) -> HttpAnswer {
    let mut headers = HeaderMap::new();
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(CONTENT_TYPE, plain);
    if let Outcome::NotRun { retry_after, .. } = outcome {
        let seconds = retry_after.0.div_ceil(1000);
        set(&mut headers, RETRY_AFTER_NAME, seconds.to_string());
    }
    let body = AnswerBody::whole(Bytes::from(text));
    with_head(status_of(outcome), headers, outcome, body)
}

const RETRY_AFTER_NAME: &str = "retry-after";

/// Status of an answer that does not come from an endpoint.
pub fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Completed => StatusCode::OK,
        Outcome::Failed => StatusCode::INTERNAL_SERVER_ERROR,
        Outcome::Unknown => StatusCode::BAD_GATEWAY,
        Outcome::NotRun { reason, .. } => match reason {
            NotRunReason::RetryBudgetExhausted => StatusCode::TOO_MANY_REQUESTS,
            NotRunReason::InvalidRequest => StatusCode::BAD_REQUEST,
            NotRunReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}
