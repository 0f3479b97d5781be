//! What leads daemons from older bundles to the one in force: deltas between the last versions,
//! and every change of the operators since the first bundle.

use bramblewheel_bundle::digest::rest_digest;
use bramblewheel_bundle::sections::split;
use bramblewheel_bundle::{Bundle, Delta};
use bramblewheel_protocol::control::{OperatorChange, SignedBundle};
use bramblewheel_types::BundleVersion;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::Excluded;

/// Deltas kept: 77 minutes at the 4,800 changes a day of `CONTRIBUTING.md`. A daemon that is
/// further behind gets the bundle whole.
pub const MAX_DELTAS: usize = 256;
/// Longest sum of the deltas kept, in bytes; longer than most bundles it saves nothing. Chosen, not measured.
pub const MAX_DELTA_BYTES: usize = 1024 * 1024;
/// Changes of the operators in one reply. With the longest ones, 64 keys and as many signatures in
/// 17 KB, a reply with a bundle still fits a frame.
pub const MAX_CHANGES_PER_REPLY: usize = 64;

/// A delta and the version it starts from; it ends where the next one starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    from: BundleVersion,
    length: usize,
    delta: Delta,
}

/// What leads daemons from older bundles to the one in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHistory {
    steps: VecDeque<Step>,
    /// Never forgotten, so that a daemon gets through however long it was away: each is some
    /// hundred bytes, and operators change rarely.
    operator_changes: BTreeMap<BundleVersion, OperatorChange>,
}

impl BundleHistory {
    /// Notes that `after` follows `before`.
    pub fn record(&mut self, before: &Bundle, after: &Bundle, signed: &SignedBundle) {
        if before.operators != after.operators {
            let change = operator_change(before, signed);
            self.operator_changes.insert(after.version, change);
        }
        let delta = Delta::between(before, after);
        self.steps.push_back(Step {
            from: before.version,
            length: delta.encode().len(),
            delta,
        });
        while self.steps.len() > MAX_DELTAS || self.delta_bytes() > MAX_DELTA_BYTES {
            self.steps.pop_front();
        }
    }

    fn delta_bytes(&self) -> usize {
        self.steps.iter().map(|step| step.length).sum()
    }

    /// One delta from a version to the one in force; none if that version is not kept.
    pub fn delta_from(&self, version: BundleVersion) -> Option<Delta> {
        let start = self
            .steps
            .binary_search_by_key(&version, |step| step.from)
            .ok()?;
        let deltas = self.steps.range(start..).map(|step| step.delta.clone());
        deltas.reduce(Delta::then)
    }

    /// Changes of the operators between two versions, both left out, oldest first; at most
    /// [`MAX_CHANGES_PER_REPLY`], and whether these are all.
    pub fn operator_changes(
        &self,
        after: BundleVersion,
        before: BundleVersion,
    ) -> (Vec<OperatorChange>, bool) {
        if after >= before {
            return (Vec::new(), true);
        }
        let mut changes = self
            .operator_changes
            .range((Excluded(after), Excluded(before)))
            .map(|(_, change)| change);
        let first = changes.by_ref().take(MAX_CHANGES_PER_REPLY);
        (first.cloned().collect(), changes.next().is_none())
    }
}

/// Signatures by others than the operators before count for nothing and are left out.
fn operator_change(before: &Bundle, signed: &SignedBundle) -> OperatorChange {
    let (head, rest) = split(&signed.bytes);
    let counts = |operator: &str| before.operators.keys.contains_key(operator);
    let signatures = signed.signatures.iter();
    OperatorChange {
        head: head.to_vec(),
        rest_digest: rest_digest(rest),
        signatures: signatures
            .filter(|s| counts(&s.operator))
            .cloned()
            .collect(),
    }
}
