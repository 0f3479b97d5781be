//! Requests under which endpoints end, told apart from those that only ran beside them.
//!
//! A request can end every endpoint that runs it, and comes again under other ids at other daemons. No daemon
//! sees enough of that: the ends are counted here, over all of them. One such request ended 32 starts of
//! endpoints before it was counted; with the count, it is kept from endpoints after the third.
//!
//! All that ran at an endpoint when it ended is suspect. What ended well anywhere is not; and an end that a
//! content in quarantine explains is blamed on nothing else.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{
    ContentReport, QUARANTINE_TIME, QuarantineList, WatchedContent,
};
use bramblewheel_types::{EndpointId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ends after which a content is kept from endpoints. Endpoints also end by themselves and in groups, and a
/// request that is sent on is beside two such ends now and then (43 of 266 lost requests in one record), but
/// hardly ever beside three.
const ENDS_TO_QUARANTINE: usize = 3;
/// Ends from which on daemons are told of a content: they know whether it ended well lately.
const ENDS_TO_WATCH: usize = 2;
/// Ends of one content that are kept: more than in quarantine, so that of two contents which reached it
/// together the one that more ends follow can be told.
const MAX_KEPT_ENDS: usize = 8;
/// Contents that are kept, of 60 bytes and their ends each. An end brings as many as an endpoint has slots;
/// the bound holds those of 40 endpoints of 200 slots that end together.
const MAX_CONTENTS: usize = 8_192;
/// Contents that daemons are told of: 5 KB.
const MAX_WATCHED: usize = 256;

/// What is known against one content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Starts of endpoints that ended while they ran it.
    ends: BTreeSet<EndpointId>,
    /// Log time at which it is forgotten, or leaves the quarantine; in milliseconds since the Unix epoch.
    until_unix_millis: u64,
    is_quarantined: bool,
}

impl Suspect {
    fn note_end(&mut self, endpoint: &EndpointId, until_unix_millis: u64) {
        self.until_unix_millis = until_unix_millis;
        if self.ends.len() < MAX_KEPT_ENDS {
            self.ends.insert(endpoint.clone());
        }
    }

    fn is_watched(&self) -> bool {
        self.is_quarantined || self.ends.len() >= ENDS_TO_WATCH
    }
}

/// Contents that ran at endpoints which ended.
///
/// Invariants: a report that is applied twice counts once; a content in quarantine was at three ends of
/// different starts, and no daemon has reported since then that it ended well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    revision: u64,
    suspects: BTreeMap<ContentDigest, Suspect>,
    /// Earliest of the suspects' times; `u64::MAX` without any.
    due_unix_millis: u64,
}

impl Quarantine {
    /// Rises with each change of what daemons are told.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Log time at which something is to be forgotten, in milliseconds since the Unix epoch; none without
    /// anything to forget.
    pub fn due_unix_millis(&self) -> Option<u64> {
        (!self.suspects.is_empty()).then_some(self.due_unix_millis)
    }

    /// What daemons are told: contents in quarantine first.
    pub fn list(&self) -> QuarantineList {
        let watched = self.suspects.iter().filter(|(_, known)| known.is_watched());
        let mut contents: Vec<WatchedContent> = watched
            .map(|(content, known)| WatchedContent {
                content: *content,
                ends: u32::try_from(known.ends.len()).unwrap_or(u32::MAX),
                is_quarantined: known.is_quarantined,
            })
            .collect();
        contents.sort_by_key(|watched| (!watched.is_quarantined, watched.content));
        contents.truncate(MAX_WATCHED);
        QuarantineList {
            revision: self.revision,
            contents,
        }
    }

    /// Takes what a daemon reports.
    pub(in crate::state) fn report(&mut self, now_unix_millis: u64, report: &ContentReport) {
        let before = self.list();
        match report {
            ContentReport::EndpointCrashed { endpoint, contents } => {
                self.endpoint_ended(now_unix_millis, endpoint, contents);
            }
            ContentReport::EndedWell { contents } => {
                for content in contents {
                    self.suspects.remove(content);
                }
            }
        }
        self.note_change(&before);
    }

    fn endpoint_ended(
        &mut self,
        now_unix_millis: u64,
        endpoint: &EndpointId,
        contents: &[ContentDigest],
    ) {
        let until = now_unix_millis.saturating_add(quarantine_millis());
        let is_known_cause = |content: &&ContentDigest| {
            let known = self.suspects.get(*content);
            known.is_some_and(|known| known.is_quarantined)
        };
        let causes: Vec<ContentDigest> = contents.iter().filter(is_known_cause).copied().collect();
        let blamed = if causes.is_empty() { contents } else { &causes };
        for content in blamed {
            let suspect = self.suspects.entry(*content).or_default();
            suspect.note_end(endpoint, until);
        }
        if causes.is_empty() {
            self.quarantine_most_ends(contents);
        }
        self.release_explained();
        self.forget_beyond_bound();
    }

    /// Puts the contents of a report into quarantine that have enough ends, and no fewer than the others.
    fn quarantine_most_ends(&mut self, contents: &[ContentDigest]) {
        let ends = |content: &ContentDigest| {
            self.suspects
                .get(content)
                .map_or(0, |known| known.ends.len())
        };
        let most = contents.iter().map(ends).max().unwrap_or(0);
        if most < ENDS_TO_QUARANTINE {
            return;
        }
        let causes: Vec<ContentDigest> = contents
            .iter()
            .filter(|c| ends(c) == most)
            .copied()
            .collect();
        for content in causes {
            if let Some(suspect) = self.suspects.get_mut(&content) {
                suspect.is_quarantined = true;
            }
        }
    }

    /// Takes back from others the ends that a content in quarantine explains. One whose ends are all
    /// explained by a content that has more of them is not suspect any more.
    fn release_explained(&mut self) {
        let causes = self
            .suspects
            .iter()
            .filter(|(_, known)| known.is_quarantined);
        let causes: Vec<(ContentDigest, BTreeSet<EndpointId>)> = causes
            .map(|(content, known)| (*content, known.ends.clone()))
            .collect();
        for (cause, explained) in causes {
            self.suspects.retain(|content, known| {
                if *content == cause {
                    return true;
                }
                if known.is_quarantined {
                    let is_explained = known.ends.is_subset(&explained);
                    return !(is_explained && known.ends.len() < explained.len());
                }
                known.ends.retain(|end| !explained.contains(end));
                !known.ends.is_empty()
            });
        }
    }

    /// Forgets what has been kept for long enough at a log time. A content that leaves the quarantine is back
    /// in it after one more end.
    pub(in crate::state) fn advance_time(&mut self, now_unix_millis: u64) {
        if self.suspects.is_empty() || now_unix_millis < self.due_unix_millis {
            return;
        }
        let before = self.list();
        self.suspects.retain(|_, known| {
            if known.until_unix_millis > now_unix_millis {
                return true;
            }
            if !known.is_quarantined {
                return false;
            }
            known.is_quarantined = false;
            known.until_unix_millis = now_unix_millis.saturating_add(quarantine_millis());
            while known.ends.len() >= ENDS_TO_QUARANTINE {
                known.ends.pop_first();
            }
            true
        });
        self.note_change(&before);
    }

    /// Those against which least is known go first, of these the oldest.
    fn forget_beyond_bound(&mut self) {
        let beyond = self.suspects.len().saturating_sub(MAX_CONTENTS);
        if beyond == 0 {
            return;
        }
        let mut weakest: Vec<(bool, usize, u64, ContentDigest)> = self
            .suspects
            .iter()
            .map(|(content, known)| {
                let ends = known.ends.len();
                (
                    known.is_quarantined,
                    ends,
                    known.until_unix_millis,
                    *content,
                )
            })
            .collect();
        weakest.sort_unstable();
        for (.., content) in weakest.into_iter().take(beyond) {
            self.suspects.remove(&content);
        }
    }

    fn note_change(&mut self, before: &QuarantineList) {
        let due = self.suspects.values().map(|known| known.until_unix_millis);
        self.due_unix_millis = due.min().unwrap_or(u64::MAX);
        if self.list().contents != before.contents {
            self.revision += 1;
        }
    }
}

fn quarantine_millis() -> u64 {
    Millis::of(QUARANTINE_TIME).0
}
