//! The bundle in force, the digests of earlier accepted bundles, and the rules by which a new bundle is
//! accepted.

use super::BundleHistory;
use bramblewheel_bundle::{Bundle, verify};
use bramblewheel_protocol::control::{LogPosition, PublishReply, SignedBundle};
use bramblewheel_types::{BundleDigest, BundleVersion};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Accepted versions kept, so that a resent publish gets the same reply as the first one. Covers 27
/// days at 4,800 changes a day and takes 8 MB.
pub const MAX_ACCEPTED_VERSIONS: usize = 131_072;

/// Compact record of an accepted version: digest, index and term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Accepted(ByteArray<32>, u64, u64);

impl Accepted {
    fn new(digest: BundleDigest, position: LogPosition) -> Self {
        Self(ByteArray::new(digest.0), position.index, position.term)
    }

    fn digest(&self) -> BundleDigest {
        BundleDigest(self.0.into_array())
    }

    fn position(&self) -> LogPosition {
        LogPosition {
            index: self.1,
            term: self.2,
        }
    }
}

/// Bundles accepted by the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundles {
    current: Option<SignedBundle>,
    accepted: BTreeMap<BundleVersion, Accepted>,
    history: BundleHistory,
    /// `current`, decoded.
    #[serde(skip)]
    in_force: Option<Arc<Bundle>>,
}

impl Bundles {
    /// Reply to a publish, if no later entry can change it. Every replica that has applied the log
    /// up to this position gives the same reply.
    pub fn final_reply(&self, signed: &SignedBundle) -> Option<PublishReply> {
        let version = signed.version;
        if let Some(accepted) = self.accepted.get(&version) {
            let position = accepted.position();
            let winner = accepted.digest();
            return Some(if winner == signed.digest {
                PublishReply::Accepted { position }
            } else {
                PublishReply::Conflict { winner }
            });
        }
        let current = self.version();
        if self.current.is_some() && version <= current {
            return Some(PublishReply::Outdated { current });
        }
        None
    }

    /// Accepts or refuses a bundle.
    pub fn publish(&mut self, signed: SignedBundle, position: LogPosition) -> PublishReply {
        if let Some(reply) = self.final_reply(&signed) {
            return reply;
        }
        match self.check(&signed) {
            Ok(bundle) => {
                self.accept(signed, bundle, position);
                PublishReply::Accepted { position }
            }
            Err(refusal) => refusal,
        }
    }

    fn check(&self, signed: &SignedBundle) -> Result<Bundle, PublishReply> {
        let decoded = Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version);
        let bundle = decoded.map_err(|error| PublishReply::Invalid(error.to_string()))?;
        let digest = self.current.as_ref().map(|current| current.digest);
        if signed.expected_parent.is_some() && signed.expected_parent != digest {
            return Err(PublishReply::ParentMismatch {
                current: self.version(),
                digest,
            });
        }
        // The first bundle is signed by the operators that it names.
        let signers = self.in_force.as_deref().unwrap_or(&bundle);
        let signatures = signed.signatures.iter();
        let signatures = signatures.map(|s| (s.operator.as_str(), s.signature.as_slice()));
        verify(&signers.operators, signed.digest, signatures)
            .map_err(|error| PublishReply::BadSignatures(error.to_string()))?;
        Ok(bundle)
    }

    fn accept(&mut self, signed: SignedBundle, bundle: Bundle, position: LogPosition) {
        if let Some(before) = &self.in_force {
            self.history.record(before, &bundle, &signed);
        }
        let accepted = Accepted::new(signed.digest, position);
        self.accepted.insert(signed.version, accepted);
        while self.accepted.len() > MAX_ACCEPTED_VERSIONS {
            self.accepted.pop_first();
        }
        self.current = Some(signed);
        self.in_force = Some(Arc::new(bundle));
    }

    /// The bundle in force, if it is newer than `version`.
    pub fn newer_than(&self, version: BundleVersion) -> Option<&SignedBundle> {
        self.current
            .as_ref()
            .filter(|current| current.version > version)
    }

    /// Deltas and operator changes that bring daemons from older bundles to the one in force.
    pub fn history(&self) -> &BundleHistory {
        &self.history
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&Arc<Bundle>> {
        self.in_force.as_ref()
    }

    /// The bundle in force with its signatures.
    pub fn current(&self) -> Option<&SignedBundle> {
        self.current.as_ref()
    }

    /// Version of the bundle in force; 0 if there is none.
    pub fn version(&self) -> BundleVersion {
        self.current.as_ref().map(|b| b.version).unwrap_or_default()
    }

    /// Decodes the bundle in force after the state was deserialized.
    pub(super) fn restore_derived(&mut self) -> Result<(), String> {
        let decode = |signed: &SignedBundle| {
            Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version)
        };
        let decoded = self.current.as_ref().map(decode).transpose();
        self.in_force = decoded.map_err(|error| error.to_string())?.map(Arc::new);
        Ok(())
    }
}
