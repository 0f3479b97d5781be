//! What the hollow daemons count.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Bytes and messages over the connections to one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes from daemons to the replica.
    pub to_replica: u64,
    /// Bytes from the replica to daemons.
    pub from_replica: u64,
    /// Polls answered.
    pub polls: u64,
}

impl Traffic {
    /// What came on top of an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            to_replica: self.to_replica - earlier.to_replica,
            from_replica: self.from_replica - earlier.from_replica,
            polls: self.polls - earlier.polls,
        }
    }
}

#[derive(Debug, Default)]
struct AtomicTraffic {
    to_replica: AtomicU64,
    from_replica: AtomicU64,
    polls: AtomicU64,
}

/// Counters that all hollow daemons share.
#[derive(Debug)]
pub struct Counters {
    by_replica: BTreeMap<SocketAddr, AtomicTraffic>,
    refused: AtomicU64,
    /// Moments at which daemons put a bundle in force, by version.
    in_force: Mutex<BTreeMap<u64, Vec<Instant>>>,
}

impl Counters {
    /// Counters at zero.
    pub fn new(replicas: &[SocketAddr]) -> Self {
        let by_replica = replicas.iter().map(|a| (*a, AtomicTraffic::default()));
        Self {
            by_replica: by_replica.collect(),
            refused: AtomicU64::new(0),
            in_force: Mutex::default(),
        }
    }

    pub(super) fn sent(&self, replica: SocketAddr, bytes: usize) {
        if let Some(traffic) = self.by_replica.get(&replica) {
            traffic
                .to_replica
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    pub(super) fn received(&self, replica: SocketAddr, bytes: usize) {
        if let Some(traffic) = self.by_replica.get(&replica) {
            traffic
                .from_replica
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    pub(super) fn polled(&self, replica: SocketAddr) {
        if let Some(traffic) = self.by_replica.get(&replica) {
            traffic.polls.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(super) fn refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn put_in_force(&self, version: u64) {
        let mut in_force = self.in_force.lock().expect("nothing panics under the lock");
        in_force.entry(version).or_default().push(Instant::now());
    }

    /// Traffic so far, in the order of the replicas given.
    pub fn traffic(&self, replicas: &[SocketAddr]) -> Vec<Traffic> {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let read = |traffic: &AtomicTraffic| Traffic {
            to_replica: load(&traffic.to_replica),
            from_replica: load(&traffic.from_replica),
            polls: load(&traffic.polls),
        };
        let of = |replica: &SocketAddr| self.by_replica.get(replica).map(read);
        replicas.iter().map(|r| of(r).unwrap_or_default()).collect()
    }

    /// Answers that daemons refused to take over: older than seen, or a wrong bundle.
    pub fn refused_answers(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Seconds from `since` to the moments at which a version came into force, sorted.
    pub fn delays(&self, version: u64, since: Instant) -> Vec<f64> {
        let in_force = self.in_force.lock().expect("nothing panics under the lock");
        let moments = in_force.get(&version).into_iter().flatten();
        let mut delays: Vec<f64> = moments
            .map(|at| at.saturating_duration_since(since).as_secs_f64())
            .collect();
        delays.sort_by(f64::total_cmp);
        delays
    }
}
