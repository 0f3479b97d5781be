//! Why a scenario file can't be used.

use std::fmt;
use thiserror::Error;

/// A scenario file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {}{message}", KeyPrefix(.key))]
pub struct ScenarioError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// The key concerned, if known.
    pub key: Option<String>,
    /// What is wrong.
    pub message: String,
}

struct KeyPrefix<'a>(&'a Option<String>);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(key) => write!(formatter, "{key}: "),
            None => Ok(()),
        }
    }
}
