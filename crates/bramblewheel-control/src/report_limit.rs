//! Limits how often events of the same kind are reported.

use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Least time between two reports of one kind.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Kinds reported within one interval at most; events of further kinds are left out.
const MAX_KINDS: usize = 64;

/// When events of each kind were reported last.
#[derive(Debug)]
pub(crate) struct ReportLimit<K> {
    kinds: BTreeMap<K, Reported>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Timestamp,
    left_out: u64,
}

impl<K> Default for ReportLimit<K> {
    fn default() -> Self {
        Self {
            kinds: BTreeMap::new(),
        }
    }
}

impl<K: Ord> ReportLimit<K> {
    /// Decides whether an event is reported. Returns how many of its kind were left out since the last
    /// report, or `None` if this one is left out too.
    pub(crate) fn admit(&mut self, kind: K, now: Timestamp) -> Option<u64> {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.retain(|_, reported| reported.is_recent(now));
            if self.kinds.len() >= MAX_KINDS {
                return None;
            }
        }
        let new = Reported {
            at: now,
            left_out: 0,
        };
        let Some(reported) = self.kinds.get_mut(&kind) else {
            self.kinds.insert(kind, new);
            return Some(0);
        };
        if reported.is_recent(now) {
            reported.left_out += 1;
            return None;
        }
        Some(std::mem::replace(reported, new).left_out)
    }
}

impl Reported {
    fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.at) < REPORT_INTERVAL
    }
}
