//! Session tokens that a caller holds.

use std::sync::{Mutex, MutexGuard};

/// Sessions that one caller keeps open.
const SESSION_COUNT: usize = 40;

/// The sessions of a caller; each is opened by the first request that wants it.
#[derive(Debug)]
pub(super) struct Sessions {
    tokens: Mutex<Vec<Option<String>>>,
}

/// What a request says of its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SessionUse {
    /// It belongs to none.
    None,
    /// It asks for the session of this number to be opened.
    Open(usize),
    /// It belongs to an open session.
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
    /// A use of the session that a random number picks.
    pub(super) fn pick(&self, random: u32) -> SessionUse {
        let index = random as usize % SESSION_COUNT;
        match &self.lock()[index] {
            Some(token) => SessionUse::Token(index, token.clone()),
            None => SessionUse::Open(index),
        }
    }

    /// Keeps the token of a session that was opened. Of two, the first stays.
    pub(super) fn opened(&self, index: usize, token: String) {
        self.lock()[index].get_or_insert(token);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<String>>> {
        self.tokens.lock().expect("nothing panics under the lock")
    }
}
