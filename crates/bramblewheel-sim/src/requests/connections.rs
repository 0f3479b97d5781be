//! Connections from one process to others: reuse, limit, cost of opening.
//!
//! A connection carries one request at a time and is reused only after its answer was read
//! whole, as in the daemon's `http::pool`.

use std::collections::{BTreeMap, VecDeque};

/// How a request gets its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle connection is reused.
    Reused,
    /// A new one is opened.
    Opened,
    /// The limit is reached; the request waits in line.
    Waits,
}

/// Connections to one other process; `R` names a waiting request.
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

/// Connections by the other process.
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
    /// Takes a connection for `request`, or puts it in line when `limit` are open and in use.
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

    /// Gives a connection back. Returns the request that waited longest, which now has one.
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

    /// Takes a request out of the line; false if it does not wait.
    pub fn give_up(&mut self, to: &P, request: &R) -> bool {
        let Some(pool) = self.pools.get_mut(to) else {
            return false;
        };
        let position = pool.waiting.iter().position(|waiting| waiting == request);
        position.is_some_and(|position| pool.waiting.remove(position).is_some())
    }

    /// Forgets the idle connections to a process that is found to be down.
    pub fn reset(&mut self, to: &P) {
        if let Some(pool) = self.pools.get_mut(to) {
            pool.open -= pool.idle;
            pool.idle = 0;
        }
    }
}
