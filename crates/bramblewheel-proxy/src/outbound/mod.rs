//! Requests of callers on this machine, from their arrival to their answer.
//!
//! The way of a request: `arrival` reads and admits it (with `access` for keys and quotas); `caller_request` holds it;
//! `attempts` runs its attempts, each by `attempt` and `hand_over`; `retry` says what becomes of it after one without a
//! success; `outcome` says how it ended and `reply` how its caller is answered. `capacity` and `stopping` hold the
//! refusals before the first attempt. The decisions themselves stand in `bramblewheel-decisions`.
//!
//! Owns the callers' connections and [`liveness`], what is known of other daemons.

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
mod stopping;

use crate::http::body::AnswerBody;
use crate::http::fields::{self, KEEP_ALIVE};
use crate::http::server::Handler;
use crate::in_progress::{Progress, Sender, Stage};
use crate::shared::Shared;
use bramblewheel_types::Timestamp;
use caller_request::CallerRequest;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use reply::Reply;
use std::sync::Arc;
use std::time::Duration;

/// Longest rest after which a caller's connection is closed. Many callers open one connection for
/// each request and leave it open. On a day without faults, with the time told to callers, daemons held 575 open files
/// in place of 1,149 and 5.43 in place of 6.31 GB x s of memory (one run each).
const LONGEST_CALLER_REST: Duration = Duration::from_millis(3_500);

/// Rest after which callers' connections are closed now: as the route table in force says, and not
/// for longer than the longest.
pub fn caller_rest(shared: &Shared) -> Duration {
    let router = shared.router.load();
    let stated = router
        .as_ref()
        .and_then(|router| router.caller_idle_timeout());
    stated.map_or(LONGEST_CALLER_REST, |stated| {
        stated.min(LONGEST_CALLER_REST)
    })
}

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

    async fn reply(
        &self,
        request: Request<Incoming>,
        arrived: Timestamp,
        progress: &Arc<Progress>,
    ) -> Reply {
        let read = arrival::read(&self.shared, request, arrived, progress);
        let (request, outgoing) = match read.await {
            Ok(read) => read,
            Err(reply) => return reply,
        };
        progress.enters(Stage::Waiting);
        let objective = request.route.route.objective;
        let request = CallerRequest::new(&self.shared, request);
        let outcome = request.run(outgoing).await;
        outcome.into_reply(objective)
    }
}

impl Handler for Outbound {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = self.shared.clock.now();
        let open = self.shared.in_progress.begin(Sender::Caller, arrived);
        let reply = self.reply(request, arrived, open.progress()).await;
        let mut response = reply.into_response(&self.shared);
        open.progress().enters(Stage::Answering);
        response.body_mut().guard(open);
        let headers = response.headers_mut();
        if self.shared.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(keep_alive) = fields::keep_alive(caller_rest(&self.shared)) {
            headers.insert(KEEP_ALIVE, keep_alive);
        }
        response
    }
}
