//! Bundles of the size to design for: every service with its policy and routes.

use super::deployment::{FULL_SERVICES, service_name};
use bramblewheel_bundle::{
    Bundle, OperatorKey, OperatorPolicy, RoutePolicy, ServicePolicy, canonical, defaults, digest,
};
use bramblewheel_protocol::control::{BundleSignature, SignedBundle};
use bramblewheel_types::{BundleVersion, Criticality, Millis};
use std::collections::BTreeMap;

/// Routes of each service. An assumption; with it a bundle has about 400 kB.
const ROUTES_PER_SERVICE: usize = 10;
/// Secret of the bench's own operator. It signs nothing outside the bench.
const OPERATOR_SECRET: [u8; 32] = [7; 32];
/// Name of the bench's operator.
const OPERATOR: &str = "bench";

/// Makes the versions of a bundle; each changes the policy of one service.
#[derive(Debug)]
pub struct BundleSource {
    key: OperatorKey,
    bundle: Bundle,
}

impl BundleSource {
    /// Begins with version 1.
    pub fn new() -> Self {
        let key = OperatorKey::from_secret(OPERATOR, &OPERATOR_SECRET)
            .expect("the operator's name follows the rules");
        let operators = OperatorPolicy {
            required_signatures: 1,
            keys: BTreeMap::from([(OPERATOR.to_owned(), key.public_key())]),
        };
        let services = (0..FULL_SERVICES).map(|n| (service_name(n), policy()));
        let bundle = Bundle {
            version: BundleVersion(1),
            deployment: "scale".to_owned(),
            operators,
            limits: defaults::LIMITS,
            services: services.collect(),
        };
        Self { key, bundle }
    }

    /// The current version, signed.
    pub fn signed(&self) -> SignedBundle {
        let bytes = canonical::encode(&self.bundle);
        let digest = digest::digest(&bytes);
        SignedBundle {
            version: self.bundle.version,
            digest,
            bytes,
            signatures: vec![BundleSignature {
                operator: OPERATOR.to_owned(),
                signature: self.key.sign(digest).to_vec(),
            }],
            expected_parent: None,
        }
    }

    /// Goes on to the next version, in which one service's deadline differs, and signs it.
    pub fn next(&mut self) -> SignedBundle {
        self.bundle.version.0 += 1;
        let version = self.bundle.version.0;
        let changed = usize::try_from(version).unwrap_or(0) % FULL_SERVICES;
        let policy = self.bundle.services.get_mut(&service_name(changed));
        if let Some(policy) = policy {
            policy.deadline = Millis(defaults::DEADLINE.0 + version % 1_000);
        }
        self.signed()
    }
}

impl Default for BundleSource {
    fn default() -> Self {
        Self::new()
    }
}

fn policy() -> ServicePolicy {
    ServicePolicy {
        criticality: Criticality::Normal,
        deadline: defaults::DEADLINE,
        admission: defaults::ADMISSION,
        routing: defaults::ROUTING,
        routes: (0..ROUTES_PER_SERVICE).map(route).collect(),
    }
}

fn route(number: usize) -> RoutePolicy {
    RoutePolicy {
        prefix: format!("/v1/resource-{number}"),
        criticality: Some(Criticality::Critical),
        deadline: Some(defaults::DEADLINE),
        repeatable: number != 0,
    }
}
