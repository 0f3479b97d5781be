//! Handles requests of callers on this machine, from arrival to answer.
//!
//! `arrival` reads and admits a request, with `access` for keys and quotas; `caller_request` holds its state;
//! `attempts` runs its attempts, each through `attempt` and `hand_over`; `retry` decides what follows an unsuccessful
//! attempt; `outcome` describes how the request ended and `reply` builds the answer. `capacity` and `stopping` hold
//! the refusals before the first attempt. The decision rules are in `bramblewheel-decisions`.
//!
//! Also owns the callers' connections and the [`liveness`] of other daemons.

mod access;
mod arrival;
mod attempt;
mod attempts;
pub mod bound_watch;
mod caller_request;
mod capacity;
mod hand_over;
pub mod liveness;
mod open_attempt;
mod outcome;
mod reply;
mod retry;
mod silent_attempts;
mod statements;
mod stopping;

use crate::http::ahead::{AheadEvent, HeadReadAt};
use crate::http::body::{AnswerBody, ReceivedBody};
use crate::http::fields::{self, KEEP_ALIVE};
use crate::http::server::Handler;
use crate::in_progress::{Progress, Sender, Stage};
use crate::inbound::dispatch::id_text;
use crate::shared::Shared;
use bramblewheel_types::Timestamp;
use caller_request::CallerRequest;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response};
use reply::Reply;
use std::sync::Arc;
use std::time::Duration;

/// Upper bound on the idle time-out of callers' connections. Many callers open a connection for each request and
/// leave it open. With this bound stated to callers, in a run without faults, daemons held 575 open files instead
/// of 1,149 and used 5.43 instead of 6.31 GB x s of memory (one run each).
const MAX_CALLER_IDLE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Idle time-out of callers' connections: that of the route table in force, up to `MAX_CALLER_IDLE_TIMEOUT`.
pub fn caller_idle_timeout(shared: &Shared) -> Duration {
    let router = shared.router.load();
    let stated = router
        .as_ref()
        .and_then(|router| router.caller_idle_timeout());
    stated.map_or(MAX_CALLER_IDLE_TIMEOUT, |stated| {
        stated.min(MAX_CALLER_IDLE_TIMEOUT)
    })
}

/// Serves the listener for callers on this machine.
#[derive(Debug)]
pub struct Outbound {
    shared: Arc<Shared>,
}

impl Outbound {
    /// Creates a handler on the daemon's shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn reply(
        &self,
        request: Request<ReceivedBody>,
        arrived: Timestamp,
        progress: &Arc<Progress>,
    ) -> Reply {
        let read = arrival::read(&self.shared, request, arrived, progress);
        let (request, outgoing) = match read.await {
            Ok(read) => read,
            Err(reply) => return reply,
        };
        progress.set_stage(Stage::Waiting);
        let objective = request.route.route.objective;
        let request = CallerRequest::new(&self.shared, request);
        let deadline = request.deadline;
        let outcome = request.run(outgoing).await;
        outcome.into_reply(objective, deadline)
    }
}

impl Handler for Outbound {
    async fn handle(self: Arc<Self>, request: Request<ReceivedBody>) -> Response<AnswerBody> {
        let read_at = request.extensions().get::<HeadReadAt>();
        let arrived = read_at.map_or_else(|| self.shared.clock.now(), |read_at| read_at.0);
        let guard = self.shared.in_progress.begin(Sender::Caller, arrived);
        let reply = self.reply(request, arrived, guard.progress()).await;
        let mut response = reply.into_response(&self.shared, guard.progress());
        guard.progress().set_stage(Stage::Answering);
        response.body_mut().set_guard(guard);
        let headers = response.headers_mut();
        if self.shared.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(keep_alive) = fields::keep_alive(caller_idle_timeout(&self.shared)) {
            headers.insert(KEEP_ALIVE, keep_alive);
        }
        response
    }

    fn may_run_ahead(&self, head: &Parts) -> bool {
        if self.shared.is_stopping() {
            return false;
        }
        let router = self.shared.router.load();
        let host = arrival::host_of(head);
        let route = router
            .as_ref()
            .and_then(|router| router.find(&host, head.uri.path()));
        route.is_some_and(|route| route.route.is_repeatable)
    }

    fn closes_connections(&self) -> bool {
        self.shared.is_stopping()
    }

    fn record_ahead(&self, event: AheadEvent, headers: Option<&HeaderMap>) {
        let shared = &self.shared;
        shared.metrics.ahead(event);
        if matches!(event, AheadEvent::Cancelled | AheadEvent::Differs) {
            let id = headers.and_then(|headers| shared.settings.dialect.id(headers));
            slog::info!(shared.log, "request started ahead was cancelled";
                "id" => id.map_or("", id_text), "reason" => event.as_str());
        }
    }
}
