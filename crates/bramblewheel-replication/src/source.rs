//! What a leader sends to one member next.

use crate::log::Log;
use crate::message::Body;
use crate::progress::{Flow, Progress};
use crate::types::{Entry, LogIndex, Payload};

/// Most bytes of commands in one message, unless a single entry has more; chosen, not measured.
const MAX_BYTES_PER_MESSAGE: usize = 1024 * 1024;

/// What a leader sends from.
pub(crate) struct Source<'a> {
    pub(crate) log: &'a Log,
    pub(crate) commit: LogIndex,
    pub(crate) round: u64,
    pub(crate) max_entries: usize,
}

impl Source<'_> {
    /// Everything the member may be sent now; notes it as sent.
    pub(crate) fn missing(&self, progress: &mut Progress) -> Vec<Body> {
        let mut bodies = Vec::new();
        while let Some(body) = self.next_with_content(progress) {
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

    fn next_with_content(&self, progress: &mut Progress) -> Option<Body> {
        if !progress.may_send_entries() {
            return None;
        }
        if progress.next_index <= self.log.base_index() {
            return self.snapshot(progress);
        }
        let entries = self.entries_from(progress.next_index);
        let last = entries.last()?.index;
        let body = self.append_after(progress, entries);
        progress.sent_entries(last);
        Some(body)
    }

    fn snapshot(&self, progress: &mut Progress) -> Option<Body> {
        let snapshot = self.log.snapshot()?.clone();
        progress.sent_snapshot(snapshot.index, self.round);
        let round = self.round;
        Some(Body::InstallSnapshot { snapshot, round })
    }

    fn append_after(&self, progress: &Progress, entries: Vec<Entry>) -> Body {
        let previous_index = LogIndex(progress.next_index.0 - 1).max(self.log.base_index());
        let previous_term = self
            .log
            .term_at(previous_index)
            .expect("entries from the base on are held");
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
