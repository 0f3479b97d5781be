//! Requests that a caller sends ahead on its connection, before the answer to the one before (HTTP/1.1 pipelining).
//!
//! Rule: hyper frames requests and writes answers, one after the other. While it serves a request, the bytes behind it
//! are read ahead, and the requests found there are started if the handler allows it. When hyper reaches a started
//! request, its answer is taken. A request that may not be started ahead is a barrier: nothing behind it is started
//! before it has been served.
//!
//! Inputs: the bytes of the connection; whether the handler lets a request run ahead ([`Handler::may_run_ahead`]); the
//! limits of the settings.
//!
//! Reason: served one at a time, the last of five requests waits for the sum of the four before it.
//!
//! State: bytes read ahead and requests started ahead, by connection. Dropping the connection cancels them.
//!
//! Observability: metric `bramblewheel_requests_ahead` (by `event`); log line `request started ahead was cancelled`.

mod heads;
mod queue;
mod read_side;
mod socket;

pub use heads::{HeadScanner, RequestHead};
pub(crate) use queue::Unanswered;
pub use queue::{HeadReadAt, StartedAhead};
pub use socket::AheadSocket;

use crate::http::body::{AnswerBody, ReceivedBody};
use crate::http::server::Handler;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use http::{Request, Response};
use queue::AheadQueue;
use read_side::ReadSide;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Limits on requests that are started ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AheadSettings {
    /// Most requests started ahead on one connection; with 0, none is.
    pub per_connection: usize,
    /// Most requests started ahead on all connections of the daemon.
    pub per_daemon: usize,
    /// Most bytes that are read ahead on one connection.
    pub read_bytes: usize,
}

impl Default for AheadSettings {
    fn default() -> Self {
        Self {
            per_connection: 16,
            per_daemon: 512,
            read_bytes: 64 * 1024,
        }
    }
}

/// Limits on requests that are started ahead, shared by the connections of a listener.
#[derive(Clone, Debug)]
pub struct AheadLimits {
    settings: AheadSettings,
    clock: Clock,
    /// Permits of the requests that may be started ahead. Waiting connections get them in turn.
    permits: Arc<Semaphore>,
}

impl AheadLimits {
    /// The limits of the settings; none if nothing is started ahead.
    pub fn new(settings: AheadSettings, clock: Clock) -> Option<Self> {
        if settings.per_connection == 0 {
            return None;
        }
        let permits = Arc::new(Semaphore::new(settings.per_daemon));
        Some(Self {
            settings,
            clock,
            permits,
        })
    }
}

/// What happens to a request that was sent ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AheadEvent {
    /// It is started before the answer to the request before it.
    Started,
    /// It waits because as many requests are started ahead as the daemon allows.
    Waits,
    /// It was started and is cancelled, since its connection closes.
    Cancelled,
    /// It was started and is cancelled, since hyper read another request in its place.
    Differs,
}

impl AheadEvent {
    /// Value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Waits => "waits",
            Self::Cancelled => "cancelled",
            Self::Differs => "differs",
        }
    }
}

/// A wait for one of the permits.
type PermitWait = Pin<Box<dyn Future<Output = Option<OwnedSemaphorePermit>> + Send>>;

/// Requests sent ahead on one connection.
#[derive(Debug)]
pub struct Ahead<H: Handler> {
    handler: Arc<H>,
    limits: AheadLimits,
    state: Mutex<State<H>>,
    /// Notified when hyper reaches a started request.
    taken: Notify,
}

struct State<H: Handler> {
    reader: ReadSide,
    queue: AheadQueue<H>,
    permit_wait: Option<PermitWait>,
    /// Whether nothing is started any more, since the connection is closing.
    is_closing: bool,
}

impl<H: Handler> std::fmt::Debug for State<H> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = formatter.debug_struct("State");
        debug.field("is_closing", &self.is_closing);
        debug.finish_non_exhaustive()
    }
}

impl<H: Handler> Ahead<H> {
    /// Nothing is sent ahead on `reader` yet.
    pub fn new(reader: OwnedReadHalf, handler: Arc<H>, limits: AheadLimits) -> Arc<Self> {
        let state = State {
            reader: ReadSide::new(reader, limits.clock, limits.settings.read_bytes),
            queue: AheadQueue::default(),
            permit_wait: None,
            is_closing: false,
        };
        Arc::new(Self {
            handler,
            limits,
            state: Mutex::new(state),
            taken: Notify::new(),
        })
    }

    /// Reads ahead and starts requests; ready when the caller has closed the connection while a request is in progress.
    /// To be called after hyper had the chance to take the next request.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let is_behind = !state.queue.is_empty() || state.reader.has_partial_head();
        if !is_behind {
            // A permit that is granted later would be kept from other connections.
            state.permit_wait = None;
            return Poll::Pending;
        }
        state.reader.read_ahead(cx, &mut state.queue);
        if state.reader.has_ended() && state.queue.is_in_progress() {
            return Poll::Ready(());
        }
        if !state.is_closing {
            self.start_waiting(state, cx);
        }
        Poll::Pending
    }

    /// Starts the requests that may run ahead, as far as the limits allow.
    fn start_waiting(&self, state: &mut State<H>, cx: &mut Context<'_>) {
        let most = self.limits.settings.per_connection;
        while let Some(head) = state.queue.next_to_start(&*self.handler, most) {
            let Some(permit) = self.permit(&mut state.permit_wait, cx) else {
                return;
            };
            state.queue.start(head, &self.handler, permit);
        }
        state.permit_wait = None;
    }

    /// A permit to start one request; none while the wait for it lasts.
    fn permit(
        &self,
        wait: &mut Option<PermitWait>,
        cx: &mut Context<'_>,
    ) -> Option<OwnedSemaphorePermit> {
        let permits = &self.limits.permits;
        let Some(waiting) = wait else {
            if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
                return Some(permit);
            }
            self.handler.record_ahead(AheadEvent::Waits, None);
            let acquired = Arc::clone(permits).acquire_owned();
            *wait = Some(Box::pin(async move { acquired.await.ok() }));
            return self.permit(wait, cx);
        };
        match waiting.as_mut().poll(cx) {
            Poll::Ready(permit) => {
                *wait = None;
                permit
            }
            Poll::Pending => None,
        }
    }

    /// Answers the next request of the connection: by the one that was started, or by the handler.
    pub async fn answer(&self, mut request: Request<ReceivedBody>) -> Response<AnswerBody> {
        let unanswered = Unanswered::default();
        let started = lock(&self.state).queue.begin(&mut request, &unanswered);
        self.taken.notify_waiters();
        let mut response = match started {
            Some(started) => started.response().await,
            None => Arc::clone(&self.handler).handle(request).await,
        };
        response.body_mut().set_unanswered(unanswered);
        response
    }

    /// Whether requests behind the current one were started.
    pub fn has_started(&self) -> bool {
        lock(&self.state).queue.has_started()
    }

    /// Whether requests were sent behind the current one.
    pub fn has_waiting(&self) -> bool {
        !lock(&self.state).queue.is_empty()
    }

    /// Returns once the answers of all started requests have been taken.
    pub async fn until_none_started(&self) {
        loop {
            let taken = self.taken.notified();
            if !self.has_started() {
                return;
            }
            taken.await;
        }
    }

    /// Starts nothing any more.
    pub fn close(&self) {
        let mut state = lock(&self.state);
        state.is_closing = true;
        state.permit_wait = None;
    }
}
