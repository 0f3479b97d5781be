//! Polls of daemons: leases, registrations, updates.
//!
//! Owns nothing; decides when a poll is answered, held or refused. Relies on `leases` for the time of
//! each poll and on `polls` for those that are held.

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

/// Services in one poll at most; chosen, not measured.
const MAX_SERVICES: usize = 4096;

impl ControlNode {
    pub(super) fn on_poll(&mut self, id: ClientRequestId, poll: PollRequest) {
        if poll.services.len() > MAX_SERVICES {
            let reason = format!("more than {MAX_SERVICES} services in one poll");
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if !self.may_answer(&poll) {
            return self.no_quorum(id);
        }
        let renewal = Renewal {
            daemon: poll.registration.daemon.clone(),
            incarnation: poll.registration.incarnation,
            bundle_version: poll.bundle_version,
        };
        self.leases.renew(self.now.monotonic, renewal);
        self.note_registration(&poll.registration);
        if poll.bundle_version == BundleVersion::default() {
            // It holds nothing that would show an old answer to be old.
            return self.start_read(Reader::Poll(id, Box::new(poll)));
        }
        self.answer_or_hold(id, poll);
    }

    /// Whether this replica's state may be shown to the daemon: it is not cut off, and not behind
    /// what the daemon has seen.
    fn may_answer(&self, poll: &PollRequest) -> bool {
        self.has_quorum() && self.state.position().index >= poll.position.index
    }

    /// Brings a daemon's registration to the log if it is not there.
    pub(super) fn note_registration(&mut self, registration: &Registration) {
        let known = self.state.directory().daemon(&registration.daemon);
        if known == Some(registration) || self.proposals.is_registering(registration) {
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
        // Without a leader they are found to be missing again with the next poll.
        if let Some(leader) = self.replica.leader() {
            let message = PeerMessage::Registrations(registrations);
            self.messages.push((leader, message));
        }
    }

    pub(super) fn answer_or_hold(&mut self, id: ClientRequestId, poll: PollRequest) {
        if self.is_stopping {
            return self.unavailable(id, Unavailable::Stopping);
        }
        if !self.may_answer(&poll) {
            return self.no_quorum(id);
        }
        if self.has_update(&poll) {
            return self.answer_poll(id, &poll);
        }
        // At least two polls per lease, whatever the daemon asks for.
        let wait = Duration::from(poll.wait).min(self.config.daemon_lease / 2);
        self.polls.hold(id, poll, self.now.monotonic + wait);
    }

    fn has_update(&self, poll: &PollRequest) -> bool {
        let directory = self.state.directory();
        let bundle = self.state.bundles().newer_than(poll.bundle_version);
        bundle.is_some() || directory.has_update(&poll.services, poll.directory_revision)
    }

    /// Answers the held polls that a change concerns.
    pub(super) fn answer_polls(&mut self, changes: &Changes) {
        let concerned = if changes.bundle {
            self.polls.all()
        } else {
            self.polls.waiting_for(&changes.services)
        };
        for id in concerned {
            self.answer_held(id);
        }
    }

    pub(super) fn answer_held(&mut self, id: ClientRequestId) {
        if let Some(poll) = self.polls.remove(id) {
            self.answer_poll(id, &poll);
        }
    }

    /// Answers with what there is. Whether the replica may is checked at this moment: it may have
    /// been cut off or frozen while the poll was held.
    fn answer_poll(&mut self, id: ClientRequestId, poll: &PollRequest) {
        if !self.may_answer(poll) {
            return self.no_quorum(id);
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
