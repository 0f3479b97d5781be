//! What the tasks hand to the node's thread.

use crate::node::{Hello, NodeMetrics, PeerMessage};
use bramblewheel_protocol::control::{ControlReply, ControlRequest, ReplicaAddress};
use bramblewheel_replication::ReplicaId;
use std::sync::mpsc as blocking;
use tokio::sync::{mpsc, oneshot};

/// Names a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(pub(super) u64);

/// Something for the node.
#[derive(Debug)]
pub(super) enum Input {
    /// Another replica connected; answered with whether it may go on.
    Hello(Box<Hello>, oneshot::Sender<bool>),
    /// A message of another replica.
    Peer(ReplicaId, PeerMessage),
    /// A request of a client.
    Request {
        connection: ConnectionId,
        request: Box<ControlRequest>,
        replies: mpsc::UnboundedSender<ControlReply>,
    },
    /// A client's connection ended.
    Closed(ConnectionId),
    /// The admin listener asks for counts.
    Inspect(oneshot::Sender<Inspection>),
    /// Members of a group to which this replica is to be offered as a spare.
    OfferSpare(Vec<ReplicaAddress>),
    /// A planned stop begins.
    Stop,
}

/// What the admin listener shows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inspection {
    pub(super) metrics: NodeMetrics,
    pub(super) has_group: bool,
    pub(super) is_stopping: bool,
}

/// Hands inputs to the node's thread; never waits.
pub(super) type Inputs = blocking::Sender<Input>;
