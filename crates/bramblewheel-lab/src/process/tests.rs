//! Parsing of the log lines of child processes.

use super::{LogEvent, parse};

#[test]
fn only_listening_and_bundle_lines_are_parsed() {
    let listening = "level=INFO msg=listening listener=outbound address=\"127.0.0.1:4711\"";
    let expected = LogEvent::Listening {
        listener: "outbound".to_owned(),
        address: ([127, 0, 0, 1], 4711).into(),
    };
    assert_eq!(parse(listening), Some(expected));
    let in_force = "level=INFO msg=\"bundle in force\" source=disk version=12";
    let expected = LogEvent::BundleInForce { version: 12 };
    assert_eq!(parse(in_force), Some(expected));
    for other in [
        "",
        "thread 'main' panicked",
        "level=INFO msg=stopping reason=\"msg=listening\"",
        "level=INFO msg=listening listener=outbound address=nowhere",
        "level=INFO msg=\"bundle in force\" version=",
    ] {
        assert_eq!(parse(other), None, "{other}");
    }
}
