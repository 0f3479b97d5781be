//! HTTP/1.1 server: accepts connections up to a limit, closes idle ones, and stops without breaking requests.
//!
//! Above the limit, connections wait to be accepted. The data path of signed bundles answers them with a refusal
//! instead, since its callers read the headers of that answer. At a stop, waiting connections are accepted and
//! served, since their callers may have sent requests.

use crate::http::ahead::{Ahead, AheadEvent, AheadLimits, AheadSocket};
use crate::http::body::{AnswerBody, ReceivedBody};
use crate::http::open_connections::OpenConnections;
use bramblewheel_http::fields::KEEP_ALIVE;
use bramblewheel_http::stop::stop_requested;
use bramblewheel_process::invariants::lock;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tokio_io_timeout::TimeoutWriter;

/// Time-out of the head of a request; also the upper bound on the idle time between two requests.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Size of a connection's read buffer in bytes, which also limits the length of a head.
const READ_BUFFER: usize = 64 * 1024;
/// Maximum number of connections of one listener; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 1_800;
/// Shortest time between two checks whether a connection is idle.
const MIN_IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time for the first request to arrive on a connection that was opened shortly before the listener closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a connection is still read before it is closed. A request may have arrived while this process could
/// not run.
const LAST_READ_TIME: Duration = Duration::from_millis(5);
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped if the caller closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<ReceivedBody>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Whether a request without a body may be started before the answers to those ahead of it on its connection, and
    /// be cancelled after it was started.
    fn may_run_ahead(&self, _head: &Parts) -> bool {
        false
    }

    /// Records what happens to a request that was sent ahead; `headers` are those of the request, if it is a certain
    /// one.
    fn record_ahead(&self, _event: AheadEvent, _headers: Option<&HeaderMap>) {}

    /// Whether connections are to be closed after the requests in progress on them.
    fn closes_connections(&self) -> bool {
        false
    }
}

/// Returns the current idle time-out of connections, which may change while they are open.
pub type IdleTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Limits on connections whose peers send or read nothing.
#[derive(Clone)]
pub struct KeepAlivePolicy {
    /// Idle time-out.
    pub idle_timeout: IdleTimeout,
    /// Number of idle connections from which a new one is closed after its first answer. A connection that has
    /// carried more than one request is kept, since its caller reuses connections.
    pub max_idle: usize,
    /// Time in which the peer must read something of an answer.
    pub write_timeout: Duration,
}

/// Activity of one connection.
#[derive(Debug)]
struct Activity {
    /// Number of requests in progress: 0 or 1.
    running: AtomicUsize,
    /// Number of requests received.
    received: AtomicUsize,
    /// When the last request ended, or the connection was opened.
    idle_since: Mutex<Instant>,
    /// Notified when an answer on the connection is ended at its deadline.
    has_unfinished_answer: Arc<Notify>,
}

impl Activity {
    fn begin() -> Self {
        Self {
            running: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            idle_since: Mutex::new(Instant::now()),
            has_unfinished_answer: Arc::default(),
        }
    }

    fn request_begins(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    fn has_received_request(&self) -> bool {
        self.received.load(Ordering::Relaxed) > 0
    }

    fn is_reused(&self) -> bool {
        self.received.load(Ordering::Relaxed) > 1
    }

    fn request_ends(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        *self.idle_since() = Instant::now();
    }

    fn idle_since(&self) -> MutexGuard<'_, Instant> {
        lock(&self.idle_since)
    }

    /// When the idle time-out ends; none while a request is in progress.
    fn idle_until(&self, timeout: &IdleTimeout) -> Option<Instant> {
        let is_idle = self.running.load(Ordering::Relaxed) == 0;
        is_idle.then(|| *self.idle_since() + timeout())
    }

    fn has_timed_out(&self, timeout: &IdleTimeout) -> bool {
        let until = self.idle_until(timeout);
        until.is_some_and(|until| until <= Instant::now())
    }

    /// Returns once the connection has been idle for the time-out that is current then.
    async fn until_idle_timeout(&self, timeout: &IdleTimeout) {
        while !self.has_timed_out(timeout) {
            let next_check = Instant::now() + MIN_IDLE_CHECK_PERIOD;
            let until = self.idle_until(timeout).unwrap_or(next_check);
            tokio::time::sleep_until(until.max(next_check)).await;
        }
    }
}

/// Binds a listener.
///
/// # Errors
/// The error of the operating system.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves a listener until `stop` is true; returns once every connection has ended.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    keep_alive: KeepAlivePolicy,
    stop: watch::Receiver<bool>,
    log: Logger,
) {
    serve_ahead(listener, handler, keep_alive, None, stop, log).await;
}

/// Like [`serve`]; with `ahead`, requests that callers send ahead on a connection may be started before the answers to
/// those before them.
pub async fn serve_ahead<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    keep_alive: KeepAlivePolicy,
    ahead: Option<AheadLimits>,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut connections = Connections {
        handler,
        keep_alive,
        ahead,
        stop: stop.clone(),
        count: Arc::default(),
        tasks: JoinSet::new(),
    };
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_requested(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) => connections.add(stream, permit),
            Err(error) => {
                slog::warn!(log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Closing the listener resets connections in its backlog, although their callers may have sent requests.
    while let Ok(permit) = Arc::clone(&permits).try_acquire_owned()
        && let Some(stream) = accept_waiting(&listener).await
    {
        connections.add(stream, permit);
    }
    drop(listener);
    while connections.tasks.join_next().await.is_some() {}
}

/// Accepts the next connection from the backlog, if there is one.
async fn accept_waiting(listener: &TcpListener) -> Option<TcpStream> {
    let waiting = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
    let (stream, _) = waiting.ok()?.ok()?;
    Some(stream)
}

/// The open connections of a listener.
struct Connections<H> {
    handler: Arc<H>,
    keep_alive: KeepAlivePolicy,
    /// Limits on requests that are started ahead; `None` if none is.
    ahead: Option<AheadLimits>,
    stop: watch::Receiver<bool>,
    count: Arc<OpenConnections>,
    tasks: JoinSet<()>,
}

impl<H: Handler> Connections<H> {
    fn add(&mut self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let context = ConnectionContext {
            handler: Arc::clone(&self.handler),
            keep_alive: self.keep_alive.clone(),
            count: Arc::clone(&self.count),
            stop: self.stop.clone(),
        };
        let connection = serve_connection(stream, context, self.ahead.clone());
        self.tasks.spawn(async move {
            connection.await;
            drop(permit);
        });
        while self.tasks.try_join_next().is_some() {}
    }
}

/// Returns once the listener stops, the first request on the connection has had time to arrive, and no request is
/// unanswered that was started ahead.
async fn until_closable<H: Handler>(
    stop: &mut watch::Receiver<bool>,
    activity: &Activity,
    ahead: Option<&Ahead<H>>,
) {
    stop_requested(stop).await;
    if !activity.has_received_request() {
        tokio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
    }
    if let Some(ahead) = ahead {
        ahead.until_none_started().await;
    }
}

/// Returns once the connection has been idle for the time-out and nothing waits that was read ahead, which an answer that
/// is read slowly may hold up.
async fn until_idle<H: Handler>(
    activity: &Activity,
    idle_timeout: &IdleTimeout,
    ahead: Option<&Ahead<H>>,
) {
    loop {
        activity.until_idle_timeout(idle_timeout).await;
        if !ahead.is_some_and(Ahead::has_waiting) {
            return;
        }
        tokio::time::sleep(MIN_IDLE_CHECK_PERIOD).await;
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The listener stops.
    Stop,
    /// No request came for the idle time-out.
    Idle,
}

/// What a connection of a listener is served with.
struct ConnectionContext<H> {
    handler: Arc<H>,
    keep_alive: KeepAlivePolicy,
    count: Arc<OpenConnections>,
    stop: watch::Receiver<bool>,
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    context: ConnectionContext<H>,
    ahead: Option<AheadLimits>,
) {
    let _open = context.count.enter();
    // Without TCP_NODELAY a short answer may wait for the peer's delayed acknowledgement. There is no time-out of
    // unacknowledged bytes, since a caller may read slowly.
    let _ = stream.set_nodelay(true);
    let write_timeout = context.keep_alive.write_timeout;
    let Some(limits) = ahead else {
        let mut stream = TimeoutWriter::new(stream);
        stream.set_timeout(Some(write_timeout));
        return serve_stream(TokioIo::new(Box::pin(stream)), context, None).await;
    };
    let (reader, writer) = stream.into_split();
    let ahead = Ahead::new(reader, Arc::clone(&context.handler), limits);
    let socket = AheadSocket::new(Arc::clone(&ahead), writer, write_timeout);
    serve_stream(socket, context, Some(ahead)).await;
}

async fn serve_stream<S, H>(stream: S, context: ConnectionContext<H>, ahead: Option<Arc<Ahead<H>>>)
where
    S: Read + Write + Unpin + Send + 'static,
    H: Handler,
{
    let ConnectionContext {
        handler,
        keep_alive,
        count,
        stop,
    } = context;
    let KeepAlivePolicy {
        idle_timeout,
        max_idle,
        write_timeout: _,
    } = keep_alive;
    let activity = Arc::new(Activity::begin());
    let served = Served {
        handler,
        ahead: ahead.clone(),
        activity: Arc::clone(&activity),
        count,
        max_idle,
    };
    let service = hyper::service::service_fn(move |request| {
        // Boxed because a connection reserves memory for a request's future even while it is idle, as most are.
        Box::pin(served.clone().answer(request))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER)
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let ahead = ahead.as_deref();
    let mut closing = Closing {
        stop,
        activity: &activity,
        idle_timeout: &idle_timeout,
    };
    if closing.serve_until_due(connection.as_mut(), ahead).await {
        return;
    }
    if let Some(ahead) = ahead {
        ahead.close();
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        () = drive(connection, ahead) => {}
        () = activity.has_unfinished_answer.notified() => {}
    }
}

/// What decides when this side closes a connection.
struct Closing<'a> {
    stop: watch::Receiver<bool>,
    activity: &'a Activity,
    idle_timeout: &'a IdleTimeout,
}

impl Closing<'_> {
    /// Serves a connection until it is to be closed; returns whether it has ended before. It ends with an answer that can't
    /// be finished, also while its caller reads nothing.
    async fn serve_until_due<C: Future, H: Handler>(
        &mut self,
        mut connection: Pin<&mut C>,
        ahead: Option<&Ahead<H>>,
    ) -> bool {
        loop {
            let reason = tokio::select! {
                () = drive(connection.as_mut(), ahead) => return true,
                () = self.activity.has_unfinished_answer.notified() => return true,
                () = until_closable(&mut self.stop, self.activity, ahead) => CloseReason::Stop,
                () = until_idle(self.activity, self.idle_timeout, ahead) => CloseReason::Idle,
            };
            let last_read = drive(connection.as_mut(), ahead);
            if timeout(LAST_READ_TIME, last_read).await.is_ok() {
                return true;
            }
            if self.may_close(reason, ahead) {
                return false;
            }
        }
    }

    /// Whether the reason still holds after the last read.
    fn may_close<H: Handler>(&self, reason: CloseReason, ahead: Option<&Ahead<H>>) -> bool {
        match reason {
            CloseReason::Stop => !ahead.is_some_and(Ahead::has_started),
            CloseReason::Idle => {
                let is_idle = self.activity.has_timed_out(self.idle_timeout);
                is_idle && !ahead.is_some_and(Ahead::has_waiting)
            }
        }
    }
}

/// Runs a connection and the requests that were sent ahead on it, until it ends or its caller has closed it. Errors of a
/// connection are handled by the requests on it.
async fn drive<C: Future, H: Handler>(mut connection: Pin<&mut C>, ahead: Option<&Ahead<H>>) {
    std::future::poll_fn(|cx| {
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        ahead.map_or(Poll::Pending, |ahead| ahead.poll(cx))
    })
    .await;
}

/// Answers the requests of one connection.
struct Served<H: Handler> {
    handler: Arc<H>,
    ahead: Option<Arc<Ahead<H>>>,
    activity: Arc<Activity>,
    count: Arc<OpenConnections>,
    /// Number of idle connections from which this one is closed after its first answer.
    max_idle: usize,
}

impl<H: Handler> Clone for Served<H> {
    fn clone(&self) -> Self {
        Self {
            handler: Arc::clone(&self.handler),
            ahead: self.ahead.clone(),
            activity: Arc::clone(&self.activity),
            count: Arc::clone(&self.count),
            max_idle: self.max_idle,
        }
    }
}

impl<H: Handler> Served<H> {
    /// Answers a request; closes the connection after the answer if too many connections are idle.
    async fn answer(self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Infallible> {
        self.activity.request_begins();
        let busy = self.count.begin_request();
        let request = request.map(ReceivedBody::Unread);
        let mut response = match &self.ahead {
            Some(ahead) => ahead.answer(request).await,
            None => Arc::clone(&self.handler).handle(request).await,
        };
        let unfinished = Arc::clone(&self.activity.has_unfinished_answer);
        response.body().close_at_deadline(unfinished);
        let ahead = self.ahead.as_deref();
        if ahead.is_some_and(Ahead::has_started) {
            // Closing here would cut off the requests behind this one, which endpoints may already be running.
            response.headers_mut().remove(CONNECTION);
        } else if ahead.is_some() && self.handler.closes_connections() {
            // The answer of a started request may be older than the order to stop.
            close_after(&mut response);
        }
        let has_too_many_idle = self.count.idle() >= self.max_idle;
        let is_reused = self.activity.is_reused() || ahead.is_some_and(Ahead::has_waiting);
        if has_too_many_idle && !is_reused {
            close_after(&mut response);
        }
        if let Some(ahead) = ahead
            && response.headers().contains_key(CONNECTION)
        {
            ahead.close();
        }
        drop(busy);
        self.activity.request_ends();
        Ok(response)
    }
}

/// Makes the connection close after this answer.
fn close_after(response: &mut Response<AnswerBody>) {
    let headers = response.headers_mut();
    headers.remove(KEEP_ALIVE);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
