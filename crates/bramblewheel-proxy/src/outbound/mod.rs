//! Requests of callers on this machine, from their arrival to their answer.

mod attempt;
mod call;
pub mod liveness;

use crate::http::body::{self, AnswerBody, Read};
use crate::http::exchange::OutgoingBody;
use crate::http::server::Handler;
use crate::inbound::dispatch::text;
use crate::shared::Shared;
use bytes::Bytes;
use call::{Call, Final};
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Times after which a refused caller may come back; drawn anew for each, so that they don't all
/// come back together.
const RETRY_AFTER_MILLIS: std::ops::Range<u32> = 150..500;
/// The same while no configuration is known yet: about the time that a group takes to elect a leader
/// after all of it has lost power. A caller that comes back too soon may have no try left.
const NOT_READY_RETRY_MILLIS: std::ops::Range<u32> = 900..1_500;

/// Serves the listener for callers on this machine.
#[derive(Debug)]
pub struct Outbound {
    shared: Arc<Shared>,
}

impl Outbound {
    /// A handler over the daemon's shared parts.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let (head, incoming) = request.into_parts();
        let dialect = &self.shared.settings.dialect;
        let Some(id) = dialect.id(&head.headers).cloned() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Some(router) = self.shared.router.load_full() else {
            slog::info!(self.shared.log, "request refused"; "id" => text(&id),
                "reason" => "no configuration is known yet");
            return self.refusal(NOT_READY_RETRY_MILLIS);
        };
        let host = host_of(&head);
        let Some(route) = router.find(&host, head.uri.path()) else {
            slog::info!(self.shared.log, "no route"; "id" => text(&id), "host" => host,
                "path" => head.uri.path(), "table" => router.version().0);
            return empty(StatusCode::NOT_FOUND);
        };
        let remaining = dialect.remaining(&head.headers);
        let body = match body::read(incoming).await {
            Ok(Read::Whole(bytes)) => OutgoingBody::Whole(bytes),
            Ok(Read::Begun(first, rest)) => OutgoingBody::Begun(first, rest),
            Err(_) => return empty(StatusCode::BAD_REQUEST),
        };
        let call = Call::new(
            &self.shared,
            id,
            Arc::clone(route),
            router.version(),
            arrived,
        );
        let ended = call.run(head, body, remaining).await;
        self.render(ended)
    }

    fn render(&self, ended: Final) -> Response<AnswerBody> {
        match ended {
            Final::Answered(answer) => attempt::render(*answer),
            Final::NotRun => self.refusal(RETRY_AFTER_MILLIS),
            Final::Unknown => empty(StatusCode::BAD_GATEWAY),
            Final::TimedOut => empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// The request has not run and never will; the caller may come back.
    fn refusal(&self, after: std::ops::Range<u32>) -> Response<AnswerBody> {
        let millis = self.shared.routing().random.random_range(after);
        let seconds = Duration::from_millis(u64::from(millis)).as_secs_f64();
        let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
        let value = HeaderValue::try_from(format!("{seconds:.3}"))
            .expect("numbers consist of visible ASCII");
        response.headers_mut().insert(RETRY_AFTER, value);
        response
    }
}

impl Handler for Outbound {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let active = self.shared.active.begin();
        let mut response = self.answer(request).await;
        response.body_mut().guard(active);
        if self.shared.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

fn host_of(head: &Parts) -> String {
    let named = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = named.or_else(|| head.uri.host());
    host.unwrap_or_default().to_owned()
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
