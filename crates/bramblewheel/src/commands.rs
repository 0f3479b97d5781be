//! Commands, one module per group.

mod bundle;
mod control;
mod explain;
mod fleet;
mod keys;
mod publish;
mod replay;

use crate::error::CommandError;
use crate::help;
use crate::options::{
    Arguments, BundleCommand, Command, ControlCommand, FleetCommand, KeysCommand,
};
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::request_any;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Runs the given command; `command_line` is used in error messages.
///
/// # Errors
/// [`CommandError`] of the command, or a usage error when the command line names no command.
pub fn run(arguments: Arguments, command_line: &[String]) -> Result<(), CommandError> {
    let incomplete = || help::usage_error("no command given", command_line);
    match arguments.command.ok_or_else(incomplete)? {
        Command::Bundle(group) => match group.command.ok_or_else(incomplete)? {
            BundleCommand::New(options) => bundle::new(options),
            BundleCommand::Check(options) => bundle::check(&options),
            BundleCommand::Diff(options) => bundle::diff(&options),
            BundleCommand::Sign(options) => bundle::sign(&options),
            BundleCommand::Publish(options) => block_on(publish::publish(options)),
            BundleCommand::Status(query) => block_on(publish::status(&query)),
        },
        Command::Keys(group) => match group.command.ok_or_else(incomplete)? {
            KeysCommand::New(options) => keys::new(&options),
        },
        Command::Fleet(group) => match group.command.ok_or_else(incomplete)? {
            FleetCommand::Status(query) => block_on(fleet::status(&query)),
        },
        Command::Control(group) => match group.command.ok_or_else(incomplete)? {
            ControlCommand::Status(query) => block_on(control::status(&query)),
            ControlCommand::Bootstrap(options) => block_on(control::bootstrap(&options)),
            ControlCommand::Replace(options) => block_on(control::replace(&options)),
        },
        Command::Replay(options) => replay::replay(&options),
        Command::Explain(options) => explain::explain(&options),
        Command::RetryBound(options) => explain::retry_bound(&options),
    }
}

fn block_on(command: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| {
            CommandError::Unreachable(format!("can't start the async runtime: {error}"))
        })?
        .block_on(command)
}

/// Sends a request to the replicas in turn; a rejection is returned as an error.
async fn send_request(
    addresses: &[SocketAddr],
    body: &RequestBody,
    timeout: Duration,
) -> Result<ReplyBody, CommandError> {
    match request_any(addresses, body, timeout).await? {
        ReplyBody::Rejected(reason) => Err(CommandError::Refused(format!("refused: {reason}"))),
        reply => Ok(reply),
    }
}

/// Error for a reply of a kind that does not belong to the request.
fn unexpected_reply(request: &RequestBody) -> CommandError {
    let text = "a replica sent an unexpected kind of reply".to_owned();
    if request.changes_state() {
        return CommandError::Undecided(text);
    }
    CommandError::Unreachable(text)
}
