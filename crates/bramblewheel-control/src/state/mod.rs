//! The replicated state machine: what every replica makes of the committed entries.
//!
//! It reads no clock: time is that of the log, which is the latest proposal time of any entry, so
//! that all replicas decide alike.

pub mod bundle_history;
pub mod bundles;
pub mod command;
pub mod directory;
pub mod ledger;
pub mod replacement;
pub mod routing;

pub use bundle_history::BundleHistory;
pub use bundles::Bundles;
pub use command::{Command, ExpiredDaemon, LoggedCommand};
pub use directory::{Directory, DirectoryDelta};
pub use ledger::Ledger;
pub use replacement::Replacement;
pub use routing::{Quarantine, Registry, Tables};

use bramblewheel_protocol::control::{
    LogPosition, OperationReply, PublishReply, ReplicaAddress, SignedBundle,
};
use bramblewheel_protocol::routing::{EndpointState, ReplaceTableReply};
use bramblewheel_types::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
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

/// What one command came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answer to a publish.
    Publish(PublishReply),
    /// Answers to operations, in the same order.
    Operations(Vec<OperationReply>),
    /// Answer to a replacement of the route table.
    Table(ReplaceTableReply),
    /// States recorded of endpoints, in the order of the reports.
    Endpoints(Vec<EndpointState>),
    /// The command has no answer.
    Nothing,
}

/// What one command changed for the daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Another bundle is in force.
    pub bundle: bool,
    /// Services whose endpoints changed.
    pub services: BTreeSet<ServiceName>,
    /// Another route table is in force, a registered endpoint changed, or the quarantine did.
    pub routing: bool,
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

    /// Carries out the command of the entry at `position`.
    ///
    /// # Errors
    /// [`MalformedState`] when the bytes are no command.
    pub fn apply(
        &mut self,
        position: LogPosition,
        command: &[u8],
    ) -> Result<(Outcome, Changes), MalformedState> {
        let LoggedCommand {
            proposed_at_unix_millis,
            command,
        } = LoggedCommand::decode(command)?;
        self.position = position;
        let quarantine_revision = self.quarantine.revision();
        self.advance_time(proposed_at_unix_millis);
        let mut changes = Changes::default();
        let outcome = match command {
            Command::Publish(signed) => {
                let version = self.bundles.version();
                let reply = self.bundles.publish(signed, position);
                changes.bundle = self.bundles.version() != version;
                Outcome::Publish(reply)
            }
            Command::Operations(requests) => {
                let now = self.log_time_unix_millis;
                let requests = requests.into_iter();
                let replies = requests.map(|request| self.ledger.apply(now, request));
                Outcome::Operations(replies.collect())
            }
            Command::Directory {
                registered,
                expired,
            } => {
                changes.services = self.directory.apply(registered, &expired);
                for gone in &expired {
                    let is_back = self.directory.daemon(&gone.daemon).is_some();
                    changes.routing |= !is_back && self.registry.silence_daemon(&gone.daemon);
                }
                Outcome::Nothing
            }
            Command::Address(address) => {
                self.addresses.insert(address.replica, address);
                Outcome::Nothing
            }
            Command::BeginReplacement(request) => {
                // Refused when another one was begun before it; its client finds that out.
                let current = self.replacement.as_ref();
                if let Ok(next) = Replacement::requested(current, &request) {
                    self.replacement = Some(next);
                    self.replacement_begun_unix_millis = self.log_time_unix_millis;
                }
                Outcome::Nothing
            }
            Command::EndReplacement(new) => {
                let is_current = |current: &mut Replacement| current.new_replica().replica == new;
                self.replacement.take_if(is_current);
                Outcome::Nothing
            }
            Command::ReplaceTable(request) => {
                let version = self.tables.version();
                let reply = self.tables.replace(request);
                changes.routing = self.tables.version() != version;
                Outcome::Table(reply)
            }
            Command::Endpoints(reports) => {
                let revision = self.registry.revision();
                let reports = reports.into_iter();
                let states = reports.map(|report| self.registry.register(report));
                let states = states.collect();
                changes.routing = self.registry.revision() != revision;
                Outcome::Endpoints(states)
            }
            Command::Contents(reports) => {
                for report in &reports {
                    self.quarantine.report(self.log_time_unix_millis, report);
                }
                Outcome::Nothing
            }
        };
        changes.routing |= self.quarantine.revision() != quarantine_revision;
        Ok((outcome, changes))
    }

    /// Notes an entry without a command.
    pub fn skip(&mut self, position: LogPosition) {
        self.position = position;
    }

    /// Log time never goes back, whatever the clock of a new leader says.
    fn advance_time(&mut self, proposed_at: u64) {
        self.log_time_unix_millis = self.log_time_unix_millis.max(proposed_at);
        if let Some(bundle) = self.bundles.in_force() {
            let retention = bundle.limits.operation_retention.0;
            self.ledger
                .forget_before(self.log_time_unix_millis.saturating_sub(retention));
        }
        self.quarantine.advance_time(self.log_time_unix_millis);
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

    /// Requests under which endpoints ended.
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

    /// Where a replica said it can be reached, if that differs from its admission.
    pub fn address(&self, replica: u64) -> Option<&ReplicaAddress> {
        self.addresses.get(&replica)
    }
}
