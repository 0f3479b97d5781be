//! Small valid bundles with distinct content, published by simulated operators.

use bramblewheel_bundle::{
    Bundle, OperatorKey, OperatorPolicy, ServicePolicy, canonical, defaults, digest,
};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use bramblewheel_types::{BundleVersion, Criticality, Millis, ServiceName};
use std::collections::BTreeMap;

/// The one service of the simulated deployment.
pub(super) const SERVICE: &str = "kassa";
/// Number of signatures that a bundle needs, and of keys in one generation.
const SIGNERS: u32 = 2;
/// Number of earlier key generations that also sign a bundle, so that it stays valid after as many failed key
/// rotations in a row.
const EARLIER_GENERATIONS: u64 = 8;

/// Parameters that determine the content of a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BundlePlan {
    pub(super) version: u64,
    /// Distinguishes the content from that of other bundles with the same version.
    pub(super) variant: u64,
    /// Generation of the operators' keys that the bundle lists.
    pub(super) generation: u64,
}

/// Name of the service.
pub(super) fn service() -> ServiceName {
    ServiceName::new(SERVICE).expect("the name is valid")
}

/// A bundle signed with the keys of its generation and of earlier ones.
pub(super) fn signed_bundle(plan: BundlePlan) -> SignedBundle {
    let bytes = canonical::encode(&bundle(plan));
    let digest = digest(&bytes);
    let oldest = plan.generation.saturating_sub(EARLIER_GENERATIONS);
    let keys = (oldest..=plan.generation).flat_map(keys);
    let signatures = keys.map(|key| BundleSignature {
        operator: key.name().to_owned(),
        signature: key.sign(digest).to_vec(),
    });
    SignedBundle {
        version: BundleVersion(plan.version),
        digest,
        bytes,
        signatures: signatures.collect(),
        expected_parent: None,
    }
}

fn bundle(plan: BundlePlan) -> Bundle {
    let keys = keys(plan.generation);
    let entries = keys.map(|key| (key.name().to_owned(), key.public_key()));
    let policy = ServicePolicy {
        criticality: Criticality::Normal,
        deadline: Millis(1_000 + plan.variant),
        admission: defaults::ADMISSION,
        routing: defaults::ROUTING,
        routes: Vec::new(),
    };
    Bundle {
        version: BundleVersion(plan.version),
        deployment: "simulated".to_owned(),
        operators: OperatorPolicy {
            required_signatures: SIGNERS,
            keys: entries.collect(),
        },
        limits: defaults::LIMITS,
        services: BTreeMap::from([(service(), policy)]),
    }
}

fn keys(generation: u64) -> impl Iterator<Item = OperatorKey> {
    (0..u64::from(SIGNERS)).map(move |signer| {
        let mut secret = [0; 32];
        secret[..8].copy_from_slice(&generation.to_le_bytes());
        secret[8..16].copy_from_slice(&(signer + 1).to_le_bytes());
        let name = format!("operator-{generation}-{signer}");
        OperatorKey::from_secret(&name, &secret).expect("the name is valid")
    })
}
