//! History that brings daemons from older bundles to the one in force: deltas between the latest
//! versions, and every change of the operators since the first bundle.

use bramblewheel_bundle::digest::rest_digest;
use bramblewheel_bundle::sections::split;
use bramblewheel_bundle::{Bundle, Delta};
use bramblewheel_protocol::control::{OperatorChange, SignedBundle};
use bramblewheel_types::BundleVersion;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::Excluded;

/// Deltas kept: 77 minutes at 4,800 changes a day. A daemon that is further behind gets the whole
/// bundle.
pub const MAX_DELTAS: usize = 256;
/// Limit on the total size of the deltas kept, in bytes. Deltas larger than the bundle itself save nothing, and
/// most bundles are smaller than this.
pub const MAX_DELTA_BYTES: usize = 1024 * 1024;
/// Operator changes in one reply at most. Even with the largest changes (64 keys and 64 signatures,
/// 17 KB), a reply that also holds a bundle fits in one frame.
pub const MAX_CHANGES_PER_REPLY: usize = 64;

/// A delta and the version it starts from. It leads to the version that the next step starts from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    from: BundleVersion,
    length: usize,
    delta: Delta,
}

/// Deltas and operator changes that bring daemons from older bundles to the one in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHistory {
    steps: VecDeque<Step>,
    /// Kept forever, so that a daemon can catch up after any absence. Each entry takes some hundred
    /// bytes, and operators change rarely.
    operator_changes: BTreeMap<BundleVersion, OperatorChange>,
}

impl BundleHistory {
    /// Records the step from `before` to `after`.
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

    /// A single delta from `version` to the version in force; `None` if no delta from `version` is
    /// kept.
    pub fn delta_from(&self, version: BundleVersion) -> Option<Delta> {
        let start = self
            .steps
            .binary_search_by_key(&version, |step| step.from)
            .ok()?;
        let deltas = self.steps.range(start..).map(|step| step.delta.clone());
        deltas.reduce(Delta::then)
    }

    /// Operator changes between two versions, both exclusive, oldest first, and whether these are
    /// all. Returns at most [`MAX_CHANGES_PER_REPLY`].
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

/// Drops signatures by anyone but the previous operators, since they are not valid for the change.
fn operator_change(before: &Bundle, signed: &SignedBundle) -> OperatorChange {
    let (head, rest) = split(&signed.bytes);
    let is_operator = |operator: &str| before.operators.keys.contains_key(operator);
    let signatures = signed.signatures.iter();
    OperatorChange {
        head: head.to_vec(),
        rest_digest: rest_digest(rest),
        signatures: signatures
            .filter(|s| is_operator(&s.operator))
            .cloned()
            .collect(),
    }
}
