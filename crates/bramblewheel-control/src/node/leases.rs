//! Leases of daemons: who polled when. Kept in memory only, so that renewals cost no log entry.

use super::message::Renewal;
use crate::state::ExpiredDaemon;
use bramblewheel_protocol::control::Registration;
use bramblewheel_replication::Term;
use bramblewheel_types::{BundleVersion, DaemonId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A daemon's last poll.
#[derive(Clone, Copy, Debug)]
struct LastPoll {
    incarnation: u64,
    bundle_version: BundleVersion,
    at: Timestamp,
}

/// Leases of daemons as this replica knows them.
#[derive(Debug, Default)]
pub(super) struct Leases {
    polls: BTreeMap<DaemonId, LastPoll>,
    /// Daemons whose renewal the leader has not been told.
    untold: BTreeSet<DaemonId>,
    /// Term in which this replica leads, and since when.
    leading: Option<(Term, Timestamp)>,
}

impl Leases {
    pub(super) fn renew(&mut self, now: Timestamp, renewal: Renewal) {
        let poll = LastPoll {
            incarnation: renewal.incarnation,
            bundle_version: renewal.bundle_version,
            at: now,
        };
        self.untold.insert(renewal.daemon.clone());
        self.polls.insert(renewal.daemon, poll);
    }

    /// Renewals the leader is to be told.
    pub(super) fn take_untold(&mut self) -> Vec<Renewal> {
        let untold = std::mem::take(&mut self.untold);
        let renewals = untold.into_iter().filter_map(|daemon| {
            let poll = self.polls.get(&daemon)?;
            Some(Renewal {
                daemon,
                incarnation: poll.incarnation,
                bundle_version: poll.bundle_version,
            })
        });
        renewals.collect()
    }

    /// Notes whether this replica leads. A new leader can't know who polled the others before, so
    /// it begins with a whole lease for everybody.
    pub(super) fn note_leadership(&mut self, now: Timestamp, term: Option<Term>) {
        if term != self.leading.map(|(term, _)| term) {
            self.leading = term.map(|term| (term, now));
        }
        if self.leading.is_some() {
            self.untold.clear();
        }
    }

    /// Daemons whose lease is over; none unless this replica leads.
    pub(super) fn expired<'a>(
        &self,
        now: Timestamp,
        lease: Duration,
        daemons: impl Iterator<Item = &'a Registration>,
    ) -> Vec<ExpiredDaemon> {
        let Some((_, since)) = self.leading else {
            return Vec::new();
        };
        let is_over = |registration: &&Registration| {
            let last = self.last_poll(registration).map(|poll| poll.at);
            last.unwrap_or(since).max(since) + lease < now
        };
        let over = daemons.filter(is_over);
        over.map(|registration| ExpiredDaemon {
            daemon: registration.daemon.clone(),
            incarnation: registration.incarnation,
        })
        .collect()
    }

    fn last_poll(&self, registration: &Registration) -> Option<&LastPoll> {
        let poll = self.polls.get(&registration.daemon)?;
        (poll.incarnation == registration.incarnation).then_some(poll)
    }

    /// Bundle in force at a daemon and the time since its last poll, as far as known.
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

    /// Forgets polls from so long ago that they tell nothing any more.
    pub(super) fn forget_before(&mut self, oldest: Timestamp) {
        self.polls.retain(|_, poll| poll.at >= oldest);
    }
}
