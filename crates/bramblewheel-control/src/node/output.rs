//! Outputs of a node for its driver.

use super::events::NodeEvent;
use super::message::PeerMessage;
use bramblewheel_protocol::control::ReplyBody;
use bramblewheel_replication::{ReplicaId, Snapshot, Write};

/// Identifies a client's request, so that its reply can be matched. The driver must not reuse an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientRequestId(pub u64);

/// Work for the driver, in this order: sync `write` and `snapshot` (see
/// [`Durable`](super::durable::Durable)), call [`persisted`](super::ControlNode::persisted), then
/// send `messages` and `replies`, and log `events`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeOutput {
    /// Changes of the log that must be synced before anything else in this output is done.
    pub write: Write,
    /// Snapshot made by this replica, to be stored in place of the entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// Group that the replica has joined, to be recorded in its identity.
    pub joined_group: Option<u64>,
    /// Messages to other replicas; they may be lost.
    pub messages: Vec<(ReplicaId, PeerMessage)>,
    /// Replies to the clients that are still connected.
    pub replies: Vec<(ClientRequestId, ReplyBody)>,
    /// Decisions and changes for the log, oldest first.
    pub events: Vec<NodeEvent>,
}

impl NodeOutput {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
