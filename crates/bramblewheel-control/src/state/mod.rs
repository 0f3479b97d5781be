//! The replicated state machine: the state that every replica derives from the committed entries.
//!
//! It reads no clock. Time is log time, the latest proposal time of any entry, so that all replicas
//! reach the same decisions.
//!
//! [`apply`] executes a command on the part of the state that it concerns; each part is a module
//! that changes only itself. The log provides order and durability: the caller must pass each
//! committed entry exactly once and in log order.

mod apply;
pub mod bundle_history;
pub mod bundles;
pub mod command;
pub mod directory;
pub mod ledger;
pub mod replacement;
pub mod routing;

pub use apply::{Applied, Changes, Outcome};
pub use bundle_history::BundleHistory;
pub use bundles::Bundles;
pub use command::{Command, ExpiredDaemon, LoggedCommand};
pub use directory::{Directory, DirectoryDelta};
pub use ledger::Ledger;
pub use replacement::Replacement;
pub use routing::{Quarantine, Registry, Tables};

use bramblewheel_protocol::control::{LogPosition, PublishReply, ReplicaAddress, SignedBundle};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Bytes do not decode as a state or command of this version of the program.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a valid {what}: {reason}")]
pub struct MalformedState {
    /// Expected type of the bytes.
    pub what: &'static str,
    /// Description of the decoding error.
    pub reason: String,
}

/// State of the control group at one position of its log.
///
/// Invariants: all replicas at the same position hold equal states; log time, ledger horizon,
/// directory revision and bundle version never go back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    group: Option<u64>,
    position: LogPosition,
    log_time_unix_millis: u64,
    bundles: Bundles,
    ledger: Ledger,
    directory: Directory,
    addresses: BTreeMap<u64, ReplicaAddress>,
    /// Absent in snapshots written before replacements were logged.
    #[serde(default)]
    replacement: Option<Replacement>,
    /// Log time at which the latest replacement began; 0 if there was none.
    #[serde(default)]
    replacement_begun_unix_millis: u64,
    #[serde(default)]
    tables: Tables,
    #[serde(default)]
    registry: Registry,
    /// Absent in snapshots written before the quarantine existed.
    #[serde(default)]
    quarantine: Quarantine,
}

impl ControlState {
    /// First state of a group with its first bundle, which must be signed by the operators that it names.
    ///
    /// # Errors
    /// The reason for which the bundle is refused.
    pub fn bootstrap(
        group: u64,
        bundle: SignedBundle,
        position: LogPosition,
    ) -> Result<Self, PublishReply> {
        let mut state = Self {
            group: Some(group),
            position,
            ..Self::default()
        };
        match state.bundles.publish(bundle, position) {
            PublishReply::Accepted { .. } => Ok(state),
            refusal => Err(refusal),
        }
    }

    /// First state of a group that starts without a bundle.
    pub fn without_bundle(group: u64, position: LogPosition) -> Self {
        Self {
            group: Some(group),
            position,
            ..Self::default()
        }
    }

    /// Encodes the whole state; equal states give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .expect("writing to a vector can't fail and all types in the state have a CBOR form");
        bytes
    }

    /// Decodes a state. Empty input gives the state before the first entry.
    ///
    /// # Errors
    /// [`MalformedState`] if the bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedState> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let malformed = |reason: String| MalformedState {
            what: "control state",
            reason,
        };
        let mut state: Self =
            ciborium::from_reader(bytes).map_err(|error| malformed(error.to_string()))?;
        state.bundles.restore_derived().map_err(malformed)?;
        state.ledger.rebuild_index();
        state.directory.rebuild_index();
        state.registry.rebuild_index();
        Ok(state)
    }

    /// Group that the state belongs to; `None` before bootstrap.
    pub fn group(&self) -> Option<u64> {
        self.group
    }

    /// Position of the last entry applied.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Latest proposal time of any entry, in milliseconds since the Unix epoch.
    pub fn log_time_unix_millis(&self) -> u64 {
        self.log_time_unix_millis
    }

    /// Accepted bundles.
    pub fn bundles(&self) -> &Bundles {
        &self.bundles
    }

    /// Run-once operations.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Route table in force.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Endpoints registered by daemons.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Contents of requests that were running at endpoints when the endpoints crashed.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Registered daemons and their endpoints.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Replacement in progress, if any.
    pub fn replacement(&self) -> Option<&Replacement> {
        self.replacement.as_ref()
    }

    /// Log time at which the latest replacement began, in milliseconds since the Unix epoch; 0 if
    /// there was none.
    pub fn replacement_begun_unix_millis(&self) -> u64 {
        self.replacement_begun_unix_millis
    }

    /// Addresses that a replica reported, if they differ from those in the membership.
    pub fn address(&self, replica: u64) -> Option<&ReplicaAddress> {
        self.addresses.get(&replica)
    }
}
