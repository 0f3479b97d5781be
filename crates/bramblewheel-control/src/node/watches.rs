//! Watches of daemons: updates of the route table, the registered endpoints and the quarantine, sent as soon
//! as a change is committed.
//!
//! Watches without an update are held; the caller must answer them after a change. Each watch renews the
//! daemon's lease.

use super::ControlNode;
use super::message::Renewal;
use super::output::ClientRequestId;
use super::reads::Reader;
use bramblewheel_protocol::control::{ReplyBody, Unavailable};
use bramblewheel_protocol::routing::{QuarantineList, TableVersion, WatchReply, WatchRequest};
use bramblewheel_types::{BundleVersion, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Watches that wait for an update, with the time at which their wait ends.
#[derive(Debug, Default)]
pub(super) struct HeldWatches(BTreeMap<ClientRequestId, (WatchRequest, Timestamp)>);

impl HeldWatches {
    fn hold(&mut self, id: ClientRequestId, watch: WatchRequest, until: Timestamp) {
        self.0.insert(id, (watch, until));
    }

    pub(super) fn remove(&mut self, id: ClientRequestId) -> Option<WatchRequest> {
        self.0.remove(&id).map(|(watch, _)| watch)
    }

    pub(super) fn take_all(&mut self) -> Vec<ClientRequestId> {
        std::mem::take(&mut self.0).into_keys().collect()
    }

    fn ids(&self, is_due: impl Fn(Timestamp) -> bool) -> Vec<ClientRequestId> {
        let due = self.0.iter().filter(|(_, (_, until))| is_due(*until));
        due.map(|(id, _)| *id).collect()
    }
}

impl ControlNode {
    pub(super) fn on_watch(&mut self, id: ClientRequestId, watch: WatchRequest) {
        if !self.may_answer_watch(&watch) {
            return self.reply_no_quorum(id);
        }
        self.leases.renew(
            self.now.monotonic,
            Renewal {
                daemon: watch.registration.daemon.clone(),
                incarnation: watch.registration.incarnation,
                bundle_version: BundleVersion::default(),
            },
        );
        self.queue_registration(&watch.registration);
        if watch.table_version == TableVersion::default() {
            // The daemon has no version by which it could detect a stale answer.
            return self.start_read(Reader::Watch(id, Box::new(watch)));
        }
        self.answer_or_hold_watch(id, watch);
    }

    /// Whether this replica has contact with a quorum and is not behind the state that the daemon has
    /// seen.
    fn may_answer_watch(&self, watch: &WatchRequest) -> bool {
        self.has_quorum() && self.state.position().index >= watch.position.index
    }

    pub(super) fn answer_or_hold_watch(&mut self, id: ClientRequestId, watch: WatchRequest) {
        if self.is_stopping {
            return self.reply_unavailable(id, Unavailable::Stopping);
        }
        let has_table = self
            .state
            .tables()
            .newer_than(watch.table_version)
            .is_some();
        let has_endpoints = self.state.registry().revision() > watch.registry_revision;
        let has_contents = self.state.quarantine().revision() > watch.quarantine_revision;
        let has_update = has_table || has_endpoints || has_contents;
        if has_update || !self.may_answer_watch(&watch) {
            return self.answer_watch(id, &watch);
        }
        let wait = Duration::from(watch.wait).min(self.config.daemon_lease / 2);
        self.watches.hold(id, watch, self.now.monotonic + wait);
    }

    /// Answers all watches that are held.
    pub(super) fn answer_watches(&mut self) {
        self.answer_watches_until(|_| true);
    }

    /// Answers the watches whose wait is over. Once contact with a quorum is lost, answers all of them,
    /// so that their daemons turn to another replica.
    pub(super) fn answer_due_watches(&mut self) {
        let now = self.now.monotonic;
        let is_cut_off = !self.has_quorum();
        self.answer_watches_until(|until| is_cut_off || until <= now);
    }

    fn answer_watches_until(&mut self, is_due: impl Fn(Timestamp) -> bool) {
        for id in self.watches.ids(is_due) {
            if let Some(watch) = self.watches.remove(id) {
                self.answer_watch(id, &watch);
            }
        }
    }

    /// The quarantine list, if it is newer than the daemon's. It is sent whole, since it is short and
    /// usually empty.
    fn quarantine_update(&self, watch: &WatchRequest) -> Option<QuarantineList> {
        let quarantine = self.state.quarantine();
        let is_update = quarantine.revision() > watch.quarantine_revision;
        is_update.then(|| quarantine.list())
    }

    fn answer_watch(&mut self, id: ClientRequestId, watch: &WatchRequest) {
        if !self.may_answer_watch(watch) {
            return self.reply_no_quorum(id);
        }
        let registry = self.state.registry();
        let daemons = self.state.directory().daemons().count();
        let voters = self.replica.membership().voters.iter();
        let addresses = voters.filter_map(|voter| self.member_address(*voter));
        let reply = WatchReply {
            position: self.state.position(),
            table: self.state.tables().newer_than(watch.table_version).cloned(),
            registry_revision: registry.revision(),
            endpoints: registry.changed_since(watch.registry_revision),
            quarantine: self.quarantine_update(watch),
            daemons: u32::try_from(daemons).unwrap_or(u32::MAX),
            replicas: addresses.map(|address| address.service).collect(),
        };
        self.counters.polls_answered += 1;
        self.reply(id, ReplyBody::Watch(Box::new(reply)));
    }
}
