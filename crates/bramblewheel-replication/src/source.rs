//! Builds the messages that a leader sends to one member.

use crate::log::Log;
use crate::message::Body;
use crate::progress::{Flow, Progress};
use crate::types::{Entry, LogIndex, Payload};

/// Maximum bytes of commands in one message; a single larger entry is sent alone.
const MAX_BYTES_PER_MESSAGE: usize = 1024 * 1024;

/// State of the leader from which messages are built.
pub(crate) struct MessageSource<'a> {
    pub(crate) log: &'a Log,
    pub(crate) commit: LogIndex,
    pub(crate) round: u64,
    pub(crate) max_entries: usize,
}

impl MessageSource<'_> {
    /// Returns all messages that the member may be sent now, and records them as sent.
    pub(crate) fn take_pending(&self, progress: &mut Progress) -> Vec<Body> {
        let mut bodies = Vec::new();
        while let Some(body) = self.next_entries_or_snapshot(progress) {
            bodies.push(body);
        }
        let replicates = matches!(progress.flow, Flow::Replicate { .. });
        let has_newer_commit = replicates && progress.sent_commit < self.commit;
        if bodies.is_empty() && (progress.sent_round < self.round || has_newer_commit) {
            bodies.push(self.append_after(progress, Vec::new()));
        }
        if !bodies.is_empty() {
            progress.sent_round = self.round;
            progress.sent_commit = self.commit;
        }
        bodies
    }

    fn next_entries_or_snapshot(&self, progress: &mut Progress) -> Option<Body> {
        if !progress.may_send_entries() {
            return None;
        }
        if progress.next_index <= self.log.base_index() {
            return self.snapshot(progress);
        }
        let entries = self.entries_from(progress.next_index);
        let last = entries.last()?.index;
        let body = self.append_after(progress, entries);
        progress.on_entries_sent(last);
        Some(body)
    }

    fn snapshot(&self, progress: &mut Progress) -> Option<Body> {
        let snapshot = self.log.snapshot()?.clone();
        progress.on_snapshot_sent(snapshot.index, self.round);
        let round = self.round;
        Some(Body::InstallSnapshot { snapshot, round })
    }

    fn append_after(&self, progress: &Progress, entries: Vec<Entry>) -> Body {
        let previous_index = LogIndex(progress.next_index.0 - 1).max(self.log.base_index());
        let previous_term = self
            .log
            .term_at(previous_index)
            .expect("the log holds the term of every entry from its base on");
        Body::Append {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            round: self.round,
            echo: progress.proven_token,
        }
    }

    fn entries_from(&self, first: LogIndex) -> Vec<Entry> {
        let mut bytes = 0;
        let mut fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += 1 + size_of_payload(&entry.payload);
            is_first || bytes <= MAX_BYTES_PER_MESSAGE
        };
        self.log
            .range(first, self.log.last_index())
            .take(self.max_entries.max(1))
            .take_while(|entry| fits(entry))
            .cloned()
            .collect()
    }
}

fn size_of_payload(payload: &Payload) -> usize {
    match payload {
        Payload::Command(command) => command.len(),
        Payload::Empty | Payload::Membership(_) => 0,
    }
}
