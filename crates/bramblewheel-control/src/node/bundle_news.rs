//! News of the bundle for polls: deltas where possible, computed once for all daemons that hold the
//! same version.

use crate::state::Bundles;
use bramblewheel_protocol::control::{
    BundleUpdate, OperatorChange, PollRequest, SignedBundle, SignedBundleDelta,
};
use bramblewheel_types::BundleVersion;
use std::collections::BTreeMap;

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BundleNewsCounts {
    pub(super) deltas_computed: u64,
    pub(super) deltas_sent: u64,
    pub(super) whole_sent: u64,
}

/// News of the bundle, with the deltas to the version in force computed so far.
#[derive(Debug, Default)]
pub(super) struct BundleNewsCache {
    target: BundleVersion,
    /// By the version they start from; none where the whole bundle is shorter.
    deltas: BTreeMap<BundleVersion, Option<SignedBundleDelta>>,
    pub(super) counts: BundleNewsCounts,
}

impl BundleNewsCache {
    /// Changes of the operators and news of the bundle for a daemon.
    pub(super) fn news(
        &mut self,
        bundles: &Bundles,
        poll: &PollRequest,
    ) -> (Vec<OperatorChange>, Option<BundleUpdate>) {
        let Some(current) = bundles.newer_than(poll.bundle_version) else {
            return (Vec::new(), None);
        };
        if poll.bundle_version == BundleVersion::default() {
            return (Vec::new(), Some(self.whole(current)));
        }
        let history = bundles.history();
        let trusted = poll.operators_version.max(poll.bundle_version);
        let (changes, are_all) = history.operator_changes(trusted, current.version);
        if !are_all {
            return (changes, None);
        }
        let delta = match poll.whole_bundle {
            false => self.delta(bundles, current, poll.bundle_version),
            true => None,
        };
        (changes, Some(delta.unwrap_or_else(|| self.whole(current))))
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
            // What is not kept is found missing at once; only what is kept takes room here.
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
