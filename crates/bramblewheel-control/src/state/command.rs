//! Commands in the log: their types and their encoding.
//!
//! All names of fields and variants are the stored form. `apply` carries the commands out.

use super::MalformedState;
use bramblewheel_protocol::control::{
    OperationRequest, Registration, ReplaceRequest, ReplicaAddress, SignedBundle,
};
use bramblewheel_protocol::routing::{ContentReport, EndpointRecord, ReplaceTable};
use bramblewheel_types::DaemonId;
use serde::{Deserialize, Serialize};

/// A command with the time at which a leader proposed it, by the clocks of a majority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedCommand {
    /// Latest time that the wall clocks of a majority had reached, as far as the leader knew; in
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
    /// Run-once operations of any number of daemons.
    Operations(Vec<OperationRequest>),
    /// Changes of daemons. Renewals of leases are not among them.
    Directory {
        /// Daemons that are new or whose registration changed.
        registered: Vec<Registration>,
        /// Daemons whose lease is over.
        expired: Vec<ExpiredDaemon>,
    },
    /// A replica is reached at other addresses than before.
    Address(ReplicaAddress),
    /// Begins a replacement, or changes the one in progress.
    BeginReplacement(ReplaceRequest),
    /// The replacement by this replica is finished.
    EndReplacement(u64),
    /// Replaces the route table.
    ReplaceTable(ReplaceTable),
    /// Reports of daemons on the endpoints beside them.
    Endpoints(Vec<EndpointRecord>),
    /// Reports of daemons on contents that ran at crashes or succeeded; without any, only time passes.
    Contents(Vec<ContentReport>),
}

/// A daemon whose lease is over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExpiredDaemon {
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation without contact; a later one stays registered.
    pub incarnation: u64,
}

impl LoggedCommand {
    /// Bytes for an entry of the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .expect("a vector takes every write and commands have only types that CBOR has");
        bytes
    }

    /// Reads back the bytes of an entry.
    ///
    /// # Errors
    /// [`MalformedState`] when they are no command of this program.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedState> {
        ciborium::from_reader(bytes).map_err(|error| MalformedState {
            what: "command",
            reason: error.to_string(),
        })
    }
}
