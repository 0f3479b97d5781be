//! The replicated state with the log of commands applied to it.

use super::{service, signed};
use bramblewheel_control::state::{Command, ControlState, ExpiredDaemon, LoggedCommand, Outcome};
use bramblewheel_protocol::control::{
    LogPosition, OperationReply, OperationRequest, PublishReply, Registration, SignedBundle,
};

pub const START: u64 = 1_800_000_000_000;

pub struct Log {
    pub state: ControlState,
    pub index: u64,
}

impl Log {
    pub fn new() -> Self {
        let position = LogPosition { index: 1, term: 1 };
        Self {
            state: ControlState::bootstrap(7, signed(1, 1), position)
                .expect("the bundle is signed by its own operators"),
            index: 1,
        }
    }

    pub fn apply_at(&mut self, proposed_at_unix_millis: u64, command: Command) -> Outcome {
        self.index += 1;
        let logged = LoggedCommand {
            proposed_at_unix_millis,
            command,
        };
        let position = self.position();
        let applied = self.state.apply(position, &logged.encode());
        applied.expect("a command").outcome
    }

    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: 2,
        }
    }

    pub fn publish(&mut self, signed: SignedBundle) -> PublishReply {
        match self.apply_at(START, Command::Publish(signed)) {
            Outcome::Publish(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub fn operate_at(&mut self, time: u64, request: OperationRequest) -> OperationReply {
        match self.apply_at(time, Command::Operations(vec![request])) {
            Outcome::Operations(mut replies) => replies.remove(0),
            other => panic!("{other:?}"),
        }
    }

    pub fn operate(&mut self, request: OperationRequest) -> OperationReply {
        self.operate_at(START, request)
    }

    pub fn register(&mut self, registered: Vec<Registration>) {
        let expired = Vec::new();
        self.apply_at(
            START,
            Command::Directory {
                registered,
                expired,
            },
        );
    }

    pub fn expire(&mut self, registration: &Registration) {
        let expired_daemon = ExpiredDaemon {
            daemon: registration.daemon.clone(),
            incarnation: registration.incarnation,
        };
        let command = Command::Directory {
            registered: Vec::new(),
            expired: vec![expired_daemon],
        };
        self.apply_at(START, command);
    }

    pub fn live(&self, since: u64) -> (bool, Vec<String>, Vec<String>) {
        let services = [service("kassa"), service("lager")];
        let delta = self.state.directory().delta(&services, since);
        let live = delta.live.iter().map(|e| e.endpoint.to_string());
        let removed = delta.removed.iter().map(ToString::to_string);
        (delta.is_complete, live.collect(), removed.collect())
    }
}
