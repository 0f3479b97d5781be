//! Messages and timers of the control domain.

use bramblewheel_control::node::{Hello, PeerMessage};
use bramblewheel_protocol::control::{ControlReply, ControlRequest};

/// A message of the control domain.
#[derive(Clone, Debug)]
pub enum ControlMessage {
    /// Message between replicas.
    Peer(Box<PeerEnvelope>),
    /// Request to a replica.
    Request(Box<ControlRequest>),
    /// Reply of a replica.
    Reply(Box<ControlReply>),
}

/// A message between replicas with the first frame of its connection.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// First frame of the connection.
    pub hello: Hello,
    /// The message.
    pub message: PeerMessage,
}

/// A timer of the control domain.
#[derive(Clone, Debug)]
pub enum ControlTimer {
    /// A replica's node may have work due.
    Wake,
    /// A daemon sends its next poll.
    Poll,
    /// The time-out of a daemon's poll, by id.
    PollTimeout(u64),
    /// An operator sends the next request of a task.
    Task(usize),
    /// The time-out of an operator's request, by id.
    RequestTimeout(u64),
}
