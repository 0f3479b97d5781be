//! Pools of idle connections by address.
//!
//! Unlike the pool of the data path of signed bundles, a pool does not bound the connections in use: the number of
//! requests to an address is decided elsewhere. Instead it learns which idle time is too long, since endpoints close
//! idle connections without notice, and a request sent on a connection being closed may have run.
//!
//! A pool does not send a request again on a connection on which it was rejected: a further copy of the rejection, which
//! may come at any time, could not be told from the answer to the later send.

use crate::http::body::RequestBody;
use bramblewheel_http::connection::Connection;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::socket;
use bramblewheel_types::Timestamp;
use http::HeaderValue;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;

/// Time-out of opening a connection; a machine that is cut off does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Size of a connection's read buffer in bytes; beyond it, a slow reader blocks the writer.
const READ_BUFFER: usize = 64 * 1024;
/// Time for which a pool remembers that the peer closes idle connections early. Without it, 81 answers were lost in
/// three seconds when all endpoints closed connections idle for 150 ms.
const LOSS_MEMORY: Duration = Duration::from_secs(8);

/// Most rejected requests that a connection remembers; with as many, it carries no further request.
const MAX_REJECTED_REQUESTS: usize = 32;

/// No connection could be opened; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectFailed {
    /// No process listens at the address.
    #[error("connection refused")]
    Refused,
    /// The address was not reached in time, or not at all; a process may listen there.
    #[error("connection could not be opened")]
    NotReached,
}

impl From<io::Error> for ConnectFailed {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::NotReached,
        }
    }
}

/// Limits on idle connections.
#[derive(Clone, Copy, Debug)]
pub struct IdlePolicy {
    /// Longest time for which a connection is kept idle; shorter if the peer states so.
    pub max_idle_time: Duration,
    /// Maximum number of idle connections to one address. If it is below the number used concurrently, each change of
    /// the load opens new connections.
    pub max_connections: usize,
}

/// Pools by address.
#[derive(Debug)]
pub struct Pools {
    policy: IdlePolicy,
    clock: Clock,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Pools {
    /// Creates an empty set of pools, which keep idle connections by `policy`.
    pub fn new(policy: IdlePolicy, clock: Clock) -> Self {
        Self {
            policy,
            clock,
            pools: Mutex::default(),
        }
    }

    /// Returns the pool of an address.
    pub fn get(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(address).or_insert_with(|| {
            Arc::new(Pool {
                address,
                policy: self.policy,
                clock: self.clock,
                idle: Mutex::default(),
                loss: Mutex::default(),
                opened: AtomicU64::new(0),
                digest_key: RandomState::new(),
            })
        });
        Arc::clone(pool)
    }

    /// Closes the idle connections to an address whose listener has gone.
    pub fn remove(&self, address: SocketAddr) {
        lock(&self.pools).remove(&address);
    }

    /// Closes connections that have been idle for too long, and removes empty pools that are not in use.
    pub fn close_stale(&self) {
        lock(&self.pools).retain(|_, pool| {
            pool.close_stale();
            Arc::strong_count(pool) > 1 || !lock(&pool.idle).is_empty()
        });
    }
}

/// Pool of idle connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    policy: IdlePolicy,
    clock: Clock,
    idle: Mutex<VecDeque<Idle>>,
    /// Last loss of a connection after it had been idle.
    loss: Mutex<Option<Loss>>,
    /// Number of connections opened so far.
    opened: AtomicU64,
    /// Key of the digests of request ids.
    digest_key: RandomState,
}

/// A connection that broke during the first request after it had been idle; the peer had dropped it.
#[derive(Clone, Copy, Debug)]
struct Loss {
    idle_time: Duration,
    at: Timestamp,
}

/// What a connection was used for.
#[derive(Debug)]
pub struct ConnectionUse {
    /// Number of the connection among those opened to its address, from 1.
    pub number: u64,
    /// Number of requests sent on it.
    pub requests: u64,
    /// The requests that the peer rejected on it.
    rejected: Vec<RequestDigest>,
}

/// Keyed digest of a request's id. Two ids with the same digest cost a connection, nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestDigest(u64);

#[derive(Debug)]
struct Idle {
    connection: Connection<RequestBody>,
    usage: ConnectionUse,
    since: Timestamp,
    until: Timestamp,
}

/// A connection in use; closed when dropped, unless it is returned to the pool.
#[derive(Debug)]
pub struct Lease {
    connection: Connection<RequestBody>,
    pool: Arc<Pool>,
    /// What the connection was used for.
    pub usage: ConnectionUse,
    /// Whether it carried a request before, so that the peer may be closing it.
    pub is_reused: bool,
    /// How long it was idle before.
    idle_time: Duration,
    /// How long the peer keeps it idle, if stated.
    pub idle_timeout: Option<Duration>,
    /// Whether the request on it was written completely; before that it can't carry another one.
    pub is_request_sent: Arc<AtomicBool>,
    /// Whether the peer closes it after the answer.
    pub is_closing: bool,
}

impl Pool {
    /// Takes the idle connection that was used last, or opens a new one. With `id`, connections on which the peer rejected
    /// that request are left out.
    ///
    /// # Errors
    /// [`ConnectFailed`]; nothing was sent.
    pub async fn acquire(
        self: &Arc<Self>,
        id: Option<&HeaderValue>,
    ) -> Result<Lease, ConnectFailed> {
        if let Some(idle) = self.take_idle(id) {
            let idle_time = self.clock.since(idle.since);
            return Ok(self.lease(idle.connection, idle.usage, true, idle_time));
        }
        self.open().await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// [`ConnectFailed`]; nothing was sent.
    pub async fn open(self: &Arc<Self>) -> Result<Lease, ConnectFailed> {
        let stream = socket::connect(self.address, CONNECT_TIMEOUT).await?;
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER);
        let connection = Connection::open(stream, &builder)
            .await
            .map_err(|_| ConnectFailed::NotReached)?;
        let usage = ConnectionUse {
            number: self.opened.fetch_add(1, Ordering::Relaxed) + 1,
            requests: 0,
            rejected: Vec::new(),
        };
        Ok(self.lease(connection, usage, false, Duration::ZERO))
    }

    fn lease(
        self: &Arc<Self>,
        connection: Connection<RequestBody>,
        usage: ConnectionUse,
        is_reused: bool,
        idle_time: Duration,
    ) -> Lease {
        Lease {
            connection,
            pool: Arc::clone(self),
            usage,
            is_reused,
            idle_time,
            idle_timeout: None,
            is_request_sent: Arc::default(),
            is_closing: false,
        }
    }

    /// Idle time after which connections are not reused: half of the idle time of a recent loss, if there was one.
    fn max_idle_time(&self, now: Timestamp) -> Duration {
        let loss = *lock(&self.loss);
        let recent = loss.filter(|loss| now.since(loss.at) < LOSS_MEMORY);
        recent.map_or(self.policy.max_idle_time, |loss| loss.idle_time / 2)
    }

    /// Whether an idle connection can carry the next request.
    pub fn has_idle(&self) -> bool {
        let now = self.clock.now();
        let max_idle_time = self.max_idle_time(now);
        let is_usable = |idle: &Idle| {
            let is_fresh = idle.until > now && now.since(idle.since) <= max_idle_time;
            is_fresh && idle.connection.sender.is_ready()
        };
        lock(&self.idle).iter().rev().any(is_usable)
    }

    fn take_idle(&self, id: Option<&HeaderValue>) -> Option<Idle> {
        let now = self.clock.now();
        let max_idle_time = self.max_idle_time(now);
        let request = id.map(|id| self.digest(id));
        let mut idle = lock(&self.idle);
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            let candidate = &idle[index];
            let is_fresh = candidate.until > now && now.since(candidate.since) <= max_idle_time;
            if !is_fresh || !candidate.connection.sender.is_ready() {
                idle.remove(index);
                continue;
            }
            if !request.is_some_and(|request| candidate.usage.rejected.contains(&request)) {
                return idle.remove(index);
            }
        }
        None
    }

    fn digest(&self, id: &HeaderValue) -> RequestDigest {
        RequestDigest(self.digest_key.hash_one(id.as_bytes()))
    }

    fn close_stale(&self) {
        let now = self.clock.now();
        let is_open = |idle: &Idle| idle.until > now && !idle.connection.sender.is_closed();
        lock(&self.idle).retain(is_open);
    }
}

impl Lease {
    /// The connection's request sender.
    pub fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.connection.sender
    }

    /// Records that the connection broke during its request. If it had been idle before, the peer may have dropped
    /// it, and connections that were idle for as long are no longer reused.
    pub fn record_loss(&self) {
        if self.is_reused {
            let (idle_time, at) = (self.idle_time, self.pool.clock.now());
            *lock(&self.pool.loss) = Some(Loss { idle_time, at });
        }
    }

    /// Records that the peer rejected the request `id` on the connection.
    pub fn record_rejection(&mut self, id: &HeaderValue) {
        let request = self.pool.digest(id);
        self.usage.rejected.push(request);
    }

    /// Returns a connection that was opened but not used to the pool.
    pub fn give_back_unused(self) {
        self.is_request_sent.store(true, Ordering::Release);
        self.give_back();
    }

    /// Returns the connection to the pool if it can carry another request; only allowed after the answer was read to
    /// its end.
    pub fn give_back(self) {
        let has_ended = self.is_closing || self.usage.rejected.len() >= MAX_REJECTED_REQUESTS;
        if has_ended || !self.is_request_sent.load(Ordering::Acquire) {
            return;
        }
        // The peer's time-out started earlier, and its clock may run faster.
        let stated = self.idle_timeout.map(|timeout| timeout * 3 / 4);
        let IdlePolicy {
            max_idle_time,
            max_connections,
        } = self.pool.policy;
        let keep = stated.unwrap_or(max_idle_time).min(max_idle_time);
        let mut idle = lock(&self.pool.idle);
        if idle.len() >= max_connections {
            idle.pop_front();
        }
        let since = self.pool.clock.now();
        idle.push_back(Idle {
            connection: self.connection,
            usage: self.usage,
            since,
            until: since + keep,
        });
    }
}
