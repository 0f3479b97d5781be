//! Requests of daemons and operators.

use super::output::ClientRequestId;
use super::reads::Reader;
use super::{ControlNode, Now};
use bramblewheel_bundle::Bundle;
use bramblewheel_protocol::control::{
    DaemonStatus, OperationAction, OperationRequest, PublishReply, ReplyBody, RequestBody,
    SignedBundle, Unavailable,
};
use bramblewheel_protocol::routing::{ContentReport, EndpointRecord, ReplaceTable};
use bramblewheel_types::Millis;

/// Operations in one request at most.
const MAX_OPERATIONS: usize = 4096;

impl ControlNode {
    /// Handles a client's request. A later output holds the reply.
    pub fn request(&mut self, now: Now, id: ClientRequestId, body: RequestBody) {
        self.now = now;
        match body {
            RequestBody::GroupStatus => {
                let status = self.group_status(now);
                self.reply(id, ReplyBody::GroupStatus(status));
            }
            _ if self.is_stopping => self.reply_unavailable(id, Unavailable::Stopping),
            _ if self.is_disk_full() => self.reply_no_quorum(id),
            RequestBody::Bootstrap(request) => self.on_bootstrap(id, request),
            _ if self.state.group().is_none() => {
                self.reply_unavailable(id, Unavailable::Uninitialized);
            }
            RequestBody::Poll(poll) => self.on_poll(id, *poll),
            RequestBody::Operations(requests) => self.on_operations(id, requests),
            RequestBody::Publish(signed) => self.on_publish(id, signed),
            RequestBody::BundleStatus => self.start_read(Reader::BundleStatus(id)),
            RequestBody::FleetStatus => self.on_fleet_status(id),
            RequestBody::Replace(request) => self.on_replace(id, request),
            RequestBody::Watch(watch) => self.on_watch(id, *watch),
            RequestBody::RegisterEndpoint(record) => self.on_register_endpoint(id, *record),
            RequestBody::ReportContents(report) => self.on_report_contents(id, report),
            RequestBody::ReplaceTable(request) => self.on_replace_table(id, request),
            RequestBody::ReadTable => self.start_read(Reader::Table(id)),
            RequestBody::Renew(request) => self.on_renew(id, request),
        }
    }

    /// Returns whether this replica leads. If not, refuses the request with the leader's address.
    pub(super) fn ensure_leader(&mut self, id: ClientRequestId) -> bool {
        if self.is_leader() {
            return true;
        }
        // A leader known from recent contact is a more useful answer than "no quorum".
        if self.replica.leader().is_some() || self.has_quorum() {
            self.reply_not_leader(id);
        } else {
            self.reply_unavailable(id, Unavailable::NoQuorum);
        }
        false
    }

    fn on_publish(&mut self, id: ClientRequestId, signed: SignedBundle) {
        if !self.ensure_leader(id) {
            return;
        }
        // A final reply needs no log entry.
        if let Some(reply) = self.state.bundles().final_reply(&signed) {
            return self.reply(id, ReplyBody::Publish(reply));
        }
        let decoded = Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version);
        match decoded {
            Ok(_) => self.queue.publish(id, signed),
            Err(error) => {
                let reply = PublishReply::Invalid(error.to_string());
                self.reply(id, ReplyBody::Publish(reply));
            }
        }
    }

    fn on_replace_table(&mut self, id: ClientRequestId, request: ReplaceTable) {
        if !self.accepts_unsigned_tables {
            let reason = "this group takes signed bundles only".to_owned();
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if !self.ensure_leader(id) {
            return;
        }
        if let Some(reply) = self.state.tables().final_reply(&request) {
            return self.reply(id, ReplyBody::TableReplaced(reply));
        }
        self.queue.replace_table(id, request);
    }

    /// Checks the registration before it is logged, so that replicas of all program versions apply an
    /// entry in the same way.
    fn on_register_endpoint(&mut self, id: ClientRequestId, record: EndpointRecord) {
        if !self.ensure_leader(id) {
            return;
        }
        if let Some(daemon) = self.state.registry().conflicting_daemon(&record) {
            let endpoint = &record.endpoint;
            let reason = format!("endpoint {endpoint} is beside {daemon}");
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if self.state.registry().ends_unregistered(&record) {
            let (endpoint, daemon) = (&record.endpoint, &record.daemon);
            let reason = format!("no endpoint {endpoint} is known beside {daemon}");
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        self.queue.register_endpoint(id, record);
    }

    fn on_report_contents(&mut self, id: ClientRequestId, report: ContentReport) {
        if self.ensure_leader(id) {
            self.queue.report_content(id, report);
        }
    }

    fn on_operations(&mut self, id: ClientRequestId, requests: Vec<OperationRequest>) {
        if requests.len() > MAX_OPERATIONS {
            let reason = format!("more than {MAX_OPERATIONS} operations in one request");
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if !self.ensure_leader(id) {
            return;
        }
        let is_status = |request: &OperationRequest| request.action == OperationAction::Status;
        if requests.iter().all(is_status) {
            self.start_read(Reader::Operations(id, requests));
        } else if self
            .proposals
            .has_capacity_for(self.queue.operation_count() + requests.len())
        {
            self.queue.add_operations(id, requests);
        } else {
            self.reply_all_undecided(id, requests.len());
        }
    }

    /// Answered by the leader only, since it alone knows the last poll of every daemon.
    fn on_fleet_status(&mut self, id: ClientRequestId) {
        if !self.ensure_leader(id) {
            return;
        }
        if !self.has_quorum() {
            return self.reply_unavailable(id, Unavailable::NoQuorum);
        }
        let now = self.now.monotonic;
        let daemons = self.state.directory().daemons();
        let statuses = daemons.map(|registration| {
            let (bundle_version, silent) = self.leases.status(now, registration);
            DaemonStatus {
                registration: registration.clone(),
                bundle_version,
                silent_for: Millis::of(silent),
            }
        });
        let statuses = statuses.collect();
        self.reply(id, ReplyBody::FleetStatus(statuses));
    }
}
