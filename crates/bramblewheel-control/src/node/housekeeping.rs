//! Periodic work: lease expiry, held polls and watches, reports to the leader, steps of a replacement.

use super::message::PeerMessage;
use super::{ControlNode, Now};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// How often renewals are forwarded to the leader and leases are checked.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of lease periods after which the last poll of a daemon is forgotten.
const REMEMBERED_LEASES: u32 = 3;

impl ControlNode {
    /// Runs the periodic work that is due. Call at [`next_wakeup`](Self::next_wakeup) or more often.
    pub fn tick(&mut self, now: Now) {
        self.now = now;
        if self.is_disk_full() {
            return;
        }
        // The replica comes first, so that a leader that was frozen steps down before it expires daemons.
        self.replica.tick(now.monotonic);
        let term = self.is_leader().then(|| self.replica.term());
        self.leases.note_leadership(now.monotonic, term);
        self.spares.note_leadership(now.monotonic, term);
        if self.housekeeping_due <= now.monotonic {
            self.housekeeping_due = now.monotonic + self.config.heartbeat;
            self.run_housekeeping();
        }
        if self.exchange_due <= now.monotonic {
            self.exchange_due = now.monotonic + EXCHANGE_INTERVAL;
            self.exchange();
        }
    }

    /// Latest time at which [`tick`](Self::tick) must be called.
    pub fn next_wakeup(&self) -> Timestamp {
        if let Some(due) = self.disk_retry_due() {
            return due;
        }
        let own = self.housekeeping_due.min(self.exchange_due);
        self.replica.next_wakeup().min(own)
    }

    fn run_housekeeping(&mut self) {
        let due = if self.has_quorum() {
            self.polls.due(self.now.monotonic)
        } else {
            // Without a quorum all held polls are refused, so that their daemons turn to another replica.
            self.polls.all()
        };
        for id in due {
            self.answer_held(id);
        }
        self.answer_due_watches();
        self.exchange_tenant_usage();
        self.confirm_renewals();
        self.report_usage_completeness();
        self.fail_timed_out_reads();
        self.advance_replacement();
        if self.is_leader() && self.spares.needs_fast_repair() {
            self.use_spare_if_due();
        }
    }

    fn exchange(&mut self) {
        if self.is_leader() {
            self.expire_daemons();
            self.expire_contents();
            self.record_addresses();
            self.use_spare_if_due();
            self.clocks.retain_voters(&self.replica.membership().voters);
        } else if let Some(leader) = self.replica.leader() {
            let renewals = self.leases.take_unreported();
            if !renewals.is_empty() {
                let message = PeerMessage::Renewals(renewals);
                self.messages.push((leader, message));
            }
            self.report_clock();
        }
        let remembered = self.config.daemon_lease * REMEMBERED_LEASES;
        let age = self.now.monotonic.since(Timestamp::ZERO);
        let oldest = Timestamp::ZERO + age.saturating_sub(remembered);
        self.leases.forget_before(oldest);
    }

    /// Proposes an entry when a quarantine is due to expire, since only entries advance log time.
    fn expire_contents(&mut self) {
        let due = self.state.quarantine().due_unix_millis();
        let is_due = due
            .zip(self.proposal_time())
            .is_some_and(|(due, now)| due <= now);
        if is_due && self.has_quorum() {
            self.queue.advance_log_time();
        }
    }

    fn expire_daemons(&mut self) {
        if !self.has_quorum() {
            return;
        }
        let daemons = self.state.directory().daemons();
        let lease = self.config.daemon_lease;
        for expired in self.leases.expired(self.now.monotonic, lease, daemons) {
            if !self.proposals.is_expiring(&expired) {
                self.queue.expire(expired);
            }
        }
    }

    /// Queues the addresses that members reported, where they differ from those in the log.
    pub(super) fn record_addresses(&mut self) {
        let members: Vec<ReplicaId> = self.replica.membership().members().collect();
        for member in members {
            let Some(reported) = self.member_address(member) else {
                continue;
            };
            let is_recorded = self.recorded_address(member).as_ref() == Some(&reported);
            if !is_recorded && !self.proposals.is_recording_address(member.0) {
                self.queue.record_address(reported);
            }
        }
    }
}
