//! Inputs of a node besides requests and the passing of time: messages of replicas, clients that went
//! away, a planned stop.

use super::message::PeerMessage;
use super::output::ClientRequestId;
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{ReplicaAddress, Unavailable};
use bramblewheel_replication::ReplicaId;

impl ControlNode {
    /// Takes in a message of another replica.
    pub fn receive(&mut self, now: Now, from: ReplicaId, message: PeerMessage) {
        self.now = now;
        self.spares.note_contact(from, now.monotonic);
        match message {
            PeerMessage::Replication(message) => {
                self.replica.receive(now.monotonic, from, *message);
            }
            PeerMessage::Announcement => {}
            PeerMessage::Registrations(registrations) => {
                // Never passed on: two replicas could send it to and fro.
                let registrations = registrations.into_iter().filter(|_| self.is_leader());
                for registration in registrations.collect::<Vec<_>>() {
                    self.note_registration(&registration);
                }
            }
            PeerMessage::Renewals(renewals) => {
                for renewal in renewals {
                    self.leases.renew(now.monotonic, renewal);
                }
            }
            PeerMessage::Clock { unix_millis } => {
                self.clocks.note(from, unix_millis, now.monotonic);
            }
            PeerMessage::SpareOffer(address) => {
                if address.replica == from.0 && self.is_leader() {
                    self.spares.offered(address, now.monotonic);
                }
            }
            PeerMessage::TenantUsage(sums) => {
                self.usage.report_of_replica(now.monotonic, from, sums);
            }
            PeerMessage::ReadRequest { id } => self.read_for(from, id),
            PeerMessage::ReadReply { id, index } => {
                self.reads.confirmed(id, index);
                self.finish_forwarded_reads();
            }
        }
    }

    /// Notes the addresses at which a replica is reached, as it reported them.
    pub fn introduce(&mut self, now: Now, address: ReplicaAddress) {
        self.now = now;
        self.introduced.insert(address.replica, address);
        if self.is_leader() {
            self.record_addresses();
        }
    }

    /// A client went away: its request needs no reply any more.
    pub fn forget(&mut self, id: ClientRequestId) {
        self.polls.remove(id);
        self.watches.remove(id);
    }

    /// Begins a planned stop: hands leadership over and sends waiting daemons to other replicas.
    pub fn stop(&mut self, now: Now) {
        self.now = now;
        self.is_stopping = true;
        // Without a target the others elect one after their timeout.
        let _ = self.replica.transfer_leadership(now.monotonic);
        for id in self.polls.all() {
            self.polls.remove(id);
            self.unavailable(id, Unavailable::Stopping);
        }
        for id in self.watches.take_all() {
            self.unavailable(id, Unavailable::Stopping);
        }
    }

    /// Whether the process may end without cutting anything short.
    pub fn has_handed_over(&self) -> bool {
        self.is_stopping && !self.is_leader() && self.proposals.is_empty()
    }
}
