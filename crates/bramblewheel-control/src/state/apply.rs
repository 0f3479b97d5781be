//! Executes committed commands, one function per command.
//!
//! Every decision depends only on the state, the command and the log time, so that all replicas
//! reach the same result.

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

/// Reply to the clients whose requests the command carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Reply to a publish.
    Publish(PublishReply),
    /// Replies to operations, in the order of the requests.
    Operations(Vec<OperationReply>),
    /// Reply to a replacement of the route table.
    Table(ReplaceTableReply),
    /// Recorded states of the endpoints, in the order of the reports.
    Endpoints(Vec<EndpointState>),
    /// The command has no reply.
    Nothing,
}

/// Changes made by commands that daemons must be told of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The bundle in force changed.
    pub bundle: bool,
    /// Services whose endpoints changed in the directory.
    pub services: BTreeSet<ServiceName>,
    /// The route table in force, a registered endpoint or the quarantine changed.
    pub routing: bool,
}

impl Changes {
    /// Merges in the changes of a later command.
    pub fn merge(&mut self, later: Self) {
        self.bundle |= later.bundle;
        self.services.extend(later.services);
        self.routing |= later.routing;
    }
}

/// Result of one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Reply to the clients.
    pub outcome: Outcome,
    /// Changes for the daemons.
    pub changes: Changes,
    /// The replica whose address was recorded.
    pub changed_address: Option<u64>,
}

impl Applied {
    /// A command with a reply that changed nothing for the daemons.
    fn with_reply(outcome: Outcome) -> Self {
        Self {
            outcome,
            changes: Changes::default(),
            changed_address: None,
        }
    }

    /// A command without a reply that changed nothing for the daemons.
    fn without_reply() -> Self {
        Self::with_reply(Outcome::Nothing)
    }
}

impl ControlState {
    /// Executes the command of the entry at `position`.
    ///
    /// # Errors
    /// [`MalformedState`] if the bytes are not a valid command.
    pub fn apply(
        &mut self,
        position: LogPosition,
        command: &[u8],
    ) -> Result<Applied, MalformedState> {
        let logged = LoggedCommand::decode(command)?;
        self.position = position;
        let quarantine_revision = self.quarantine.revision();
        self.advance_time(logged.proposed_at_unix_millis);
        let mut applied = self.execute(logged.command);
        // Any command advances log time, and a quarantine may end by time alone.
        applied.changes.routing |= self.quarantine.revision() != quarantine_revision;
        Ok(applied)
    }

    /// Advances the position over an entry without a command.
    pub fn skip(&mut self, position: LogPosition) {
        self.position = position;
    }

    /// Advances log time. It never goes back, even if the clock of a new leader is behind.
    fn advance_time(&mut self, proposed_at_unix_millis: u64) {
        self.log_time_unix_millis = self.log_time_unix_millis.max(proposed_at_unix_millis);
        if let Some(bundle) = self.bundles.in_force() {
            let retention = bundle.limits.operation_retention.0;
            self.ledger
                .forget_before(self.log_time_unix_millis.saturating_sub(retention));
        }
        self.quarantine.advance_time(self.log_time_unix_millis);
    }

    fn execute(&mut self, command: Command) -> Applied {
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
            changed_address: None,
        }
    }

    fn decide_operations(&mut self, requests: Vec<OperationRequest>) -> Applied {
        let now = self.log_time_unix_millis;
        let requests = requests.into_iter();
        let replies = requests.map(|request| self.ledger.apply(now, request));
        Applied::with_reply(Outcome::Operations(replies.collect()))
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
        for expired in expired {
            let is_registered = self.directory.daemon(&expired.daemon).is_some();
            changes.routing |=
                !is_registered && self.registry.mark_endpoints_silent(&expired.daemon);
        }
        Applied {
            outcome: Outcome::Nothing,
            changes,
            changed_address: None,
        }
    }

    fn change_address(&mut self, address: ReplicaAddress) -> Applied {
        let replica = address.replica;
        self.addresses.insert(replica, address);
        Applied {
            changed_address: Some(replica),
            ..Applied::without_reply()
        }
    }

    /// Ignores the request if it conflicts with the replacement in progress; the node derives the
    /// reply to its client from the state.
    fn begin_replacement(&mut self, request: &ReplaceRequest) -> Applied {
        let current = self.replacement.as_ref();
        if let Ok(next) = Replacement::from_request(current, request) {
            self.replacement = Some(next);
            self.replacement_begun_unix_millis = self.log_time_unix_millis;
        }
        Applied::without_reply()
    }

    /// Ends the replacement in progress if `new` is its new replica, otherwise does nothing.
    fn end_replacement(&mut self, new: u64) -> Applied {
        let is_current = |current: &mut Replacement| current.new_replica().replica == new;
        self.replacement.take_if(is_current);
        Applied::without_reply()
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
            changed_address: None,
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
            changed_address: None,
        }
    }

    /// [`ControlState::apply`] detects whether the quarantine changed.
    fn report_contents(&mut self, reports: &[ContentReport]) -> Applied {
        for report in reports {
            self.quarantine.report(self.log_time_unix_millis, report);
        }
        Applied::without_reply()
    }
}
