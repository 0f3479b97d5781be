//! Quarantine: which contents are kept from endpoints because endpoints crashed while running them.
//!
//! Rule: a content that the control group has put in quarantine is refused. Of the contents running at a crash of this
//! daemon's endpoint, all are suspects except those that the endpoint completed recently. A watched content that is
//! completed is reported to the group, which clears it.
//!
//! Inputs: the control group's list of watched contents (two or more crashes) with those in quarantine (three), as of
//! the last update; the contents completed here within the last 30 to 60 s.
//!
//! Reason: one request may crash every endpoint that starts it, and its callers resend it to any daemon. A content that
//! many endpoints have completed is not the cause; without that check the quarantine failed in 20 of 20 runs on virtual
//! time.
//!
//! State: the list, and the contents completed recently at this daemon. The control group counts crashes and decides
//! what is in quarantine and for how long.
//!
//! Observability: metrics `bramblewheel_quarantined` (requests refused) and `bramblewheel_quarantined_contents`; log
//! lines `quarantined` (`content`, `ends`), `quarantine in force` (`watched`, `quarantined`) and `content ended well`.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{QuarantineList, WatchedContent};
use bramblewheel_types::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Least time for which a completion is remembered. A service that a request keeps crashing is up for a third of the
/// time, so that every regularly requested content is completed within it.
const COMPLETION_MEMORY: Duration = Duration::from_secs(30);
/// Number of completions at which the older ones are dropped early; each takes 16 bytes, in two generations.
const MAX_COMPLETIONS: usize = 4_096;

/// Recently completed contents in two generations, so that expiry needs no search.
#[derive(Debug, Default)]
struct CompletedContents {
    newer: HashSet<ContentDigest>,
    older: HashSet<ContentDigest>,
    begun: Timestamp,
}

impl CompletedContents {
    fn record(&mut self, now: Timestamp, content: ContentDigest) {
        self.expire(now);
        self.newer.insert(content);
    }

    fn contains(&mut self, now: Timestamp, content: &ContentDigest) -> bool {
        self.expire(now);
        self.newer.contains(content) || self.older.contains(content)
    }

    fn expire(&mut self, now: Timestamp) {
        let age = now.since(self.begun);
        if age < COMPLETION_MEMORY && self.newer.len() < MAX_COMPLETIONS {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= COMPLETION_MEMORY * 2 {
            self.older.clear();
        }
        self.begun = now;
    }
}

/// This daemon's copy of the quarantine list and the contents it has seen completed.
#[derive(Debug, Default)]
pub struct QuarantineView {
    revision: u64,
    watched: HashMap<ContentDigest, WatchedContent>,
    completed: CompletedContents,
    /// Watched contents that were reported as completed.
    reported: HashSet<ContentDigest>,
}

impl QuarantineView {
    /// Revision of the installed list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Installs the control group's list. Returns its contents that were completed here recently, to be reported to the
    /// group.
    pub fn install(&mut self, now: Timestamp, list: &QuarantineList) -> Vec<ContentDigest> {
        self.revision = list.revision;
        let watched = list.contents.iter();
        self.watched = watched.map(|known| (known.content, *known)).collect();
        self.reported.clear();
        let contents = list.contents.iter().map(|known| known.content);
        let completed: Vec<_> = contents
            .filter(|content| self.completed.contains(now, content))
            .collect();
        self.reported.extend(&completed);
        completed
    }

    /// Number of contents in quarantine.
    pub fn quarantined(&self) -> usize {
        let known = self.watched.values();
        known.filter(|known| known.is_quarantined).count()
    }

    /// The record of a content in quarantine; none for other contents.
    pub fn quarantine_of(&self, content: ContentDigest) -> Option<WatchedContent> {
        let known = self.watched.get(&content)?;
        known.is_quarantined.then_some(*known)
    }

    /// Whether a content was running at two or more crashes.
    pub fn is_watched(&self, content: ContentDigest) -> bool {
        self.watched.contains_key(&content)
    }

    /// Records that a content was completed; returns whether to report it to the group.
    pub fn record_completion(&mut self, now: Timestamp, content: ContentDigest) -> bool {
        self.completed.record(now, content);
        self.is_watched(content) && self.reported.insert(content)
    }

    /// Of the contents running at a crash, those that were not completed here recently.
    pub fn suspects(&mut self, now: Timestamp, contents: &[ContentDigest]) -> Vec<ContentDigest> {
        let mut suspects = contents.to_vec();
        suspects.retain(|content| !self.completed.contains(now, content));
        suspects
    }
}
