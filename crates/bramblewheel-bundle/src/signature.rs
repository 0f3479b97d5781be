//! Ed25519 signatures over a bundle's digest, with a threshold of N out of M operators.

use crate::model::{OperatorPolicy, OperatorPublicKey};
use bramblewheel_types::{BundleDigest, ServiceName};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use std::collections::BTreeSet;
use thiserror::Error;

/// Maximum number of signatures; a bundle with more is refused without checking the rest.
pub const MAX_SIGNATURES: usize = 128;
/// Length of a signature in bytes.
pub const SIGNATURE_LENGTH: usize = ed25519_dalek::SIGNATURE_LENGTH;

/// Domain separation: a signature over a bundle is not valid for any other kind of data.
const DOMAIN: &[u8] = b"bramblewheel bundle signature v1\0";

/// The signatures don't authorize the bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SignatureError {
    /// A signature of an operator in the policy is invalid.
    #[error("wrong signature by operator {}", operators.join(", "))]
    Wrong {
        /// Names of the operators.
        operators: Vec<String>,
    },
    /// Too few different operators in the policy signed.
    #[error("{valid} of {required} required signatures{}", unknown_note(unknown))]
    TooFew {
        /// Number of different operators with a valid signature.
        valid: usize,
        /// Number of signatures required.
        required: u32,
        /// Names of signers that the policy does not list.
        unknown: Vec<String>,
    },
    /// More than [`MAX_SIGNATURES`] signatures.
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
/// `signatures` are pairs of an operator's name and the signature's bytes. Signatures by names that the
/// policy does not list are ignored: a bundle that adds an operator may carry that operator's signature
/// too. An invalid signature of a listed operator is an error even when enough others are valid, since
/// it means that the bundle or the signature was altered.
///
/// # Errors
/// [`SignatureError`] with the names of the operators concerned.
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
            None => unknown.insert(log_safe_name(operator)),
            Some(key) if is_valid(key, &message, signature) => valid.insert(key),
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

/// Makes an unvalidated name safe for logs.
fn log_safe_name(name: &str) -> String {
    match ServiceName::new(name) {
        Ok(name) => name.to_string(),
        Err(_) => "(invalid name)".to_owned(),
    }
}

fn is_valid(key: &OperatorPublicKey, message: &[u8], signature: &[u8]) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(&key.0) else {
        return false;
    };
    let Ok(signature) = Signature::from_slice(signature) else {
        return false;
    };
    key.verify_strict(message, &signature).is_ok()
}
