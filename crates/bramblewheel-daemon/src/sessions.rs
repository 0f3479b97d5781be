//! Session tokens: held by the caller, recognised by any gateway that has the key.
//!
//! A token is `KEY-ID.OPENED.NONCE.MAC`: when it was opened in milliseconds since the Unix epoch,
//! a nonce that makes it unique, and an HMAC-SHA-256 over what stands before it. Nothing is
//! stored, so no restart or loss of a zone ends a session.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

use bramblewheel_protocol::headers::SESSION_OPEN;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_LENGTH: usize = 16;
/// Bytes of a token's nonce.
const NONCE_LENGTH: usize = 12;

/// The key file can't be used; the text is one line.
#[derive(Debug, Error)]
pub enum SessionKeyError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the operating system says.
        error: std::io::Error,
    },
    /// A line is not `key-id hex-secret`. The line itself is not shown: it may hold a secret.
    #[error("{file}:{line}: expected `key-id hex-secret` with at least 16 bytes")]
    Malformed {
        /// The file.
        file: String,
        /// Line, counted from 1.
        line: usize,
    },
}

struct SessionKey {
    id: String,
    secret: Vec<u8>,
}

impl fmt::Debug for SessionKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SessionKey({})", self.id)
    }
}

/// Keys that mint and verify session tokens.
#[derive(Debug, Default)]
pub struct SessionKeys {
    keys: Vec<SessionKey>,
}

/// What a caller's session header amounts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionOffer {
    /// No session, or a token that no key verifies.
    None,
    /// A valid token.
    Valid,
    /// The caller asks for a session; this is its token once its request is completed.
    Opened(String),
}

impl SessionKeys {
    /// Reads a key file.
    ///
    /// # Errors
    /// [`SessionKeyError`] when it can't be read or a line is malformed.
    pub fn load(path: &Path) -> Result<Self, SessionKeyError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| SessionKeyError::Unreadable {
            file: file.clone(),
            error,
        })?;
        let lines = text.lines().enumerate();
        let filled = lines.filter(|(_, line)| !line.trim().is_empty());
        let keys = filled.map(|(index, line)| {
            parse_key(line).ok_or_else(|| SessionKeyError::Malformed {
                file: file.clone(),
                line: index + 1,
            })
        });
        Ok(Self {
            keys: keys.collect::<Result<_, _>>()?,
        })
    }

    /// Judges the value of a caller's session header.
    pub fn offer(&self, value: Option<&str>) -> SessionOffer {
        match value {
            Some(SESSION_OPEN) => self.mint().map_or(SessionOffer::None, SessionOffer::Opened),
            Some(token) if self.verify(token) => SessionOffer::Valid,
            _ => SessionOffer::None,
        }
    }

    fn mint(&self) -> Option<String> {
        let key = self.keys.first()?;
        let opened = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        let mut nonce = [0; NONCE_LENGTH];
        getrandom::fill(&mut nonce).ok()?;
        let claim = format!("{}.{}.{}", key.id, opened.as_millis(), hex::encode(nonce));
        let mac = key.mac(&claim).finalize().into_bytes();
        Some(format!("{claim}.{}", hex::encode(mac)))
    }

    fn verify(&self, token: &str) -> bool {
        let Some((claim, mac)) = token.rsplit_once('.') else {
            return false;
        };
        let Ok(mac) = hex::decode(mac) else {
            return false;
        };
        let id = claim.split('.').next().unwrap_or_default();
        let mut candidates = self.keys.iter().filter(|key| key.id == id);
        candidates.any(|key| key.mac(claim).verify_slice(&mac).is_ok())
    }
}

impl SessionKey {
    fn mac(&self, claim: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
        mac.update(claim.as_bytes());
        mac
    }
}

fn parse_key(line: &str) -> Option<SessionKey> {
    let (id, secret) = line.trim().split_once(char::is_whitespace)?;
    let secret = hex::decode(secret.trim()).ok()?;
    let is_sound = !id.contains('.') && secret.len() >= MIN_SECRET_LENGTH;
    is_sound.then(|| SessionKey {
        id: id.to_owned(),
        secret,
    })
}
