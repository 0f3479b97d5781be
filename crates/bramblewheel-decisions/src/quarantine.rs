//! Quarantine: which contents are kept from endpoints, since endpoints crashed while they ran them.
//!
//! Rule: a content that the control group has put in quarantine is refused. Of what ran at a crash here, everything
//! is suspected but what was completed at this daemon's endpoint lately; a watched content that is completed is
//! reported to the group, which clears it.
//!
//! Inputs: the control group's list of watched contents (two crashes and more) with those in quarantine (three), as
//! old as the last update; which contents were completed here within the last 30 to 60 s.
//!
//! Reason: one request may crash every endpoint that begins to run it, and its callers send it again at any daemon.
//! What many endpoints have completed is not the cause; without that check the quarantine failed its promises
//! in 20 of 20 runs on virtual time (`docs/design/17-crashing-requests.md`).
//!
//! Owns the list and the memory of completed contents at this daemon. The control group counts crashes and decides
//! what is in quarantine, and for how long.
//!
//! Seen in: metrics `bramblewheel_quarantined` (requests refused) and `bramblewheel_quarantined_contents`; log lines
//! `quarantined` (`content`, `ends`), `quarantine in force` (`watched`, `quarantined`) and `content ended well`.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{QuarantineList, WatchedContent};
use bramblewheel_types::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time for which a completion is remembered at least. A service that a request keeps crashing is up for a
/// third of the time, so that whatever is asked for now and then is completed within it. Chosen, not measured.
const COMPLETION_MEMORY: Duration = Duration::from_secs(30);
/// Completions after which the older ones are forgotten sooner: 16 bytes each, for two generations. Chosen, not
/// measured.
const MAX_COMPLETIONS: usize = 4_096;

/// Contents that were completed lately, in two generations, so that forgetting costs no search.
#[derive(Debug, Default)]
struct CompletedContents {
    newer: HashSet<ContentDigest>,
    older: HashSet<ContentDigest>,
    begun: Timestamp,
}

impl CompletedContents {
    fn record(&mut self, now: Timestamp, content: ContentDigest) {
        self.forget(now);
        self.newer.insert(content);
    }

    fn contains(&mut self, now: Timestamp, content: &ContentDigest) -> bool {
        self.forget(now);
        self.newer.contains(content) || self.older.contains(content)
    }

    fn forget(&mut self, now: Timestamp) {
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

/// What this daemon knows of contents under which endpoints crash.
#[derive(Debug, Default)]
pub struct QuarantineView {
    revision: u64,
    watched: HashMap<ContentDigest, WatchedContent>,
    completed: CompletedContents,
    /// Watched contents that were reported as completed.
    reported: HashSet<ContentDigest>,
}

impl QuarantineView {
    /// Revision of the list that is held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the control group's list; returns what of it was completed here lately, which is to be reported to
    /// the group.
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

    /// How many contents are kept from endpoints.
    pub fn quarantined(&self) -> usize {
        let known = self.watched.values();
        known.filter(|known| known.is_quarantined).count()
    }

    /// What is known against a content that is kept from endpoints; none for others.
    pub fn quarantine_of(&self, content: ContentDigest) -> Option<WatchedContent> {
        let known = self.watched.get(&content)?;
        known.is_quarantined.then_some(*known)
    }

    /// Whether a content ran at two crashes or more.
    pub fn is_watched(&self, content: ContentDigest) -> bool {
        self.watched.contains_key(&content)
    }

    /// Records that a content was completed; returns whether that is to be reported to the group.
    pub fn ended_well(&mut self, now: Timestamp, content: ContentDigest) -> bool {
        self.completed.record(now, content);
        self.is_watched(content) && self.reported.insert(content)
    }

    /// Of what ran at an endpoint that crashed, that which was not completed here lately.
    pub fn suspects(&mut self, now: Timestamp, contents: &[ContentDigest]) -> Vec<ContentDigest> {
        let mut suspects = contents.to_vec();
        suspects.retain(|content| !self.completed.contains(now, content));
        suspects
    }
}
