//! The inbound listener, which receives attempts of other daemons for the local endpoint.

mod attempt;
mod dispatch;

use crate::http::answer::{self, HttpAnswer, not_run};
use crate::http::fields::{MapSink, fields};
use crate::http::server::Handler;
use crate::shared::Shared;
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::Feedback;
use bramblewheel_core::headers::fields::Fields;
use bramblewheel_core::headers::{HeaderError, answer as answer_headers, context};
use bramblewheel_protocol::headers;
use bramblewheel_types::{AttemptId, NotRunReason, Timestamp};
use bytes::Bytes;
use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Serves the inbound listener.
pub(crate) struct Inbound {
    shared: Arc<Shared>,
    endpoint: SocketAddr,
}

/// A received attempt with its complete body.
pub(crate) struct InboundRequest {
    pub(crate) context: CallContext,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
}

impl Inbound {
    pub(crate) fn new(shared: Arc<Shared>, endpoint: SocketAddr) -> Self {
        Self { shared, endpoint }
    }

    async fn answer(&self, request: Request<Incoming>) -> HttpAnswer {
        let now = self.shared.driver.clock().now();
        let (head, mut body) = request.into_parts();
        let context = match read_context(&head, now) {
            Ok(context) => context,
            Err((error, attempt)) => {
                return refused(answer::invalid_request(&error.to_string()), attempt);
            }
        };
        let body = match self.shared.read_body(&mut body).await {
            Ok(body) => body,
            Err(refusal) => return refused(*refusal, Some(context.attempt)),
        };
        let request = InboundRequest {
            context,
            head,
            body,
        };
        attempt::run(Arc::clone(&self.shared), self.endpoint, request).await
    }
}

impl Handler for Inbound {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HttpAnswer {
        self.answer(request).await
    }
}

/// Parses the context; an error is returned with the id of the refused attempt, if that is readable.
fn read_context(
    head: &Parts,
    now: Timestamp,
) -> Result<CallContext, (HeaderError, Option<AttemptId>)> {
    let fields = fields(&head.headers).map_err(|error| (error, None))?;
    let attempt = |fields: &Fields<'_>| fields.optional(headers::ATTEMPT).ok().flatten();
    context::parse(now, head.uri.path(), &fields).map_err(|error| (error, attempt(&fields)))
}

/// Adds the attempt id and feedback of an answer between daemons.
fn between_daemons(mut answer: HttpAnswer, attempt: AttemptId, feedback: &Feedback) -> HttpAnswer {
    let mut sink = MapSink::new(answer.headers_mut());
    answer_headers::write_feedback(attempt, feedback, &mut sink);
    answer
}

/// A refusal without involving the engine. The attempt id is echoed if it was readable.
fn refused(answer: HttpAnswer, attempt: Option<AttemptId>) -> HttpAnswer {
    match attempt {
        Some(attempt) => between_daemons(answer, attempt, &Feedback::default()),
        None => answer,
    }
}

/// Refusal of an attempt whose id is already in use by an attempt in progress.
fn duplicate(attempt: AttemptId) -> HttpAnswer {
    let outcome = not_run(NotRunReason::InvalidRequest);
    refused(answer::outcome_only(outcome), Some(attempt))
}
