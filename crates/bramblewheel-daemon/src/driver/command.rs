//! What the driver tells the tasks that serve calls and attempts.

use bramblewheel_core::action::Answer;
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::Feedback;
use bramblewheel_types::AttemptId;
use std::net::SocketAddr;

/// What the task that serves an application's call is to do.
#[derive(Debug)]
pub enum CallCommand {
    /// Send the request to another daemon.
    Send {
        /// Address of the daemon.
        address: SocketAddr,
        /// Context to put into the headers.
        context: Box<CallContext>,
    },
    /// Close the attempt's connection.
    Cancel(AttemptId),
    /// Answer the application.
    Answer(Box<Answer>),
}

/// What the task that serves another daemon's attempt is to do.
#[derive(Debug)]
pub enum InboundCommand {
    /// Pass the request to the local endpoint.
    Dispatch,
    /// Close the connection to the local endpoint.
    Cancel,
    /// Answer the calling daemon.
    Answer(Box<Answer>, Feedback),
}
