//! Inputs that tasks send to the node's thread.

use crate::node::{Hello, NodeMetrics, PeerMessage};
use bramblewheel_protocol::control::{ControlReply, ControlRequest, GroupStatus, ReplicaAddress};
use std::sync::Arc;
use std::sync::mpsc as blocking;
use tokio::sync::{mpsc, oneshot};

/// Identifies a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(pub(super) u64);

/// An input of the node.
#[derive(Debug)]
pub(super) enum Input {
    /// Another replica connected; the answer is whether the connection is accepted.
    Hello(Box<Hello>, oneshot::Sender<bool>),
    /// A message of another replica, with the addresses that it reported on the connection.
    Peer(Arc<ReplicaAddress>, PeerMessage),
    /// A request of a client.
    Request {
        connection: ConnectionId,
        request: Box<ControlRequest>,
        replies: mpsc::UnboundedSender<ControlReply>,
    },
    /// A client's connection ended.
    Closed(ConnectionId),
    /// The admin listener requests the node's status.
    Inspect(oneshot::Sender<Inspection>),
    /// Status of a group to offer this replica to as a spare.
    OfferSpare(Box<GroupStatus>),
    /// A planned stop begins.
    Stop,
}

/// Status shown by the admin listener.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inspection {
    pub(super) metrics: NodeMetrics,
    pub(super) has_group: bool,
    pub(super) is_stopping: bool,
}

/// Sender of inputs to the node's thread; never blocks.
pub(super) type Inputs = blocking::Sender<Input>;
