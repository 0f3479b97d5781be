//! Identifies requests that crash endpoints and distinguishes them from requests that merely ran at the same time.
//!
//! A request can crash every endpoint that runs it, and its caller sends it again under other ids to other
//! daemons. No single daemon sees enough crashes to recognise it, so crashes are counted here across all daemons.
//! Without the count, one such request crashed 32 starts of endpoints; with it, the request is kept from endpoints
//! after the third crash.
//!
//! All contents that ran at an endpoint when it crashed become suspects. A content that succeeds anywhere is cleared,
//! and a crash explained by a quarantined content does not count against others.
//!
//! Daemons must report every crash once, with the contents that ran, and every success of a watched content.
//! Time is log time.

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::{
    ContentReport, QUARANTINE_TIME, QuarantineList, WatchedContent,
};
use bramblewheel_types::{EndpointId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes after which a content is kept from endpoints. Endpoints also crash for other reasons and in groups. A
/// harmless request that is retried is sometimes running during two such crashes (43 of 266 lost requests in one
/// recorded run), but hardly ever during three.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Crashes after which daemons watch a content and report whether it succeeds. One less than for quarantine, so
/// that a success can clear the content before it is quarantined.
const CRASHES_TO_WATCH: usize = 2;
/// Crashes kept per content. More than are needed for quarantine, so that of two contents quarantined together
/// the one with more crashes can be identified as the cause.
const MAX_KEPT_CRASHES: usize = 8;
/// Contents kept at most; each takes 60 bytes plus its crashes. A crash adds up to one content per slot of the
/// endpoint, so the limit covers 40 endpoints of 200 slots that crash together.
const MAX_CONTENTS: usize = 8_192;
/// Contents that daemons watch at most. They take 5 KB of the reply to a watch.
const MAX_WATCHED: usize = 256;

/// Crashes attributed to one content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Starts of endpoints that crashed while running the content.
    #[serde(rename = "ends")]
    crashes: BTreeSet<EndpointId>,
    /// Log time at which the suspect is forgotten or leaves quarantine, in milliseconds since the Unix epoch.
    until_unix_millis: u64,
    is_quarantined: bool,
}

impl Suspect {
    fn add_crash(&mut self, endpoint: &EndpointId, until_unix_millis: u64) {
        self.until_unix_millis = until_unix_millis;
        if self.crashes.len() < MAX_KEPT_CRASHES {
            self.crashes.insert(endpoint.clone());
        }
    }

    fn is_watched(&self) -> bool {
        self.is_quarantined || self.crashes.len() >= CRASHES_TO_WATCH
    }
}

/// Contents that were running at endpoints when they crashed.
///
/// Invariants: a report that is applied twice counts once; a quarantined content was running during the
/// crashes of three starts, and no daemon has reported a success of it since then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    revision: u64,
    suspects: BTreeMap<ContentDigest, Suspect>,
    /// Earliest expiry of any suspect; `u64::MAX` if there are none.
    due_unix_millis: u64,
}

impl Quarantine {
    /// Revision of the list sent to daemons; rises with each change of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Log time at which the next suspect expires, in milliseconds since the Unix epoch; `None` if there
    /// are no suspects.
    pub fn due_unix_millis(&self) -> Option<u64> {
        (!self.suspects.is_empty()).then_some(self.due_unix_millis)
    }

    /// The list of watched contents for daemons, quarantined contents first.
    pub fn list(&self) -> QuarantineList {
        let watched = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_watched());
        let mut contents: Vec<WatchedContent> = watched
            .map(|(content, suspect)| WatchedContent {
                content: *content,
                crashes: u32::try_from(suspect.crashes.len()).unwrap_or(u32::MAX),
                is_quarantined: suspect.is_quarantined,
            })
            .collect();
        contents.sort_by_key(|watched| (!watched.is_quarantined, watched.content));
        contents.truncate(MAX_WATCHED);
        QuarantineList {
            revision: self.revision,
            contents,
        }
    }

    /// Applies a daemon's report.
    pub(in crate::state) fn report(&mut self, now_unix_millis: u64, report: &ContentReport) {
        let before = self.list();
        match report {
            ContentReport::EndpointCrashed { endpoint, contents } => {
                self.record_crash(now_unix_millis, endpoint, contents);
            }
            ContentReport::Succeeded { contents } => {
                for content in contents {
                    self.suspects.remove(content);
                }
            }
        }
        self.update_revision(&before);
    }

    fn record_crash(
        &mut self,
        now_unix_millis: u64,
        endpoint: &EndpointId,
        contents: &[ContentDigest],
    ) {
        let until = now_unix_millis.saturating_add(quarantine_millis());
        let is_quarantined_suspect = |content: &&ContentDigest| {
            let suspect = self.suspects.get(*content);
            suspect.is_some_and(|suspect| suspect.is_quarantined)
        };
        let causes: Vec<ContentDigest> = contents
            .iter()
            .filter(is_quarantined_suspect)
            .copied()
            .collect();
        let blamed = if causes.is_empty() { contents } else { &causes };
        for content in blamed {
            let suspect = self.suspects.entry(*content).or_default();
            suspect.add_crash(endpoint, until);
        }
        if causes.is_empty() {
            self.quarantine_most_crashes(contents);
        }
        self.clear_explained();
        self.forget_above_limit();
    }

    /// Quarantines the contents of a report that have the most crashes, if these are enough for quarantine.
    fn quarantine_most_crashes(&mut self, contents: &[ContentDigest]) {
        let crashes = |content: &ContentDigest| {
            self.suspects
                .get(content)
                .map_or(0, |suspect| suspect.crashes.len())
        };
        let highest = contents.iter().map(crashes).max().unwrap_or(0);
        if highest < CRASHES_TO_QUARANTINE {
            return;
        }
        let causes: Vec<ContentDigest> = contents
            .iter()
            .filter(|c| crashes(c) == highest)
            .copied()
            .collect();
        for content in causes {
            if let Some(suspect) = self.suspects.get_mut(&content) {
                suspect.is_quarantined = true;
            }
        }
    }

    /// Removes crashes explained by a quarantined content from all other suspects. A suspect without crashes
    /// left, or a quarantined one whose crashes are a proper subset of another's, is cleared.
    fn clear_explained(&mut self) {
        let causes = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_quarantined);
        let causes: Vec<(ContentDigest, BTreeSet<EndpointId>)> = causes
            .map(|(content, suspect)| (*content, suspect.crashes.clone()))
            .collect();
        for (cause, explained) in causes {
            self.suspects.retain(|content, suspect| {
                if *content == cause {
                    return true;
                }
                if suspect.is_quarantined {
                    let is_explained = suspect.crashes.is_subset(&explained);
                    return !(is_explained && suspect.crashes.len() < explained.len());
                }
                suspect.crashes.retain(|start| !explained.contains(start));
                !suspect.crashes.is_empty()
            });
        }
    }

    /// Forgets suspects that have expired at a log time, and ends expired quarantines. A content that leaves
    /// quarantine keeps enough crashes that one more quarantines it again.
    pub(in crate::state) fn advance_time(&mut self, now_unix_millis: u64) {
        if self.suspects.is_empty() || now_unix_millis < self.due_unix_millis {
            return;
        }
        let before = self.list();
        self.suspects.retain(|_, suspect| {
            if suspect.until_unix_millis > now_unix_millis {
                return true;
            }
            if !suspect.is_quarantined {
                return false;
            }
            suspect.is_quarantined = false;
            suspect.until_unix_millis = now_unix_millis.saturating_add(quarantine_millis());
            while suspect.crashes.len() >= CRASHES_TO_QUARANTINE {
                suspect.crashes.pop_first();
            }
            true
        });
        self.update_revision(&before);
    }

    /// Forgets suspects above [`MAX_CONTENTS`]: those not in quarantine first, then those with the fewest crashes,
    /// then the oldest.
    fn forget_above_limit(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_CONTENTS);
        if excess == 0 {
            return;
        }
        let mut weakest: Vec<(bool, usize, u64, ContentDigest)> = self
            .suspects
            .iter()
            .map(|(content, suspect)| {
                let crashes = suspect.crashes.len();
                (
                    suspect.is_quarantined,
                    crashes,
                    suspect.until_unix_millis,
                    *content,
                )
            })
            .collect();
        weakest.sort_unstable();
        for (.., content) in weakest.into_iter().take(excess) {
            self.suspects.remove(&content);
        }
    }

    fn update_revision(&mut self, before: &QuarantineList) {
        let due = self
            .suspects
            .values()
            .map(|suspect| suspect.until_unix_millis);
        self.due_unix_millis = due.min().unwrap_or(u64::MAX);
        if self.list().contents != before.contents {
            self.revision += 1;
        }
    }
}

fn quarantine_millis() -> u64 {
    Millis::of(QUARANTINE_TIME).0
}
