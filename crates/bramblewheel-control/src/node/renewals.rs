//! Leases of daemons on the route table: a quorum confirms which version is the newest. With them
//! daemons report what they admitted for tenants, and receive the sums.
//!
//! Every daemon asks several times a second, one replica each. The requests of one interval share one
//! quorum-checked read, and replicas send each other sums only, so that what they exchange does not grow
//! with the daemons.

use super::ControlNode;
use super::message::PeerMessage;
use super::output::ClientRequestId;
use super::reads::Reader;
use bramblewheel_protocol::control::{ReplyBody, Unavailable};
use bramblewheel_protocol::routing::{RenewReply, RenewRequest};
use bramblewheel_replication::ReplicaId;

/// A renewal that waits for its answer.
#[derive(Debug)]
pub(super) struct Renewing {
    pub(super) id: ClientRequestId,
    pub(super) request: Box<RenewRequest>,
}

/// Renewals that wait for the next read.
#[derive(Debug, Default)]
pub(super) struct WaitingRenewals(Vec<Renewing>);

impl ControlNode {
    pub(super) fn on_renew(&mut self, id: ClientRequestId, request: Box<RenewRequest>) {
        self.usage.report(self.now.monotonic, &request);
        self.renewals.0.push(Renewing { id, request });
    }

    /// Starts one read for all renewals that have come.
    pub(super) fn confirm_renewals(&mut self) {
        if self.renewals.0.is_empty() {
            return;
        }
        let renewals = std::mem::take(&mut self.renewals.0);
        if self.is_stopping {
            for renewing in renewals {
                self.unavailable(renewing.id, Unavailable::Stopping);
            }
            return;
        }
        self.start_read(Reader::Renewals(renewals));
    }

    /// A quorum has confirmed the state that is applied here.
    pub(super) fn answer_renewals(&mut self, renewals: Vec<Renewing>) {
        let now = self.now.monotonic;
        let current = self.state.tables().current();
        let table_version = current.map(|table| table.version).unwrap_or_default();
        let daemons = self.state.directory().daemons().count();
        for Renewing { id, request } in renewals {
            let reply = RenewReply {
                table_version,
                sums: self.usage.sums_for(now, &request.usage),
                daemons: u32::try_from(daemons).unwrap_or(u32::MAX),
            };
            self.reply(id, ReplyBody::Renewed(Box::new(reply)));
        }
    }

    /// Sends the other replicas the sums of what the daemons that report here admitted.
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
