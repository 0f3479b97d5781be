//! Canonical encoding: every bundle has exactly one encoding, so that equal bundles have equal digests.

use crate::check::check;
use crate::digest::digest;
use crate::error::InvalidBundle;
use crate::model::Bundle;
use crate::sections;
use bramblewheel_types::{BundleDigest, BundleVersion};
use thiserror::Error;

/// Maximum length of a bundle in bytes; bundle and signatures must fit in one control frame.
pub const MAX_BUNDLE_LENGTH: usize = 2 * 1024 * 1024;

/// Bytes are not a valid bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are over [`MAX_BUNDLE_LENGTH`].
    #[error("bundle of {0} bytes is over the limit of {MAX_BUNDLE_LENGTH}")]
    TooLong(usize),
    /// The bytes don't begin with the marker of a supported format.
    #[error("not a bundle of a known format")]
    UnknownFormat,
    /// The bytes after the marker are not a bundle or a head.
    #[error("malformed bundle: {0}")]
    Malformed(String),
    /// The bytes are an encoding of a bundle, but not the canonical one.
    #[error("the bytes are not the bundle's canonical encoding")]
    NotCanonical,
    /// The bundle violates a rule.
    #[error("invalid bundle: {0}")]
    Invalid(#[from] InvalidBundle),
    /// The stated digest is not that of the bytes.
    #[error("digest stated {stated}, digest of the bytes {actual}")]
    DigestMismatch {
        /// Digest sent with the bytes.
        stated: BundleDigest,
        /// Digest of the bytes.
        actual: BundleDigest,
    },
    /// The stated version is not that in the bytes.
    #[error("version stated {stated}, version in the bytes {actual}")]
    VersionMismatch {
        /// Version sent with the bytes.
        stated: BundleVersion,
        /// Version in the bytes.
        actual: BundleVersion,
    },
}

/// Encodes a bundle: format marker, then head and rest (see [`crate::sections`]) as CBOR, with struct
/// fields in declaration order and maps sorted by key.
pub fn encode(bundle: &Bundle) -> Vec<u8> {
    sections::encode(bundle)
}

/// Decodes and validates a bundle; only its canonical encoding is accepted.
///
/// # Errors
/// [`DecodeError`] with the reason.
pub fn decode(bytes: &[u8]) -> Result<Bundle, DecodeError> {
    if bytes.len() > MAX_BUNDLE_LENGTH {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    let bundle = sections::decode(bytes)?;
    if encode(&bundle) != bytes {
        return Err(DecodeError::NotCanonical);
    }
    check(&bundle)?;
    Ok(bundle)
}

impl Bundle {
    /// Decodes a bundle that was received with its version and digest.
    ///
    /// Does not verify signatures: see [`crate::verify`].
    ///
    /// # Errors
    /// [`DecodeError`] when the digest or version differs or the bytes are not a valid bundle.
    pub fn from_signed_bytes(
        bytes: &[u8],
        stated_digest: BundleDigest,
        stated_version: BundleVersion,
    ) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_BUNDLE_LENGTH {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let actual = digest(bytes);
        if actual != stated_digest {
            let stated = stated_digest;
            return Err(DecodeError::DigestMismatch { stated, actual });
        }
        let bundle = decode(bytes)?;
        if bundle.version != stated_version {
            return Err(DecodeError::VersionMismatch {
                stated: stated_version,
                actual: bundle.version,
            });
        }
        Ok(bundle)
    }
}
