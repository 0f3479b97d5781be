//! Automatic replacement of a silent voter by a spare replica.
//!
//! A voter whose machine lost its disk returns at its old address under a new identity. Its offer under
//! the new identity proves that the old one is lost, so it replaces the old one immediately.
//!
//! Decides by the offers of spares and the last contact with each replica; `replacement` executes the
//! replacement.

use super::events::{NodeEvent, ReplacementReason};
use super::message::PeerMessage;
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{GroupStatus, ReplaceRequest, ReplicaAddress};
use bramblewheel_replication::{ReplicaId, Term};
use bramblewheel_types::{Millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age up to which an offer is valid. The driver makes one every 5 to 10 s.
const OFFER_LIFETIME: Duration = Duration::from_secs(30);
/// Silence up to which a voter counts as in contact. Followers answer every heartbeat.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Id for "no replica", used as the lost replica of a replacement that only adds one.
const NO_REPLICA: u64 = 0;

/// When a silent voter is replaced by a spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SparePolicy {
    /// Silence after which a voter counts as lost, observed by one leader without interruption.
    pub silence: Duration,
    /// Least time from the beginning of any replacement to the next automatic one.
    pub period: Duration,
    /// Number of voters that the group should have; spares are added until it is reached.
    pub voters: usize,
}

/// Offers of spares and contact with replicas, as seen by a leader.
#[derive(Debug, Default)]
pub(super) struct Spares {
    policy: Option<SparePolicy>,
    offers: BTreeMap<ReplicaId, (ReplicaAddress, Timestamp)>,
    /// Time of the last message of each replica.
    last_contact: BTreeMap<ReplicaId, Timestamp>,
    /// Term in which this replica leads, and the time at which it began.
    leading: Option<(Term, Timestamp)>,
}

impl Spares {
    /// Whether lost voters must be replaced within seconds.
    pub(super) fn needs_fast_repair(&self) -> bool {
        self.policy.is_some_and(|policy| policy.period.is_zero())
    }

    pub(super) fn note_contact(&mut self, replica: ReplicaId, now: Timestamp) {
        self.last_contact.insert(replica, now);
    }

    pub(super) fn record_offer(&mut self, address: ReplicaAddress, now: Timestamp) {
        let replica = ReplicaId(address.replica);
        self.offers
            .retain(|_, (_, at)| now.since(*at) <= OFFER_LIFETIME);
        self.offers.insert(replica, (address, now));
    }

    /// Records whether this replica leads. Silence before its leadership does not count.
    pub(super) fn note_leadership(&mut self, now: Timestamp, term: Option<Term>) {
        if self.leading.map(|(term, _)| term) != term {
            self.leading = term.map(|term| (term, now));
        }
    }

    /// Time since the last message of a replica, or since this replica became leader if that is later.
    fn silence_of(&self, replica: ReplicaId, now: Timestamp) -> Duration {
        let contact = self.last_contact.get(&replica).copied();
        let since = self.leading.map(|(_, since)| since);
        let last = contact.max(since);
        last.map_or(Duration::ZERO, |last| now.since(last))
    }

    /// Spares whose latest offer is still valid.
    pub(super) fn fresh_offers(&self, now: Timestamp) -> impl Iterator<Item = &ReplicaAddress> {
        let offers = self.offers.values();
        let fresh = offers.filter(move |(_, at)| now.since(*at) <= OFFER_LIFETIME);
        fresh.map(|(address, _)| address)
    }
}

impl ControlNode {
    /// Enables replacement of silent voters by spares while this replica leads.
    pub fn replace_silent_voters(&mut self, policy: SparePolicy) {
        self.spares.policy = Some(policy);
    }

    /// Offers this replica as a spare to the voters of a group that it does not belong to, because it
    /// never joined or because it was replaced while it was down. Call every few seconds with the status
    /// that a member with a quorum has just sent.
    pub fn offer_as_spare(&mut self, now: Now, group: GroupStatus) {
        self.now = now;
        let own = self.replica.id().0;
        let is_voter = group.voters.iter().any(|voter| voter.replica == own);
        if is_voter || self.has_quorum() {
            return;
        }
        for voter in group.voters {
            let offer = PeerMessage::SpareOffer(self.config.address.clone());
            self.messages.push((ReplicaId(voter.replica), offer));
            self.reported_addresses.insert(voter.replica, voter);
        }
    }

    /// Begins a replacement if the policy requires one.
    pub(super) fn use_spare_if_due(&mut self) {
        let Some(policy) = self.spares.policy.filter(|_| self.may_begin_replacement()) else {
            return;
        };
        if let Some(request) = self.request_for_reset_voter() {
            return self.propose_replacement(request, ReplacementReason::VoterReset);
        }
        if let Some(request) = self.request_for_missing_voter(policy.voters) {
            return self.propose_replacement(request, ReplacementReason::VoterMissing);
        }
        let begun = self.state.replacement_begun_unix_millis();
        let period = Millis::of(policy.period).0;
        let is_in_period = |time| begun > 0 && time < begun.saturating_add(period);
        if self.proposal_time().is_none_or(is_in_period) {
            return;
        }
        if let Some(request) = self.request_for_silent_voter(policy.silence) {
            self.propose_replacement(request, ReplacementReason::VoterSilent);
        }
    }

    /// Request to replace the only voter that has been silent for `silence`.
    fn request_for_silent_voter(&self, silence: Duration) -> Option<ReplaceRequest> {
        let lost = self.only_silent_voter(silence)?;
        let membership = self.replica.membership();
        let mut spares = self.spares.fresh_offers(self.now.monotonic);
        let spare = spares.find(|spare| !membership.contains(ReplicaId(spare.replica)))?;
        Some(ReplaceRequest {
            lost: lost.0,
            replacement: spare.clone(),
        })
    }

    fn propose_replacement(&mut self, request: ReplaceRequest, reason: ReplacementReason) {
        self.events.push(NodeEvent::ReplacementProposed {
            lost: (request.lost != NO_REPLICA).then_some(ReplicaId(request.lost)),
            new: request.replacement.clone(),
            reason,
        });
        self.queue.begin_replacement(request);
    }

    /// Request to replace a voter whose address now belongs to a spare: its machine returned without
    /// its disk.
    fn request_for_reset_voter(&self) -> Option<ReplaceRequest> {
        let membership = self.replica.membership();
        let own = self.replica.id();
        let has_address_of = |spare: &ReplicaAddress, voter: ReplicaId| {
            let address = self.recorded_address(voter);
            voter != own && address.is_some_and(|address| address.peer == spare.peer)
        };
        let reset_voter = self
            .spares
            .fresh_offers(self.now.monotonic)
            .find_map(|spare| {
                let is_new = !membership.contains(ReplicaId(spare.replica));
                let mut voters = membership.voters.iter().copied();
                let lost = voters.find(|voter| is_new && has_address_of(spare, *voter))?;
                Some((lost, spare.clone()))
            });
        reset_voter.map(|(lost, replacement)| ReplaceRequest {
            lost: lost.0,
            replacement,
        })
    }

    /// Request to add a voter without removing one, if the group has fewer than `voters`.
    fn request_for_missing_voter(&self, voters: usize) -> Option<ReplaceRequest> {
        let membership = self.replica.membership();
        if membership.voters.len() >= voters {
            return None;
        }
        let is_new = |spare: &&ReplicaAddress| !membership.contains(ReplicaId(spare.replica));
        let mut spares = self.spares.fresh_offers(self.now.monotonic);
        let spare = spares.find(is_new)?;
        Some(ReplaceRequest {
            lost: NO_REPLICA,
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
            && self.has_applied_earlier_terms()
            && self.replica.membership_is_committed()
            && membership.learners.is_empty()
    }

    /// The voter that has been silent for `silence`, if all other voters are in contact. Several silent
    /// voters are more likely cut off than lost.
    fn only_silent_voter(&self, silence: Duration) -> Option<ReplicaId> {
        let own = self.replica.id();
        let now = self.now.monotonic;
        let voters = self.replica.membership().voters.iter();
        let others = voters.copied().filter(|voter| *voter != own);
        let contact = CONTACT_TIMEOUT.min(silence);
        let mut silent = others.filter(|voter| self.spares.silence_of(*voter, now) > contact);
        let lost = silent.next()?;
        let is_only = silent.next().is_none();
        let is_long = self.spares.silence_of(lost, now) >= silence;
        (is_only && is_long).then_some(lost)
    }
}
