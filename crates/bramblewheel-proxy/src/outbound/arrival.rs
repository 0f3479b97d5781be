//! Reads a caller's request and admits it: its id, route, tenant and body.
//!
//! Each step may end with a reply, in which case nothing has run. `access` checks keys and quotas; a planned stop
//! bounds the wait for the body.

use crate::http::ahead::StartedAhead;
use crate::http::body::{self, ReceivedBody};
use crate::http::exchange::{Outgoing, OutgoingBody};
use crate::http::fields;
use crate::in_progress::Progress;
use crate::inbound::dispatch::id_text;
use crate::outbound::access::{TableInUse, TenantRequest, authorize};
use crate::outbound::caller_request::NewCallerRequest;
use crate::outbound::reply::Reply;
use crate::shared::Shared;
use crate::wire::Handover;
use bramblewheel_decisions::request_content::RequestContent;
use bramblewheel_decisions::retry_after::RefusalReason;
use bramblewheel_decisions::table::{ActiveRoute, Router};
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::Timestamp;
use http::header::{AUTHORIZATION, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Reads and admits a request.
///
/// # Errors
/// The reply to the caller if the request can't be served; nothing has run.
pub(super) async fn read(
    shared: &Arc<Shared>,
    request: Request<ReceivedBody>,
    arrived: Timestamp,
    progress: &Arc<Progress>,
) -> Result<(NewCallerRequest, Outgoing), Reply> {
    let (mut head, incoming) = request.into_parts();
    let dialect = &shared.settings.dialect;
    let Some(id) = dialect.id(&head.headers).cloned() else {
        return Err(Reply::Status(StatusCode::BAD_REQUEST));
    };
    progress.set_id(&id);
    let TableInUse { has_lease, router } = TableInUse::load(shared);
    let router = router.ok_or_else(|| without_configuration(shared, &id))?;
    let host = host_of(&head);
    let route = find_route(shared, &router, &id, &host, &head)?;
    let tenant_request = authorize(shared, &router, has_lease, &route.route, &id, &head.headers)?;
    let has_tenants = router.tenants().has_tenants();
    if has_tenants {
        head.headers.remove(AUTHORIZATION);
    }
    // On public routes, calls made by endpoints carry no key; other requests do.
    let is_nested_by_table = has_tenants && route.route.is_public && tenant_request.is_none();
    let remaining = dialect.remaining(&head.headers);
    let unread = shared.lateness.longest_unread(arrived);
    let timeout = route.route.timeout;
    let deadline = arrived + remaining.map_or(timeout, |remaining| remaining.min(timeout));
    let limits = BodyLimits {
        max_bytes: router.max_body_bytes(),
        deadline,
        objective: route.route.objective,
    };
    let body = read_body(shared, &id, incoming, limits).await?;
    let content = content_of(&head, &host, tenant_request.as_ref(), &body);
    let request = NewCallerRequest {
        id,
        content,
        route,
        table: router.version(),
        tenant_request,
        is_nested_by_table,
        arrived,
        remaining,
        unread,
        progress: Arc::clone(progress),
    };
    Ok((request, outgoing(shared, head, body)))
}

fn without_configuration(shared: &Shared, id: &HeaderValue) -> Reply {
    slog::info!(shared.log, "request refused"; "id" => id_text(id),
        "reason" => "no configuration is known yet");
    let since_start = shared.clock.now().since(Timestamp::ZERO);
    Reply::Refusal(RefusalReason::NoConfiguration { since_start })
}

fn find_route(
    shared: &Shared,
    router: &Router,
    id: &HeaderValue,
    host: &str,
    head: &Parts,
) -> Result<Arc<ActiveRoute>, Reply> {
    let path = head.uri.path();
    let Some(route) = router.find(host, path) else {
        slog::info!(shared.log, "no route"; "id" => id_text(id), "host" => host,
            "path" => path, "table" => router.version().0);
        return Err(Reply::Status(StatusCode::NOT_FOUND));
    };
    let was_started_ahead = head.extensions.get::<StartedAhead>().is_some();
    if was_started_ahead && !route.route.is_repeatable {
        return Err(no_longer_repeatable(shared, id, route));
    }
    Ok(Arc::clone(route))
}

/// A table that came into force since the request was started ahead allows it to run only once. Its caller would resend
/// it behind an answer that closes the connection.
fn no_longer_repeatable(shared: &Shared, id: &HeaderValue, route: &ActiveRoute) -> Reply {
    slog::info!(shared.log, "request refused"; "id" => id_text(id),
        "reason" => "it was started ahead and its route is no longer repeatable");
    Reply::Refusal(RefusalReason::NoCapacity {
        objective: route.route.objective,
        refused_part: 0.0,
    })
}

/// Limits on reading a body.
#[derive(Clone, Copy, Debug)]
struct BodyLimits {
    max_bytes: usize,
    deadline: Timestamp,
    /// Latency objective of the route.
    objective: Duration,
}

/// Reads a body within its limits: whole, or only its beginning if it is too long to be buffered. Ends at the
/// deadline, since a caller that was cut off sends no more of it and no end.
async fn read_body(
    shared: &Shared,
    id: &HeaderValue,
    incoming: ReceivedBody,
    limits: BodyLimits,
) -> Result<OutgoingBody, Reply> {
    let BodyLimits {
        max_bytes,
        deadline,
        objective,
    } = limits;
    if incoming.min_length() > max_bytes as u64 {
        slog::info!(shared.log, "request refused"; "id" => id_text(id),
            "reason" => "its body is too long", "longest" => max_bytes);
        return Err(Reply::Status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let read = tokio::select! {
        biased;
        read = body::read_received(incoming) => read,
        () = shared.stop.answer_due(shared.clock, || false) => {
            slog::info!(shared.log, "request refused"; "id" => id_text(id),
                "reason" => "the daemon stops before its body is there");
            return Err(Reply::Refusal(RefusalReason::Stopping));
        }
        () = shared.clock.sleep_until(deadline) => {
            slog::info!(shared.log, "request refused"; "id" => id_text(id),
                "reason" => "its body did not come before its deadline");
            return Err(Reply::Refusal(if shared.is_stopping() {
                RefusalReason::Stopping
            } else {
                RefusalReason::IncompleteBody { objective }
            }));
        }
    };
    match read {
        Ok(read) => Ok(OutgoingBody::new(read, max_bytes)),
        Err(_) => Err(Reply::Status(StatusCode::BAD_REQUEST)),
    }
}

/// Builds the request to be sent on, without hop-by-hop headers and headers of this layer.
fn outgoing(shared: &Shared, head: Parts, body: OutgoingBody) -> Outgoing {
    let mut headers = head.headers;
    fields::remove_hop_by_hop(&mut headers);
    Handover::strip(&mut headers);
    shared.settings.dialect.strip(&mut headers);
    Outgoing {
        method: head.method,
        target: head.uri,
        headers,
        body,
    }
}

fn content_of(
    head: &Parts,
    host: &str,
    tenant_request: Option<&TenantRequest>,
    body: &OutgoingBody,
) -> ContentDigest {
    let target = head.uri.path_and_query();
    let content = RequestContent {
        tenant: tenant_request.map_or("", |tenant_request| tenant_request.tenant.name.as_str()),
        method: head.method.as_str(),
        host,
        target: target.map_or("", PathAndQuery::as_str),
        body: body.buffered(),
    };
    content.digest()
}

pub(super) fn host_of(head: &Parts) -> String {
    let stated = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = stated.or_else(|| head.uri.host());
    host.unwrap_or_default().to_owned()
}
