//! Contents of requests that ran at endpoints when these crashed, and which of them are quarantined.

use crate::content::ContentDigest;
use bramblewheel_types::EndpointId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a content is kept from endpoints after the last crash under it. Whoever sends it can't be
/// expected to mend it sooner, and each test of it may cost an endpoint. Chosen, not measured.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// What a daemon reports of requests that ran at the endpoint beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentReport {
    /// The endpoint crashed.
    #[serde(rename = "EndpointEnded")]
    EndpointCrashed {
        /// The start of the endpoint that crashed.
        endpoint: EndpointId,
        /// What it was running, without what has succeeded at this daemon lately.
        contents: Vec<ContentDigest>,
    },
    /// These have succeeded: they are no cause of a crash.
    #[serde(rename = "EndedWell")]
    Succeeded {
        /// Contents among those that daemons watch.
        contents: Vec<ContentDigest>,
    },
}

/// A content that ran at several crashes of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedContent {
    /// Which.
    pub content: ContentDigest,
    /// Starts of endpoints that crashed while they ran it, as far as they are counted.
    #[serde(rename = "ends")]
    pub crashes: u32,
    /// Whether it is kept from endpoints.
    pub is_quarantined: bool,
}

/// All contents that daemons watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Revision of the quarantine.
    pub revision: u64,
    /// Contents, those in quarantine first.
    pub contents: Vec<WatchedContent>,
}
