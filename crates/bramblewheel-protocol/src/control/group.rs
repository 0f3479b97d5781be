//! The control group itself, for operators: its bootstrap, its members, their replacement.

use super::{LogPosition, SignedBundle};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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
    /// Whether the replica had contact with a quorum within its lease.
    pub has_quorum: bool,
}
