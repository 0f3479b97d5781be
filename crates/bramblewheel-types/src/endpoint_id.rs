//! Identifier of one start of an endpoint.

use crate::ids::{InvalidName, check_name};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Separates the name from the start time in an id's text; not allowed in names.
const SEPARATOR: char = '@';

/// One start of an endpoint: the name it reports, and its start time if it reports one.
///
/// A restarted endpoint has no state of its earlier start and counts as another endpoint: its heartbeat sequence
/// begins anew, and what the earlier start acknowledged, ran or was quarantined for does not apply to it. Among ids
/// with one name the later start is the greater; an id without a start time is less than all that have one.
///
/// As text: `kassa-1`, or `kassa-1@1796256413478` with the start time in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EndpointId {
    name: Arc<str>,
    started: Option<u64>,
}

/// The text is not a valid endpoint id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidEndpointId {
    /// The name breaks the rules for names.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// The part after the separator is not a start time.
    #[error("the start is no whole number of milliseconds")]
    Start,
}

impl EndpointId {
    /// Creates the id of an endpoint that reports no start time.
    ///
    /// # Errors
    /// [`InvalidName`] when the name is empty, too long or holds a forbidden character.
    pub fn new(name: &str) -> Result<Self, InvalidName> {
        check_name(name)?;
        Ok(Self {
            name: Arc::from(name),
            started: None,
        })
    }

    /// Sets the start time in Unix milliseconds; `None` if the endpoint reports none.
    pub fn started_at(self, started: Option<u64>) -> Self {
        Self { started, ..self }
    }

    /// The name that the endpoint reports, the same at every start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Start time in Unix milliseconds, if the endpoint reports it.
    pub fn started(&self) -> Option<u64> {
        self.started
    }

    /// Whether both ids have the same name and this one started earlier.
    pub fn is_earlier_start_of(&self, other: &Self) -> bool {
        self.name == other.name && self.started < other.started
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)?;
        match self.started {
            Some(started) => write!(formatter, "{SEPARATOR}{started}"),
            None => Ok(()),
        }
    }
}

impl FromStr for EndpointId {
    type Err = InvalidEndpointId;

    fn from_str(text: &str) -> Result<Self, InvalidEndpointId> {
        let Some((name, start)) = text.split_once(SEPARATOR) else {
            return Ok(Self::new(text)?);
        };
        let is_number = !start.is_empty() && start.bytes().all(|byte| byte.is_ascii_digit());
        let started = start.parse().ok().filter(|_| is_number);
        let started = started.ok_or(InvalidEndpointId::Start)?;
        Ok(Self::new(name)?.started_at(Some(started)))
    }
}

impl TryFrom<String> for EndpointId {
    type Error = InvalidEndpointId;

    fn try_from(text: String) -> Result<Self, InvalidEndpointId> {
        text.parse()
    }
}

impl From<EndpointId> for String {
    fn from(endpoint: EndpointId) -> Self {
        endpoint.to_string()
    }
}
