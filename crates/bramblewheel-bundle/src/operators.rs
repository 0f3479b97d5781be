//! Operators whose signatures are accepted: those of the bundle in force, or of a later bundle that is
//! reached through a chain of signed operator changes.
//!
//! A daemon that was offline while the operators' keys changed several times does not have the keys
//! that signed the latest bundle. It applies the changes one by one: each is the head of a bundle,
//! signed by the previous operators.

use crate::canonical::DecodeError;
use crate::digest::digest_of_sections;
use crate::model::{Bundle, OperatorPolicy};
use crate::sections::decode_head;
use crate::signature::{SignatureError, verify};
use bramblewheel_types::{BundleDigest, BundleVersion};
use thiserror::Error;

/// A later bundle or a change of the operators is not authorized.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AuthorizationError {
    /// The version is not above that of the bundle whose operators are trusted.
    #[error("version {offered} is not above version {trusted}")]
    NotNewer {
        /// Version offered.
        offered: BundleVersion,
        /// Version of the bundle whose operators are trusted.
        trusted: BundleVersion,
    },
    /// Signatures of the trusted operators are invalid or missing.
    #[error("version {version}: {error}")]
    Unsigned {
        /// Version offered.
        version: BundleVersion,
        /// Result of the verification.
        error: SignatureError,
    },
    /// A change of the operators is not a valid head of a bundle.
    #[error("change of the operators: {0}")]
    Malformed(#[from] DecodeError),
}

/// Operators whose signatures are accepted for bundles above a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrustedOperators {
    version: BundleVersion,
    policy: OperatorPolicy,
}

impl TrustedOperators {
    /// Trusts the operators that `bundle` names.
    pub fn of(bundle: &Bundle) -> Self {
        Self {
            version: bundle.version,
            policy: bundle.operators.clone(),
        }
    }

    /// Version of the bundle that names the operators.
    pub fn version(&self) -> BundleVersion {
        self.version
    }

    /// Checks that the trusted operators signed the bundle with this version and digest.
    ///
    /// # Errors
    /// [`AuthorizationError::NotNewer`] or [`AuthorizationError::Unsigned`].
    pub fn authorize<'a>(
        &self,
        version: BundleVersion,
        digest: BundleDigest,
        signatures: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> Result<(), AuthorizationError> {
        if version <= self.version {
            return Err(AuthorizationError::NotNewer {
                offered: version,
                trusted: self.version,
            });
        }
        verify(&self.policy, digest, signatures)
            .map_err(|error| AuthorizationError::Unsigned { version, error })
    }

    /// Applies a change of the operators: afterwards those named in `head` are trusted.
    ///
    /// # Errors
    /// [`AuthorizationError`] when `head` is not the head of a newer bundle that the currently trusted
    /// operators signed; the trusted operators are then unchanged.
    pub fn apply_change<'a>(
        &mut self,
        head: &[u8],
        rest_digest: [u8; 32],
        signatures: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> Result<(), AuthorizationError> {
        let digest = digest_of_sections(head, rest_digest);
        let head = decode_head(head)?;
        self.authorize(head.version, digest, signatures)?;
        self.version = head.version;
        self.policy = head.operators;
        Ok(())
    }
}
