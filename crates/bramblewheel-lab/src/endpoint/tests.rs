//! Commands to a stand-in endpoint are parsed from the form in which they are written.

use super::{EndpointChange, EndpointCommand};

#[test]
fn commands_round_trip_and_malformed_ones_are_rejected() {
    let changes = [
        EndpointChange::Daemon(([127, 0, 0, 1], 4711).into()),
        EndpointChange::Slow(2.5),
        EndpointChange::Leave,
        EndpointChange::Return,
    ];
    for change in changes {
        let command = EndpointCommand {
            endpoint: "kassa-1".to_owned(),
            change,
        };
        assert_eq!(command.to_string().parse(), Ok(command));
    }
    for wrong in [
        "",
        "kassa-1",
        "kassa-1 slow 0",
        "kassa-1 slow NaN",
        "kassa-1 daemon x",
    ] {
        assert!(wrong.parse::<EndpointCommand>().is_err(), "{wrong}");
    }
}
