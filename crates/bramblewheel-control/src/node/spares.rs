//! Replacement of a silent voter by a spare replica, without an operator.
//!
//! A voter whose machine lost its disk comes back under another identity at its old address. Its
//! report of the new identity is the proof that the old one is gone, so that it replaces the old one
//! without a wait.
//!
//! Owns the offers of spares and the last contact with each replica. Relies on `replacement` to carry a
//! replacement out.

use super::message::PeerMessage;
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{ReplaceRequest, ReplicaAddress};
use bramblewheel_replication::{ReplicaId, Term};
use bramblewheel_types::{Millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age up to which an offer counts. The driver makes one every 5 to 10 s. Chosen, not measured.
const OFFER_LIFETIME: Duration = Duration::from_secs(30);
/// Silence up to which a voter counts as in contact. Followers answer every heartbeat. Chosen, not measured.
const CONTACT: Duration = Duration::from_secs(3);

/// Stands for no replica in a replacement that only adds one.
const NOBODY: u64 = 0;

/// When a silent voter is replaced by a spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SparePolicy {
    /// Silence after which a voter is taken for lost, counted by one leader without a break.
    pub silence: Duration,
    /// Least time from the begin of any replacement to the next one by a spare.
    pub period: Duration,
    /// Voters that the group should have: spares are made voters until it has them.
    pub voters: usize,
}

/// What a leader knows of spares and of silent voters.
#[derive(Debug, Default)]
pub(super) struct Spares {
    policy: Option<SparePolicy>,
    offers: BTreeMap<ReplicaId, (ReplicaAddress, Timestamp)>,
    /// Last message of each replica.
    last_contact: BTreeMap<ReplicaId, Timestamp>,
    /// Term in which this replica leads, and since when.
    leading: Option<(Term, Timestamp)>,
}

impl Spares {
    /// Whether lost voters must be made up for within seconds.
    pub(super) fn is_urgent(&self) -> bool {
        self.policy.is_some_and(|policy| policy.period.is_zero())
    }

    pub(super) fn note_contact(&mut self, replica: ReplicaId, now: Timestamp) {
        self.last_contact.insert(replica, now);
    }

    pub(super) fn offered(&mut self, address: ReplicaAddress, now: Timestamp) {
        let replica = ReplicaId(address.replica);
        self.offers
            .retain(|_, (_, at)| now.since(*at) <= OFFER_LIFETIME);
        self.offers.insert(replica, (address, now));
    }

    /// Silence before this replica led does not count.
    pub(super) fn note_leadership(&mut self, now: Timestamp, term: Option<Term>) {
        if self.leading.map(|(term, _)| term) != term {
            self.leading = term.map(|term| (term, now));
        }
    }

    /// How long a replica has been silent towards this leader.
    fn silence_of(&self, replica: ReplicaId, now: Timestamp) -> Duration {
        let contact = self.last_contact.get(&replica).copied();
        let since = self.leading.map(|(_, since)| since);
        let last = contact.max(since);
        last.map_or(Duration::ZERO, |last| now.since(last))
    }

    /// Spares that offered themselves lately.
    pub(super) fn fresh_offers(&self, now: Timestamp) -> impl Iterator<Item = &ReplicaAddress> {
        let offers = self.offers.values();
        let fresh = offers.filter(move |(_, at)| now.since(*at) <= OFFER_LIFETIME);
        fresh.map(|(address, _)| address)
    }
}

impl ControlNode {
    /// Lets this replica, when it leads, replace a silent voter by a spare.
    pub fn replace_silent_voters(&mut self, policy: SparePolicy) {
        self.spares.policy = Some(policy);
    }

    /// Offers this replica as a spare to the voters of a group that it is not among: because it
    /// never was, or because it was replaced while it was away. Call every few seconds.
    pub fn offer_as_spare(&mut self, now: Now, members: Vec<ReplicaAddress>) {
        self.now = now;
        let own = self.replica.id().0;
        let is_member = members.iter().any(|member| member.replica == own);
        if is_member || self.has_quorum() {
            return;
        }
        for member in members {
            let offer = PeerMessage::SpareOffer(self.config.address.clone());
            self.messages.push((ReplicaId(member.replica), offer));
            self.introduced.insert(member.replica, member);
        }
    }

    /// Begins a replacement if the policy asks for one.
    pub(super) fn consider_spare(&mut self) {
        let Some(policy) = self.spares.policy.filter(|_| self.may_begin_replacement()) else {
            return;
        };
        let urgent = self.reborn_voter().or_else(|| self.growth(policy.voters));
        if let Some(request) = urgent {
            return self.queue.begin_replacement(request);
        }
        let begun = self.state.replacement_begun_unix_millis();
        let period = Millis::of(policy.period).0;
        let is_in_period = |time| begun > 0 && time < begun.saturating_add(period);
        if self.proposal_time().is_none_or(is_in_period) {
            return;
        }
        let Some(lost) = self.only_silent_voter(policy.silence) else {
            return;
        };
        let membership = self.replica.membership();
        let mut spares = self.spares.fresh_offers(self.now.monotonic);
        let Some(spare) = spares.find(|spare| !membership.contains(ReplicaId(spare.replica)))
        else {
            return;
        };
        let request = ReplaceRequest {
            lost: lost.0,
            replacement: spare.clone(),
        };
        self.queue.begin_replacement(request);
    }

    /// A voter whose address now belongs to a spare that offers itself: it came back without its
    /// disk.
    fn reborn_voter(&self) -> Option<ReplaceRequest> {
        let membership = self.replica.membership();
        let own = self.replica.id();
        let takes_over = |spare: &ReplicaAddress, voter: ReplicaId| {
            let address = self.recorded_address(voter);
            voter != own && address.is_some_and(|address| address.peer == spare.peer)
        };
        let reborn = self
            .spares
            .fresh_offers(self.now.monotonic)
            .find_map(|spare| {
                let is_new = !membership.contains(ReplicaId(spare.replica));
                let mut voters = membership.voters.iter().copied();
                let lost = voters.find(|voter| is_new && takes_over(spare, *voter))?;
                Some((lost, spare.clone()))
            });
        reborn.map(|(lost, replacement)| ReplaceRequest {
            lost: lost.0,
            replacement,
        })
    }

    /// One more voter, as long as there are fewer than there should be. It takes nobody's place.
    fn growth(&self, voters: usize) -> Option<ReplaceRequest> {
        let membership = self.replica.membership();
        if membership.voters.len() >= voters {
            return None;
        }
        let is_new = |spare: &&ReplicaAddress| !membership.contains(ReplicaId(spare.replica));
        let mut spares = self.spares.fresh_offers(self.now.monotonic);
        let spare = spares.find(is_new)?;
        Some(ReplaceRequest {
            lost: NOBODY,
            replacement: spare.clone(),
        })
    }

    fn may_begin_replacement(&self) -> bool {
        let is_busy = self.state.replacement().is_some()
            || self.queue.has_replacement()
            || self.proposals.has_replacement();
        let membership = self.replica.membership();
        !is_busy
            && self.has_quorum()
            && self.knows_all_before_its_term()
            && self.replica.membership_is_committed()
            && membership.learners.is_empty()
    }

    /// The voter that has been silent for long, if all the others are in contact. Two that are
    /// silent are more likely cut off than lost.
    fn only_silent_voter(&self, silence: Duration) -> Option<ReplicaId> {
        let own = self.replica.id();
        let now = self.now.monotonic;
        let voters = self.replica.membership().voters.iter();
        let others = voters.copied().filter(|voter| *voter != own);
        let contact = CONTACT.min(silence);
        let mut silent = others.filter(|voter| self.spares.silence_of(*voter, now) > contact);
        let lost = silent.next()?;
        let is_only = silent.next().is_none();
        let is_long = self.spares.silence_of(lost, now) >= silence;
        (is_only && is_long).then_some(lost)
    }
}
