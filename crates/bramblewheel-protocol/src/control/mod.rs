//! Messages between daemons or operators and the control replicas.
//!
//! Requests on one connection have increasing ids; replies carry the id of their request and may arrive in
//! any order, so that a long poll and claims can share a connection. This module defines the envelope and
//! the log position; the submodules define the bodies. Names of fields and variants are part of the wire
//! format.

mod bundles;
mod daemons;
mod group;
mod operations;

pub use bundles::{
    BundleSignature, BundleUpdate, OperatorChange, PublishReply, SignedBundle, SignedBundleDelta,
};
pub use daemons::{
    DaemonStatus, DirectoryEntry, EndpointRegistration, PollReply, PollRequest, Registration,
};
pub use group::{BootstrapRequest, GroupStatus, ReplaceRequest, ReplicaAddress};
pub use operations::{OperationAction, OperationAnswer, OperationReply, OperationRequest};

use crate::routing::{
    ContentReport, EndpointRecord, EndpointState, RenewReply, RenewRequest, ReplaceTable,
    ReplaceTableReply, StoredTable, WatchReply, WatchRequest,
};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A request to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// Identifies the reply; increasing on one connection.
    pub id: u64,
    /// Content.
    pub body: RequestBody,
}

/// A reply of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlReply {
    /// Id of the request answered.
    pub id: u64,
    /// Content.
    pub body: ReplyBody,
}

/// Content of a request to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestBody {
    /// A daemon asks for updates and renews its lease; held until there is an update or `wait` has passed.
    Poll(Box<PollRequest>),
    /// A batch of run-once operations; answered by the leader or forwarded to it.
    Operations(Vec<OperationRequest>),
    /// An operator publishes a bundle.
    Publish(SignedBundle),
    /// An operator asks which bundle is in force.
    BundleStatus,
    /// An operator asks which daemons are registered and which bundle each has in force.
    FleetStatus,
    /// An operator asks for the state of the control group.
    GroupStatus,
    /// An operator starts a new group; only a replica with an empty data folder accepts it.
    Bootstrap(BootstrapRequest),
    /// An operator replaces a lost replica.
    Replace(ReplaceRequest),
    /// A daemon asks for updates of routes and endpoints; held until there is an update or `wait` has passed.
    Watch(Box<WatchRequest>),
    /// A daemon reports a change of the endpoint beside it.
    RegisterEndpoint(Box<EndpointRecord>),
    /// A daemon reports request contents that ran when an endpoint crashed, or that succeeded; answered once committed.
    ReportContents(ContentReport),
    /// An operator replaces the route table.
    ReplaceTable(ReplaceTable),
    /// An operator asks for the route table in force; confirmed by a quorum.
    ReadTable,
    /// A daemon renews its lease on the route table; confirmed by a quorum.
    Renew(Box<RenewRequest>),
}

impl RequestBody {
    /// Whether the request changes the state of the group.
    pub const fn changes_state(&self) -> bool {
        match self {
            Self::Operations(_)
            | Self::Publish(_)
            | Self::Bootstrap(_)
            | Self::Replace(_)
            | Self::RegisterEndpoint(_)
            | Self::ReportContents(_)
            | Self::ReplaceTable(_) => true,
            Self::Poll(_)
            | Self::BundleStatus
            | Self::FleetStatus
            | Self::GroupStatus
            | Self::Watch(_)
            | Self::ReadTable
            | Self::Renew(_) => false,
        }
    }
}

/// Answer of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// Answer to `Poll`.
    Poll(Box<PollReply>),
    /// Answer to `Operations`, in the same order.
    Operations(Vec<OperationReply>),
    /// Answer to `Publish`.
    Publish(PublishReply),
    /// Answer to `BundleStatus`.
    BundleStatus(Option<SignedBundle>),
    /// Answer to `FleetStatus`.
    FleetStatus(Vec<DaemonStatus>),
    /// Answer to `GroupStatus`.
    GroupStatus(GroupStatus),
    /// The request was carried out (bootstrap, replace, reports).
    Done,
    /// Answer to `Watch`.
    Watch(Box<WatchReply>),
    /// Answer to `RegisterEndpoint`: the recorded state, which may be later than the reported one.
    EndpointRegistered(EndpointState),
    /// Answer to `ReplaceTable`.
    TableReplaced(ReplaceTableReply),
    /// Answer to `ReadTable`.
    Table(Option<StoredTable>),
    /// Answer to `Renew`.
    Renewed(Box<RenewReply>),
    /// The replica can't serve the request now; ask another.
    Unavailable(Unavailable),
    /// The request is not acceptable, for the reason in the text.
    Rejected(String),
}

/// Why a replica can't answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailable {
    /// It has had no contact with a quorum within its lease.
    NoQuorum,
    /// Only the leader can answer; here is its address if known.
    NotLeader(Option<SocketAddr>),
    /// The data folder is empty and the replica is in no group yet.
    Uninitialized,
    /// The replica is stopping.
    Stopping,
    /// Whether a command was recorded is not known; ask again.
    Undecided,
}

impl fmt::Display for Unavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoQuorum => formatter.write_str("no quorum"),
            Self::NotLeader(Some(leader)) => write!(formatter, "not leader, leader is {leader}"),
            Self::NotLeader(None) => formatter.write_str("not leader, no leader known"),
            Self::Uninitialized => formatter.write_str("not yet in a group"),
            Self::Stopping => formatter.write_str("stopping"),
            Self::Undecided => formatter.write_str("undecided"),
        }
    }
}

/// Position in the replicated log; ordered by index. Daemons refuse replies with a position older than one
/// they have already seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Index of the last applied entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
}
