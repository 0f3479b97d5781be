//! The commands, one module for each group.

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

/// Runs the command given; `words` are the command line, for errors.
///
/// # Errors
/// [`CommandError`] of the command, or of the command line when it names none.
pub fn run(arguments: Arguments, words: &[String]) -> Result<(), CommandError> {
    let incomplete = || help::usage_error("no command given", words);
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
        .map_err(|error| CommandError::Unreachable(format!("can't use the network: {error}")))?
        .block_on(command)
}

/// Asks the replicas in turn; a rejection is an error.
async fn ask(
    addresses: &[SocketAddr],
    body: &RequestBody,
    timeout: Duration,
) -> Result<ReplyBody, CommandError> {
    match request_any(addresses, body, timeout).await? {
        ReplyBody::Rejected(reason) => Err(CommandError::Refused(format!("refused: {reason}"))),
        reply => Ok(reply),
    }
}

/// A replica answered with another kind of reply than the request has.
fn unexpected_reply(request: &RequestBody) -> CommandError {
    let text = "a replica gave an answer of the wrong kind".to_owned();
    if request.changes_state() {
        return CommandError::Undecided(text);
    }
    CommandError::Unreachable(text)
}
