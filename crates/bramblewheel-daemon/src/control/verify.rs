//! Verification of bundles sent by a control replica, before they are saved or used.

use bramblewheel_bundle::{
    AuthorizationError, Bundle, DecodeError, Delta, DeltaError, TrustedOperators,
};
use bramblewheel_protocol::control::{
    BundleSignature, OperatorChange, SignedBundle, SignedBundleDelta,
};
use bramblewheel_types::BundleVersion;
use thiserror::Error;

/// Reason why a bundle was refused.
#[derive(Debug, Error)]
pub enum RefusedBundle {
    /// The bytes do not match the stated version and digest.
    #[error("version {version}: {error}")]
    Damaged {
        /// Stated version.
        version: BundleVersion,
        /// The decoding error.
        error: DecodeError,
    },
    /// The delta applied to the bundle in force does not yield the bundle with the stated digest.
    #[error("version {version}: {error}")]
    Delta {
        /// Stated version.
        version: BundleVersion,
        /// The delta error.
        error: DeltaError,
    },
    /// The delta is based on a bundle that is not in force.
    #[error("delta from version {from}, which is not in force")]
    OtherStart {
        /// Version that the delta is based on.
        from: BundleVersion,
    },
    /// The bundle is not newer, or the trusted operators did not sign it.
    #[error(transparent)]
    Unauthorized(#[from] AuthorizationError),
}

/// A verified bundle, decoded and in its signed form.
#[derive(Debug)]
pub struct NewBundle {
    /// The decoded bundle.
    pub bundle: Bundle,
    /// Bytes and signatures, to be saved.
    pub signed: SignedBundle,
}

/// Applies all changes of the operators, or none.
///
/// # Errors
/// [`RefusedBundle::Unauthorized`] for the first change that the preceding operators did not
/// authorize.
pub fn apply_operator_changes(
    operators: &mut TrustedOperators,
    changes: &[OperatorChange],
) -> Result<(), RefusedBundle> {
    let mut followed = operators.clone();
    for change in changes {
        let signatures = pairs(&change.signatures);
        followed.apply_change(&change.head, change.rest_digest, signatures)?;
    }
    *operators = followed;
    Ok(())
}

/// Checks a whole bundle.
///
/// The first bundle is trusted as sent by the replicas, since there are no operator keys yet to
/// verify it.
///
/// # Errors
/// [`RefusedBundle`] for the first check that fails.
pub fn check_whole(
    offered: &SignedBundle,
    operators: Option<&TrustedOperators>,
) -> Result<NewBundle, RefusedBundle> {
    if let Some(operators) = operators {
        operators.authorize(offered.version, offered.digest, pairs(&offered.signatures))?;
    }
    Ok(NewBundle {
        bundle: decode(offered)?,
        signed: offered.clone(),
    })
}

/// Checks a delta and applies it to the bundle in force.
///
/// # Errors
/// [`RefusedBundle`] for the first check that fails.
pub fn check_delta(
    offered: &SignedBundleDelta,
    in_force: Option<&Bundle>,
    operators: Option<&TrustedOperators>,
) -> Result<NewBundle, RefusedBundle> {
    let SignedBundleDelta {
        from,
        version,
        digest,
        ..
    } = *offered;
    let at_start = in_force.filter(|bundle| bundle.version == from);
    let (in_force, operators) = at_start
        .zip(operators)
        .ok_or(RefusedBundle::OtherStart { from })?;
    operators.authorize(version, digest, pairs(&offered.signatures))?;
    let reached = Delta::decode(&offered.delta)
        .and_then(|delta| delta.apply(in_force, digest, version))
        .map_err(|error| RefusedBundle::Delta { version, error });
    let (bundle, bytes) = reached?;
    let signed = SignedBundle {
        version,
        digest,
        bytes,
        signatures: offered.signatures.clone(),
        expected_parent: None,
    };
    Ok(NewBundle { bundle, signed })
}

fn pairs(signatures: &[BundleSignature]) -> impl Iterator<Item = (&str, &[u8])> {
    signatures
        .iter()
        .map(|s| (s.operator.as_str(), s.signature.as_slice()))
}

/// Decodes a bundle.
///
/// # Errors
/// [`RefusedBundle::Damaged`] when the bytes do not match the stated version and digest.
pub fn decode(signed: &SignedBundle) -> Result<Bundle, RefusedBundle> {
    let version = signed.version;
    Bundle::from_signed_bytes(&signed.bytes, signed.digest, version)
        .map_err(|error| RefusedBundle::Damaged { version, error })
}
