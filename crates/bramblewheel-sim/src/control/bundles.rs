//! Bundles that simulated operators publish: small, valid, each with content of its own.

use bramblewheel_bundle::{
    Bundle, OperatorKey, OperatorPolicy, ServicePolicy, canonical, defaults, digest,
};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use bramblewheel_types::{BundleVersion, Criticality, Millis, ServiceName};
use std::collections::BTreeMap;

/// The one service of the simulated deployment.
pub(super) const SERVICE: &str = "kassa";
/// Operators whose signatures a bundle needs, and how many keys there are in one generation.
const SIGNERS: u32 = 2;
/// Generations of keys that sign a bundle beside its own: as many rotations may fail in a row.
const EARLIER_GENERATIONS: u64 = 8;

/// What tells one bundle from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BundlePlan {
    pub(super) version: u64,
    /// Makes the content differ from that of others of the same version.
    pub(super) variant: u64,
    /// Generation of the operators' keys that the bundle lists.
    pub(super) generation: u64,
}

/// The service as a name.
pub(super) fn service() -> ServiceName {
    ServiceName::new(SERVICE).expect("a valid name")
}

/// A bundle, signed by the keys of its generation and of those before it.
pub(super) fn signed(plan: BundlePlan) -> SignedBundle {
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
        OperatorKey::from_secret(&name, &secret).expect("a valid name")
    })
}
