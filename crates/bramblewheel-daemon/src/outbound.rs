//! The outbound listener: calls of applications beside a sidecar, of outside callers at a gateway.

mod attempt;
mod call;

use crate::http::answer::{self, HttpAnswer};
use crate::http::fields::set;
use crate::http::root::{RootFacts, read_root, read_sub_call};
use crate::http::server::Handler;
use crate::sessions::SessionOffer;
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

/// An application's request, whole.
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
        let asked = if self.shared.endpoint.is_some() {
            read_sub_call(&head, &body)
        } else {
            let facts = RootFacts {
                peer: peer.ip(),
                drawn_request: self.shared.ids.request(),
                in_session: matches!(session, SessionOffer::Valid),
            };
            read_root(&head, &body, facts)
        };
        let asked = match asked {
            Ok(asked) => asked,
            Err(error) => return answer::invalid_request(&error.to_string()),
        };
        let opened = self.opened(session, &asked);
        let request = AppRequest { head, body };
        let (mut answer, outcome) = call::run(&self.shared, asked, request).await;
        if let (Some(token), Outcome::Completed) = (opened, outcome) {
            set(answer.headers_mut(), headers::SESSION, token);
        }
        answer
    }

    /// Session tokens are looked at where a tree begins; below, the mark travels in the context.
    fn session(&self, head: &Parts) -> SessionOffer {
        if self.shared.endpoint.is_some() {
            return SessionOffer::None;
        }
        let token = head.headers.get(headers::SESSION);
        let token = token.and_then(|token| token.to_str().ok());
        self.shared.sessions.offer(token)
    }

    /// Token of the session that a request asks to open, with the class of the request's route.
    fn opened(&self, session: SessionOffer, asked: &CallRequest) -> Option<String> {
        if session != SessionOffer::Open {
            return None;
        }
        let bundle = self.shared.bundle.load_full()?;
        let route = bundle.resolve(&asked.service, &asked.path)?;
        let home_zone = self.shared.zone.clone();
        self.shared.sessions.open(home_zone, route.criticality)
    }
}

impl Handler for Outbound {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> HttpAnswer {
        self.answer(request, peer).await
    }
}
