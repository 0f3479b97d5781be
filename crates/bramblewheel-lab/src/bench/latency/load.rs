//! The caller: an open loop that sends each request when it is due, whatever became of others.

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

/// Longest latency that is distinguished, in nanoseconds: one minute.
const LONGEST_NANOS: u64 = 60_000_000_000;
/// Significant digits of recorded latencies.
const DIGITS: u8 = 3;
/// The last part of a wait is spent awake: a sleeping thread wakes up to this much too late.
const AWAKE: Duration = Duration::from_micros(80);
/// Time between the first connection and the first request.
const LEAD: Duration = Duration::from_millis(50);

/// Load of one window.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Address called.
    pub target: SocketAddr,
    /// Mean calls per second.
    pub rate: u32,
    /// Length of the window.
    pub window: Duration,
    /// Requests that may be under way at once; more wait, and their wait counts.
    pub connections: usize,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// What came of one window.
#[derive(Debug)]
pub struct Measured {
    /// Latencies in nanoseconds, from the time a request was due to the end of its answer.
    pub latency: Histogram<u64>,
    /// How late requests were sent, in nanoseconds.
    pub lateness: Histogram<u64>,
}

impl Measured {
    fn empty() -> Result<Self, CommandError> {
        Ok(Self {
            latency: histogram()?,
            lateness: histogram()?,
        })
    }
}

fn histogram() -> Result<Histogram<u64>, CommandError> {
    Histogram::new_with_bounds(1, LONGEST_NANOS, DIGITS).map_err(broken)
}

fn broken(error: impl std::fmt::Display) -> CommandError {
    CommandError::RunFailed(format!("caller: {error}"))
}

/// Sends one window's load; one thread for each request that may be under way.
///
/// # Errors
/// [`CommandError::RunFailed`] when a call fails: then there is nothing to compare.
pub fn send(load: Load) -> Result<Measured, CommandError> {
    let due = arrivals(load.seed, load.rate, load.window);
    let next = AtomicUsize::new(0);
    let clients = (0..load.connections).map(|_| Client::connect(load.target));
    let clients = clients.collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now() + LEAD;
    thread::scope(|scope| {
        let work = |client: Client| client.take_turns(&due, &next, start);
        let threads: Vec<_> = clients
            .into_iter()
            .map(|client| scope.spawn(move || work(client)))
            .collect();
        let mut all = Measured::empty()?;
        for thread in threads {
            let measured = thread.join().map_err(|_| broken("a thread panicked"))??;
            all.latency.add(&measured.latency).map_err(broken)?;
            all.lateness.add(&measured.lateness).map_err(broken)?;
        }
        Ok(all)
    })
}

/// One connection, driven by one thread.
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
            let (sender, connection) = handshake.await.map_err(broken)?;
            tokio::spawn(connection);
            Ok::<_, CommandError>(sender)
        })?;
        Ok(Self {
            runtime,
            sender,
            target,
        })
    }

    /// Takes the next request that nobody has taken, waits until it is due, sends it.
    fn take_turns(
        mut self,
        due: &[Duration],
        next: &AtomicUsize,
        start: Instant,
    ) -> Result<Measured, CommandError> {
        let mut measured = Measured::empty()?;
        while let Some(due) = due.get(next.fetch_add(1, Ordering::Relaxed)) {
            let due = start + *due;
            wait_until(due);
            measured.lateness.saturating_record(nanos_since(due));
            self.call()?;
            measured.latency.saturating_record(nanos_since(due));
        }
        Ok(measured)
    }

    fn call(&mut self) -> Result<(), CommandError> {
        let request = Request::get("/question")
            .header(header::HOST, self.target.to_string())
            .header(
                bramblewheel_types::headers::SERVICE,
                super::topology::SERVICE,
            )
            .body(Full::new(Bytes::new()))
            .map_err(broken)?;
        self.runtime.block_on(async {
            self.sender.ready().await.map_err(broken)?;
            let answer = self.sender.send_request(request).await.map_err(broken)?;
            let (head, body) = answer.into_parts();
            let body = body.collect().await.map_err(broken)?.to_bytes();
            match head.status {
                StatusCode::OK => Ok(()),
                other => Err(broken(format!("{other}: {body:?}"))),
            }
        })
    }
}

fn nanos_since(due: Instant) -> u64 {
    u64::try_from(due.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

fn wait_until(due: Instant) {
    let asleep = due.saturating_duration_since(Instant::now());
    thread::sleep(asleep.saturating_sub(AWAKE));
    while Instant::now() < due {
        hint::spin_loop();
    }
}

/// Makes one call, to see whether the target answers.
///
/// # Errors
/// [`CommandError::RunFailed`] when it doesn't.
pub fn try_once(target: SocketAddr) -> Result<(), CommandError> {
    Client::connect(target)?.call()
}
