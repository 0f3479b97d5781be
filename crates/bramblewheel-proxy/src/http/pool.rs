//! Kept connections to one address.
//!
//! Owns the idle connections and what is known of how long the other side keeps them. Unlike the pool
//! of the way of signed bundles it does not bound the connections in use: how many requests go to an
//! address is decided before. It learns instead which rest is too long, since endpoints close idle
//! connections without notice, and a request that meets the close may have run.

use crate::http::body::RequestBody;
use bramblewheel_http::connection::Connection;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::socket;
use bramblewheel_types::Timestamp;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;

/// Longest wait for a connection; a machine that is cut off does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Bytes read ahead on a connection; a reader that is slow holds the writer up.
const READ_AHEAD: usize = 64 * 1024;
/// Time for which a pool remembers that the other side closes idle connections early. Without that, 81
/// answers were lost in three seconds when all endpoints closed connections idle for 150 ms. The time
/// is chosen, not measured.
const MEMORY_OF_LOSSES: Duration = Duration::from_secs(8);

/// No connection could be opened; nothing was sent.
#[derive(Debug, Error)]
#[error("no connection")]
pub struct ConnectFailed;

/// Which connections are kept while they are idle.
#[derive(Clone, Copy, Debug)]
pub struct IdlePolicy {
    /// How long, unless the other side says that it closes them sooner.
    pub longest: Duration,
    /// How many to one address. Fewer than are used side by side, and each swing of the load opens
    /// connections anew.
    pub most: usize,
}

/// Pools by address.
#[derive(Debug)]
pub struct Pools {
    policy: IdlePolicy,
    clock: Clock,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Pools {
    /// No pools; those to come keep idle connections by `policy`.
    pub fn new(policy: IdlePolicy, clock: Clock) -> Self {
        Self {
            policy,
            clock,
            pools: Mutex::default(),
        }
    }

    /// The pool of an address.
    pub fn get(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(address).or_insert_with(|| {
            Arc::new(Pool {
                address,
                policy: self.policy,
                clock: self.clock,
                idle: Mutex::default(),
                loss: Mutex::default(),
            })
        });
        Arc::clone(pool)
    }

    /// Closes the idle connections to an address: whoever listened there has ended.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.pools).remove(&address);
    }

    /// Closes connections that have been idle for too long, and forgets pools without any.
    pub fn close_stale(&self) {
        lock(&self.pools).retain(|_, pool| {
            pool.close_stale();
            Arc::strong_count(pool) > 1 || !lock(&pool.idle).is_empty()
        });
    }
}

/// Kept connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    policy: IdlePolicy,
    clock: Clock,
    idle: Mutex<VecDeque<Idle>>,
    /// The last connection that broke under a request after a rest.
    loss: Mutex<Option<Loss>>,
}

/// A connection that broke under the first request after a rest: the other side had forgotten it.
#[derive(Clone, Copy, Debug)]
struct Loss {
    rest: Duration,
    at: Timestamp,
}

#[derive(Debug)]
struct Idle {
    connection: Connection<RequestBody>,
    since: Timestamp,
    until: Timestamp,
}

/// A connection in use; closed when dropped, unless it is given back.
#[derive(Debug)]
pub struct Lease {
    connection: Connection<RequestBody>,
    pool: Arc<Pool>,
    /// Whether it carried a request before, so that the other side may just have closed it.
    pub is_reused: bool,
    /// How long it was idle before.
    rest: Duration,
    /// How long the other side keeps it idle, if it says.
    pub idle_timeout: Option<Duration>,
    /// Whether the request on it was written to its end; before that it can't carry another.
    pub is_request_sent: Arc<AtomicBool>,
    /// Whether the other side closes it after the answer.
    pub is_closing: bool,
}

impl Pool {
    /// Takes the connection that was used last, or opens one.
    ///
    /// # Errors
    /// [`ConnectFailed`]; nothing was sent.
    pub async fn acquire(self: &Arc<Self>) -> Result<Lease, ConnectFailed> {
        if let Some(idle) = self.take_idle() {
            let rest = self.clock.since(idle.since);
            return Ok(self.lease(idle.connection, true, rest));
        }
        self.open().await
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// [`ConnectFailed`]; nothing was sent.
    pub async fn open(self: &Arc<Self>) -> Result<Lease, ConnectFailed> {
        let stream = socket::connect(self.address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|_| ConnectFailed)?;
        let mut builder = Builder::new();
        builder.max_buf_size(READ_AHEAD);
        let connection = Connection::open(stream, &builder)
            .await
            .map_err(|_| ConnectFailed)?;
        Ok(self.lease(connection, false, Duration::ZERO))
    }

    fn lease(
        self: &Arc<Self>,
        connection: Connection<RequestBody>,
        is_reused: bool,
        rest: Duration,
    ) -> Lease {
        Lease {
            connection,
            pool: Arc::clone(self),
            is_reused,
            rest,
            idle_timeout: None,
            is_request_sent: Arc::default(),
            is_closing: false,
        }
    }

    /// Rest after which connections are not used again: half of the one that was too long lately.
    fn longest_rest(&self, now: Timestamp) -> Duration {
        let loss = *lock(&self.loss);
        let recent = loss.filter(|loss| now.since(loss.at) < MEMORY_OF_LOSSES);
        recent.map_or(self.policy.longest, |loss| loss.rest / 2)
    }

    /// Whether a kept connection can carry the next request.
    pub fn has_idle(&self) -> bool {
        let now = self.clock.now();
        let longest = self.longest_rest(now);
        let is_usable = |idle: &Idle| {
            let is_fresh = idle.until > now && now.since(idle.since) <= longest;
            is_fresh && idle.connection.sender.is_ready()
        };
        lock(&self.idle).iter().rev().any(is_usable)
    }

    fn take_idle(&self) -> Option<Idle> {
        let now = self.clock.now();
        let longest = self.longest_rest(now);
        let mut idle = lock(&self.idle);
        while let Some(last) = idle.pop_back() {
            let is_fresh = last.until > now && now.since(last.since) <= longest;
            if is_fresh && last.connection.sender.is_ready() {
                return Some(last);
            }
        }
        None
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

    /// The connection broke under its request. If that was the first after a rest, the other side may
    /// have forgotten the connection, and others that rested as long are not used any more.
    pub fn broke(&self) {
        if self.is_reused {
            let (rest, at) = (self.rest, self.pool.clock.now());
            *lock(&self.pool.loss) = Some(Loss { rest, at });
        }
    }

    /// Keeps a connection that was opened and not used.
    pub fn give_back_unused(self) {
        self.is_request_sent.store(true, Ordering::Release);
        self.give_back();
    }

    /// Keeps the connection for reuse, if it may carry another request; only allowed after the
    /// answer was read to its end.
    pub fn give_back(self) {
        if self.is_closing || !self.is_request_sent.load(Ordering::Acquire) {
            return;
        }
        // The other side's time began earlier than ours, and it may be in a hurry.
        let stated = self.idle_timeout.map(|timeout| timeout * 3 / 4);
        let IdlePolicy { longest, most } = self.pool.policy;
        let keep = stated.unwrap_or(longest).min(longest);
        let mut idle = lock(&self.pool.idle);
        if idle.len() >= most {
            idle.pop_front();
        }
        let since = self.pool.clock.now();
        idle.push_back(Idle {
            connection: self.connection,
            since,
            until: since + keep,
        });
    }
}
