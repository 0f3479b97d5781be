//! Connection pools with a limit on open connections per address.
//!
//! A connection is returned to the pool only after its answer was read to the end. One that is
//! dropped earlier is closed, which also cancels the request at the peer.

use bramblewheel_http::connection::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed; below the peers' own limit, so that a request
/// rarely uses a connection that the peer is just closing.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Body of a request to a daemon or endpoint.
pub type RequestBody = Full<Bytes>;

/// No connection could be opened; nothing was sent.
#[derive(Debug)]
pub struct ConnectFailed;

/// Pools by address.
#[derive(Debug, Default)]
pub struct Pools {
    by_address: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Pools {
    /// The pool for an address; created on first use.
    pub fn get(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self
            .by_address
            .lock()
            .expect("a panic under the lock ends the process, so the lock is never poisoned");
        let pool = pools
            .entry(address)
            .or_insert_with(|| Arc::new(Pool::new(address)));
        Arc::clone(pool)
    }

    /// Removes the pools without open connections.
    pub fn retain_used(&self) {
        let mut pools = self
            .by_address
            .lock()
            .expect("a panic under the lock ends the process, so the lock is never poisoned");
        pools.retain(|_, pool| pool.is_used());
    }
}

/// Connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<VecDeque<IdleConnection>>,
    open: Arc<OpenCount>,
}

#[derive(Debug)]
struct IdleConnection {
    since: Instant,
    connection: CountedConnection,
}

/// Number of open connections to one address, idle or in use.
#[derive(Debug, Default)]
struct OpenCount {
    count: AtomicUsize,
    freed: Notify,
}

/// One counted connection; decrements the count when dropped.
#[derive(Debug)]
struct OpenSlot(Arc<OpenCount>);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
        self.0.freed.notify_one();
    }
}

/// An open, counted connection; closed when dropped.
#[derive(Debug)]
struct CountedConnection {
    connection: Connection<RequestBody>,
    _slot: OpenSlot,
}

/// A connection in use; closed when dropped, unless it is returned to the pool.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: CountedConnection,
    reused: bool,
}

enum Reservation {
    Idle(CountedConnection),
    MayOpen(OpenSlot),
    Full,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection or opens a new one; waits while `limit` connections are in use.
    ///
    /// # Errors
    /// [`ConnectFailed`] when no connection could be opened.
    pub async fn acquire(self: &Arc<Self>, limit: usize) -> Result<Lease, ConnectFailed> {
        loop {
            let freed = self.open.freed.notified();
            match self.reserve(limit) {
                Reservation::Idle(connection) => return Ok(self.lease(connection, true)),
                Reservation::MayOpen(slot) => {
                    let connection = connect(self.address, slot).await?;
                    return Ok(self.lease(connection, false));
                }
                Reservation::Full => freed.await,
            }
        }
    }

    fn reserve(&self, limit: usize) -> Reservation {
        let mut idle = self.lock();
        close_stale(&mut idle);
        if let Some(connection) = take_ready(&mut idle) {
            return Reservation::Idle(connection);
        }
        // Idle connections that are not ready must not block a new one, so the oldest is closed.
        let is_full = self.open.count.load(Ordering::Relaxed) >= limit.max(1);
        if is_full && idle.is_empty() {
            return Reservation::Full;
        }
        if is_full {
            idle.pop_front();
        }
        self.open.count.fetch_add(1, Ordering::Relaxed);
        Reservation::MayOpen(OpenSlot(Arc::clone(&self.open)))
    }

    fn lease(self: &Arc<Self>, connection: CountedConnection, reused: bool) -> Lease {
        Lease {
            pool: Arc::clone(self),
            connection,
            reused,
        }
    }

    fn return_to_pool(&self, connection: CountedConnection) {
        let since = Instant::now();
        self.lock().push_back(IdleConnection { since, connection });
        self.open.freed.notify_one();
    }

    fn is_used(&self) -> bool {
        let mut idle = self.lock();
        idle.retain(|i| !i.connection.connection.sender.is_closed());
        close_stale(&mut idle);
        self.open.count.load(Ordering::Relaxed) > 0
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        self.idle
            .lock()
            .expect("a panic under the lock ends the process, so the lock is never poisoned")
    }
}

/// Closes connections that have been idle for too long; the oldest are at the front.
fn close_stale(idle: &mut VecDeque<IdleConnection>) {
    let now = Instant::now();
    while idle.front().is_some_and(|i| now - i.since >= MAX_IDLE) {
        idle.pop_front();
    }
}

/// Takes the most recently used connection that is ready and removes closed ones found on the way.
fn take_ready(idle: &mut VecDeque<IdleConnection>) -> Option<CountedConnection> {
    let mut index = idle.len();
    while index > 0 {
        index -= 1;
        let sender = &idle[index].connection.connection.sender;
        if sender.is_ready() {
            return idle.remove(index).map(|idle| idle.connection);
        }
        if sender.is_closed() {
            idle.remove(index);
        }
    }
    None
}

impl Lease {
    /// Whether the connection was used before, so that the peer may just have closed it.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// The connection's request sender.
    pub fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.connection.connection.sender
    }

    /// Returns the connection to the pool; only allowed after the answer was read to its end.
    pub fn return_to_pool(self) {
        self.pool.return_to_pool(self.connection);
    }
}

async fn connect(address: SocketAddr, slot: OpenSlot) -> Result<CountedConnection, ConnectFailed> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened
        .map_err(|_| ConnectFailed)?
        .map_err(|_| ConnectFailed)?;
    stream.set_nodelay(true).map_err(|_| ConnectFailed)?;
    let connection = Connection::open(stream, &Builder::new())
        .await
        .map_err(|_| ConnectFailed)?;
    Ok(CountedConnection {
        connection,
        _slot: slot,
    })
}
