//! The outbound listener: calls of the local application, or of external callers at a gateway.

mod attempt;
mod call;

use crate::http::answer::{self, HttpAnswer};
use crate::http::fields::set;
use crate::http::root::{RootDetails, read_root, read_sub_call};
use crate::http::server::Handler;
use crate::sessions::SessionHeader;
use crate::shared::Shared;
use bramblewheel_core::context::CallRequest;
use bramblewheel_protocol::headers;
use bramblewheel_types::Outcome;
use bytes::Bytes;
use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Serves the outbound listener.
pub(crate) struct Outbound {
    shared: Arc<Shared>,
}

/// A request with its complete body.
pub(crate) struct AppRequest {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
}

impl Outbound {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> HttpAnswer {
        let (head, mut body) = request.into_parts();
        let body = match self.shared.read_body(&mut body).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        let session = self.session(&head);
        let call_request = if self.shared.endpoint.is_some() {
            read_sub_call(&head, &body)
        } else {
            let details = RootDetails {
                peer: peer.ip(),
                generated_request: self.shared.ids.request(),
                in_session: matches!(session, SessionHeader::Valid),
            };
            read_root(&head, &body, details)
        };
        let call_request = match call_request {
            Ok(call_request) => call_request,
            Err(error) => return answer::invalid_request(&error.to_string()),
        };
        let new_session_token = self.new_session_token(session, &call_request);
        let request = AppRequest { head, body };
        let (mut answer, outcome) = call::run(&self.shared, call_request, request).await;
        if let (Some(token), Outcome::Completed) = (new_session_token, outcome) {
            set(answer.headers_mut(), headers::SESSION, token);
        }
        answer
    }

    /// Session tokens are verified only at gateways; below, the context states whether the request
    /// belongs to a session.
    fn session(&self, head: &Parts) -> SessionHeader {
        if self.shared.endpoint.is_some() {
            return SessionHeader::None;
        }
        let token = head.headers.get(headers::SESSION);
        let token = token.and_then(|token| token.to_str().ok());
        self.shared.sessions.evaluate(token)
    }

    /// Token of a new session with the class of the request's route, if the request asks for one.
    fn new_session_token(
        &self,
        session: SessionHeader,
        call_request: &CallRequest,
    ) -> Option<String> {
        if session != SessionHeader::Open {
            return None;
        }
        let bundle = self.shared.bundle.load_full()?;
        let route = bundle.resolve(&call_request.service, &call_request.path)?;
        let home_zone = self.shared.zone.clone();
        self.shared.sessions.open(home_zone, route.criticality)
    }
}

impl Handler for Outbound {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HttpAnswer {
        self.answer(request, peer).await
    }
}
