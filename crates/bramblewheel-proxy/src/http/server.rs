//! HTTP/1.1 server: accepts connections up to a limit, closes idle ones, and stops without breaking requests.
//!
//! Above the limit, connections wait to be accepted. The data path of signed bundles answers them with a refusal
//! instead, since its callers read the headers of that answer. At a stop, waiting connections are accepted and
//! served, since their callers may have sent requests.

use crate::http::body::AnswerBody;
use crate::http::open_connections::OpenConnections;
use bramblewheel_http::fields::KEEP_ALIVE;
use bramblewheel_http::stop::stop_requested;
use bramblewheel_process::invariants::lock;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

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
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Returns the current idle time-out of connections, which may change while they are open.
pub type IdleTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Limits on idle connections of a listener.
#[derive(Clone)]
pub struct KeepAlivePolicy {
    /// Idle time-out.
    pub idle_timeout: IdleTimeout,
    /// Number of idle connections from which a new one is closed after its first answer. A connection that has
    /// carried more than one request is kept, since its caller reuses connections.
    pub max_idle: usize,
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
}

impl Activity {
    fn begin() -> Self {
        Self {
            running: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            idle_since: Mutex::new(Instant::now()),
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
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut connections = Connections {
        handler,
        keep_alive,
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
    stop: watch::Receiver<bool>,
    count: Arc<OpenConnections>,
    tasks: JoinSet<()>,
}

impl<H: Handler> Connections<H> {
    fn add(&mut self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let connection = serve_connection(
            stream,
            Arc::clone(&self.handler),
            self.keep_alive.clone(),
            Arc::clone(&self.count),
            self.stop.clone(),
        );
        self.tasks.spawn(async move {
            connection.await;
            drop(permit);
        });
        while self.tasks.try_join_next().is_some() {}
    }
}

/// Returns once the listener stops and the first request on the connection has had time to arrive.
async fn until_closable(stop: &mut watch::Receiver<bool>, activity: &Activity) {
    stop_requested(stop).await;
    if !activity.has_received_request() {
        tokio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
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

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    keep_alive: KeepAlivePolicy,
    count: Arc<OpenConnections>,
    mut stop: watch::Receiver<bool>,
) {
    let _open = count.enter();
    // Without TCP_NODELAY a short answer may wait for the peer's delayed acknowledgement. There is no time-out of
    // unacknowledged bytes, since a caller may read slowly.
    let _ = stream.set_nodelay(true);
    let activity = Arc::new(Activity::begin());
    let KeepAlivePolicy {
        idle_timeout,
        max_idle,
    } = keep_alive;
    let served = Arc::clone(&activity);
    let service = hyper::service::service_fn(move |request| {
        let (handler, activity) = (Arc::clone(&handler), Arc::clone(&served));
        let count = Arc::clone(&count);
        // Boxed because a connection reserves memory for a request's future even while it is idle, as most are.
        Box::pin(answer(handler, request, activity, count, max_idle))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let reason = tokio::select! {
            // Errors of a connection are handled by the requests on it.
            _ = connection.as_mut() => return,
            () = until_closable(&mut stop, &activity) => CloseReason::Stop,
            () = activity.until_idle_timeout(&idle_timeout) => CloseReason::Idle,
        };
        if timeout(LAST_READ_TIME, connection.as_mut()).await.is_ok() {
            return;
        }
        if reason == CloseReason::Stop || activity.has_timed_out(&idle_timeout) {
            break;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Answers a request; closes the connection after the answer if too many connections are idle.
async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
    activity: Arc<Activity>,
    count: Arc<OpenConnections>,
    max_idle: usize,
) -> Result<Response<AnswerBody>, Infallible> {
    activity.request_begins();
    let busy = count.begin_request();
    let mut response = handler.handle(request).await;
    let has_too_many_idle = count.idle() >= max_idle;
    if has_too_many_idle && !activity.is_reused() {
        close_after(&mut response);
    }
    drop(busy);
    activity.request_ends();
    Ok(response)
}

/// Makes the connection close after this answer.
fn close_after(response: &mut Response<AnswerBody>) {
    let headers = response.headers_mut();
    headers.remove(KEEP_ALIVE);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
