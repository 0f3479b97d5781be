//! Commands from the driver to the tasks that serve calls and attempts.

use bramblewheel_core::action::Answer;
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::Feedback;
use bramblewheel_types::AttemptId;
use std::net::SocketAddr;

/// Command for the task that serves an application's call.
#[derive(Debug)]
pub enum CallCommand {
    /// Send the request to another daemon.
    Send {
        /// Address of the daemon.
        address: SocketAddr,
        /// Context for the headers.
        context: Box<CallContext>,
    },
    /// Close the attempt's connection.
    Cancel(AttemptId),
    /// Answer the application.
    Answer(Box<Answer>),
}

/// Command for the task that serves another daemon's attempt.
#[derive(Debug)]
pub enum InboundCommand {
    /// Send the request to the local endpoint.
    Dispatch,
    /// Close the connection to the local endpoint.
    Cancel,
    /// Answer the calling daemon.
    Answer(Box<Answer>, Feedback),
}
