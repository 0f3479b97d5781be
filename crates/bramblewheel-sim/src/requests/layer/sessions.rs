//! Sessions that a gateway opens and verifies, with real tokens.

use bramblewheel_core::session::{self, Session, SessionKey};
use bramblewheel_types::{Criticality, Timestamp, ZoneName};
use rand::Rng;
use std::collections::BTreeSet;

/// Number of keys that all gateways hold. A rotation switches to the next key; the others stay valid.
const KEY_COUNT: u32 = 2;
/// Length of a key in bytes.
const KEY_LENGTH: usize = session::MIN_KEY_LENGTH;

/// Sessions of one gateway.
#[derive(Debug)]
pub(super) struct Sessions {
    keys: Vec<SessionKey>,
    signing_key: u32,
    zone: ZoneName,
    /// Tokens that this gateway opened, for the unsafe double that accepts no others.
    opened: Option<BTreeSet<String>>,
}

impl Sessions {
    pub(super) fn new(zone: ZoneName, is_tied_to_daemon: bool) -> Self {
        let key = |id: u32| {
            SessionKey::new(id, vec![id as u8; KEY_LENGTH]).expect("the key has the minimum length")
        };
        Self {
            keys: (1..=KEY_COUNT).map(key).collect(),
            signing_key: 1,
            zone,
            opened: is_tied_to_daemon.then(BTreeSet::new),
        }
    }

    /// Sets the number of the key that signs new sessions.
    pub(super) fn set_signing_key(&mut self, number: u32) {
        self.signing_key = number.clamp(1, KEY_COUNT);
    }

    pub(super) fn open(&mut self, now: Timestamp, random: &mut impl Rng) -> String {
        let session = Session {
            opened_at_unix_millis: now.as_millis(),
            home_zone: self.zone.clone(),
            criticality: Criticality::Normal,
            random: u128::from(random.next_u64()),
        };
        let key = &self.keys[self.signing_key as usize - 1];
        let token = session::mint(key, &session);
        if let Some(opened) = &mut self.opened {
            opened.insert(token.clone());
        }
        token
    }

    pub(super) fn is_valid(&self, token: &str) -> bool {
        let is_own = self
            .opened
            .as_ref()
            .is_none_or(|opened| opened.contains(token));
        is_own && session::verify(&self.keys, token).is_ok()
    }
}
