//! Route tables, registered endpoints and the use of tenants' quotas: what daemons and operators tell
//! the control replicas of them, and what they are told.
//!
//! A route table is an unsigned configuration for groups whose settings allow it. The replicas
//! keep its text as the operator sent it and judge only its place in the order of versions; the
//! operator's interface checks what it says before it is sent here.

use crate::content::ContentDigest;
use crate::control::{LogPosition, Registration};
use crate::packed::PackedText;
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Version of a route table; 0 is that of no table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion(pub u64);

/// SHA-256 of a route table's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest(pub [u8; 32]);

/// One version of the route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// Strictly rising, chosen by the operators.
    pub version: TableVersion,
    /// Digest of `text`.
    pub digest: TableDigest,
    /// What the operator sent, byte for byte.
    pub text: PackedText,
}

/// An operator replaces the route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceTable {
    /// Version that the new table builds on; 0 for the first.
    pub parent: TableVersion,
    /// The new table.
    pub table: StoredTable,
}

/// Answer to a replacement of the route table. Only `Accepted` means that it is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceTableReply {
    /// Committed, now or at an earlier send of the same table.
    Accepted,
    /// Another version is in force than the one it builds on.
    ParentMismatch {
        /// Version in force.
        current: TableVersion,
    },
    /// Its version is not above the one in force.
    Outdated {
        /// Version in force.
        current: TableVersion,
    },
}

/// What an endpoint is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Has not been heard lately, or its daemon has not; may come back.
    Silent,
    /// Leaves: takes no new work, now or later.
    Draining,
    /// Has left for good.
    Gone,
}

impl EndpointState {
    /// Whether the endpoint will take no work again under its id.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Draining | Self::Gone)
    }
}

/// One start of an endpoint as the daemon beside it registered it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of this start of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Daemon beside it.
    pub daemon: DaemonId,
    /// Where other daemons hand requests for it to its daemon.
    pub address: SocketAddr,
    /// Where it listens; only its daemon connects there.
    pub endpoint_address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests it runs side by side.
    pub slots: u32,
    /// What it is ready for.
    pub state: EndpointState,
    /// Rises with each word of the endpoint, so that late ones are known.
    pub sequence: u64,
    /// How much longer it was slow from its start when it was registered.
    pub cold_for: Millis,
}

/// An endpoint with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub record: EndpointRecord,
    /// Revision of the registry at which it changed last.
    pub revision: u64,
}

/// Time for which a content is kept from endpoints after the last end under it. Whoever sends it can't be
/// expected to mend it sooner, and each test of it may cost an endpoint.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// What a daemon says of requests that ran at the endpoint beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentReport {
    /// The endpoint ended without a word.
    #[serde(rename = "EndpointEnded")]
    EndpointCrashed {
        /// The start of the endpoint that ended.
        endpoint: EndpointId,
        /// What it was running, without what has ended well here lately.
        contents: Vec<ContentDigest>,
    },
    /// These have ended well: they are not to blame for an end.
    EndedWell {
        /// Contents that daemons are told of.
        contents: Vec<ContentDigest>,
    },
}

/// A content that was at several ends of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedContent {
    /// Which.
    pub content: ContentDigest,
    /// Starts of endpoints that ended while they ran it, as far as they are counted.
    pub ends: u32,
    /// Whether it is kept from endpoints.
    pub is_quarantined: bool,
}

/// All contents that daemons are told of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Revision of the quarantine.
    pub revision: u64,
    /// Contents, those in quarantine first.
    pub contents: Vec<WatchedContent>,
}

/// A daemon asks for news of the route table and the endpoints and renews its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Who asks.
    pub registration: Registration,
    /// Version of the table in force at the daemon; 0 if none, which makes the answer one that a
    /// quorum has confirmed.
    pub table_version: TableVersion,
    /// Revision of the registry that the daemon holds.
    pub registry_revision: u64,
    /// Revision of the quarantine that the daemon holds.
    #[serde(default)]
    pub quarantine_revision: u64,
    /// Highest position seen from any replica.
    pub position: LogPosition,
    /// How long the replica may hold the request.
    pub wait: Millis,
}

/// News for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Position at which the reply is true.
    pub position: LogPosition,
    /// A newer table, if there is one.
    pub table: Option<StoredTable>,
    /// Revision of the registry after the changes below.
    pub registry_revision: u64,
    /// Endpoints that changed since the daemon's revision.
    pub endpoints: Vec<EndpointUpdate>,
    /// The quarantine, if the daemon holds an older one.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
    /// Daemons registered, to share what is allowed to all of them.
    pub daemons: u32,
    /// Service addresses of the group's replicas.
    pub replicas: Vec<SocketAddr>,
}

/// What was asked for and let in for one tenant: at one daemon, or summed over all. Sent as three
/// numbers, since each daemon sends it several times a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u32)", into = "(u64, u32, u32)")]
pub struct TenantUsage {
    /// Number that stands for the tenant's name, the same at all daemons.
    pub tenant: u64,
    /// Requests asked for in the newest part of the quota's window.
    pub asked: u32,
    /// Requests let in within the window.
    pub admitted: u32,
}

impl TenantUsage {
    /// Adds the use at another daemon.
    pub fn add(&mut self, other: &Self) {
        self.asked = self.asked.saturating_add(other.asked);
        self.admitted = self.admitted.saturating_add(other.admitted);
    }
}

impl From<(u64, u32, u32)> for TenantUsage {
    fn from((tenant, asked, admitted): (u64, u32, u32)) -> Self {
        Self {
            tenant,
            asked,
            admitted,
        }
    }
}

impl From<TenantUsage> for (u64, u32, u32) {
    fn from(usage: TenantUsage) -> Self {
        (usage.tenant, usage.asked, usage.admitted)
    }
}

/// A daemon renews its lease on the route table and tells what it let in for tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Who asks.
    pub daemon: DaemonId,
    /// Drawn at random at each start of its process.
    pub incarnation: u64,
    /// Use at the daemon, for the tenants that asked lately.
    pub usage: Vec<TenantUsage>,
}

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Newest version at a moment after the request came, confirmed by a quorum.
    pub table_version: TableVersion,
    /// Sums over all daemons for the tenants that the daemon named; none from a replica that has not run
    /// for long enough to know them.
    pub sums: Option<Vec<TenantUsage>>,
    /// Daemons registered, to share what is allowed to all of them.
    pub daemons: u32,
}
