//! Ed25519 signatures over a bundle's digest, and the rule of N different operators out of M.

use crate::model::{OperatorPolicy, OperatorPublicKey};
use bramblewheel_types::BundleDigest;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use std::collections::BTreeSet;
use thiserror::Error;

/// Most signatures looked at; more are refused unseen.
pub const MAX_SIGNATURES: usize = 128;
/// Length of a signature, in bytes.
pub const SIGNATURE_LENGTH: usize = ed25519_dalek::SIGNATURE_LENGTH;

/// Keeps a signature over a bundle from being valid for anything else.
const DOMAIN: &[u8] = b"bramblewheel bundle signature v1\0";

/// The signatures don't authorize the bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SignatureError {
    /// An operator in the policy has a signature that does not hold.
    #[error("wrong signature by operator {}", operators.join(", "))]
    Wrong {
        /// Names of the operators.
        operators: Vec<String>,
    },
    /// Too few different operators of the policy signed.
    #[error("{valid} of {required} required signatures{}", unknown_note(unknown))]
    TooFew {
        /// Different operators with a valid signature.
        valid: usize,
        /// Signatures required.
        required: u32,
        /// Names that the policy does not list.
        unknown: Vec<String>,
    },
    /// More signatures than are ever needed.
    #[error("more than {MAX_SIGNATURES} signatures")]
    TooMany,
}

fn unknown_note(unknown: &[String]) -> String {
    if unknown.is_empty() {
        return String::new();
    }
    format!("; unknown operator {}", unknown.join(", "))
}

fn message(digest: BundleDigest) -> Vec<u8> {
    [DOMAIN, &digest.0].concat()
}

/// Signs a digest with an operator's secret key.
pub fn sign(key: &SigningKey, digest: BundleDigest) -> [u8; SIGNATURE_LENGTH] {
    key.sign(&message(digest)).to_bytes()
}

/// Checks that enough different operators of `policy` signed `digest`.
///
/// `signatures` are pairs of an operator's name and the signature's bytes. A signature by a name
/// the policy does not list counts for nothing and does no harm: a bundle that admits a new
/// operator may bear that operator's signature too. A listed operator's signature that does not
/// hold is refused even when enough others do, since something was altered on the way.
///
/// # Errors
/// [`SignatureError`] naming the operators concerned.
pub fn verify<'a>(
    policy: &OperatorPolicy,
    digest: BundleDigest,
    signatures: impl IntoIterator<Item = (&'a str, &'a [u8])>,
) -> Result<(), SignatureError> {
    let message = message(digest);
    let mut valid = BTreeSet::new();
    let mut wrong = BTreeSet::new();
    let mut unknown = BTreeSet::new();
    for (count, (operator, signature)) in signatures.into_iter().enumerate() {
        if count >= MAX_SIGNATURES {
            return Err(SignatureError::TooMany);
        }
        match policy.keys.get(operator) {
            None => unknown.insert(operator.to_owned()),
            Some(key) if holds(key, &message, signature) => valid.insert(key),
            Some(_) => wrong.insert(operator.to_owned()),
        };
    }
    if !wrong.is_empty() {
        let operators = wrong.into_iter().collect();
        return Err(SignatureError::Wrong { operators });
    }
    if valid.len() < policy.required_signatures.max(1) as usize {
        return Err(SignatureError::TooFew {
            valid: valid.len(),
            required: policy.required_signatures,
            unknown: unknown.into_iter().collect(),
        });
    }
    Ok(())
}

fn holds(key: &OperatorPublicKey, message: &[u8], signature: &[u8]) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(&key.0) else {
        return false;
    };
    let Ok(signature) = Signature::from_slice(signature) else {
        return false;
    };
    key.verify_strict(message, &signature).is_ok()
}
