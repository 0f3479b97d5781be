//! Members of the group and their addresses.

use super::ControlNode;
use super::message::PeerMessage;
use crate::state::{Command, LoggedCommand};
use bramblewheel_protocol::control::{GroupStatus, ReplicaAddress};
use bramblewheel_replication::{Entry, Payload, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

/// Encodes a replica's addresses as its opaque description in the membership.
pub(super) fn describe(address: &ReplicaAddress) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(address, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// Addresses in entries that are not known to be committed. An uncommitted address does no harm, as a
/// connection attempt to it just fails. Without these, a replica whose peers all changed addresses while it
/// ran could not reach them after a restart.
pub(super) fn addresses_in(entries: &[Entry]) -> BTreeMap<u64, ReplicaAddress> {
    let commands = entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => LoggedCommand::decode(bytes).ok(),
        Payload::Empty | Payload::Membership(_) => None,
    });
    let addresses = commands.filter_map(|logged| match logged.command {
        Command::Address(address) => Some((address.replica, address)),
        Command::Publish(_)
        | Command::Operations(_)
        | Command::Directory { .. }
        | Command::BeginReplacement(_)
        | Command::EndReplacement(_)
        | Command::ReplaceTable(_)
        | Command::Endpoints(_)
        | Command::Contents(_) => None,
    });
    addresses.collect()
}

impl ControlNode {
    /// Addresses of a replica, if known: those that it reported itself, otherwise those in the log.
    pub fn member_address(&self, replica: ReplicaId) -> Option<ReplicaAddress> {
        if replica.0 == self.config.address.replica {
            return Some(self.config.address.clone());
        }
        let reported_addresses = self.reported_addresses.get(&replica.0).cloned();
        reported_addresses.or_else(|| self.recorded_address(replica))
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
            has_quorum: self.replica.has_quorum(now.monotonic),
        }
    }
}
