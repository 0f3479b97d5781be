//! Waits for space on a full disk.
//!
//! While the disk is full, the node keeps the output that could not be synced and takes no further output
//! from the replica of the log: nothing that depends on an unsynced write is sent, and no message of
//! another replica is processed. It has resigned, gives back the kept output every [`RETRY_INTERVAL`], and
//! goes on as a follower once that is synced.

use super::events::NodeEvent;
use super::output::NodeOutput;
use super::{ControlNode, Now};
use bramblewheel_protocol::control::{ReplyBody, Unavailable};
use bramblewheel_storage::StorageError;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time between two attempts to write to a full disk, or to open a data folder on it.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two reports that the disk is full.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Whether the disk has space, and when its state was reported.
#[derive(Debug, Default)]
pub(super) struct DiskSpace {
    state: State,
    reported_at: Option<Timestamp>,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Available,
    /// Waits for the next attempt.
    Full(Box<Shortage>),
    /// The driver has the output of the shortage and has not reported whether it is synced.
    Retrying(Box<Shortage>),
}

#[derive(Debug)]
struct Shortage {
    /// What is not synced; without messages, replies and events.
    unsynced: NodeOutput,
    since: Timestamp,
    retry_due: Timestamp,
    attempts: u64,
    is_reported: bool,
}

impl Shortage {
    fn new(now: Timestamp) -> Self {
        Self {
            unsynced: NodeOutput::default(),
            since: now,
            retry_due: now,
            attempts: 0,
            is_reported: false,
        }
    }
}

impl ControlNode {
    /// Whether the latest write failed because the disk was full.
    pub fn is_disk_full(&self) -> bool {
        !matches!(self.disk_space.state, State::Available)
    }

    /// Reports that an output could not be synced because the disk is full (the error
    /// [`is_retriable`](StorageError::is_retriable)), with what is left of the output. Call instead of
    /// [`persisted`](Self::persisted); nothing of the output may be sent.
    ///
    /// The messages of the output are dropped, as on a lossy network. Its clients are told at once that the
    /// outcome is not known.
    pub fn disk_full(&mut self, now: Now, unsynced: NodeOutput, error: &StorageError) {
        self.now = now;
        let mut shortage = match std::mem::take(&mut self.disk_space.state) {
            State::Available => Box::new(Shortage::new(now.monotonic)),
            State::Full(shortage) | State::Retrying(shortage) => shortage,
        };
        shortage.attempts += 1;
        shortage.retry_due = now.monotonic + RETRY_INTERVAL;
        self.events.extend(unsynced.events);
        for (id, body) in unsynced.replies {
            let body = match body {
                ReplyBody::Unavailable(_) | ReplyBody::Rejected(_) => body,
                _ => ReplyBody::Unavailable(Unavailable::Undecided),
            };
            self.reply(id, body);
        }
        shortage.unsynced = NodeOutput {
            write: unsynced.write,
            snapshot: unsynced.snapshot,
            joined_group: unsynced.joined_group,
            ..NodeOutput::default()
        };
        self.report_shortage(&mut shortage, error);
        self.disk_space.state = State::Full(shortage);
        self.abandon_work();
    }

    /// The output while the disk is full: the kept output if the next attempt is due, otherwise replies and
    /// events only. `None` if the disk has space.
    pub(super) fn output_without_space(&mut self) -> Option<NodeOutput> {
        match std::mem::take(&mut self.disk_space.state) {
            State::Available => return None,
            State::Full(mut shortage) if shortage.retry_due <= self.now.monotonic => {
                let output = std::mem::take(&mut shortage.unsynced);
                self.disk_space.state = State::Retrying(shortage);
                return Some(output);
            }
            waiting => self.disk_space.state = waiting,
        }
        self.report_quorum();
        self.messages.clear();
        Some(NodeOutput {
            replies: std::mem::take(&mut self.replies),
            events: std::mem::take(&mut self.events),
            ..NodeOutput::default()
        })
    }

    /// Records that the output taken last is synced. Returns whether everything taken so far is.
    pub(super) fn note_synced(&mut self) -> bool {
        match std::mem::take(&mut self.disk_space.state) {
            State::Available => {}
            // The output had replies and events only.
            State::Full(shortage) => {
                self.disk_space.state = State::Full(shortage);
                return false;
            }
            State::Retrying(shortage) => {
                // Restarts the election timer, which ran out while the disk was full.
                self.replica.resign(self.now.monotonic);
                if shortage.is_reported {
                    self.events.push(NodeEvent::DiskHasSpace {
                        after: self.now.monotonic.since(shortage.since),
                        attempts: shortage.attempts,
                    });
                }
            }
        }
        true
    }

    /// Time of the next attempt; `None` if the disk has space.
    pub(super) fn disk_retry_due(&self) -> Option<Timestamp> {
        match &self.disk_space.state {
            State::Available => None,
            State::Full(shortage) | State::Retrying(shortage) => Some(shortage.retry_due),
        }
    }

    fn report_shortage(&mut self, shortage: &mut Shortage, error: &StorageError) {
        let now = self.now.monotonic;
        let reported_at = self.disk_space.reported_at;
        if reported_at.is_some_and(|at| now.since(at) < FULL_REPORT_INTERVAL) {
            return;
        }
        self.disk_space.reported_at = Some(now);
        shortage.is_reported = true;
        self.events.push(NodeEvent::DiskFull {
            error: error.to_string(),
            since: now.since(shortage.since),
            attempts: shortage.attempts,
        });
    }

    /// Steps down and refuses everything that waits, so that clients turn to another replica.
    fn abandon_work(&mut self) {
        let abandoned = self.replica.resign(self.now.monotonic);
        self.reply_to_proposals(abandoned.proposals);
        self.finish_reads(abandoned.reads);
        self.propose_queued();
        self.confirm_renewals();
        self.forward_reads();
        self.fail_waiting_reads();
        for id in self.polls.all() {
            self.polls.remove(id);
            self.reply_no_quorum(id);
        }
        for id in self.watches.take_all() {
            self.reply_no_quorum(id);
        }
        self.messages.clear();
    }
}
