//! Members of the group and their addresses.

use super::ControlNode;
use super::message::PeerMessage;
use super::peer_addresses::{EntryPosition, PeerAddresses};
use crate::state::{Command, LoggedCommand};
use bramblewheel_protocol::control::{GroupStatus, ReplicaAddress};
use bramblewheel_replication::{Entry, Payload, ReplicaId};
use std::collections::BTreeSet;

/// Encodes a replica's addresses as its opaque description in the membership.
pub(super) fn describe(address: &ReplicaAddress) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(address, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// Addresses in entries that are not known to be committed. An uncommitted address does no harm, as a
/// connection attempt to it just fails. Without these, a replica whose peers all changed addresses while it
/// ran could not reach them after a restart.
pub(super) fn addresses_in(entries: &[Entry]) -> PeerAddresses {
    let mut addresses = PeerAddresses::default();
    for entry in entries {
        if let Some(address) = address_in(entry) {
            addresses.report(address, EntryPosition::of(entry));
        }
    }
    addresses
}

/// The address that an entry records, if it records one.
pub(super) fn address_in(entry: &Entry) -> Option<ReplicaAddress> {
    let logged = match &entry.payload {
        Payload::Command(bytes) => LoggedCommand::decode(bytes).ok()?,
        Payload::Empty | Payload::Membership(_) => return None,
    };
    match logged.command {
        Command::Address(address) => Some(address),
        Command::Publish(_)
        | Command::Operations(_)
        | Command::Directory { .. }
        | Command::BeginReplacement(_)
        | Command::EndReplacement(_)
        | Command::ReplaceTable(_)
        | Command::Endpoints(_)
        | Command::Contents(_) => None,
    }
}

impl ControlNode {
    /// Addresses of a replica, if known: those that it reported itself, otherwise those in the log.
    pub fn member_address(&self, replica: ReplicaId) -> Option<ReplicaAddress> {
        if replica.0 == self.config.address.replica {
            return Some(self.config.address.clone());
        }
        let reported = self.peer_addresses.get(replica.0).cloned();
        reported.or_else(|| self.recorded_address(replica))
    }

    /// Announces this replica's current addresses to the other members.
    pub(super) fn announce(&mut self) {
        let own = self.replica.id();
        let others = self.replica.membership().members().filter(|id| *id != own);
        let announcements = others.map(|id| (id, PeerMessage::Announcement));
        self.messages.extend(announcements);
    }

    /// Addresses of a replica according to the log.
    pub(super) fn recorded_address(&self, replica: ReplicaId) -> Option<ReplicaAddress> {
        if let Some(address) = self.state.address(replica.0) {
            return Some(address.clone());
        }
        let description = self.replica.membership().descriptions.get(&replica)?;
        ciborium::from_reader(description.as_slice()).ok()
    }

    /// State of the group as this replica sees it.
    pub fn group_status(&self, now: super::Now) -> GroupStatus {
        let membership = self.replica.membership();
        let addresses = |replicas: &BTreeSet<ReplicaId>| {
            let ids = replicas.iter();
            ids.filter_map(|id| self.member_address(*id)).collect()
        };
        GroupStatus {
            replica: self.config.address.clone(),
            group: self.state.group(),
            term: self.replica.term().0,
            leader: self.replica.leader().map(|leader| leader.0),
            position: self.state.position(),
            voters: addresses(&membership.voters),
            learners: addresses(&membership.learners),
            has_quorum: self.has_quorum_at(now.monotonic),
        }
    }
}
