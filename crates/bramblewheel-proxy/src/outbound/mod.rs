//! Requests of callers on this machine, from their arrival to their answer.

mod access;
mod attempt;
pub mod bound_watch;
mod call;
mod capacity;
mod ending;
pub mod liveness;
mod open_send;
mod retry;
mod send;
mod stopping;

use crate::http::body::{self, AnswerBody};
use crate::http::exchange::OutgoingBody;
use crate::http::fields::{self, KEEP_ALIVE};
use crate::http::server::Handler;
use crate::in_progress::{Progress, Sender, Stage};
use crate::inbound::dispatch::text;
use crate::shared::Shared;
use access::{AccessRefusal, TableInUse, tenant_of};
use bramblewheel_decisions::request_content::RequestContent;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::QUARANTINE_TIME;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use call::{Call, CallerRequest};
use ending::Final;
use http::header::{AUTHORIZATION, CONNECTION, HOST, RETRY_AFTER, WWW_AUTHENTICATE};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// Parts of its objective after which a refused caller may come back; drawn anew for each, so that they
/// don't all come back together. A caller that comes back within its objective can still be served in time.
const RETRY_AFTER_PARTS: std::ops::Range<f64> = 0.1..0.33;
/// Part of its objective by which a caller comes back later where all of its like are refused; less where a
/// part is.
const LATER_PART_WHEN_REFUSED: f64 = 1.0;
/// Times after which callers of a daemon that stops may come back: at once, elsewhere, but not all in one moment.
const STOPPING_RETRY_MILLIS: std::ops::Range<u32> = 10..60;
/// Times after which the callers of a tenant that has used up its quota may come back, besides that by
/// which they come later.
const OVER_QUOTA_RETRY_MILLIS: std::ops::Range<u32> = 150..500;
/// Time from a daemon's start until it mostly knows the configuration when all machines start at
/// once: the control group must elect a leader first.
const USUAL_START: Duration = Duration::from_millis(900);
/// Times after that, or from now if it has passed, after which callers may come back while no
/// configuration is known yet. One that comes back too soon may have no try left; one that comes back
/// late is late.
const NOT_READY_RETRY_MILLIS: std::ops::Range<u32> = 80..350;
/// Times after which callers may come back while keys may not be used: that of an election.
const WITHOUT_LEASE_RETRY_MILLIS: std::ops::Range<u32> = 400..1_200;
/// Time by which callers of a tenant come back later where all of its requests are refused; less where
/// a part is. Within it a good part of what was let in has left the quota's window.
const LATER_WHEN_OVER_QUOTA: Duration = Duration::from_millis(1_500);

/// Longest rest after which a caller's connection is closed. Many callers open one connection for
/// each request and leave it open.
const LONGEST_CALLER_REST: Duration = Duration::from_millis(3_500);

/// Rest after which callers' connections are closed now: as the route table in force says, and not
/// for longer than the longest.
pub fn caller_rest(shared: &Shared) -> Duration {
    let router = shared.router.load();
    let stated = router.as_ref().and_then(|router| router.caller_rest());
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

    async fn answer(
        &self,
        request: Request<Incoming>,
        arrived: Timestamp,
        progress: &Arc<Progress>,
    ) -> Response<AnswerBody> {
        let (mut head, incoming) = request.into_parts();
        let dialect = &self.shared.settings.dialect;
        let Some(id) = dialect.id(&head.headers).cloned() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        progress.note_id(&id);
        let TableInUse { has_lease, router } = TableInUse::now(&self.shared);
        let Some(router) = router else {
            slog::info!(self.shared.log, "request refused"; "id" => text(&id),
                "reason" => "no configuration is known yet");
            let since_start = self.shared.clock.now().since(Timestamp::ZERO);
            let until_ready = USUAL_START.saturating_sub(since_start);
            return self.refusal(until_ready, NOT_READY_RETRY_MILLIS);
        };
        let host = host_of(&head);
        let Some(route) = router.find(&host, head.uri.path()) else {
            slog::info!(self.shared.log, "no route"; "id" => text(&id), "host" => host,
                "path" => head.uri.path(), "table" => router.version().0);
            return empty(StatusCode::NOT_FOUND);
        };
        let shared = &self.shared;
        let from = tenant_of(shared, &router, has_lease, &route.route, &id, &head.headers);
        let from = match from {
            Ok(from) => from,
            Err(refusal) => return self.without_access(&refusal),
        };
        let has_tenants = router.tenants().has_tenants();
        if has_tenants {
            head.headers.remove(AUTHORIZATION);
        }
        // Calls of endpoints carry no key, and all others do.
        let is_call_by_table = has_tenants && route.route.is_public && from.is_none();
        let longest = router.longest_body();
        if incoming.size_hint().lower() > longest as u64 {
            slog::info!(self.shared.log, "request refused"; "id" => text(&id),
                "reason" => "its body is too long", "longest" => longest);
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let remaining = dialect.remaining(&head.headers);
        let read = tokio::select! {
            biased;
            read = body::read(incoming) => read,
            () = shared.stop.answers_due(shared.clock) => {
                slog::info!(shared.log, "request refused"; "id" => text(&id),
                    "reason" => "the daemon stops before its body is there");
                return self.render(Final::Stopping, route.route.objective);
            }
        };
        let body = match read {
            Ok(read) => OutgoingBody::new(read, longest),
            Err(_) => return empty(StatusCode::BAD_REQUEST),
        };
        let tenant = from.as_ref().map_or("", |from| from.tenant.name.as_str());
        let content = content_of(&head, &host, tenant, &body);
        let request = CallerRequest {
            id,
            content,
            route: Arc::clone(route),
            table: router.version(),
            from,
            is_call_by_table,
            arrived,
            remaining,
            progress: Arc::clone(progress),
        };
        progress.enters(Stage::Waiting);
        let call = Call::new(&self.shared, request);
        let objective = route.route.objective;
        let ended = call.run(head, body, remaining).await;
        self.render(ended, objective)
    }

    fn render(&self, ended: Final, objective: Duration) -> Response<AnswerBody> {
        match ended {
            Final::Answered(answer) => answer.into_response(),
            Final::NotRun { refused_part } => {
                let part = self.shared.routing().random.random_range(RETRY_AFTER_PARTS);
                self.refused(objective.mul_f64(part + LATER_PART_WHEN_REFUSED * refused_part))
            }
            Final::Quarantined => self.refused(QUARANTINE_TIME),
            Final::Stopping => self.refusal(Duration::ZERO, STOPPING_RETRY_MILLIS),
            Final::Unknown | Final::OutlastsStop => empty(StatusCode::BAD_GATEWAY),
            Final::TimedOut => empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// The request is not served to this caller; nothing has run.
    fn without_access(&self, refusal: &AccessRefusal) -> Response<AnswerBody> {
        match refusal {
            AccessRefusal::Unauthorized => {
                let mut response = empty(StatusCode::UNAUTHORIZED);
                let scheme = HeaderValue::from_static(self.shared.settings.dialect.key_scheme);
                response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
                response
            }
            AccessRefusal::NoLease => self.refusal(Duration::ZERO, WITHOUT_LEASE_RETRY_MILLIS),
            AccessRefusal::OverQuota { part } => {
                let later = LATER_WHEN_OVER_QUOTA.mul_f64(1.0 - part);
                let mut response = self.refusal(later, OVER_QUOTA_RETRY_MILLIS);
                *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
                response
            }
        }
    }

    /// The request has not run and never will; the caller may come back after `least` and a time
    /// drawn from `spread`.
    fn refusal(&self, least: Duration, spread: std::ops::Range<u32>) -> Response<AnswerBody> {
        let millis = self.shared.routing().random.random_range(spread);
        self.refused(least + Duration::from_millis(u64::from(millis)))
    }

    /// The request has not run and never will; the caller may come back after `later`.
    fn refused(&self, later: Duration) -> Response<AnswerBody> {
        let seconds = later.as_secs_f64();
        let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
        let value = HeaderValue::try_from(format!("{seconds:.3}"))
            .expect("numbers consist of visible ASCII");
        response.headers_mut().insert(RETRY_AFTER, value);
        response
    }
}

impl Handler for Outbound {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = self.shared.clock.now();
        let open = self.shared.in_progress.begin(Sender::Caller, arrived);
        let mut response = self.answer(request, arrived, open.progress()).await;
        open.progress().enters(Stage::Answering);
        response.body_mut().guard(open);
        let headers = response.headers_mut();
        if self.shared.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(told) = fields::keep_alive(caller_rest(&self.shared)) {
            headers.insert(KEEP_ALIVE, told);
        }
        response
    }
}

fn content_of(head: &Parts, host: &str, tenant: &str, body: &OutgoingBody) -> ContentDigest {
    let target = head.uri.path_and_query();
    let content = RequestContent {
        tenant,
        method: head.method.as_str(),
        host,
        target: target.map_or("", PathAndQuery::as_str),
        body: body.known(),
    };
    content.digest()
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
