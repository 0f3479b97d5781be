//! What a caller is answered, and the answer's form.
//!
//! Owns nothing; draws the time after which a refused caller may come back from the daemon's random source. The rule
//! for it stands in [`bramblewheel_decisions::retry_after`].

use crate::http::body::AnswerBody;
use crate::http::exchange::Answer;
use crate::shared::Shared;
use bramblewheel_decisions::retry_after::RefusalReason;
use bytes::Bytes;
use http::header::{RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// What a caller is answered.
#[derive(Debug)]
pub(super) enum Reply {
    /// The endpoint's answer.
    Answer(Box<Answer>),
    /// A refusal: the request has not run and never will, and its caller may come back.
    Refusal(RefusalReason),
    /// The request has not run: its key is missing, or nobody holds it.
    Unauthorized,
    /// A status without more: the request can't be served as it is, or may have run without an answer.
    Status(StatusCode),
}

impl Reply {
    /// The answer; draws from the daemon's random source for a refusal.
    pub(super) fn into_response(self, shared: &Shared) -> Response<AnswerBody> {
        match self {
            Self::Answer(answer) => answer.into_response(),
            Self::Refusal(reason) => {
                let later = reason.retry_after(&mut shared.routing().random);
                refusal(reason.status(), later)
            }
            Self::Unauthorized => unauthorized(shared.settings.dialect.key_scheme),
            Self::Status(status) => empty(status),
        }
    }
}

/// An answer after which the caller may come back after `later`; seconds with three decimals.
fn refusal(status: StatusCode, later: Duration) -> Response<AnswerBody> {
    let seconds = later.as_secs_f64();
    let mut response = empty(status);
    let value =
        HeaderValue::try_from(format!("{seconds:.3}")).expect("numbers consist of visible ASCII");
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}

fn unauthorized(key_scheme: &'static str) -> Response<AnswerBody> {
    let mut response = empty(StatusCode::UNAUTHORIZED);
    let scheme = HeaderValue::from_static(key_scheme);
    response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    response
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
