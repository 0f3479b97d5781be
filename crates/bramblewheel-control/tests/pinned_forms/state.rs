//! Commands in the log and the state in snapshots.

use crate::forms::{Comparison, bytes_of};
use crate::messages::{address, bundle, replacement};
use crate::routing::{content_reports, record, replace_table};
use crate::support::{answer, claim, operation, registration, signed};
use bramblewheel_control::state::{Command, ControlState, ExpiredDaemon, LoggedCommand};
use bramblewheel_protocol::control::{LogPosition, OperationAction};
use bramblewheel_protocol::routing::EndpointState;
use bramblewheel_types::DaemonId;

const NOW_UNIX_MILLIS: u64 = 1_796_256_413_478;

fn logged(command: Command) -> LoggedCommand {
    LoggedCommand {
        proposed_at_unix_millis: NOW_UNIX_MILLIS,
        command,
    }
}

fn operations() -> Command {
    Command::Operations(vec![
        claim("K-1", 2, NOW_UNIX_MILLIS),
        claim("K-2", 3, NOW_UNIX_MILLIS),
        operation("K-2", 3, OperationAction::Complete(answer(201))),
        claim("K-3", 4, NOW_UNIX_MILLIS),
        operation("K-3", 4, OperationAction::Release),
    ])
}

fn directory() -> Command {
    Command::Directory {
        registered: vec![
            registration("daemon-1", "kassa", 4),
            registration("daemon-2", "kassa", 5),
        ],
        expired: vec![ExpiredDaemon {
            daemon: DaemonId::new("daemon-3").expect("a name"),
            incarnation: 6,
        }],
    }
}

/// One command of each kind.
fn commands() -> [(&'static str, Command); 9] {
    [
        ("publish", Command::Publish(bundle())),
        ("operations", operations()),
        ("directory", directory()),
        ("address", Command::Address(address(1))),
        (
            "begin-replacement",
            Command::BeginReplacement(replacement()),
        ),
        ("end-replacement", Command::EndReplacement(9)),
        ("replace-table", Command::ReplaceTable(replace_table(0))),
        (
            "endpoints",
            Command::Endpoints(vec![
                record(EndpointState::Ready, Some(7)),
                record(EndpointState::Draining, None),
            ]),
        ),
        ("contents", Command::Contents(content_reports().into())),
    ]
}

#[test]
fn commands_keep_their_form() {
    let mut comparison = Comparison::default();
    for (name, command) in commands() {
        comparison.bytes(&format!("command.{name}"), &logged(command).encode());
    }
    comparison.finish();
    for (name, command) in commands() {
        let recorded = bytes_of(&format!("command.{name}"));
        let read = LoggedCommand::decode(&recorded).expect("recorded bytes are read");
        assert_eq!(read, logged(command), "{name}");
    }
}

/// A state in which every part is filled: two bundles, operations in each phase, daemons, endpoints, a removal, an
/// address, a replacement in progress, a table and suspect contents.
fn full_state() -> ControlState {
    let first = LogPosition { index: 1, term: 1 };
    let mut state = ControlState::bootstrap(77, signed(1, 3), first).expect("accepted");
    let more = [
        Command::Publish(signed(2, 4)),
        Command::Directory {
            registered: Vec::new(),
            expired: vec![ExpiredDaemon {
                daemon: DaemonId::new("daemon-2").expect("a name"),
                incarnation: 5,
            }],
        },
    ];
    let not_in_the_state = ["publish", "end-replacement"];
    let commands = commands().into_iter();
    let commands = commands.filter(|(name, _)| !not_in_the_state.contains(name));
    let commands = commands.map(|(_, command)| command).chain(more);
    for (index, command) in (2..).zip(commands) {
        let position = LogPosition { index, term: 1 };
        let applied = state.apply(position, &logged(command).encode());
        applied.expect("a command of this program");
    }
    state
}

#[test]
fn the_state_keeps_its_form() {
    let mut comparison = Comparison::default();
    let state = full_state();
    comparison.bytes("state.full", &state.encode());
    let empty = ControlState::without_bundle(77, LogPosition { index: 1, term: 1 });
    comparison.bytes("state.empty", &empty.encode());
    comparison.finish();
    let recorded = bytes_of("state.full");
    let read = ControlState::decode(&recorded).expect("recorded bytes are read");
    assert_eq!(read, state);
    assert_eq!(read.encode(), recorded);
}
