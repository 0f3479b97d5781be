//! Parsing of fault scripts and the position and key that errors give.

use super::{Action, Role, Selector, Target, parse};
use std::time::Duration;

const HEAD: &str = "seconds = 5\nrate = 50\ndouble_share = 0.5\n";

fn error(text: &str) -> String {
    let error = parse("faults.toml", &format!("{HEAD}{text}"));
    error.expect_err("script is invalid").to_string()
}

#[test]
fn a_valid_script_is_parsed() {
    let text = "[[step]]\nat_ms = 100\naction = \"kill\"\ntarget = \"daemon:kassa\"\n\
                for_ms = 10\nevery_ms = 20\ntimes = 3\n";
    let script = parse("faults.toml", &format!("{HEAD}{text}")).expect("a valid script");
    assert_eq!(script.duration, Duration::from_secs(5));
    let step = &script.steps[0];
    assert_eq!((step.line, step.times), (6, 3));
    let expected = Action::Kill {
        target: Target {
            role: Role::Daemon,
            selector: Selector::Named("kassa".to_owned()),
        },
        down_for: Duration::from_millis(10),
    };
    assert_eq!(step.action, expected);
}

#[test]
fn errors_name_file_line_and_key() {
    let step = |rest: &str| error(&format!("[[step]]\nat_ms = 1\n{rest}"));
    let cases = [
        (
            step("action = \"explode\""),
            "faults.toml:6: action: unknown",
        ),
        (
            step("action = \"kill\"\nfor_ms = 1"),
            "target: missing for `kill`",
        ),
        (
            step("action = \"kill\"\ntarget = \"daemon\""),
            "faults.toml:7: target: expected ROLE:WHICH",
        ),
        (
            step("action = \"replace\"\ntarget = \"daemon:any\""),
            "faults.toml:7: target: `daemon:any` can't be used with `replace`",
        ),
        (
            step("action = \"replace\"\ntarget = \"replica:any\"\nfor_ms = 3"),
            "faults.toml:8: for_ms: not used by `replace`",
        ),
        (
            step("action = \"surge\"\nrate = 0.0\nfor_ms = 3"),
            "faults.toml:7: rate: must be above zero",
        ),
        (
            step("action = \"rolling-restart\"\nfor_ms = 3\ntimes = 2"),
            "every_ms: missing",
        ),
        (step("acton = \"kill\""), "faults.toml:6:"),
    ];
    for (error, expected) in cases {
        assert!(error.contains(expected), "{error} should say {expected}");
    }
}
