//! Bundle updates for polls. They are deltas where possible, computed once from the bundle history for all
//! daemons that hold the same version.

use crate::state::Bundles;
use bramblewheel_protocol::control::{
    BundleUpdate, OperatorChange, PollRequest, SignedBundle, SignedBundleDelta,
};
use bramblewheel_types::BundleVersion;
use std::collections::BTreeMap;

/// Bundle update for one poll.
#[derive(Debug, Default)]
pub(super) struct PollUpdate {
    /// Operator changes since the version whose operators the daemon trusts, oldest first.
    pub(super) operator_changes: Vec<OperatorChange>,
    /// The bundle in force; `None` if the daemon has it or needs further operator changes first.
    pub(super) bundle: Option<BundleUpdate>,
}

/// Counters for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BundleUpdateCounts {
    pub(super) deltas_computed: u64,
    pub(super) deltas_sent: u64,
    pub(super) whole_sent: u64,
}

/// Cache of the deltas to the version in force.
#[derive(Debug, Default)]
pub(super) struct BundleUpdateCache {
    target: BundleVersion,
    /// Deltas by the version they start from; `None` where the whole bundle is shorter.
    deltas: BTreeMap<BundleVersion, Option<SignedBundleDelta>>,
    pub(super) counts: BundleUpdateCounts,
}

impl BundleUpdateCache {
    /// Bundle update for a daemon's poll.
    pub(super) fn update_for(&mut self, bundles: &Bundles, poll: &PollRequest) -> PollUpdate {
        let Some(current) = bundles.newer_than(poll.bundle_version) else {
            return PollUpdate::default();
        };
        if poll.bundle_version == BundleVersion::default() {
            return PollUpdate {
                operator_changes: Vec::new(),
                bundle: Some(self.whole(current)),
            };
        }
        let history = bundles.history();
        let trusted = poll.operators_version.max(poll.bundle_version);
        let (operator_changes, is_complete) = history.operator_changes(trusted, current.version);
        if !is_complete {
            return PollUpdate {
                operator_changes,
                bundle: None,
            };
        }
        let delta = match poll.whole_bundle {
            false => self.delta(bundles, current, poll.bundle_version),
            true => None,
        };
        PollUpdate {
            operator_changes,
            bundle: Some(delta.unwrap_or_else(|| self.whole(current))),
        }
    }

    fn whole(&mut self, current: &SignedBundle) -> BundleUpdate {
        self.counts.whole_sent += 1;
        BundleUpdate::Whole(current.clone())
    }

    fn delta(
        &mut self,
        bundles: &Bundles,
        current: &SignedBundle,
        from: BundleVersion,
    ) -> Option<BundleUpdate> {
        if self.target != current.version {
            self.target = current.version;
            self.deltas.clear();
        }
        if !self.deltas.contains_key(&from) {
            // Versions that the history no longer covers are not cached, so they take no memory.
            let delta = bundles.history().delta_from(from)?.encode();
            self.counts.deltas_computed += 1;
            let is_shorter = delta.len() < current.bytes.len();
            let signed = is_shorter.then(|| signed_delta(current, from, delta));
            self.deltas.insert(from, signed);
        }
        let delta = self.deltas[&from].clone()?;
        self.counts.deltas_sent += 1;
        Some(BundleUpdate::Delta(delta))
    }
}

fn signed_delta(current: &SignedBundle, from: BundleVersion, delta: Vec<u8>) -> SignedBundleDelta {
    SignedBundleDelta {
        from,
        version: current.version,
        digest: current.digest,
        delta,
        signatures: current.signatures.clone(),
    }
}
