//! Operators' requests about the control group: bootstrap, status and replacement of replicas.

use super::{LogPosition, SignedBundle};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request to start a new group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapRequest {
    /// Unique id of the group, the same at every replica. The operator's tool derives it from the voters'
    /// random identities and the bundle, so that a repeated bootstrap has the same id.
    pub group: u64,
    /// First voters; the replica that receives the request must be among them.
    pub voters: Vec<ReplicaAddress>,
    /// First bundle; determines the operator keys that may sign the next.
    pub bundle: SignedBundle,
}

/// Identity, name and addresses of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAddress {
    /// Identity, drawn at random when the data folder is created.
    pub replica: u64,
    /// Stable name from the settings, such as `control-1`.
    pub name: String,
    /// Address for messages from other replicas.
    pub peer: SocketAddr,
    /// Address for daemons and operators.
    pub service: SocketAddr,
}

/// Request to replace a lost replica by one with an empty data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// Replica to remove.
    pub lost: u64,
    /// Replica to add, first as learner, then as voter once it has synced the whole log.
    pub replacement: ReplicaAddress,
}

/// State of the control group as known to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The replica that answers.
    pub replica: ReplicaAddress,
    /// Group it belongs to; `None` before bootstrap.
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
    /// Whether the replica had contact with a quorum within its lease.
    pub has_quorum: bool,
}
