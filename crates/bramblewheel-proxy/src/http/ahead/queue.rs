//! The requests of a connection that hyper has not reached yet, in their order, and those of them that were started.

use super::AheadEvent;
use super::heads::RequestHead;
use crate::http::body::{AnswerBody, ReceivedBody};
use crate::http::server::Handler;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use std::collections::VecDeque;
use std::sync::{Arc, Weak};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

/// When the head of a request was read, which may be long before hyper reaches it. An extension of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadReadAt(pub Timestamp);

/// The request was started ahead, and may be cancelled while an endpoint runs it. An extension of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAhead;

/// A request is in progress until this value is dropped, which the body of its answer holds.
pub(crate) type Unanswered = Arc<()>;

/// A request that was started before hyper reached it. Dropping it cancels the request.
#[derive(Debug)]
pub(super) struct Started<H: Handler> {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    handler: Arc<H>,
    answer: JoinHandle<Response<AnswerBody>>,
    /// Whether its answer was taken or it was cancelled.
    is_taken: bool,
    _permit: OwnedSemaphorePermit,
}

impl<H: Handler> Started<H> {
    fn is_same(&self, request: &Request<ReceivedBody>) -> bool {
        self.method == *request.method()
            && self.target == *request.uri()
            && self.headers == *request.headers()
    }

    /// The answer of the request.
    pub(super) async fn response(mut self) -> Response<AnswerBody> {
        let answered = (&mut self.answer).await;
        self.is_taken = true;
        match answered {
            Ok(response) if response.body().is_broken() => timed_out(),
            Ok(response) => response,
            Err(error) => match error.try_into_panic() {
                // Passed on as in a request served directly.
                Ok(panic) => std::panic::resume_unwind(panic),
                // The runtime is being shut down, and the connection ends with it.
                Err(_) => std::future::pending().await,
            },
        }
    }
}

/// Answers a request whose own answer was ended before its turn, so that the requests behind it are not cut off.
fn timed_out() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
    response
}

impl<H: Handler> Started<H> {
    fn cancel(&mut self, event: AheadEvent) {
        if std::mem::replace(&mut self.is_taken, true) {
            return;
        }
        self.answer.abort();
        self.handler.record_ahead(event, Some(&self.headers));
    }
}

impl<H: Handler> Drop for Started<H> {
    fn drop(&mut self) {
        self.cancel(AheadEvent::Cancelled);
    }
}

/// A request that hyper has not reached yet.
struct Waiting<H: Handler> {
    head: RequestHead,
    read_at: Timestamp,
    /// Boxed because a connection may hold many requests, few of which are started.
    started: Option<Box<Started<H>>>,
}

/// The request that is being served.
struct Current {
    head: RequestHead,
    /// Dangles once the last byte of the answer was given to hyper.
    unanswered: Weak<()>,
    /// Whether requests behind it may be started; `None` if that was not asked yet.
    lets_others_start: Option<bool>,
}

/// The requests behind the one that is served.
pub(super) struct AheadQueue<H: Handler> {
    waiting: VecDeque<Waiting<H>>,
    current: Option<Current>,
    /// Number of requests in `waiting` that were started; they are the first ones.
    started: usize,
}

impl<H: Handler> Default for AheadQueue<H> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            current: None,
            started: 0,
        }
    }
}

impl<H: Handler> AheadQueue<H> {
    /// Adds the head of a further request.
    pub(super) fn push(&mut self, head: RequestHead, read_at: Timestamp) {
        self.waiting.push_back(Waiting {
            head,
            read_at,
            started: None,
        });
    }

    /// Whether no request waits behind the one that is served.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests that hyper has not reached.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a request is served or was started.
    pub(super) fn is_in_progress(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(Current::is_unanswered) || self.has_started()
    }

    /// Whether a request was started and hyper has not reached it.
    pub(super) fn has_started(&self) -> bool {
        self.started > 0
    }

    /// The next request to be started, if there is one that may run ahead and fewer than `most` were started.
    pub(super) fn next_to_start(&mut self, handler: &H, most: usize) -> Option<Parts> {
        if self.started >= most || !self.current_lets_others_start(handler) {
            return None;
        }
        let next = self.waiting.get(self.started)?;
        let mut head = read_if_ahead(handler, &next.head)?;
        head.extensions.insert(HeadReadAt(next.read_at));
        Some(head)
    }

    fn current_lets_others_start(&mut self, handler: &H) -> bool {
        let Some(current) = self.current.as_mut().filter(|now| now.is_unanswered()) else {
            return true;
        };
        let head = &current.head;
        *current
            .lets_others_start
            .get_or_insert_with(|| read_if_ahead(handler, head).is_some())
    }

    /// Starts the [next request](Self::next_to_start).
    pub(super) fn start(&mut self, head: Parts, handler: &Arc<H>, permit: OwnedSemaphorePermit) {
        let Some(waiting) = self.waiting.get_mut(self.started) else {
            return;
        };
        let (method, target, headers) =
            (head.method.clone(), head.uri.clone(), head.headers.clone());
        let mut request = Request::from_parts(head, ReceivedBody::Empty);
        request.extensions_mut().insert(StartedAhead);
        handler.record_ahead(AheadEvent::Started, Some(&headers));
        let answer = tokio::spawn(Arc::clone(handler).handle(request));
        waiting.started = Some(Box::new(Started {
            method,
            target,
            headers,
            handler: Arc::clone(handler),
            answer,
            is_taken: false,
            _permit: permit,
        }));
        self.started += 1;
    }

    /// Records that hyper has reached the next request; returns it if it was started. It is in progress until
    /// `unanswered` is dropped.
    pub(super) fn begin(
        &mut self,
        request: &mut Request<ReceivedBody>,
        unanswered: &Unanswered,
    ) -> Option<Box<Started<H>>> {
        let Waiting {
            head,
            read_at,
            started,
        } = self.waiting.pop_front()?;
        self.started -= usize::from(started.is_some());
        self.current = Some(Current {
            head,
            unanswered: Arc::downgrade(unanswered),
            lets_others_start: started.is_some().then_some(true),
        });
        request.extensions_mut().insert(HeadReadAt(read_at));
        let mut started = started?;
        if !started.is_same(request) {
            started.cancel(AheadEvent::Differs);
            return None;
        }
        Some(started)
    }
}

impl Current {
    fn is_unanswered(&self) -> bool {
        self.unanswered.strong_count() > 0
    }
}

/// The parsed head of a request that may be started before those ahead of it are answered.
fn read_if_ahead<H: Handler>(handler: &H, head: &RequestHead) -> Option<Parts> {
    if head.has_body() {
        return None;
    }
    head.parse().filter(|head| handler.may_run_ahead(head))
}
