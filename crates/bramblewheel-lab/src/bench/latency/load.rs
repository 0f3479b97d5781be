//! Open-loop caller: sends each request when it is due, regardless of the outcome of earlier ones.

use crate::bench::latency::schedule::arrivals;
use crate::error::CommandError;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::hint;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

/// Largest recorded latency, in nanoseconds: one minute; longer ones count as this.
const MAX_LATENCY_NANOS: u64 = 60_000_000_000;
/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Part of a wait that is spent spinning, because a sleeping thread wakes up late by up to this time.
const SPIN_TIME: Duration = Duration::from_micros(80);
/// Time between the set-up of the connections and the start of the window.
const START_DELAY: Duration = Duration::from_millis(50);

/// Load of one window.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Address called.
    pub target: SocketAddr,
    /// Mean calls per second.
    pub rate: u32,
    /// Length of the window.
    pub window: Duration,
    /// Largest number of requests in progress; further requests wait, and the wait counts as latency.
    pub connections: usize,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Result of one window.
#[derive(Debug)]
pub struct Measurement {
    /// Latencies in nanoseconds, from the time at which a request was due to the end of its answer.
    pub latency: Histogram<u64>,
    /// Delays in nanoseconds between the due time and the sending of requests.
    pub lateness: Histogram<u64>,
}

impl Measurement {
    fn empty() -> Result<Self, CommandError> {
        Ok(Self {
            latency: histogram()?,
            lateness: histogram()?,
        })
    }
}

fn histogram() -> Result<Histogram<u64>, CommandError> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS).map_err(caller_error)
}

fn caller_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::RunFailed(format!("caller: {error}"))
}

/// Sends the load of one window, with one thread per connection.
///
/// # Errors
/// [`CommandError::RunFailed`] when a call fails, since the windows are then not comparable.
pub fn send(load: Load) -> Result<Measurement, CommandError> {
    let due = arrivals(load.seed, load.rate, load.window);
    let next = AtomicUsize::new(0);
    let clients = (0..load.connections).map(|_| Client::connect(load.target));
    let clients = clients.collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now() + START_DELAY;
    thread::scope(|scope| {
        let run = |client: Client| client.send_requests(&due, &next, start);
        let threads: Vec<_> = clients
            .into_iter()
            .map(|client| scope.spawn(move || run(client)))
            .collect();
        let mut total = Measurement::empty()?;
        for thread in threads {
            let measurement = thread
                .join()
                .map_err(|_| caller_error("a thread panicked"))??;
            total
                .latency
                .add(&measurement.latency)
                .map_err(caller_error)?;
            total
                .lateness
                .add(&measurement.lateness)
                .map_err(caller_error)?;
        }
        Ok(total)
    })
}

/// A connection that is driven by one thread.
struct Client {
    runtime: Runtime,
    sender: SendRequest<Full<Bytes>>,
    target: SocketAddr,
}

impl Client {
    fn connect(target: SocketAddr) -> Result<Self, CommandError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()?;
        let sender = runtime.block_on(async {
            let stream = TcpStream::connect(target).await?;
            stream.set_nodelay(true)?;
            let handshake = http1::handshake(TokioIo::new(stream));
            let (sender, connection) = handshake.await.map_err(caller_error)?;
            tokio::spawn(connection);
            Ok::<_, CommandError>(sender)
        })?;
        Ok(Self {
            runtime,
            sender,
            target,
        })
    }

    /// Repeatedly takes the next request that no other thread has taken, waits until it is due and sends it.
    fn send_requests(
        mut self,
        due: &[Duration],
        next: &AtomicUsize,
        start: Instant,
    ) -> Result<Measurement, CommandError> {
        let mut measurement = Measurement::empty()?;
        while let Some(due) = due.get(next.fetch_add(1, Ordering::Relaxed)) {
            let due = start + *due;
            wait_until(due);
            measurement.lateness.saturating_record(nanos_since(due));
            self.call()?;
            measurement.latency.saturating_record(nanos_since(due));
        }
        Ok(measurement)
    }

    fn call(&mut self) -> Result<(), CommandError> {
        let request = Request::get("/question")
            .header(header::HOST, self.target.to_string())
            .header(
                bramblewheel_types::headers::SERVICE,
                super::topology::SERVICE,
            )
            .body(Full::new(Bytes::new()))
            .map_err(caller_error)?;
        self.runtime.block_on(async {
            self.sender.ready().await.map_err(caller_error)?;
            let answer = self
                .sender
                .send_request(request)
                .await
                .map_err(caller_error)?;
            let (head, body) = answer.into_parts();
            let body = body.collect().await.map_err(caller_error)?.to_bytes();
            match head.status {
                StatusCode::OK => Ok(()),
                other => Err(caller_error(format!("{other}: {body:?}"))),
            }
        })
    }
}

fn nanos_since(due: Instant) -> u64 {
    u64::try_from(due.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

fn wait_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    thread::sleep(remaining.saturating_sub(SPIN_TIME));
    while Instant::now() < due {
        hint::spin_loop();
    }
}

/// Makes a single call to check that the target answers.
///
/// # Errors
/// [`CommandError::RunFailed`] when it doesn't answer with success.
pub fn call_once(target: SocketAddr) -> Result<(), CommandError> {
    Client::connect(target)?.call()
}
