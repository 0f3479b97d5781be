//! Reports that replicas forward to each other.
//!
//! Each replica forwards the reports that daemons send to it. It also forwards those of another replica to a third one
//! that states that it does not hear the other, and everything that it knows to one that has just started, or has just
//! heard another replica again and may have missed reports.

use super::moment::Moment;
use super::report::Origin;
use super::{FleetUsage, Process};
use bramblewheel_protocol::routing::RenewRequest;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age of a replica's last message above which it counts as not heard.
const HEARD_LIFETIME: Duration = Duration::from_millis(300);
/// Time after its start, or after it heard another replica again, for which a replica asks for all reports.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// Least time between two messages to one replica that hold all reports.
const FULL_INTERVAL: Duration = Duration::from_millis(500);

/// Reports of daemons that one replica forwards to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReports {
    /// Time for which the sender has known the reports of all daemons.
    pub known_for: Millis,
    /// Whether the message holds all reports that the sender knows.
    pub is_full: bool,
    /// Whether the sender asks for all reports.
    pub wants_all: bool,
    /// Replicas whose messages the sender has received lately.
    pub heard: Vec<u64>,
    /// The reports.
    pub reports: Vec<ForwardedReport>,
}

/// A report and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedReport {
    /// Time since the report was made.
    pub age: Millis,
    /// The report.
    pub request: RenewRequest,
}

/// What a replica knows of another.
#[derive(Debug)]
struct Peer {
    /// Its last message.
    heard_at: Timestamp,
    /// Whether it asks for all reports.
    wants_all: bool,
    /// Replicas that it hears.
    hears: Vec<u64>,
    /// When all reports were last sent to it.
    full_sent_at: Option<Timestamp>,
}

/// What is to be forwarded, and what the other replicas know.
#[derive(Debug)]
pub(super) struct Peers {
    /// Until when this replica asks for all reports.
    catching_up_until: Timestamp,
    peers: BTreeMap<ReplicaId, Peer>,
    /// Reports since the last exchange.
    updates: BTreeMap<Process, Origin>,
}

impl Peers {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            catching_up_until: now + CATCH_UP_TIME,
            peers: BTreeMap::new(),
            updates: BTreeMap::new(),
        }
    }

    pub(super) fn note_update(&mut self, process: Process, origin: Origin) {
        self.updates.insert(process, origin);
    }

    fn heard(&self, now: Timestamp) -> Vec<u64> {
        let is_heard = |peer: &Peer| now.since(peer.heard_at) <= HEARD_LIFETIME;
        let heard = self.peers.iter().filter(|(_, peer)| is_heard(peer));
        heard.map(|(replica, _)| replica.0).collect()
    }

    /// Whether a replica needs a report that arrived like this.
    fn needs(&self, replica: ReplicaId, origin: Origin) -> bool {
        match origin {
            Origin::Daemon => true,
            Origin::Replica(from) if from == replica => false,
            Origin::Replica(from) => {
                let peer = self.peers.get(&replica);
                peer.is_some_and(|peer| !peer.hears.contains(&from.0))
            }
        }
    }

    /// Whether a replica that asks for all reports is to be sent them now.
    fn takes_full(&mut self, replica: ReplicaId, now: Timestamp) -> bool {
        let Some(peer) = self.peers.get_mut(&replica) else {
            return false;
        };
        let sent_at = peer.full_sent_at;
        let is_due = sent_at.is_none_or(|at| now.since(at) >= FULL_INTERVAL);
        if !peer.wants_all || !is_due {
            return false;
        }
        peer.full_sent_at = Some(now);
        true
    }
}

impl FleetUsage {
    /// Messages to the other replicas. Call periodically.
    pub fn exchange(
        &mut self,
        now: Timestamp,
        replicas: &[ReplicaId],
    ) -> Vec<(ReplicaId, UsageReports)> {
        self.peers.peers.retain(|peer, _| replicas.contains(peer));
        let known_since = self.known_since;
        let heard = self.peers.heard(now);
        let mut messages = Vec::new();
        for replica in replicas {
            let is_full = self.peers.takes_full(*replica, now);
            let reports = if is_full {
                self.all_forwarded(now).collect()
            } else {
                let updates = self.peers.updates.iter();
                let needed = updates.filter(|(_, origin)| self.peers.needs(*replica, **origin));
                let forwarded = needed.filter_map(|(process, _)| self.forwarded(now, process));
                forwarded.collect()
            };
            let message = UsageReports {
                known_for: Millis::of(Moment::of(now).since(known_since)),
                is_full,
                wants_all: now < self.peers.catching_up_until,
                heard: heard.clone(),
                reports,
            };
            messages.push((*replica, message));
        }
        self.peers.updates.clear();
        messages
    }

    pub(super) fn forwarded(&self, now: Timestamp, process: &Process) -> Option<ForwardedReport> {
        let report = self.reports.get(process)?;
        Some(ForwardedReport {
            age: Millis::of(report.age(now)),
            request: report.request.clone(),
        })
    }

    /// Records the reports that another replica forwards.
    pub fn receive(&mut self, now: Timestamp, from: ReplicaId, message: UsageReports) {
        if message.is_full {
            let known_since = Moment::of(now).before(Duration::from(message.known_for));
            self.known_since = self.known_since.min(known_since);
        }
        // Sums that it sent before it knew that this replica reads reports.
        self.earlier.remove(&from);
        let known = self.peers.peers.get(&from);
        let full_sent_at = known.and_then(|peer| peer.full_sent_at);
        if known.is_some_and(|peer| now.since(peer.heard_at) > HEARD_LIFETIME) {
            self.peers.catching_up_until = now + CATCH_UP_TIME;
        }
        let peer = Peer {
            heard_at: now,
            wants_all: message.wants_all,
            hears: message.heard,
            full_sent_at,
        };
        self.peers.peers.insert(from, peer);
        for forwarded in message.reports {
            let age = Duration::from(forwarded.age);
            self.record(Origin::Replica(from), now, age, forwarded.request);
        }
    }
}
