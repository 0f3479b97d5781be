//! Inputs of a node other than requests and ticks: messages of replicas, disconnected clients and a planned
//! stop.

use super::message::PeerMessage;
use super::output::ClientRequestId;
use super::peer_addresses::EntryPosition;
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{ReplicaAddress, Unavailable};
use bramblewheel_replication::ReplicaId;

impl ControlNode {
    /// Handles a message of another replica.
    pub fn receive(&mut self, now: Now, from: ReplicaId, message: PeerMessage) {
        self.now = now;
        if self.is_disk_full() {
            // Its processing could need a write. The sender treats it as lost and sends it again.
            return;
        }
        self.spares.note_contact(from, now.monotonic);
        match message {
            PeerMessage::Replication(message) => {
                self.replica.receive(now.monotonic, from, *message);
            }
            PeerMessage::Announcement => {}
            PeerMessage::Registrations(registrations) => {
                // Not forwarded by a follower: two replicas could forward it to each other forever.
                let registrations = registrations.into_iter().filter(|_| self.is_leader());
                for registration in registrations.collect::<Vec<_>>() {
                    self.queue_registration(&registration);
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
            PeerMessage::SpareOffer(offer) => {
                if offer.replica == from.0 && self.is_leader() {
                    self.record_offer(offer);
                }
            }
            PeerMessage::TenantUsage(sums) => {
                self.usage.report_from_earlier(now.monotonic, from, sums);
            }
            PeerMessage::UsageReports(reports) => {
                self.usage.receive(now.monotonic, from, *reports);
            }
            PeerMessage::ReadRequest { id } => self.start_read_for_replica(from, id),
            PeerMessage::ReadReply { id, index } => {
                self.reads.confirmed(id, index);
                self.finish_forwarded_reads();
            }
        }
    }

    /// Records the addresses that a replica reported for itself.
    pub fn record_peer_address(&mut self, now: Now, address: ReplicaAddress) {
        self.now = now;
        let log_end = self.log_end();
        self.peer_addresses.report(address, log_end);
        if self.is_leader() {
            self.record_addresses();
        }
    }

    /// Records the addresses of the replica on a connection that just delivered a message, unless they are known.
    pub fn confirm_peer_address(&mut self, now: Now, address: &ReplicaAddress) {
        let known = self.member_address(ReplicaId(address.replica));
        if known.as_ref() != Some(address) {
            self.record_peer_address(now, address.clone());
        }
    }

    /// Last entry of the log, committed or not.
    pub(super) fn log_end(&self) -> EntryPosition {
        EntryPosition {
            term: self.replica.last_term(),
            index: self.replica.last_index(),
        }
    }

    /// Drops a held poll or watch whose client has disconnected.
    pub fn cancel(&mut self, id: ClientRequestId) {
        self.polls.remove(id);
        self.watches.remove(id);
    }

    /// Begins a planned stop: transfers leadership and refuses held polls and watches, so that their
    /// daemons go to other replicas.
    pub fn stop(&mut self, now: Now) {
        self.now = now;
        self.is_stopping = true;
        // If no follower can take over, the others elect a leader after their election timeout.
        let _ = self.replica.transfer_leadership(now.monotonic);
        for id in self.polls.all() {
            self.polls.remove(id);
            self.reply_unavailable(id, Unavailable::Stopping);
        }
        for id in self.watches.take_all() {
            self.reply_unavailable(id, Unavailable::Stopping);
        }
    }

    /// Whether the planned stop is complete: this replica does not lead and has no undecided proposal.
    pub fn has_handed_over(&self) -> bool {
        self.is_stopping && !self.is_leader() && self.proposals.is_empty()
    }
}
