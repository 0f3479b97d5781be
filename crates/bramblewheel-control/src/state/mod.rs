//! The replicated state machine: the state that every replica derives from the committed entries.
//!
//! It reads no clock: time is that of the log, which is the latest proposal time of any entry, so
//! that all replicas decide alike.
//!
//! Owns the bundles, the ledger of run-once operations, the directory of daemons, the addresses of
//! replicas, the replacement in progress, the route table, the registry of endpoints and the
//! quarantine; each of them is a module that changes only itself. [`apply`] carries a command to
//! them. Relies on the log for order and durability: the caller passes each committed entry once,
//! in the order of the log.

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

/// Bytes are not a state or command of this program; nothing can be decided from them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a valid {what}: {reason}")]
pub struct MalformedState {
    /// What the bytes should be.
    pub what: &'static str,
    /// What is wrong.
    pub reason: String,
}

/// State of the control group at one position of its log.
///
/// Invariants: equal at every replica at the same position; log time, horizon, directory revision
/// and bundle version never go back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    group: Option<u64>,
    position: LogPosition,
    log_time_unix_millis: u64,
    bundles: Bundles,
    ledger: Ledger,
    directory: Directory,
    addresses: BTreeMap<u64, ReplicaAddress>,
    /// Absent in snapshots of before it was in the log.
    #[serde(default)]
    replacement: Option<Replacement>,
    /// Log time at which the latest replacement was begun; 0 for none.
    #[serde(default)]
    replacement_begun_unix_millis: u64,
    #[serde(default)]
    tables: Tables,
    #[serde(default)]
    registry: Registry,
    /// Absent in snapshots of before there was one.
    #[serde(default)]
    quarantine: Quarantine,
}

impl ControlState {
    /// First state of a group: its first bundle, which its own operators signed.
    ///
    /// # Errors
    /// The refusal of the bundle.
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

    /// First state of a group that begins without a bundle.
    pub fn without_bundle(group: u64, position: LogPosition) -> Self {
        Self {
            group: Some(group),
            position,
            ..Self::default()
        }
    }

    /// Deterministic bytes of the whole state.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .expect("a vector takes every write and the state has only types that CBOR has");
        bytes
    }

    /// Reads back a state; no bytes are the state before the first entry.
    ///
    /// # Errors
    /// [`MalformedState`] when the bytes are no state.
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
        state.bundles.restore().map_err(malformed)?;
        state.ledger.restore();
        state.directory.restore();
        state.registry.restore();
        Ok(state)
    }

    /// Group the state belongs to, none before bootstrap.
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

    /// Bundles accepted.
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

    /// Endpoints that daemons registered.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Contents of requests that ran at endpoints when these crashed.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Daemons and endpoints.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The replacement in progress.
    pub fn replacement(&self) -> Option<&Replacement> {
        self.replacement.as_ref()
    }

    /// Log time at which the latest replacement was begun, in milliseconds since the Unix epoch; 0
    /// for none.
    pub fn replacement_begun_unix_millis(&self) -> u64 {
        self.replacement_begun_unix_millis
    }

    /// Addresses that a replica reported, if they differ from those it was admitted with.
    pub fn address(&self, replica: u64) -> Option<&ReplicaAddress> {
        self.addresses.get(&replica)
    }
}
