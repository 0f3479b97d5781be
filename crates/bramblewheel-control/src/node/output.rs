//! What a node asks its driver to do.

use super::message::PeerMessage;
use bramblewheel_protocol::control::ReplyBody;
use bramblewheel_replication::{ReplicaId, Snapshot, Write};

/// Names a client's request so that its reply can be matched; the driver never uses one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientRequestId(pub u64);

/// What the driver must do, in this order: sync `write` and `snapshot` (see
/// [`Durable`](super::durable::Durable)), call [`persisted`](super::ControlNode::persisted), then
/// send `messages` and `replies`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeOutput {
    /// To be synced before anything else here is done.
    pub write: Write,
    /// Own snapshot, to be stored in place of the entries it covers.
    pub snapshot: Option<Snapshot>,
    /// Group the replica has joined, to be noted in its identity.
    pub joined_group: Option<u64>,
    /// To be sent; may be lost.
    pub messages: Vec<(ReplicaId, PeerMessage)>,
    /// To be given to the clients that still wait.
    pub replies: Vec<(ClientRequestId, ReplyBody)>,
}

impl NodeOutput {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
