//! Request contents that were running when endpoints crashed, and the quarantine of such contents.

use crate::content::ContentDigest;
use bramblewheel_types::EndpointId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a content stays in quarantine after the last endpoint crash while it ran. Its sender can't be
/// expected to correct it sooner, and each request let through to test it may crash an endpoint.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// A daemon's report on requests that ran at the endpoint beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentReport {
    /// The endpoint crashed.
    #[serde(rename = "EndpointEnded")]
    EndpointCrashed {
        /// The start of the endpoint that crashed.
        endpoint: EndpointId,
        /// Contents that it was running, except those that recently succeeded at this daemon.
        contents: Vec<ContentDigest>,
    },
    /// Requests with these contents succeeded, so the contents did not cause a crash.
    #[serde(rename = "EndedWell")]
    Succeeded {
        /// The contents; only those that daemons watch.
        contents: Vec<ContentDigest>,
    },
}

/// A content that was running when endpoints crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedContent {
    /// Its digest.
    pub content: ContentDigest,
    /// Number of endpoint starts that crashed while running it, as far as they are counted.
    #[serde(rename = "ends")]
    pub crashes: u32,
    /// Whether it is in quarantine: requests with it are not sent to endpoints.
    pub is_quarantined: bool,
}

/// All contents that daemons watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Revision of the quarantine.
    pub revision: u64,
    /// The contents, those in quarantine first.
    pub contents: Vec<WatchedContent>,
}
