//! Signed bundles as published by operators and as sent to daemons, whole or as a delta.
//!
//! The bundle crate defines the canonical bytes and what a signature covers.

use super::LogPosition;
use bramblewheel_types::{BundleDigest, BundleVersion};
use serde::{Deserialize, Serialize};

/// A bundle with its detached signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Version, as in the bytes.
    pub version: BundleVersion,
    /// Digest of `bytes`.
    pub digest: BundleDigest,
    /// Canonical bytes of the bundle.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Signatures over the digest.
    pub signatures: Vec<BundleSignature>,
    /// Digest of the bundle that this one is meant to replace, if the operator states it.
    pub expected_parent: Option<BundleDigest>,
}

/// One operator's signature over a bundle's digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleSignature {
    /// Name of the operator in the bundle in force.
    pub operator: String,
    /// Ed25519 signature, 64 bytes.
    #[serde(with = "serde_bytes")]
    pub signature: Vec<u8>,
}

/// A newer bundle for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleUpdate {
    /// The whole bundle.
    Whole(SignedBundle),
    /// The difference from the bundle that the daemon holds.
    Delta(SignedBundleDelta),
}

/// The difference from one bundle to a newer one, with the newer one's signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundleDelta {
    /// Version that the delta applies to.
    pub from: BundleVersion,
    /// Version of the newer bundle.
    pub version: BundleVersion,
    /// Digest of the newer bundle.
    pub digest: BundleDigest,
    /// Encoded delta.
    #[serde(with = "serde_bytes")]
    pub delta: Vec<u8>,
    /// Signatures over the digest.
    pub signatures: Vec<BundleSignature>,
}

/// A bundle that changed the operators who may sign the next one, without its limits and services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorChange {
    /// First section of the bundle's canonical bytes: version, deployment and operators.
    #[serde(with = "serde_bytes")]
    pub head: Vec<u8>,
    /// SHA-256 of the rest of the canonical bytes; the bundle's digest follows from `head` and this.
    pub rest_digest: [u8; 32],
    /// Signatures over the digest by the operators in force before the change.
    pub signatures: Vec<BundleSignature>,
}

/// Answer to a publish. Only `Accepted` means that the bundle is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishReply {
    /// Committed by this request or by an earlier send of the same version and digest.
    Accepted {
        /// Log position of the entry with the bundle.
        position: LogPosition,
    },
    /// Another bundle has this version.
    Conflict {
        /// Digest of the bundle that has the version.
        winner: BundleDigest,
    },
    /// The version is not above the one in force.
    Outdated {
        /// Version in force.
        current: BundleVersion,
    },
    /// The stated parent is not the bundle in force.
    ParentMismatch {
        /// Version in force.
        current: BundleVersion,
        /// Digest in force.
        digest: Option<BundleDigest>,
    },
    /// Signatures are missing, wrong, or by unknown keys; the text names them.
    BadSignatures(String),
    /// The bytes are not a valid bundle, for the reason in the text.
    Invalid(String),
}
