//! Quorum-checked reads: the leader confirms them, each replica answers from its own state.

use super::ControlNode;
use super::message::PeerMessage;
use super::output::ClientRequestId;
use super::reads::Reader;
use bramblewheel_protocol::control::{ReplyBody, Unavailable};
use bramblewheel_replication::{ReadId, ReadResult, ReplicaId};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// How long a follower waits for the leader's reply to a read request.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlNode {
    /// Starts a read, which is answered after a quorum has confirmed the leader from this time on.
    pub(super) fn start_read(&mut self, reader: Reader) {
        let id = self.fresh_id();
        if self.replica.read(self.now.monotonic, ReadId(id)).is_ok() {
            return self.reads.start(ReadId(id), reader);
        }
        if self.replica.leader().is_some() {
            self.reads.gather(reader);
        } else {
            self.fail_read(reader);
        }
    }

    /// Sends the leader one read request for all gathered reads.
    pub(super) fn forward_reads(&mut self) {
        let readers = self.reads.take_gathered();
        if readers.is_empty() {
            return;
        }
        if self.is_leader() {
            // This replica was elected after the reads were gathered.
            for reader in readers {
                self.start_read(reader);
            }
            return;
        }
        let Some(leader) = self.replica.leader() else {
            for reader in readers {
                self.fail_read(reader);
            }
            return;
        };
        let id = self.fresh_id();
        self.messages
            .push((leader, PeerMessage::ReadRequest { id }));
        let until = self.now.monotonic + READ_TIMEOUT;
        self.reads.forward(id, readers, until);
    }

    /// Starts a read for another replica. Does not reply unless this replica leads.
    pub(super) fn start_read_for_replica(&mut self, from: ReplicaId, id: u64) {
        let read = ReadId(self.fresh_id());
        if self.replica.read(self.now.monotonic, read).is_ok() {
            self.reads.start(read, Reader::Replica { from, id });
        }
    }

    pub(super) fn finish_reads(&mut self, results: Vec<(ReadId, ReadResult)>) {
        for (id, result) in results {
            let Some(reader) = self.reads.finish(id) else {
                continue;
            };
            match result {
                ReadResult::Ready { .. } => self.finish_read(reader),
                ReadResult::LeadershipLost => self.fail_read(reader),
            }
        }
        self.finish_forwarded_reads();
    }

    pub(super) fn finish_forwarded_reads(&mut self) {
        for reader in self.reads.take_ready(self.state.position().index) {
            self.finish_read(reader);
        }
    }

    pub(super) fn fail_timed_out_reads(&mut self) {
        for reader in self.reads.take_timed_out(self.now.monotonic) {
            self.fail_read(reader);
        }
    }

    /// Fails all reads that wait for the leader.
    pub(super) fn fail_waiting_reads(&mut self) {
        for reader in self.reads.take_timed_out(Timestamp::NEVER) {
            self.fail_read(reader);
        }
    }

    fn finish_read(&mut self, reader: Reader) {
        match reader {
            Reader::Poll(id, poll) => self.answer_or_hold(id, *poll),
            Reader::Watch(id, watch) => self.answer_or_hold_watch(id, *watch),
            Reader::Table(id) => {
                let current = self.state.tables().current().cloned();
                self.reply(id, ReplyBody::Table(current));
            }
            Reader::Renewals(renewals) => self.answer_renewals(renewals),
            Reader::BundleStatus(id) => {
                let current = self.state.bundles().current().cloned();
                self.reply(id, ReplyBody::BundleStatus(current));
            }
            Reader::Operations(id, requests) => {
                let ledger = self.state.ledger();
                let states = requests.iter().map(|request| ledger.status(&request.key));
                let states = states.collect();
                self.reply(id, ReplyBody::Operations(states));
            }
            Reader::Replica { from, id } => {
                let index = self.state.position().index;
                let reply = PeerMessage::ReadReply { id, index };
                self.messages.push((from, reply));
            }
        }
    }

    fn fail_read(&mut self, reader: Reader) {
        match reader {
            Reader::Poll(id, _)
            | Reader::Watch(id, _)
            | Reader::Table(id)
            | Reader::BundleStatus(id)
            | Reader::Operations(id, _) => {
                self.reply_unconfirmed(id);
            }
            Reader::Renewals(renewals) => {
                for renewal in renewals {
                    self.reply_unconfirmed(renewal.id);
                }
            }
            // The read times out at the other replica.
            Reader::Replica { .. } => {}
        }
    }

    /// Refuses a read that no quorum confirmed, perhaps while contact with one is still proven.
    fn reply_unconfirmed(&mut self, id: ClientRequestId) {
        if self.has_quorum() {
            self.quorum_reports.count_refused();
        }
        self.reply_no_quorum(id);
    }

    pub(super) fn reply_no_quorum(&mut self, id: ClientRequestId) {
        self.reply_unavailable(id, Unavailable::NoQuorum);
    }
}
