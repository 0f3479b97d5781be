//! Offers of spares, as received by a leader.
//!
//! An identity is drawn when a data folder is created, so that the identities of one machine follow each
//! other. The order in which their messages arrive does not tell which is the latest: an offer may be
//! delivered late and may outlive the replica that made it. The log tells it. An offer names the last entry
//! that a member had applied when the spare read its status, so the spare was running after all
//! that the log records up to this entry. If the log names another identity on the spare's machine up to
//! there, the spare's identity is the later one, and the data of the other one is lost.
//!
//! An offer therefore counts only if it includes the latest change of the members and of the replacement in
//! progress.

use super::events::IgnoredOffer;
use super::message::SpareOffer;
use crate::report_limit::ReportLimit;
use crate::state::Replacement;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::{LogIndex, Membership, ReplicaId, Term};
use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Age up to which an offer is valid; longer than the interval at which a spare repeats it.
const LIFETIME: Duration = Duration::from_secs(30);

/// What the log says of the group, as seen by a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GroupView {
    /// Term of the leader.
    pub(super) term: Term,
    /// Membership in force.
    pub(super) membership: Membership,
    /// Replacement in progress.
    pub(super) replacement: Option<Replacement>,
}

/// The latest offer from one address.
#[derive(Debug)]
struct Offer {
    address: ReplicaAddress,
    /// Last entry that the spare knew to be applied.
    includes: LogIndex,
    /// Time of arrival.
    at: Timestamp,
}

/// Offers of spares, one for each address.
#[derive(Debug, Default)]
pub(super) struct Offers {
    by_address: BTreeMap<SocketAddr, Offer>,
    view: Option<GroupView>,
    /// Time at which `view` was seen first.
    view_since: Timestamp,
    /// Entry that an offer must include: the log named all members and the replacement of `view` by then.
    required: LogIndex,
    /// Reports of ignored offers.
    reports: ReportLimit<ReplicaId>,
}

impl Offers {
    /// Records an offer. An offer of a replica of an earlier version does not say what it includes and counts
    /// as made when it arrives, after entry `applied`.
    ///
    /// # Errors
    /// The reason for which the offer is ignored.
    pub(super) fn record(
        &mut self,
        offer: SpareOffer,
        group: Option<u64>,
        applied: LogIndex,
        now: Timestamp,
    ) -> Result<(), IgnoredOffer> {
        self.by_address
            .retain(|_, offer| now.since(offer.at) <= LIFETIME);
        if offer.basis.is_some_and(|basis| basis.group != group) {
            return Err(IgnoredOffer::OtherGroup);
        }
        let basis = offer.basis;
        let includes = basis.map_or(applied, |basis| LogIndex(basis.applied_index));
        let address = offer.into_address();
        let previous = self.by_address.get(&address.peer);
        let newest = previous.map_or(LogIndex(0), |previous| previous.includes);
        let required = self.required.max(newest);
        if includes < required {
            return Err(IgnoredOffer::Outdated { includes, required });
        }
        let offer = Offer {
            address,
            includes,
            at: now,
        };
        self.by_address.insert(offer.address.peer, offer);
        Ok(())
    }

    /// Requires offers to include entry `last` if the group has changed. `last` must be at or after the
    /// entries that `view` follows from.
    pub(super) fn require(&mut self, view: GroupView, last: LogIndex, now: Timestamp) {
        if self.view.as_ref() != Some(&view) {
            self.view = Some(view);
            self.view_since = now;
            self.required = last;
        }
    }

    /// Time since this leader has seen the latest change of the group.
    pub(super) fn age_of_view(&self, now: Timestamp) -> Duration {
        now.since(self.view_since)
    }

    /// Spares whose offers are valid, the latest offer first.
    pub(super) fn valid(&self, now: Timestamp) -> Vec<&ReplicaAddress> {
        let offers = self.by_address.values();
        let mut valid: Vec<&Offer> = offers
            .filter(|offer| now.since(offer.at) <= LIFETIME && offer.includes >= self.required)
            .collect();
        valid.sort_by_key(|offer| std::cmp::Reverse(offer.at));
        valid.into_iter().map(|offer| &offer.address).collect()
    }

    /// Whether an ignored offer of a spare is to be reported now.
    pub(super) fn should_report(&mut self, spare: ReplicaId, now: Timestamp) -> bool {
        self.reports.admit(spare, now).is_some()
    }
}
