//! Contents under which endpoints end, as this daemon knows them, and what ended well here lately.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{QuarantineList, WatchedContent};
use bramblewheel_types::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time for which a good end is remembered at least. A service that a request keeps ending is up for a
/// third of the time, so that whatever is asked for now and then ends well within it.
const MEMORY_OF_GOOD_ENDS: Duration = Duration::from_secs(30);
/// Good ends after which the older ones are forgotten sooner: 16 bytes each, for two generations.
const MAX_GOOD_ENDS: usize = 4_096;

/// Contents that ended well lately, in two generations, so that forgetting costs no search.
#[derive(Debug, Default)]
struct GoodEnds {
    newer: HashSet<ContentDigest>,
    older: HashSet<ContentDigest>,
    begun: Timestamp,
}

impl GoodEnds {
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
        if age < MEMORY_OF_GOOD_ENDS && self.newer.len() < MAX_GOOD_ENDS {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= MEMORY_OF_GOOD_ENDS * 2 {
            self.older.clear();
        }
        self.begun = now;
    }
}

/// What this daemon knows of contents under which endpoints end.
#[derive(Debug, Default)]
pub struct QuarantineView {
    revision: u64,
    watched: HashMap<ContentDigest, WatchedContent>,
    good_ends: GoodEnds,
    /// Watched contents of which it was reported that they ended well.
    reported: HashSet<ContentDigest>,
}

impl QuarantineView {
    /// Revision of the list that is held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the control group's list; returns what of it ended well here lately, which the group is to
    /// be told.
    pub fn install(&mut self, now: Timestamp, list: &QuarantineList) -> Vec<ContentDigest> {
        self.revision = list.revision;
        let watched = list.contents.iter();
        self.watched = watched.map(|known| (known.content, *known)).collect();
        self.reported.clear();
        let contents = list.contents.iter().map(|known| known.content);
        let well: Vec<_> = contents
            .filter(|content| self.good_ends.contains(now, content))
            .collect();
        self.reported.extend(&well);
        well
    }

    /// Contents that are kept from endpoints.
    pub fn quarantined(&self) -> usize {
        let known = self.watched.values();
        known.filter(|known| known.is_quarantined).count()
    }

    /// What is known against a content that is kept from endpoints; none for others.
    pub fn quarantine_of(&self, content: ContentDigest) -> Option<WatchedContent> {
        let known = self.watched.get(&content)?;
        known.is_quarantined.then_some(*known)
    }

    /// Whether several endpoints ended under a content.
    pub fn is_watched(&self, content: ContentDigest) -> bool {
        self.watched.contains_key(&content)
    }

    /// Notes that a content ended well; returns whether the group is to be told.
    pub fn ended_well(&mut self, now: Timestamp, content: ContentDigest) -> bool {
        self.good_ends.record(now, content);
        self.is_watched(content) && self.reported.insert(content)
    }

    /// Of what ran at an endpoint that ended, that which has not ended well here lately.
    pub fn suspects(&mut self, now: Timestamp, contents: &[ContentDigest]) -> Vec<ContentDigest> {
        let mut suspects = contents.to_vec();
        suspects.retain(|content| !self.good_ends.contains(now, content));
        suspects
    }
}
