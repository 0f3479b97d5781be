//! Leases of daemons on the route table: a quorum confirms the newest version. With each renewal a daemon
//! reports the requests that it admitted for tenants and receives the sums over all daemons.
//!
//! Every daemon renews several times a second, at one replica. The renewals of one interval share one
//! quorum-checked read, and replicas exchange only sums, so that the traffic between them does not grow
//! with the number of daemons.

use super::ControlNode;
use super::message::PeerMessage;
use super::output::ClientRequestId;
use super::reads::Reader;
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
        for PendingRenewal { id, request } in renewals {
            let reply = RenewReply {
                table_version,
                sums: self.usage.sums_for(now, &request.usage),
                daemons: u32::try_from(daemons).unwrap_or(u32::MAX),
            };
            self.reply(id, ReplyBody::Renewed(Box::new(reply)));
        }
    }

    /// Sends the other replicas the sums of the requests admitted by the daemons that report here.
    pub(super) fn report_tenant_usage(&mut self) {
        let Some(sums) = self.usage.sums_to_report(self.now.monotonic) else {
            return;
        };
        let own = self.replica.id();
        let members = self.replica.membership().members();
        let others: Vec<ReplicaId> = members.filter(|member| *member != own).collect();
        for other in others {
            let message = PeerMessage::TenantUsage(sums.clone());
            self.messages.push((other, message));
        }
    }
}
