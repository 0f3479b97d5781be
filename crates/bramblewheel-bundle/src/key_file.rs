//! Operator key files: TOML with the operator's name, secret key and public key.

use crate::model::OperatorPublicKey;
use crate::signature;
use bramblewheel_types::{BundleDigest, InvalidName, ServiceName};
use ed25519_dalek::SigningKey;
use serde::Deserialize;
use std::fmt;
use thiserror::Error;

/// A key file can't be used.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The text is not a key file.
    #[error("not an operator key file: {0}")]
    Malformed(String),
    /// The operator's name violates the rules for names.
    #[error("name: {0}")]
    InvalidName(#[from] InvalidName),
    /// The secret key is not 32 bytes in hexadecimal.
    #[error("secret_key: expected 64 hexadecimal digits")]
    InvalidSecretKey,
    /// The public key in the file does not belong to the secret key.
    #[error("public_key: does not belong to secret_key")]
    PublicKeyMismatch,
    /// The system's random source failed.
    #[error("random source: {0}")]
    Random(getrandom::Error),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    name: String,
    secret_key: String,
    public_key: String,
}

/// An operator's name and key pair.
pub struct OperatorKey {
    name: String,
    signing: SigningKey,
}

impl fmt::Debug for OperatorKey {
    /// Omits the secret key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OperatorKey")
            .field("name", &self.name)
            .field("public_key", &self.public_key_hex())
            .finish_non_exhaustive()
    }
}

impl OperatorKey {
    /// Generates a key pair from the system's random source.
    ///
    /// # Errors
    /// [`KeyFileError`] when the name is not acceptable or the random source fails.
    pub fn generate(name: &str) -> Result<Self, KeyFileError> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(KeyFileError::Random)?;
        Self::from_secret(name, &secret)
    }

    /// Derives the key pair from a secret key.
    ///
    /// # Errors
    /// [`KeyFileError::InvalidName`] when the name is not acceptable.
    pub fn from_secret(name: &str, secret: &[u8; 32]) -> Result<Self, KeyFileError> {
        ServiceName::new(name)?;
        let name = name.to_owned();
        let signing = SigningKey::from_bytes(secret);
        Ok(Self { name, signing })
    }

    /// Parses a key file.
    ///
    /// # Errors
    /// [`KeyFileError`] with the invalid key; its text never contains the secret key.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        // The full error quotes the line, which may contain the secret key.
        let file: KeyFile =
            toml::from_str(text).map_err(|e| KeyFileError::Malformed(e.message().to_owned()))?;
        let mut secret = [0; 32];
        hex::decode_to_slice(&file.secret_key, &mut secret)
            .map_err(|_| KeyFileError::InvalidSecretKey)?;
        let key = Self::from_secret(&file.name, &secret)?;
        if key.public_key_hex() != file.public_key {
            return Err(KeyFileError::PublicKeyMismatch);
        }
        Ok(key)
    }

    /// Formats the key file.
    pub fn to_text(&self) -> String {
        format!(
            "# bramblewheel operator key. Secret: readable by its operator alone.\n\
             name = \"{}\"\nsecret_key = \"{}\"\npublic_key = \"{}\"\n",
            self.name,
            hex::encode(self.signing.to_bytes()),
            self.public_key_hex(),
        )
    }

    /// Name of the operator.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Public key in the form used in bundles.
    pub fn public_key(&self) -> OperatorPublicKey {
        OperatorPublicKey(self.signing.verifying_key().to_bytes())
    }

    /// Public key in hexadecimal.
    pub fn public_key_hex(&self) -> String {
        hex::encode(self.public_key().0)
    }

    /// Signs a bundle's digest.
    pub fn sign(&self, digest: BundleDigest) -> [u8; signature::SIGNATURE_LENGTH] {
        signature::sign(&self.signing, digest)
    }
}
