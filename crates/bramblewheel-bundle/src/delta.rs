//! Difference between a bundle and a newer one: complete policies of changed services, names of removed
//! services, and the other parts where they differ.

use crate::canonical::{self, DecodeError, MAX_BUNDLE_LENGTH};
use crate::model::{Bundle, OperatorPolicy, RequestLimits, ServicePolicy};
use bramblewheel_types::{BundleDigest, BundleVersion, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A delta can't be decoded or does not produce the stated bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The bytes are over [`MAX_BUNDLE_LENGTH`].
    #[error("delta of {0} bytes is over the limit of {MAX_BUNDLE_LENGTH}")]
    TooLong(usize),
    /// The bytes are not a delta.
    #[error("malformed delta: {0}")]
    Malformed(String),
    /// The resulting bundle is not the stated one, or is invalid.
    #[error("the delta does not produce the stated bundle: {0}")]
    WrongTarget(#[from] DecodeError),
}

/// Difference between a bundle and a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    version: BundleVersion,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    deployment: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    operators: Option<OperatorPolicy>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    limits: Option<RequestLimits>,
    /// Services that are new or changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    services: BTreeMap<ServiceName, ServicePolicy>,
    /// Services removed before `services` are inserted; unknown names are ignored.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    removed: BTreeSet<ServiceName>,
}

impl Delta {
    /// Computes the delta from `older` to `newer`.
    pub fn between(older: &Bundle, newer: &Bundle) -> Self {
        let changed = newer
            .services
            .iter()
            .filter(|(name, policy)| older.services.get(*name) != Some(policy));
        let removed = older
            .services
            .keys()
            .filter(|name| !newer.services.contains_key(*name));
        Self {
            version: newer.version,
            deployment: changed_value(&older.deployment, &newer.deployment),
            operators: changed_value(&older.operators, &newer.operators),
            limits: changed_value(&older.limits, &newer.limits),
            services: changed
                .map(|(name, policy)| (name.clone(), policy.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Combines this delta with a `later` one that starts from this one's result.
    #[must_use]
    pub fn then(mut self, later: Self) -> Self {
        for name in &later.removed {
            self.services.remove(name);
        }
        self.services.extend(later.services);
        self.removed.extend(later.removed);
        Self {
            version: later.version,
            deployment: later.deployment.or(self.deployment),
            operators: later.operators.or(self.operators),
            limits: later.limits.or(self.limits),
            services: self.services,
            removed: self.removed,
        }
    }

    /// Encodes the delta as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .expect("writes to a vector succeed and CBOR can represent every type of the model");
        bytes
    }

    /// Decodes a delta.
    ///
    /// # Errors
    /// [`DeltaError`] when the bytes are too long or not a delta.
    pub fn decode(bytes: &[u8]) -> Result<Self, DeltaError> {
        if bytes.len() > MAX_BUNDLE_LENGTH {
            return Err(DeltaError::TooLong(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(|error| DeltaError::Malformed(error.to_string()))
    }

    /// Applies the delta to the bundle that it starts from; returns the newer one and its canonical encoding.
    ///
    /// # Errors
    /// [`DeltaError::WrongTarget`] unless the result is a valid bundle with the stated version and
    /// digest.
    pub fn apply(
        self,
        older: &Bundle,
        stated_digest: BundleDigest,
        stated_version: BundleVersion,
    ) -> Result<(Bundle, Vec<u8>), DeltaError> {
        let bytes = canonical::encode(&self.apply_unchecked(older));
        let bundle = Bundle::from_signed_bytes(&bytes, stated_digest, stated_version)?;
        Ok((bundle, bytes))
    }

    fn apply_unchecked(self, older: &Bundle) -> Bundle {
        let mut services = older.services.clone();
        for name in &self.removed {
            services.remove(name);
        }
        services.extend(self.services);
        Bundle {
            version: self.version,
            deployment: self.deployment.unwrap_or_else(|| older.deployment.clone()),
            operators: self.operators.unwrap_or_else(|| older.operators.clone()),
            limits: self.limits.unwrap_or_else(|| older.limits.clone()),
            services,
        }
    }
}

fn changed_value<T: Clone + PartialEq>(older: &T, newer: &T) -> Option<T> {
    (older != newer).then(|| newer.clone())
}
