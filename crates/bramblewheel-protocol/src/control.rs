//! Messages between daemons or operators and the control replicas.
//!
//! One connection carries requests with rising ids; replies name the id they answer and may come
//! in any order, so that a long poll and claims share a connection.

use crate::routing::{
    ContentReport, EndpointRecord, EndpointState, RenewReply, RenewRequest, ReplaceTable,
    ReplaceTableReply, StoredTable, WatchReply, WatchRequest,
};
use bramblewheel_types::{
    BundleDigest, BundleVersion, DaemonId, EndpointId, Millis, OperationKey, RegionName,
    ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A request to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// Names the reply; rising on one connection.
    pub id: u64,
    /// What is asked.
    pub body: RequestBody,
}

/// A reply of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlReply {
    /// The request answered.
    pub id: u64,
    /// The answer.
    pub body: ReplyBody,
}

/// What is asked of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestBody {
    /// A daemon asks for news and renews its lease; held until there is news or `wait` is over.
    Poll(Box<PollRequest>),
    /// Run-once operations, batched; answered by the leader or passed on to it.
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
    /// A daemon asks for news of routes and endpoints; held until there is news or `wait` is over.
    Watch(Box<WatchRequest>),
    /// A daemon says something new of the endpoint beside it.
    RegisterEndpoint(Box<EndpointRecord>),
    /// A daemon says what ran at an endpoint that ended, or what ended well; committed when it is done.
    ReportContents(ContentReport),
    /// An operator replaces the route table.
    ReplaceTable(ReplaceTable),
    /// An operator asks for the route table in force; confirmed by a quorum.
    ReadTable,
    /// A daemon renews its lease on the route table; confirmed by a quorum.
    Renew(Box<RenewRequest>),
}

impl RequestBody {
    /// Whether carrying out the request changes the state of the group.
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
    /// The replica did what was asked (bootstrap, replace, reports).
    Done,
    /// Answer to `Watch`.
    Watch(Box<WatchReply>),
    /// Answer to `RegisterEndpoint`: the state that is recorded, which may be a later one than the
    /// one reported.
    EndpointRegistered(EndpointState),
    /// Answer to `ReplaceTable`.
    TableReplaced(ReplaceTableReply),
    /// Answer to `ReadTable`.
    Table(Option<StoredTable>),
    /// Answer to `Renew`.
    Renewed(Box<RenewReply>),
    /// The replica can't answer now; ask another.
    Unavailable(Unavailable),
    /// The request is not acceptable; the text says why.
    Rejected(String),
}

/// Why a replica can't answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailable {
    /// It has not heard from a quorum within its lease.
    NoQuorum,
    /// Only the leader can answer; here is its address if known.
    NotLeader(Option<SocketAddr>),
    /// The data folder is empty and nobody has admitted the replica yet.
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

/// Position in the replicated log; ordered by index. Daemons refuse older than they have seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Index of the last applied entry.
    pub index: u64,
    /// Its term.
    pub term: u64,
}

/// A daemon asks for news and renews its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Who asks.
    pub registration: Registration,
    /// Bundle in force at the daemon; version 0 if none.
    pub bundle_version: BundleVersion,
    /// Version whose operators the daemon trusts: that of the bundle in force, or higher once
    /// operator changes were followed whose bundle has not arrived yet; 0 if none.
    pub operators_version: BundleVersion,
    /// The bundle is to come whole: a delta did not lead to the bundle it stated.
    pub whole_bundle: bool,
    /// Highest position seen from any replica.
    pub position: LogPosition,
    /// Directory revision the daemon holds; 0 if none.
    pub directory_revision: u64,
    /// Services whose endpoints the daemon wants to know.
    pub services: Vec<ServiceName>,
    /// How long the replica may hold the request.
    pub wait: Millis,
}

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// Region of the daemon.
    pub region: RegionName,
    /// The endpoint it stands beside, none for a gateway.
    pub endpoint: Option<EndpointRegistration>,
}

/// What a daemon says of its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRegistration {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Address of the daemon's inbound listener.
    pub address: SocketAddr,
    /// The endpoint takes no new work.
    pub draining: bool,
}

/// News for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Position at which the reply is true.
    pub position: LogPosition,
    /// Changes of the operators between the version whose operators the daemon trusts and the
    /// bundle below, oldest first. When they don't fit one reply, the bundle stays away and the
    /// daemon polls again at once.
    pub operator_changes: Vec<OperatorChange>,
    /// A newer bundle, if there is one.
    pub bundle: Option<BundleUpdate>,
    /// Revision of the directory after the changes below.
    pub directory_revision: u64,
    /// Whether `live` is all there is, rather than changes since the daemon's revision.
    pub directory_is_complete: bool,
    /// Endpoints that are live or changed.
    pub live: Vec<DirectoryEntry>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
}

/// One endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address of its daemon's inbound listener.
    pub address: SocketAddr,
    /// It takes no new work.
    pub draining: bool,
}

/// A newer bundle for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleUpdate {
    /// The bundle itself.
    Whole(SignedBundle),
    /// What leads to it from the bundle the daemon holds.
    Delta(SignedBundleDelta),
}

/// What leads from one bundle to a newer one, with the newer one's signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundleDelta {
    /// Version to start from.
    pub from: BundleVersion,
    /// Version reached.
    pub version: BundleVersion,
    /// Digest of the bundle reached.
    pub digest: BundleDigest,
    /// Encoded delta.
    #[serde(with = "serde_bytes")]
    pub delta: Vec<u8>,
    /// Signatures over the digest.
    pub signatures: Vec<BundleSignature>,
}

/// A bundle that changed who may sign the next one, without its limits and services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorChange {
    /// First section of the bundle's canonical bytes: version, deployment and operators.
    #[serde(with = "serde_bytes")]
    pub head: Vec<u8>,
    /// SHA-256 of the rest of the canonical bytes; with `head` it gives the bundle's digest.
    pub rest_digest: [u8; 32],
    /// Signatures over the digest, by the operators before the change.
    pub signatures: Vec<BundleSignature>,
}

/// A bundle with its detached signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Version, as in the bytes.
    pub version: BundleVersion,
    /// Digest of `bytes`.
    pub digest: BundleDigest,
    /// Canonical bytes of the bundle.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Signatures over the digest.
    pub signatures: Vec<BundleSignature>,
    /// Digest of the bundle this one is meant to follow, if the operator states it.
    pub expected_parent: Option<BundleDigest>,
}

/// One operator's signature over a bundle's digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleSignature {
    /// Name of the operator in the bundle in force.
    pub operator: String,
    /// Ed25519 signature, 64 bytes.
    #[serde(with = "serde_bytes")]
    pub signature: Vec<u8>,
}

/// Answer to a publish. Only `Accepted` means that the bundle is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishReply {
    /// Committed, now or at an earlier send of the same version and digest.
    Accepted {
        /// Position of the entry that holds it.
        position: LogPosition,
    },
    /// Another bundle holds this version.
    Conflict {
        /// Digest of the bundle that holds the version.
        winner: BundleDigest,
    },
    /// The version is not above the one in force.
    Outdated {
        /// Version in force.
        current: BundleVersion,
    },
    /// The stated parent is not the bundle in force.
    ParentMismatch {
        /// Version in force.
        current: BundleVersion,
        /// Digest in force.
        digest: Option<BundleDigest>,
    },
    /// Signatures are missing, wrong, or by unknown keys; the text says which.
    BadSignatures(String),
    /// The bytes are not a valid bundle; the text says why.
    Invalid(String),
}

/// A run-once operation request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRequest {
    /// Operation key.
    pub key: OperationKey,
    /// Daemon incarnation that asks, from its registration.
    pub incarnation: u64,
    /// Attempt that asks.
    pub attempt: u64,
    /// What is asked.
    pub action: OperationAction,
}

/// What is asked of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationAction {
    /// Claim the operation for this incarnation's attempt.
    Claim {
        /// When the key was minted, in milliseconds since the Unix epoch.
        minted_at_unix_millis: u64,
    },
    /// Record the endpoint's answer.
    Complete(OperationAnswer),
    /// Give the claim back: it was provably not dispatched.
    Release,
    /// Read the state without changing it.
    Status,
}

/// Answer of a run-once operation as the ledger stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationAnswer {
    /// Whether the endpoint reported an error.
    pub failed: bool,
    /// HTTP status.
    pub status: u16,
    /// Body, if short enough to be kept.
    pub body: Option<serde_bytes::ByteBuf>,
}

/// Answer of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationReply {
    /// The claim is durable at a quorum and belongs to the asking attempt.
    Granted,
    /// The operation has ended with this answer.
    Completed(OperationAnswer),
    /// Another attempt holds the claim; its result is not known.
    Held,
    /// The key is older than the retention horizon.
    Expired,
    /// The answer or the release is recorded.
    Recorded,
    /// No such operation is recorded.
    Absent,
    /// It can't be decided now; whether the claim was recorded is not known.
    Undecided,
}

/// What the control group knows of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// What the daemon says of itself.
    pub registration: Registration,
    /// Bundle in force at its last poll.
    pub bundle_version: BundleVersion,
    /// Time since its last poll, in milliseconds.
    pub silent_for: Millis,
}

/// Starts a new group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapRequest {
    /// Unique; the same at every replica of the group. The operator's tool derives it from the
    /// voters' random identities and the bundle, so that a repeated bootstrap is the same one.
    pub group: u64,
    /// First voters; the replica asked must be among them.
    pub voters: Vec<ReplicaAddress>,
    /// First bundle: fixes the operator keys that may sign the next.
    pub bundle: SignedBundle,
}

/// Names a replica and where its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAddress {
    /// Identity, drawn at random when the data folder is made.
    pub replica: u64,
    /// Stable name from the settings, such as `control-1`.
    pub name: String,
    /// Address for messages of its peers.
    pub peer: SocketAddr,
    /// Address for daemons and operators.
    pub service: SocketAddr,
}

/// Replaces a lost replica by one with an empty data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// Replica to remove.
    pub lost: u64,
    /// Replica to admit, first as learner, as voter once it has the whole log synced.
    pub replacement: ReplicaAddress,
}

/// State of the control group as one replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The replica that answers.
    pub replica: ReplicaAddress,
    /// Group it belongs to, none before bootstrap.
    pub group: Option<u64>,
    /// Current term.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<u64>,
    /// Last applied position.
    pub position: LogPosition,
    /// Voters.
    pub voters: Vec<ReplicaAddress>,
    /// Learners, not yet counted in a quorum.
    pub learners: Vec<ReplicaAddress>,
    /// Whether the replica heard from a quorum within its lease.
    pub has_quorum: bool,
}
