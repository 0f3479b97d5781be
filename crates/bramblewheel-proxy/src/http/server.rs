//! Listeners: accept connections up to a cap, serve HTTP/1.1 on them, stop without breaking any.
//!
//! Owns the connections of a listener and how long each may rest. Above the cap connections wait to be
//! accepted; the way of signed bundles refuses them with an answer instead, since its callers read the
//! fields of it. At a stop, connections that wait are accepted and served, since their callers may have
//! sent requests.

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
use tokio::time::Instant;

/// Time for the head of a request to arrive; also the longest rest between two requests. Chosen, not
/// measured.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Bytes read ahead on a connection, which is also the longest head. Chosen, not measured.
const READ_AHEAD: usize = 64 * 1024;
/// Connections of one listener; beyond it they wait to be accepted. Chosen, not measured.
const MAX_CONNECTIONS: usize = 1_800;
/// Least time between two checks whether a connection rests; chosen, not measured.
const LEAST_LOOK: Duration = Duration::from_millis(500);
/// Time in which the first request on a connection that was opened shortly before the listener closed
/// is read; chosen, not measured.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(100);
/// Wait after a failed accept, such as when no file descriptor is left; chosen, not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller goes away.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// How long a connection may rest between two requests, as it is at the moment of asking: it may
/// change while connections are open.
pub type IdleLimit = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Which connections are kept between two requests, and for how long.
#[derive(Clone)]
pub struct KeepPolicy {
    /// Longest rest.
    pub longest_rest: IdleLimit,
    /// Connections at rest beyond which a new one is closed after its first answer. One that has
    /// carried more than one request shows that its caller uses connections again, and is kept.
    pub most_at_rest: usize,
}

/// What a connection did last.
#[derive(Debug)]
struct Activity {
    /// Requests in progress: none or one.
    running: AtomicUsize,
    /// Requests that have begun.
    begun: AtomicUsize,
    /// When the last one ended, or the connection was opened.
    rests_since: Mutex<Instant>,
}

impl Activity {
    fn begin() -> Self {
        Self {
            running: AtomicUsize::new(0),
            begun: AtomicUsize::new(0),
            rests_since: Mutex::new(Instant::now()),
        }
    }

    fn request_begins(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.begun.fetch_add(1, Ordering::Relaxed);
    }

    fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed) > 0
    }

    fn was_used_again(&self) -> bool {
        self.begun.load(Ordering::Relaxed) > 1
    }

    fn request_ends(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        *self.rests_since() = Instant::now();
    }

    fn rests_since(&self) -> MutexGuard<'_, Instant> {
        lock(&self.rests_since)
    }

    /// Ends once the connection has rested for longer than the limit that holds then.
    async fn until_rested(&self, limit: &IdleLimit) {
        loop {
            let until = *self.rests_since() + limit();
            let is_resting = self.running.load(Ordering::Relaxed) == 0;
            if is_resting && until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until.max(Instant::now() + LEAST_LOOK)).await;
        }
    }
}

/// Opens a listener.
///
/// # Errors
/// What the operating system says.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves a listener until `stop`; returns once every connection has ended.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    keep: KeepPolicy,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut connections = Connections {
        handler,
        keep,
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
    // The close resets what waits in the listener's queue, although its callers may have sent requests.
    while let Ok(permit) = Arc::clone(&permits).try_acquire_owned()
        && let Some(stream) = accept_waiting(&listener).await
    {
        connections.add(stream, permit);
    }
    drop(listener);
    while connections.tasks.join_next().await.is_some() {}
}

/// The next connection that waits to be accepted, if there is one.
async fn accept_waiting(listener: &TcpListener) -> Option<TcpStream> {
    let waiting = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
    let (stream, _) = waiting.ok()?.ok()?;
    Some(stream)
}

/// The open connections of a listener.
struct Connections<H> {
    handler: Arc<H>,
    keep: KeepPolicy,
    stop: watch::Receiver<bool>,
    count: Arc<OpenConnections>,
    tasks: JoinSet<()>,
}

impl<H: Handler> Connections<H> {
    fn add(&mut self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let connection = serve_connection(
            stream,
            Arc::clone(&self.handler),
            self.keep.clone(),
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

/// Ends once the listener closes and the first request on the connection has had time to be read.
async fn may_close(stop: &mut watch::Receiver<bool>, activity: &Activity) {
    stop_requested(stop).await;
    if !activity.has_begun() {
        tokio::time::sleep(FIRST_REQUEST_TIME).await;
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    keep: KeepPolicy,
    count: Arc<OpenConnections>,
    mut stop: watch::Receiver<bool>,
) {
    let _open = count.enter();
    // Without it a short answer may wait for the other side's delayed acknowledgement.
    // No time-out of unacknowledged bytes: a caller may read slowly.
    let _ = stream.set_nodelay(true);
    let activity = Arc::new(Activity::begin());
    let KeepPolicy {
        longest_rest,
        most_at_rest,
    } = keep;
    let served = Arc::clone(&activity);
    let service = hyper::service::service_fn(move |request| {
        let (handler, activity) = (Arc::clone(&handler), Arc::clone(&served));
        let count = Arc::clone(&count);
        // Boxed, since a connection keeps room for the future of a request also while it rests, and
        // most connections do.
        Box::pin(answer(handler, request, activity, count, most_at_rest))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_AHEAD)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // How a connection ends is seen by the requests on it.
    let _ = tokio::select! {
        ended = connection.as_mut() => ended,
        () = may_close(&mut stop, &activity) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = activity.until_rested(&longest_rest) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}

/// Answers a request; the answer is the last one of its connection if too many are at rest.
async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
    activity: Arc<Activity>,
    count: Arc<OpenConnections>,
    most_at_rest: usize,
) -> Result<Response<AnswerBody>, Infallible> {
    activity.request_begins();
    let running = count.begin_request();
    let mut response = handler.handle(request).await;
    let has_many_at_rest = count.resting() >= most_at_rest;
    if has_many_at_rest && !activity.was_used_again() {
        close_after(&mut response);
    }
    drop(running);
    activity.request_ends();
    Ok(response)
}

/// Makes an answer the last one of its connection.
fn close_after(response: &mut Response<AnswerBody>) {
    let headers = response.headers_mut();
    headers.remove(KEEP_ALIVE);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
