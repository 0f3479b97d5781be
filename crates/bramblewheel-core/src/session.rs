//! Session tokens, held by the caller and verified by any daemon that has the keys.
//!
//! Daemons keep no session state, so a restart, a rollout or the loss of a zone ends no session.
//! During a key rotation tokens are verified with the old and the new key and minted with the new
//! one; a token stays valid as long as its key is kept.
//!
//! Text form: `1:KEY:OPENED:ZONE:CLASS:RANDOM:MAC`, where the MAC is HMAC-SHA-256 over everything
//! before its colon.

use bramblewheel_types::{Criticality, ZoneName};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use thiserror::Error;

/// Longest token accepted, in bytes.
pub const MAX_TOKEN_LENGTH: usize = 256;
/// Shortest key accepted, in bytes.
pub const MIN_KEY_LENGTH: usize = 32;
/// First field of every token.
const FORMAT: &str = "1";
/// Number of fields of a token without its MAC.
const FIELDS: usize = 6;

/// Session described by a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// Time at which the session was opened, in milliseconds since the Unix epoch.
    pub opened_at_unix_millis: u64,
    /// Zone in which the session was opened.
    pub home_zone: ZoneName,
    /// Class of its calls.
    pub criticality: Criticality,
    /// Random value that distinguishes sessions.
    pub random: u128,
}

/// A secret with which tokens are signed.
#[derive(Clone)]
pub struct SessionKey {
    /// Key id, contained in tokens to find the right key during a rotation.
    pub id: u32,
    secret: Vec<u8>,
}

impl SessionKey {
    /// Wraps a secret.
    ///
    /// # Errors
    /// [`SessionError::WeakKey`] when the secret is shorter than [`MIN_KEY_LENGTH`].
    pub fn new(id: u32, secret: Vec<u8>) -> Result<Self, SessionError> {
        if secret.len() < MIN_KEY_LENGTH {
            return Err(SessionError::WeakKey);
        }
        Ok(Self { id, secret })
    }

    fn mac_of(&self, text: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
        mac.update(text.as_bytes());
        mac
    }
}

impl fmt::Debug for SessionKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SessionKey({})", self.id)
    }
}

/// A session token or key is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SessionError {
    /// The token is longer than [`MAX_TOKEN_LENGTH`].
    #[error("session token is too long")]
    TooLong,
    /// The text of the token can't be parsed.
    #[error("session token is malformed")]
    Malformed,
    /// There is no key with the token's key id.
    #[error("session token is signed with an unknown key")]
    UnknownKey,
    /// The signature does not match.
    #[error("session token has a wrong signature")]
    BadSignature,
    /// The secret is shorter than [`MIN_KEY_LENGTH`].
    #[error("session key has fewer than {MIN_KEY_LENGTH} bytes")]
    WeakKey,
}

/// Creates the token of a session.
pub fn mint(key: &SessionKey, session: &Session) -> String {
    let text = format!(
        "{FORMAT}:{}:{}:{}:{}:{:032x}",
        key.id,
        session.opened_at_unix_millis,
        session.home_zone,
        session.criticality,
        session.random,
    );
    let mac = key.mac_of(&text).finalize().into_bytes();
    format!("{text}:{}", hex::encode(mac))
}

/// Verifies a token. The signature is compared in constant time, before any field other than
/// the key id is parsed.
///
/// # Errors
/// [`SessionError`] when the token was not minted with one of `keys`.
pub fn verify(keys: &[SessionKey], token: &str) -> Result<Session, SessionError> {
    if token.len() > MAX_TOKEN_LENGTH {
        return Err(SessionError::TooLong);
    }
    let (text, mac) = token.rsplit_once(':').ok_or(SessionError::Malformed)?;
    let fields: Vec<&str> = text.split(':').collect();
    if fields.len() != FIELDS || fields[0] != FORMAT {
        return Err(SessionError::Malformed);
    }
    let key_id: u32 = parse(fields[1])?;
    let key = keys
        .iter()
        .find(|key| key.id == key_id)
        .ok_or(SessionError::UnknownKey)?;
    let mac = hex::decode(mac).map_err(|_| SessionError::Malformed)?;
    key.mac_of(text)
        .verify_slice(&mac)
        .map_err(|_| SessionError::BadSignature)?;
    Ok(Session {
        opened_at_unix_millis: parse(fields[2])?,
        home_zone: parse(fields[3])?,
        criticality: parse(fields[4])?,
        random: u128::from_str_radix(fields[5], 16).map_err(|_| SessionError::Malformed)?,
    })
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T, SessionError> {
    text.parse().map_err(|_| SessionError::Malformed)
}
