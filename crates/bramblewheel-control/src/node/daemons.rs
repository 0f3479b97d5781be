//! Polls of daemons: leases, registrations and updates. Decides whether a poll is answered, held or
//! refused.

use super::ControlNode;
use super::message::{PeerMessage, Renewal};
use super::output::ClientRequestId;
use super::reads::Reader;
use crate::state::Changes;
use bramblewheel_protocol::control::{
    PollReply, PollRequest, Registration, ReplyBody, Unavailable,
};
use bramblewheel_types::BundleVersion;
use std::time::Duration;

/// Services in one poll at most.
const MAX_SERVICES: usize = 4096;

impl ControlNode {
    pub(super) fn on_poll(&mut self, id: ClientRequestId, poll: PollRequest) {
        if poll.services.len() > MAX_SERVICES {
            let reason = format!("more than {MAX_SERVICES} services in one poll");
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if !self.may_answer(&poll) {
            return self.reply_no_quorum(id);
        }
        let renewal = Renewal {
            daemon: poll.registration.daemon.clone(),
            incarnation: poll.registration.incarnation,
            bundle_version: poll.bundle_version,
        };
        self.leases.renew(self.now.monotonic, renewal);
        self.queue_registration(&poll.registration);
        if poll.bundle_version == BundleVersion::default() {
            // The daemon has no version by which it could detect a stale answer.
            return self.start_read(Reader::Poll(id, Box::new(poll)));
        }
        self.answer_or_hold(id, poll);
    }

    /// Whether this replica's state may be sent to the daemon: the replica has contact with a quorum
    /// and is not behind the state that the daemon has seen.
    fn may_answer(&self, poll: &PollRequest) -> bool {
        self.has_quorum() && self.state.position().index >= poll.position.index
    }

    /// Queues a daemon's registration for the log, or for the leader, unless it is already recorded.
    pub(super) fn queue_registration(&mut self, registration: &Registration) {
        let recorded = self.state.directory().daemon(&registration.daemon);
        if recorded == Some(registration) || self.proposals.is_registering(registration) {
            return;
        }
        if self.is_leader() {
            self.leases.begin(self.now.monotonic, registration);
            self.queue.register(registration.clone());
        } else {
            self.unreported_registrations.push(registration.clone());
        }
    }

    /// Reports new and changed registrations to the leader, in one message.
    pub(super) fn forward_registrations(&mut self) {
        let registrations = std::mem::take(&mut self.unreported_registrations);
        if registrations.is_empty() {
            return;
        }
        // Without a leader they are dropped; the next poll of the daemon queues them again.
        if let Some(leader) = self.replica.leader() {
            let message = PeerMessage::Registrations(registrations);
            self.messages.push((leader, message));
        }
    }

    pub(super) fn answer_or_hold(&mut self, id: ClientRequestId, poll: PollRequest) {
        if self.is_stopping {
            return self.reply_unavailable(id, Unavailable::Stopping);
        }
        if !self.may_answer(&poll) {
            return self.reply_no_quorum(id);
        }
        if self.has_update(&poll) {
            return self.answer_poll(id, &poll);
        }
        // Ensures at least two polls per lease, even if the daemon asks for a longer wait.
        let wait = Duration::from(poll.wait).min(self.config.daemon_lease / 2);
        self.polls.hold(id, poll, self.now.monotonic + wait);
    }

    fn has_update(&self, poll: &PollRequest) -> bool {
        let directory = self.state.directory();
        let bundle = self.state.bundles().newer_than(poll.bundle_version);
        bundle.is_some() || directory.has_update(&poll.services, poll.directory_revision)
    }

    /// Answers the held polls that are affected by changes.
    pub(super) fn answer_polls(&mut self, changes: &Changes) {
        let affected = if changes.bundle {
            self.polls.all()
        } else {
            self.polls.waiting_for(&changes.services)
        };
        for id in affected {
            self.answer_held(id);
        }
    }

    pub(super) fn answer_held(&mut self, id: ClientRequestId) {
        if let Some(poll) = self.polls.remove(id) {
            self.answer_poll(id, &poll);
        }
    }

    /// Answers a poll with the updates available. Checks again whether the replica may answer, since it
    /// may have been cut off or frozen while the poll was held.
    fn answer_poll(&mut self, id: ClientRequestId, poll: &PollRequest) {
        if !self.may_answer(poll) {
            return self.reply_no_quorum(id);
        }
        let directory = self.state.directory();
        let delta = directory.delta(&poll.services, poll.directory_revision);
        let bundles = self.state.bundles();
        let update = self.bundle_updates.update_for(bundles, poll);
        let reply = PollReply {
            position: self.state.position(),
            operator_changes: update.operator_changes,
            bundle: update.bundle,
            directory_revision: directory.revision(),
            directory_is_complete: delta.is_complete,
            live: delta.live,
            removed: delta.removed,
        };
        self.counters.polls_answered += 1;
        self.reply(id, ReplyBody::Poll(Box::new(reply)));
    }
}
