//! Replies to callers and their HTTP form.
//!
//! The `Retry-After` time of a refusal is random; its rule is in [`bramblewheel_decisions::retry_after`].

use crate::http::body::AnswerBody;
use crate::http::exchange::Answer;
use crate::in_progress::Progress;
use crate::overdue::answer_deadline;
use crate::shared::Shared;
use bramblewheel_decisions::retry_after::RefusalReason;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use http::header::{RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Reply to a caller.
#[derive(Debug)]
pub(super) enum Reply {
    /// The endpoint's answer, which is passed on until the deadline of the request.
    Answer {
        answer: Box<Answer>,
        deadline: Timestamp,
    },
    /// The request is refused: it has not run and never will, and its caller may send it again later.
    Refusal(RefusalReason),
    /// The request has not run: its key is missing or belongs to no tenant.
    Unauthorized,
    /// A status only: the request can't be served as it is, or may have run without an answer.
    Status(StatusCode),
}

impl Reply {
    /// Builds the HTTP response; a refusal uses the daemon's random source.
    pub(super) fn into_response(
        self,
        shared: &Arc<Shared>,
        progress: &Arc<Progress>,
    ) -> Response<AnswerBody> {
        match self {
            Self::Answer { answer, deadline } => {
                let mut response = answer.into_response();
                let deadline = answer_deadline(shared, progress, deadline);
                response.body_mut().set_deadline(deadline);
                response
            }
            Self::Refusal(reason) => {
                let retry_after = reason.retry_after(&mut shared.routing().random);
                refusal(reason.status(), retry_after)
            }
            Self::Unauthorized => unauthorized(shared.settings.dialect.key_scheme),
            Self::Status(status) => empty(status),
        }
    }
}

/// A response with `Retry-After` in seconds with three decimals.
fn refusal(status: StatusCode, retry_after: Duration) -> Response<AnswerBody> {
    let seconds = retry_after.as_secs_f64();
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
