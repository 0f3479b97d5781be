//! Requests that crash endpoints, as distinct from those that only ran beside them.
//!
//! A request can crash every endpoint that runs it, and comes again under other ids at other daemons. No daemon
//! sees enough of that: the crashes are counted here, over all of them. One such request crashed 32 starts of
//! endpoints before crashes were counted; with the count, it is kept from endpoints after the third.
//!
//! All that ran at an endpoint when it crashed is suspect. What succeeded anywhere is not; and a crash that a
//! content in quarantine explains counts against nothing else.
//!
//! Owns the suspects, as part of the replicated state. Relies on daemons to report every crash once with what
//! ran, and every success of a watched content; time is the log's.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{
    ContentReport, QUARANTINE_TIME, QuarantineList, WatchedContent,
};
use bramblewheel_types::{EndpointId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes after which a content is kept from endpoints. Endpoints also crash by themselves and in groups, and
/// a request that is retried is beside two such crashes now and then (43 of 266 lost requests in one record),
/// but hardly ever beside three.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Crashes from which on daemons watch a content, to report whether it succeeds: one less than for a
/// quarantine, so that a success is known before it. Chosen, not measured.
const CRASHES_TO_WATCH: usize = 2;
/// Crashes kept of one content: more than lead to a quarantine, so that of two contents which reached it
/// together the one with more crashes is recognised. Chosen, not measured.
const MAX_KEPT_CRASHES: usize = 8;
/// Contents kept, of 60 bytes and their crashes each. A crash brings as many as an endpoint has slots;
/// the bound holds those of 40 endpoints of 200 slots that crash together.
const MAX_CONTENTS: usize = 8_192;
/// Contents that daemons watch at most: 5 KB of the reply to a watch. Chosen, not measured.
const MAX_WATCHED: usize = 256;

/// What is known against one content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Starts of endpoints that crashed while they ran it.
    #[serde(rename = "ends")]
    crashes: BTreeSet<EndpointId>,
    /// Log time at which it is forgotten, or leaves the quarantine; in milliseconds since the Unix epoch.
    until_unix_millis: u64,
    is_quarantined: bool,
}

impl Suspect {
    fn note_crash(&mut self, endpoint: &EndpointId, until_unix_millis: u64) {
        self.until_unix_millis = until_unix_millis;
        if self.crashes.len() < MAX_KEPT_CRASHES {
            self.crashes.insert(endpoint.clone());
        }
    }

    fn is_watched(&self) -> bool {
        self.is_quarantined || self.crashes.len() >= CRASHES_TO_WATCH
    }
}

/// Contents that ran at endpoints which crashed.
///
/// Invariants: a report that is applied twice counts once; a content in quarantine ran at crashes of
/// three starts, and no daemon has reported since then that it succeeded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    revision: u64,
    suspects: BTreeMap<ContentDigest, Suspect>,
    /// Earliest of the suspects' times; `u64::MAX` without any.
    due_unix_millis: u64,
}

impl Quarantine {
    /// Rises with each change of the list that daemons hold.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Log time at which something is to be forgotten, in milliseconds since the Unix epoch; none without
    /// anything to forget.
    pub fn due_unix_millis(&self) -> Option<u64> {
        (!self.suspects.is_empty()).then_some(self.due_unix_millis)
    }

    /// The list that daemons hold: contents in quarantine first.
    pub fn list(&self) -> QuarantineList {
        let watched = self.suspects.iter().filter(|(_, known)| known.is_watched());
        let mut contents: Vec<WatchedContent> = watched
            .map(|(content, known)| WatchedContent {
                content: *content,
                crashes: u32::try_from(known.crashes.len()).unwrap_or(u32::MAX),
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

    /// Takes a daemon's report.
    pub(in crate::state) fn report(&mut self, now_unix_millis: u64, report: &ContentReport) {
        let before = self.list();
        match report {
            ContentReport::EndpointCrashed { endpoint, contents } => {
                self.endpoint_crashed(now_unix_millis, endpoint, contents);
            }
            ContentReport::Succeeded { contents } => {
                for content in contents {
                    self.suspects.remove(content);
                }
            }
        }
        self.note_change(&before);
    }

    fn endpoint_crashed(
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
            suspect.note_crash(endpoint, until);
        }
        if causes.is_empty() {
            self.quarantine_most_crashes(contents);
        }
        self.release_explained();
        self.forget_beyond_bound();
    }

    /// Quarantines the contents of a report that have enough crashes, and no fewer than the others.
    fn quarantine_most_crashes(&mut self, contents: &[ContentDigest]) {
        let crashes = |content: &ContentDigest| {
            self.suspects
                .get(content)
                .map_or(0, |known| known.crashes.len())
        };
        let most = contents.iter().map(crashes).max().unwrap_or(0);
        if most < CRASHES_TO_QUARANTINE {
            return;
        }
        let causes: Vec<ContentDigest> = contents
            .iter()
            .filter(|c| crashes(c) == most)
            .copied()
            .collect();
        for content in causes {
            if let Some(suspect) = self.suspects.get_mut(&content) {
                suspect.is_quarantined = true;
            }
        }
    }

    /// Removes from others the crashes that a content in quarantine explains. One whose crashes are all
    /// explained by a content that has more of them is not suspect any more.
    fn release_explained(&mut self) {
        let causes = self
            .suspects
            .iter()
            .filter(|(_, known)| known.is_quarantined);
        let causes: Vec<(ContentDigest, BTreeSet<EndpointId>)> = causes
            .map(|(content, known)| (*content, known.crashes.clone()))
            .collect();
        for (cause, explained) in causes {
            self.suspects.retain(|content, known| {
                if *content == cause {
                    return true;
                }
                if known.is_quarantined {
                    let is_explained = known.crashes.is_subset(&explained);
                    return !(is_explained && known.crashes.len() < explained.len());
                }
                known.crashes.retain(|start| !explained.contains(start));
                !known.crashes.is_empty()
            });
        }
    }

    /// Forgets what has been kept for long enough at a log time. A content that leaves the quarantine is back
    /// in it after one more crash.
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
            while known.crashes.len() >= CRASHES_TO_QUARANTINE {
                known.crashes.pop_first();
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
                let crashes = known.crashes.len();
                (
                    known.is_quarantined,
                    crashes,
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
