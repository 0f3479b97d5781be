//! Checks that all bundles of one version that are accepted or in force have the same digest.

use super::{Evidence, Line, Promise, Violation};
use crate::control::record::{BundleName, ControlRecord, PublishAnswer};
use bramblewheel_types::{BundleDigest, BundleVersion};
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut first: BTreeMap<BundleVersion, (BundleDigest, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        let Some(bundle) = accepted_bundle(&line) else {
            continue;
        };
        let first_seen = first
            .entry(bundle.version)
            .or_insert((bundle.digest, line.index));
        if first_seen.0 != bundle.digest {
            violations.push(Violation {
                promise: Promise::OneDigestPerVersion,
                message: format!(
                    "version {} is {} and also {}",
                    bundle.version, first_seen.0, bundle.digest
                ),
                evidence: vec![first_seen.1, line.index],
            });
        }
    }
    violations
}

/// The bundle that a record shows as accepted or in force, if any.
fn accepted_bundle(line: &Line<'_>) -> Option<BundleName> {
    match line.record {
        ControlRecord::PublishAnswered {
            bundle,
            answer: PublishAnswer::Accepted,
            ..
        }
        | ControlRecord::ReplicaInForce { bundle, .. }
        | ControlRecord::DaemonInForce { bundle }
        | ControlRecord::DaemonOpened {
            bundle: Some(bundle),
        } => Some(*bundle),
        ControlRecord::PublishAnswered {
            bundle,
            answer: PublishAnswer::Conflict(winner),
            ..
        } => Some(BundleName {
            version: bundle.version,
            digest: *winner,
        }),
        _ => None,
    }
}
