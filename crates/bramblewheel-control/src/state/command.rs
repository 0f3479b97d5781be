//! Types and encoding of the commands in the log.
//!
//! Names of fields and variants are part of the stored format. `apply` executes the commands.

use super::MalformedState;
use bramblewheel_protocol::control::{
    OperationRequest, Registration, ReplaceRequest, ReplicaAddress, SignedBundle,
};
use bramblewheel_protocol::routing::{ContentReport, EndpointRecord, ReplaceTable};
use bramblewheel_types::DaemonId;
use serde::{Deserialize, Serialize};

/// A command with the time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedCommand {
    /// Latest time that the wall clocks of a majority had reached according to the leader, in
    /// milliseconds since the Unix epoch.
    pub proposed_at_unix_millis: u64,
    /// The command.
    pub command: Command,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Publishes a bundle.
    Publish(SignedBundle),
    /// Run-once operations, of one or more daemons.
    Operations(Vec<OperationRequest>),
    /// Registrations and expiries of daemons. Lease renewals are not logged.
    Directory {
        /// Daemons that are new or whose registration changed.
        registered: Vec<Registration>,
        /// Daemons whose lease has expired.
        expired: Vec<ExpiredDaemon>,
    },
    /// A replica's addresses have changed.
    Address(ReplicaAddress),
    /// Begins a replacement, or changes the one in progress.
    BeginReplacement(ReplaceRequest),
    /// Ends the replacement whose new replica has this id.
    EndReplacement(u64),
    /// Replaces the route table.
    ReplaceTable(ReplaceTable),
    /// Reports of daemons on their endpoints.
    Endpoints(Vec<EndpointRecord>),
    /// Reports of daemons on contents that ran during a crash or that succeeded. An empty list only advances
    /// log time.
    Contents(Vec<ContentReport>),
}

/// A daemon whose lease has expired.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExpiredDaemon {
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation that lost contact; a later one stays registered.
    pub incarnation: u64,
}

impl LoggedCommand {
    /// Encodes the command for a log entry.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .expect("writing to a vector can't fail and all types in commands have a CBOR form");
        bytes
    }

    /// Decodes the command of a log entry.
    ///
    /// # Errors
    /// [`MalformedState`] if the bytes are not a valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedState> {
        ciborium::from_reader(bytes).map_err(|error| MalformedState {
            what: "command",
            reason: error.to_string(),
        })
    }
}
