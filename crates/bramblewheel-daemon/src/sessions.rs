//! Session tokens at a gateway: key file and evaluation of the session header.
//!
//! No session state is stored, so no restart or loss of a zone ends a session. The token format is
//! defined in [`bramblewheel_core::session`].

use bramblewheel_core::session::{self, Session, SessionKey};
use bramblewheel_protocol::headers::SESSION_OPEN;
use bramblewheel_types::{Criticality, ZoneName};
use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// The key file can't be used; the message is one line.
#[derive(Debug, Error)]
pub enum SessionKeyError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// A line is not `key-id hex-secret`. It is not shown, because it may contain a secret.
    #[error(
        "{file}:{line}: expected `key-id hex-secret`, a number and at least {} bytes",
        session::MIN_KEY_LENGTH
    )]
    Malformed {
        /// The file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
    },
}

/// Keys for minting and verifying session tokens.
#[derive(Debug, Default)]
pub struct SessionKeys {
    /// Tokens are minted with the first key and verified with all.
    keys: Vec<SessionKey>,
}

/// Meaning of a caller's session header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionHeader {
    /// No session, or an invalid token.
    None,
    /// A valid token.
    Valid,
    /// The caller requests a session; it gets the token when its request completes.
    Open,
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

    /// Evaluates the value of a caller's session header.
    pub fn evaluate(&self, value: Option<&str>) -> SessionHeader {
        match value {
            Some(SESSION_OPEN) => SessionHeader::Open,
            Some(token) if session::verify(&self.keys, token).is_ok() => SessionHeader::Valid,
            _ => SessionHeader::None,
        }
    }

    /// Opens a session and returns its token; `None` if there is no key.
    pub fn open(&self, home_zone: ZoneName, criticality: Criticality) -> Option<String> {
        let key = self.keys.first()?;
        let opened_at = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        let mut random = [0; size_of::<u128>()];
        getrandom::fill(&mut random).ok()?;
        let session = Session {
            opened_at_unix_millis: u64::try_from(opened_at.as_millis()).ok()?,
            home_zone,
            criticality,
            random: u128::from_be_bytes(random),
        };
        Some(session::mint(key, &session))
    }
}

fn parse_key(line: &str) -> Option<SessionKey> {
    let (id, secret) = line.trim().split_once(char::is_whitespace)?;
    let secret = hex::decode(secret.trim()).ok()?;
    SessionKey::new(id.parse().ok()?, secret).ok()
}
