//! Leases of daemons on the route table: a quorum confirms the newest version. With each renewal a daemon
//! reports the requests that it admitted for tenants and receives the sums over all daemons.
//!
//! Every daemon renews several times a second, at one replica. The renewals of one interval share one
//! quorum-checked read, and replicas forward the reports to each other in one message per interval.

use super::message::PeerMessage;
use super::output::ClientRequestId;
use super::reads::Reader;
use super::usage::SavedUsage;
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{ReplyBody, Unavailable};
use bramblewheel_protocol::routing::{RenewReply, RenewRequest};
use bramblewheel_replication::ReplicaId;

/// A renewal that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingRenewal {
    pub(super) id: ClientRequestId,
    pub(super) request: Box<RenewRequest>,
}

/// Renewals that wait for the next read.
#[derive(Debug, Default)]
pub(super) struct PendingRenewals(Vec<PendingRenewal>);

impl ControlNode {
    pub(super) fn on_renew(&mut self, id: ClientRequestId, request: Box<RenewRequest>) {
        self.usage.report(self.now.monotonic, &request);
        self.renewals.0.push(PendingRenewal { id, request });
    }

    /// Starts one read for all pending renewals.
    pub(super) fn confirm_renewals(&mut self) {
        if self.renewals.0.is_empty() {
            return;
        }
        let renewals = std::mem::take(&mut self.renewals.0);
        if self.is_stopping {
            for renewal in renewals {
                self.reply_unavailable(renewal.id, Unavailable::Stopping);
            }
            return;
        }
        self.start_read(Reader::Renewals(renewals));
    }

    /// Answers renewals from the local state, after a quorum has confirmed it.
    pub(super) fn answer_renewals(&mut self, renewals: Vec<PendingRenewal>) {
        let now = self.now.monotonic;
        let current = self.state.tables().current();
        let table_version = current.map(|table| table.version).unwrap_or_default();
        let daemons = self.state.directory().daemons().count();
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        for PendingRenewal { id, request } in renewals {
            let sums = self.usage.sums_for(now, &request.usage);
            let reply = RenewReply::new(table_version, daemons, sums);
            self.reply(id, ReplyBody::Renewed(Box::new(reply)));
        }
    }

    /// Recomputes the sums and sends the other replicas the reports of daemons that they need.
    pub(super) fn exchange_tenant_usage(&mut self) {
        let now = self.now.monotonic;
        let daemons = self.state.directory().daemons();
        self.usage
            .refresh(now, daemons.map(|registration| &registration.daemon));
        let own = self.replica.id();
        let members = self.replica.membership().members();
        let others = members.filter(|member| *member != own);
        let (others, earlier): (Vec<ReplicaId>, Vec<ReplicaId>) =
            others.partition(|other| self.usage_report_readers.contains(other));
        for (other, reports) in self.usage.exchange(now, &others) {
            let message = PeerMessage::UsageReports(Box::new(reports));
            self.messages.push((other, message));
        }
        if earlier.is_empty() {
            return;
        }
        let sums = self.usage.own_sums(now);
        for other in earlier {
            let message = PeerMessage::TenantUsage(sums.clone());
            self.messages.push((other, message));
        }
    }

    /// Usage of tenants to be saved; `None` if there is none.
    pub fn saved_usage(&self, now: Now) -> Option<SavedUsage> {
        self.usage.saved(now)
    }

    /// Takes over the usage that an earlier process of this replica saved. Call before any input.
    pub fn restore_usage(&mut self, now: Now, saved: SavedUsage) {
        self.usage.restore(now, saved);
    }

    /// Records whether a replica, as it states on its connections, reads forwarded reports. Replicas of earlier versions
    /// are sent sums.
    pub fn note_usage_report_reader(&mut self, replica: ReplicaId, reads_usage_reports: bool) {
        if reads_usage_reports {
            self.usage_report_readers.insert(replica);
        } else {
            self.usage_report_readers.remove(&replica);
        }
    }
}
