//! Automatic replacement of a silent voter by a spare replica.
//!
//! A voter whose machine lost its disk returns at its old address under a new identity. Its offer under
//! the new identity proves that the old one is lost, so it replaces the old one immediately.
//!
//! Decides by the offers of spares and the last contact with each replica; `replacement` executes the
//! replacement.

use super::events::{IgnoredOffer, NodeEvent, ReplacementReason};
use super::message::{OfferBasis, PeerMessage, SpareOffer};
use super::offers::{GroupView, Offers};
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{GroupStatus, ReplaceRequest, ReplicaAddress};
use bramblewheel_replication::{LogIndex, ReplicaId, Term};
use bramblewheel_types::{Millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence up to which a voter counts as in contact. Followers answer every heartbeat.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Heartbeats without a message of a member up to which the member counts as answering.
const MISSED_HEARTBEATS: u32 = 4;

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
    pub(super) offers: Offers,
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
        let basis = OfferBasis {
            group: group.group,
            applied_index: group.position.index,
        };
        for voter in group.voters {
            let offer = SpareOffer::new(self.config.address.clone(), basis);
            let message = PeerMessage::SpareOffer(offer);
            self.messages.push((ReplicaId(voter.replica), message));
            let log_end = self.log_end();
            self.peer_addresses.report(voter, log_end);
        }
    }

    /// Records the offer of a spare to this leader.
    pub(super) fn record_offer(&mut self, offer: SpareOffer) {
        let spare = ReplicaId(offer.replica);
        let group = self.state.group();
        let applied = LogIndex(self.state.position().index);
        let now = self.now.monotonic;
        if let Err(reason) = self.spares.offers.record(offer, group, applied, now) {
            self.report_ignored_offer(spare, reason);
        }
    }

    pub(super) fn report_ignored_offer(&mut self, replica: ReplicaId, reason: IgnoredOffer) {
        if self
            .spares
            .offers
            .should_report(replica, self.now.monotonic)
        {
            let event = NodeEvent::OfferIgnored { replica, reason };
            self.events.push(event);
        }
    }

    /// Requires offers to include the latest change of the group.
    fn update_required_offers(&mut self) {
        let view = GroupView {
            term: self.replica.term(),
            membership: self.replica.membership().clone(),
            replacement: self.state.replacement().cloned(),
        };
        let applied = LogIndex(self.state.position().index);
        let last = applied.max(self.replica.membership_index());
        self.spares.offers.require(view, last, self.now.monotonic);
    }

    /// Begins or continues a replacement if the policy requires it.
    pub(super) fn use_spare_if_due(&mut self) {
        if self.has_applied_earlier_terms() {
            self.update_required_offers();
        }
        let Some(policy) = self.spares.policy.filter(|_| self.may_change_replacement()) else {
            return;
        };
        if self.state.replacement().is_some() {
            return self.continue_replacement(policy.silence);
        }
        if self.replica.membership().learners.is_empty() {
            self.begin_replacement_if_due(policy);
        }
    }

    fn begin_replacement_if_due(&mut self, policy: SparePolicy) {
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
        let spare = self.spare_outside_group()?;
        Some(ReplaceRequest {
            lost: lost.0,
            replacement: spare.clone(),
        })
    }

    pub(super) fn propose_replacement(
        &mut self,
        request: ReplaceRequest,
        reason: ReplacementReason,
    ) {
        self.events.push(NodeEvent::ReplacementProposed {
            lost: (request.lost != NO_REPLICA).then_some(ReplicaId(request.lost)),
            new: request.replacement.clone(),
            reason,
        });
        self.queue.begin_replacement(request);
    }

    /// The spare with the latest valid offer that is not a member and whose address is not a voter's. One at a
    /// voter's address can replace only this voter, which is lost.
    pub(super) fn spare_outside_group(&self) -> Option<&ReplicaAddress> {
        let membership = self.replica.membership();
        let voters = membership.voters.iter().copied();
        let addresses: Vec<SocketAddr> = voters
            .filter_map(|voter| Some(self.recorded_address(voter)?.peer))
            .collect();
        let spares = self.spares.offers.valid(self.now.monotonic);
        let mut spares = spares.into_iter();
        spares.find(|spare| {
            let is_member = membership.contains(ReplicaId(spare.replica));
            !is_member && !addresses.contains(&spare.peer)
        })
    }

    /// Request to replace a voter whose address now belongs to a spare: its machine returned without
    /// its disk.
    pub(super) fn request_for_reset_voter(&mut self) -> Option<ReplaceRequest> {
        let own = self.replica.id();
        let others = self.replica.membership().voters.iter().copied();
        let reset = others
            .filter(|voter| *voter != own)
            .find_map(|voter| Some((voter, self.spare_at_address_of(voter)?.clone())));
        let (lost, replacement) = reset?;
        if self.answers(lost) {
            let reason = IgnoredOffer::MemberAnswers(lost);
            self.report_ignored_offer(ReplicaId(replacement.replica), reason);
            return None;
        }
        Some(ReplaceRequest {
            lost: lost.0,
            replacement,
        })
    }

    /// The spare at the recorded address of a member, which proves that the member's data is lost.
    fn spare_at_address_of(&self, member: ReplicaId) -> Option<&ReplicaAddress> {
        self.spare_at(self.recorded_address(member)?.peer)
    }

    /// The spare with a valid offer from an address that is not a member.
    pub(super) fn spare_at(&self, address: SocketAddr) -> Option<&ReplicaAddress> {
        let membership = self.replica.membership();
        let spares = self.spares.offers.valid(self.now.monotonic);
        let mut spares = spares.into_iter();
        spares.find(|spare| spare.peer == address && !membership.contains(ReplicaId(spare.replica)))
    }

    /// Whether a replica has been silent for `silence` towards this leader, counted from the latest change of the
    /// group at the earliest: a new replica has had nothing to answer before.
    pub(super) fn is_silent_for(&self, replica: ReplicaId, silence: Duration) -> bool {
        let now = self.now.monotonic;
        let silent = self.spares.silence_of(replica, now);
        silent.min(self.spares.offers.age_of_view(now)) >= silence
    }

    /// Whether a replica has sent a message within the last few heartbeats.
    pub(super) fn answers(&self, replica: ReplicaId) -> bool {
        let silence = self.spares.silence_of(replica, self.now.monotonic);
        silence < self.config.heartbeat * MISSED_HEARTBEATS
    }

    /// Request to add a voter without removing one, if the group has fewer than `voters`.
    fn request_for_missing_voter(&self, voters: usize) -> Option<ReplaceRequest> {
        let membership = self.replica.membership();
        if membership.voters.len() >= voters {
            return None;
        }
        let spare = self.spare_outside_group()?;
        Some(ReplaceRequest {
            lost: NO_REPLICA,
            replacement: spare.clone(),
        })
    }

    /// Whether a replacement may be begun or changed now, since nothing about the members is undecided.
    fn may_change_replacement(&self) -> bool {
        let is_busy = self.queue.has_replacement()
            || self.proposals.has_replacement()
            || self.proposals.has_membership();
        !is_busy
            && self.has_quorum()
            && self.has_applied_earlier_terms()
            && self.replica.membership_is_committed()
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
