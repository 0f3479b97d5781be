//! Canonical bytes: one bundle has exactly one encoding, so that a digest names a meaning.

use crate::check::check;
use crate::digest::digest;
use crate::error::InvalidBundle;
use crate::model::Bundle;
use crate::sections;
use bramblewheel_types::{BundleDigest, BundleVersion};
use thiserror::Error;

/// Longest bundle accepted, in bytes; it must fit a control frame with its signatures.
pub const MAX_BUNDLE_LENGTH: usize = 2 * 1024 * 1024;

/// Bytes are not an acceptable bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are over [`MAX_BUNDLE_LENGTH`].
    #[error("bundle of {0} bytes is over the limit of {MAX_BUNDLE_LENGTH}")]
    TooLong(usize),
    /// The bytes don't begin with the marker of a format known here.
    #[error("not a bundle of a known format")]
    UnknownFormat,
    /// The bytes after the marker are not a bundle or its head.
    #[error("malformed bundle: {0}")]
    Malformed(String),
    /// The bytes hold a bundle, but not in its one canonical encoding.
    #[error("the bytes are not the bundle's canonical encoding")]
    NotCanonical,
    /// The bundle breaks a rule.
    #[error("invalid bundle: {0}")]
    Invalid(#[from] InvalidBundle),
    /// The digest stated is not the digest of the bytes.
    #[error("digest stated {stated}, digest of the bytes {actual}")]
    DigestMismatch {
        /// Digest stated beside the bytes.
        stated: BundleDigest,
        /// Digest of the bytes.
        actual: BundleDigest,
    },
    /// The version stated is not the version in the bytes.
    #[error("version stated {stated}, version in the bytes {actual}")]
    VersionMismatch {
        /// Version stated beside the bytes.
        stated: BundleVersion,
        /// Version in the bytes.
        actual: BundleVersion,
    },
}

/// Encodes a bundle: the format marker, then head and rest (see [`crate::sections`]) as CBOR with
/// keys in declaration order and maps sorted by key.
pub fn encode(bundle: &Bundle) -> Vec<u8> {
    sections::encode(bundle)
}

/// Decodes a bundle; only its canonical encoding is accepted, and every rule is checked again.
///
/// # Errors
/// [`DecodeError`] saying what is wrong with the bytes.
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
    /// Decodes a bundle that arrived with its version and digest beside it.
    ///
    /// Signatures are not looked at: see [`crate::verify`].
    ///
    /// # Errors
    /// [`DecodeError`] when the digest or version differ or the bytes are not acceptable.
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
