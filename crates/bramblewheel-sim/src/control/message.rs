//! What the processes of the control domain send each other.

use bramblewheel_control::node::{Hello, PeerMessage};
use bramblewheel_protocol::control::{ControlReply, ControlRequest};

/// A message of the control domain.
#[derive(Clone, Debug)]
pub enum ControlMessage {
    /// Between replicas.
    Peer(Box<PeerEnvelope>),
    /// To a replica.
    Request(Box<ControlRequest>),
    /// From a replica.
    Reply(Box<ControlReply>),
}

/// A message between replicas with what the connection it came on began with.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// First frame of the connection.
    pub hello: Hello,
    /// The message.
    pub message: PeerMessage,
}

/// What a timer of the control domain brings back.
#[derive(Clone, Debug)]
pub enum ControlTimer {
    /// A replica's node may be due.
    Wake,
    /// A daemon asks again.
    Poll,
    /// A daemon's question had no answer in time.
    PollTimeout(u64),
    /// An operator begins a task.
    Task(usize),
    /// An operator's request had no answer in time.
    RequestTimeout(u64),
}
