//! Checks of a bundle that a replica sent, before it is written or used.

use bramblewheel_bundle::{Bundle, DecodeError, Delta, DeltaError, ForwardError, TrustedOperators};
use bramblewheel_protocol::control::{
    BundleSignature, OperatorChange, SignedBundle, SignedBundleDelta,
};
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
    /// The delta does not lead from the bundle in force to the one that the digest names.
    #[error("version {version}: {error}")]
    Delta {
        /// Version stated.
        version: BundleVersion,
        /// What is wrong.
        error: DeltaError,
    },
    /// The delta starts from a bundle that is not in force.
    #[error("delta from version {from}, which is not in force")]
    OtherStart {
        /// Version the delta starts from.
        from: BundleVersion,
    },
    /// It is not newer, or the operators trusted did not sign it.
    #[error(transparent)]
    Unauthorized(#[from] ForwardError),
}

/// A bundle that passed every check, in both its forms.
#[derive(Debug)]
pub struct NewBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// Its bytes and signatures, to be stored.
    pub signed: SignedBundle,
}

/// Follows changes of the operators, all or none.
///
/// # Errors
/// [`RefusedBundle::Unauthorized`] for the first that is not authorized by the ones before it.
pub fn follow(
    operators: &mut TrustedOperators,
    changes: &[OperatorChange],
) -> Result<(), RefusedBundle> {
    let mut followed = operators.clone();
    for change in changes {
        let signatures = pairs(&change.signatures);
        followed.follow(&change.head, change.rest_digest, signatures)?;
    }
    *operators = followed;
    Ok(())
}

/// Checks a whole bundle.
///
/// The very first bundle is taken as the replicas hold it: there are no operator keys yet to hold
/// it against.
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

/// Decodes a bundle whose bytes must match its version and digest.
///
/// # Errors
/// [`RefusedBundle::Damaged`] when they don't.
pub fn decode(signed: &SignedBundle) -> Result<Bundle, RefusedBundle> {
    let version = signed.version;
    Bundle::from_signed_bytes(&signed.bytes, signed.digest, version)
        .map_err(|error| RefusedBundle::Damaged { version, error })
}
