//! Connection pools from one process to others: reuse, limit and cost of opening.
//!
//! A connection carries one request at a time and is reused only after the whole answer was read, as in
//! the daemon's `http::pool`.

use std::collections::{BTreeMap, VecDeque};

/// Result of acquiring a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle connection is reused.
    Reused,
    /// A new connection is opened.
    Opened,
    /// The limit is reached; the request is queued.
    Waits,
}

/// Connections to one process; `R` identifies a queued request.
#[derive(Clone, Debug)]
struct Pool<R> {
    open: u32,
    idle: u32,
    waiting: VecDeque<R>,
}

impl<R> Default for Pool<R> {
    fn default() -> Self {
        Self {
            open: 0,
            idle: 0,
            waiting: VecDeque::new(),
        }
    }
}

/// Connection pools by destination process.
#[derive(Clone, Debug)]
pub struct Connections<P, R> {
    pools: BTreeMap<P, Pool<R>>,
}

impl<P, R> Default for Connections<P, R> {
    fn default() -> Self {
        Self {
            pools: BTreeMap::new(),
        }
    }
}

impl<P: Ord, R: PartialEq> Connections<P, R> {
    /// Acquires a connection for `request`, or queues it if `limit` connections are open and in use.
    pub fn acquire(&mut self, to: P, limit: u32, request: R) -> Acquired {
        let pool = self.pools.entry(to).or_default();
        if pool.idle > 0 {
            pool.idle -= 1;
            return Acquired::Reused;
        }
        if pool.open < limit {
            pool.open += 1;
            return Acquired::Opened;
        }
        pool.waiting.push_back(request);
        Acquired::Waits
    }

    /// Releases a connection. Returns the longest-queued request, which takes it over, if any.
    pub fn release(&mut self, to: &P, reusable: bool) -> Option<(R, Acquired)> {
        let pool = self.pools.get_mut(to)?;
        let how = if reusable {
            Acquired::Reused
        } else {
            Acquired::Opened
        };
        if let Some(next) = pool.waiting.pop_front() {
            return Some((next, how));
        }
        if reusable {
            pool.idle += 1;
        } else {
            pool.open = pool.open.saturating_sub(1);
        }
        None
    }

    /// Removes a request from the queue; false if it is not queued.
    pub fn cancel_wait(&mut self, to: &P, request: &R) -> bool {
        let Some(pool) = self.pools.get_mut(to) else {
            return false;
        };
        let position = pool.waiting.iter().position(|waiting| waiting == request);
        position.is_some_and(|position| pool.waiting.remove(position).is_some())
    }

    /// Drops the idle connections to a process that is down or was restarted.
    pub fn reset(&mut self, to: &P) {
        if let Some(pool) = self.pools.get_mut(to) {
            pool.open -= pool.idle;
            pool.idle = 0;
        }
    }
}
