//! Session tokens of a caller.

use std::sync::{Mutex, MutexGuard};

/// Number of sessions that one caller keeps open.
const SESSION_COUNT: usize = 40;

/// The sessions of a caller; each is opened by the first request that uses it.
#[derive(Debug)]
pub(super) struct Sessions {
    tokens: Mutex<Vec<Option<String>>>,
}

/// How a request uses a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SessionUse {
    /// The request belongs to no session.
    None,
    /// The request asks to open the session with this index.
    Open(usize),
    /// The request belongs to the open session with this index and token.
    Token(usize, String),
}

impl Default for Sessions {
    fn default() -> Self {
        Self {
            tokens: Mutex::new(vec![None; SESSION_COUNT]),
        }
    }
}

impl Sessions {
    /// Selects the session by a random number.
    pub(super) fn pick(&self, random: u32) -> SessionUse {
        let index = random as usize % SESSION_COUNT;
        match &self.lock()[index] {
            Some(token) => SessionUse::Token(index, token.clone()),
            None => SessionUse::Open(index),
        }
    }

    /// Stores the token of a session that was opened. If several requests opened it, the first token stays.
    pub(super) fn store_token(&self, index: usize, token: String) {
        self.lock()[index].get_or_insert(token);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<String>>> {
        self.tokens.lock().expect("no holder of the lock panics")
    }
}
