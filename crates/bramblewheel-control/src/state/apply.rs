//! Carries committed commands out: one function for each command.
//!
//! Owns no state of its own; changes [`ControlState`] through its parts. Relies on them to decide
//! the same at every replica, from the command and the log time alone.

use super::command::{Command, ExpiredDaemon, LoggedCommand};
use super::{ControlState, MalformedState, Replacement};
use bramblewheel_protocol::control::{
    LogPosition, OperationReply, OperationRequest, PublishReply, Registration, ReplaceRequest,
    ReplicaAddress, SignedBundle,
};
use bramblewheel_protocol::routing::{
    ContentReport, EndpointRecord, EndpointState, ReplaceTable, ReplaceTableReply,
};
use bramblewheel_types::ServiceName;
use std::collections::BTreeSet;

/// Answer to the clients that asked for a command.
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

/// Which updates commands have made for the daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Another bundle is in force.
    pub bundle: bool,
    /// Services whose endpoints changed in the directory.
    pub services: BTreeSet<ServiceName>,
    /// Another route table is in force, a registered endpoint changed, or the quarantine did.
    pub routing: bool,
}

impl Changes {
    /// Adds the changes of a later command.
    pub fn add(&mut self, later: Self) {
        self.bundle |= later.bundle;
        self.services.extend(later.services);
        self.routing |= later.routing;
    }
}

/// Result of one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Answer to the clients that asked for it.
    pub outcome: Outcome,
    /// Which updates it made for the daemons.
    pub changes: Changes,
}

impl Applied {
    /// A command with an answer that changed nothing for the daemons.
    fn answered(outcome: Outcome) -> Self {
        let changes = Changes::default();
        Self { outcome, changes }
    }

    /// A command without an answer that changed nothing for the daemons.
    fn unanswered() -> Self {
        Self::answered(Outcome::Nothing)
    }
}

impl ControlState {
    /// Carries out the command of the entry at `position`.
    ///
    /// # Errors
    /// [`MalformedState`] when the bytes are no command.
    pub fn apply(
        &mut self,
        position: LogPosition,
        command: &[u8],
    ) -> Result<Applied, MalformedState> {
        let logged = LoggedCommand::decode(command)?;
        self.position = position;
        let quarantine_revision = self.quarantine.revision();
        self.advance_time(logged.proposed_at_unix_millis);
        let mut applied = self.carry_out(logged.command);
        // Time alone may end a quarantine, so that any command can change it.
        applied.changes.routing |= self.quarantine.revision() != quarantine_revision;
        Ok(applied)
    }

    /// Notes an entry without a command.
    pub fn skip(&mut self, position: LogPosition) {
        self.position = position;
    }

    /// Log time never goes back, whatever the clock of a new leader reads.
    fn advance_time(&mut self, proposed_at_unix_millis: u64) {
        self.log_time_unix_millis = self.log_time_unix_millis.max(proposed_at_unix_millis);
        if let Some(bundle) = self.bundles.in_force() {
            let retention = bundle.limits.operation_retention.0;
            self.ledger
                .forget_before(self.log_time_unix_millis.saturating_sub(retention));
        }
        self.quarantine.advance_time(self.log_time_unix_millis);
    }

    fn carry_out(&mut self, command: Command) -> Applied {
        match command {
            Command::Publish(signed) => self.publish(signed),
            Command::Operations(requests) => self.decide_operations(requests),
            Command::Directory {
                registered,
                expired,
            } => self.change_directory(registered, &expired),
            Command::Address(address) => self.change_address(address),
            Command::BeginReplacement(request) => self.begin_replacement(&request),
            Command::EndReplacement(new) => self.end_replacement(new),
            Command::ReplaceTable(request) => self.replace_table(request),
            Command::Endpoints(reports) => self.register_endpoints(reports),
            Command::Contents(reports) => self.report_contents(&reports),
        }
    }

    fn publish(&mut self, signed: SignedBundle) -> Applied {
        let version = self.bundles.version();
        let reply = self.bundles.publish(signed, self.position);
        Applied {
            outcome: Outcome::Publish(reply),
            changes: Changes {
                bundle: self.bundles.version() != version,
                ..Changes::default()
            },
        }
    }

    fn decide_operations(&mut self, requests: Vec<OperationRequest>) -> Applied {
        let now = self.log_time_unix_millis;
        let requests = requests.into_iter();
        let replies = requests.map(|request| self.ledger.apply(now, request));
        Applied::answered(Outcome::Operations(replies.collect()))
    }

    fn change_directory(
        &mut self,
        registered: Vec<Registration>,
        expired: &[ExpiredDaemon],
    ) -> Applied {
        let mut changes = Changes {
            services: self.directory.apply(registered, expired),
            ..Changes::default()
        };
        for gone in expired {
            let is_back = self.directory.daemon(&gone.daemon).is_some();
            changes.routing |= !is_back && self.registry.silence_daemon(&gone.daemon);
        }
        Applied {
            outcome: Outcome::Nothing,
            changes,
        }
    }

    fn change_address(&mut self, address: ReplicaAddress) -> Applied {
        self.addresses.insert(address.replica, address);
        Applied::unanswered()
    }

    /// Left out when another one was begun before it; the node answers its client by the state.
    fn begin_replacement(&mut self, request: &ReplaceRequest) -> Applied {
        let current = self.replacement.as_ref();
        if let Ok(next) = Replacement::requested(current, request) {
            self.replacement = Some(next);
            self.replacement_begun_unix_millis = self.log_time_unix_millis;
        }
        Applied::unanswered()
    }

    /// Left alone when the one in progress is by another replica than `new`.
    fn end_replacement(&mut self, new: u64) -> Applied {
        let is_current = |current: &mut Replacement| current.new_replica().replica == new;
        self.replacement.take_if(is_current);
        Applied::unanswered()
    }

    fn replace_table(&mut self, request: ReplaceTable) -> Applied {
        let version = self.tables.version();
        let reply = self.tables.replace(request);
        Applied {
            outcome: Outcome::Table(reply),
            changes: Changes {
                routing: self.tables.version() != version,
                ..Changes::default()
            },
        }
    }

    fn register_endpoints(&mut self, reports: Vec<EndpointRecord>) -> Applied {
        let revision = self.registry.revision();
        let reports = reports.into_iter();
        let states = reports.map(|report| self.registry.register(report));
        let states = states.collect();
        Applied {
            outcome: Outcome::Endpoints(states),
            changes: Changes {
                routing: self.registry.revision() != revision,
                ..Changes::default()
            },
        }
    }

    /// Whether the quarantine changed is found in [`ControlState::apply`].
    fn report_contents(&mut self, reports: &[ContentReport]) -> Applied {
        for report in reports {
            self.quarantine.report(self.log_time_unix_millis, report);
        }
        Applied::unanswered()
    }
}
