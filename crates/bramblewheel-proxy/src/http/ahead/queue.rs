//! The requests of a connection that hyper has not reached yet, in their order, and those of them that were started.

use super::AheadEvent;
use super::heads::RequestHead;
use crate::http::body::{AnswerBody, ReceivedBody};
use crate::http::server::Handler;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri};
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

/// A request that was started before hyper reached it. Dropping it cancels the request.
#[derive(Debug)]
pub(super) struct Started<H: Handler> {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    handler: Arc<H>,
    answer: JoinHandle<Response<AnswerBody>>,
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
            Ok(response) => response,
            // Only a panic ends the task while its handle exists; it is passed on as in a request served directly.
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
}

impl<H: Handler> Drop for Started<H> {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        self.answer.abort();
        self.handler
            .record_ahead(AheadEvent::Cancelled, Some(&self.headers));
    }
}

/// A request that hyper has not reached yet.
struct Waiting<H: Handler> {
    head: RequestHead,
    started: Option<Started<H>>,
}

/// The request that is being served.
struct Current {
    head: RequestHead,
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
    pub(super) fn push(&mut self, head: RequestHead) {
        self.waiting.push_back(Waiting {
            head,
            started: None,
        });
    }

    /// Whether no request waits behind the one that is served.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request is served or was started.
    pub(super) fn is_in_progress(&self) -> bool {
        self.current.is_some() || self.has_started()
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
        read_if_ahead(handler, &next.head)
    }

    fn current_lets_others_start(&mut self, handler: &H) -> bool {
        let Some(current) = &mut self.current else {
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
        let request = Request::from_parts(head, ReceivedBody::Empty);
        handler.record_ahead(AheadEvent::Started, Some(&headers));
        let answer = tokio::spawn(Arc::clone(handler).handle(request));
        waiting.started = Some(Started {
            method,
            target,
            headers,
            handler: Arc::clone(handler),
            answer,
            is_taken: false,
            _permit: permit,
        });
        self.started += 1;
    }

    /// Records that hyper has reached the next request; returns it if it was started.
    pub(super) fn begin(
        &mut self,
        handler: &H,
        request: &Request<ReceivedBody>,
    ) -> Option<Started<H>> {
        let Waiting { head, started } = self.waiting.pop_front()?;
        self.started -= usize::from(started.is_some());
        self.current = Some(Current {
            head,
            lets_others_start: started.is_some().then_some(true),
        });
        let started = started?;
        if started.is_same(request) {
            return Some(started);
        }
        handler.record_ahead(AheadEvent::Differs, Some(request.headers()));
        None
    }

    /// Records that the answer to the current request is there.
    pub(super) fn end(&mut self) {
        self.current = None;
    }
}

/// The parsed head of a request that may be started before those ahead of it are answered.
fn read_if_ahead<H: Handler>(handler: &H, head: &RequestHead) -> Option<Parts> {
    if head.has_body() {
        return None;
    }
    head.parse().filter(|head| handler.may_run_ahead(head))
}
