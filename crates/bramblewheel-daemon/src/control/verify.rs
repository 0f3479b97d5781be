//! Checks of a bundle that a replica sent, before it is written or used.

use bramblewheel_bundle::{Bundle, DecodeError, SignatureError, verify};
use bramblewheel_protocol::control::SignedBundle;
use bramblewheel_types::BundleVersion;
use thiserror::Error;

/// A bundle is refused.
#[derive(Debug, Error)]
pub enum RefusedBundle {
    /// The bytes are not the bundle that the version and digest name.
    #[error("version {version}: {error}")]
    Damaged {
        /// Version stated.
        version: BundleVersion,
        /// What is wrong.
        error: DecodeError,
    },
    /// The version is not above the one in force.
    #[error("version {offered} is not above version {current} in force")]
    NotNewer {
        /// Version offered.
        offered: BundleVersion,
        /// Version in force.
        current: BundleVersion,
    },
    /// The operators of the bundle in force did not sign it.
    #[error("version {version}: {error}")]
    Unsigned {
        /// Version offered.
        version: BundleVersion,
        /// What is missing.
        error: SignatureError,
    },
}

/// Checks an offered bundle against the one in force.
///
/// The very first bundle is taken as the replicas hold it: there are no operator keys yet to hold
/// it against.
///
/// # Errors
/// [`RefusedBundle`] for the first check that fails.
pub fn check_offer(
    offered: &SignedBundle,
    in_force: Option<&Bundle>,
) -> Result<Bundle, RefusedBundle> {
    let version = offered.version;
    if let Some(current) = in_force.map(|bundle| bundle.version)
        && version <= current
    {
        return Err(RefusedBundle::NotNewer {
            offered: version,
            current,
        });
    }
    let bundle = decode(offered)?;
    if let Some(current) = in_force {
        let signatures = offered.signatures.iter();
        let signatures = signatures.map(|s| (s.operator.as_str(), s.signature.as_slice()));
        verify(&current.operators, offered.digest, signatures)
            .map_err(|error| RefusedBundle::Unsigned { version, error })?;
    }
    Ok(bundle)
}

/// Decodes a bundle whose bytes must match its version and digest.
///
/// # Errors
/// [`RefusedBundle::Damaged`] when they don't.
pub fn decode(signed: &SignedBundle) -> Result<Bundle, RefusedBundle> {
    let version = signed.version;
    Bundle::from_signed_bytes(&signed.bytes, signed.digest, version)
        .map_err(|error| RefusedBundle::Damaged { version, error })
}
