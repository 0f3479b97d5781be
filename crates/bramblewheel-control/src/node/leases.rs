//! Leases of daemons: the time of each daemon's last poll.
//!
//! The times are kept in memory only, so that a renewal needs no log entry. Other replicas report the polls
//! that they received.

use super::message::Renewal;
use crate::state::ExpiredDaemon;
use bramblewheel_protocol::control::Registration;
use bramblewheel_replication::Term;
use bramblewheel_types::{BundleVersion, DaemonId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One process of a daemon. Polls of two processes of one daemon may overlap: the last poll of the old one may be
/// reported after the first poll of the new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    daemon: DaemonId,
    number: u64,
}

impl Incarnation {
    fn of(registration: &Registration) -> Self {
        Self {
            daemon: registration.daemon.clone(),
            number: registration.incarnation,
        }
    }
}

/// A daemon's last poll.
#[derive(Clone, Copy, Debug)]
struct LastPoll {
    bundle_version: BundleVersion,
    at: Timestamp,
}

/// Leases of daemons known to this replica.
#[derive(Debug, Default)]
pub(super) struct Leases {
    polls: BTreeMap<Incarnation, LastPoll>,
    /// Daemons whose renewals have not been reported to the leader yet.
    unreported: BTreeSet<Incarnation>,
    /// Term in which this replica leads, and the time at which it began.
    leading: Option<(Term, Timestamp)>,
}

impl Leases {
    pub(super) fn renew(&mut self, now: Timestamp, renewal: Renewal) {
        let poll = LastPoll {
            bundle_version: renewal.bundle_version,
            at: now,
        };
        let incarnation = Incarnation {
            daemon: renewal.daemon,
            number: renewal.incarnation,
        };
        self.unreported.insert(incarnation.clone());
        self.polls.insert(incarnation, poll);
    }

    /// Begins the lease of a daemon whose registration arrived before its renewal, since other
    /// replicas forward renewals only periodically.
    pub(super) fn begin(&mut self, now: Timestamp, registration: &Registration) {
        let first_poll = LastPoll {
            bundle_version: BundleVersion::default(),
            at: now,
        };
        let poll = self.polls.entry(Incarnation::of(registration));
        poll.or_insert(first_poll).at = now;
    }

    /// Takes the renewals to be reported to the leader.
    pub(super) fn take_unreported(&mut self) -> Vec<Renewal> {
        let unreported = std::mem::take(&mut self.unreported);
        let renewals = unreported.into_iter().filter_map(|incarnation| {
            let poll = self.polls.get(&incarnation)?;
            Some(Renewal {
                daemon: incarnation.daemon,
                incarnation: incarnation.number,
                bundle_version: poll.bundle_version,
            })
        });
        renewals.collect()
    }

    /// Records whether this replica leads. A new leader does not know which daemons polled other
    /// replicas earlier, so every daemon gets a full lease from the start of the leadership.
    pub(super) fn note_leadership(&mut self, now: Timestamp, term: Option<Term>) {
        if term != self.leading.map(|(term, _)| term) {
            self.leading = term.map(|term| (term, now));
        }
        if self.leading.is_some() {
            self.unreported.clear();
        }
    }

    /// Daemons whose lease has expired; empty unless this replica leads.
    pub(super) fn expired<'a>(
        &self,
        now: Timestamp,
        lease: Duration,
        daemons: impl Iterator<Item = &'a Registration>,
    ) -> Vec<ExpiredDaemon> {
        let Some((_, since)) = self.leading else {
            return Vec::new();
        };
        let has_expired = |registration: &&Registration| {
            let last = self.last_poll(registration).map(|poll| poll.at);
            last.unwrap_or(since).max(since) + lease < now
        };
        let expired = daemons.filter(has_expired);
        expired
            .map(|registration| ExpiredDaemon {
                daemon: registration.daemon.clone(),
                incarnation: registration.incarnation,
            })
            .collect()
    }

    fn last_poll(&self, registration: &Registration) -> Option<&LastPoll> {
        self.polls.get(&Incarnation::of(registration))
    }

    /// Version of the bundle in force at a daemon and the time since its last poll, as far as known.
    pub(super) fn status(
        &self,
        now: Timestamp,
        registration: &Registration,
    ) -> (BundleVersion, Duration) {
        let since = self.leading.map_or(now, |(_, since)| since);
        match self.last_poll(registration) {
            Some(poll) => (poll.bundle_version, now.since(poll.at)),
            None => (BundleVersion::default(), now.since(since)),
        }
    }

    /// Forgets polls older than `oldest`.
    pub(super) fn forget_before(&mut self, oldest: Timestamp) {
        self.polls.retain(|_, poll| poll.at >= oldest);
    }
}
