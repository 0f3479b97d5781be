//! Bundles accepted: the rule of acceptance, and the bundle in force.
//!
//! Owns the bundle in force and the digests of those before it. Relies on the bundle crate for decoding
//! and signatures.

use super::BundleHistory;
use bramblewheel_bundle::{Bundle, verify};
use bramblewheel_protocol::control::{LogPosition, PublishReply, SignedBundle};
use bramblewheel_types::{BundleDigest, BundleVersion};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Accepted versions remembered, so that a resend gets its first answer: 27 days at the 4,800
/// changes a day of `CONTRIBUTING.md`, in 8 MB.
pub const MAX_REMEMBERED: usize = 131_072;

/// An accepted version in few bytes: digest, index and term.
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
    /// Answer to a publish as far as no later entry can change it: it is the same at every replica
    /// that has applied this much of the log.
    pub fn settled(&self, signed: &SignedBundle) -> Option<PublishReply> {
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
        if let Some(reply) = self.settled(&signed) {
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
        // The very first bundle is signed by its own operators.
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
        while self.accepted.len() > MAX_REMEMBERED {
            self.accepted.pop_first();
        }
        self.current = Some(signed);
        self.in_force = Some(Arc::new(bundle));
    }

    /// The bundle in force, if it is newer than `held`.
    pub fn newer_than(&self, held: BundleVersion) -> Option<&SignedBundle> {
        self.current
            .as_ref()
            .filter(|current| current.version > held)
    }

    /// What leads daemons from older bundles to the one in force.
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

    /// Version in force, 0 if none.
    pub fn version(&self) -> BundleVersion {
        self.current.as_ref().map(|b| b.version).unwrap_or_default()
    }

    /// Decodes the bundle in force after the rest was read back.
    pub(super) fn restore(&mut self) -> Result<(), String> {
        let decode = |signed: &SignedBundle| {
            Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version)
        };
        let decoded = self.current.as_ref().map(decode).transpose();
        self.in_force = decoded.map_err(|error| error.to_string())?.map(Arc::new);
        Ok(())
    }
}
