//! No two bundles of one version are accepted or in force anywhere.

use super::{Evidence, Line, Promise, Violation};
use crate::control::record::{BundleName, ControlRecord, PublishAnswer};
use bramblewheel_types::{BundleDigest, BundleVersion};
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut first: BTreeMap<BundleVersion, (BundleDigest, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        let Some(bundle) = held_valid(&line) else {
            continue;
        };
        let known = first
            .entry(bundle.version)
            .or_insert((bundle.digest, line.index));
        if known.0 != bundle.digest {
            violations.push(Violation {
                promise: Promise::OneDigestPerVersion,
                message: format!(
                    "version {} is {} and also {}",
                    bundle.version, known.0, bundle.digest
                ),
                evidence: vec![known.1, line.index],
            });
        }
    }
    violations
}

/// The bundle that a line shows to be the one of its version.
fn held_valid(line: &Line<'_>) -> Option<BundleName> {
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
