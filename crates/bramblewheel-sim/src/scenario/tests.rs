//! Tests of parsing scenario files.

use super::*;

const VALID: &str = r#"
name = "trial"
kind = "control"
summary = "a trial"

[topology]
replicas = 3

[load]
rounds = 5

[[fault]]
kind = "kill"
target = "leader"
at_ms = [0, 100]

[outcomes]
in_force_within_ms = 18000
"#;

fn error_of(valid: &str, replacement: &str) -> String {
    assert!(
        VALID.contains(valid),
        "the text to replace is missing from the valid file"
    );
    let error = parse("trial.toml", &VALID.replace(valid, replacement));
    error.expect_err("the changed file is invalid").to_string()
}

#[test]
fn built_in_scenarios_are_valid_and_named_like_their_files() {
    for built_in in BUILT_IN {
        let scenario = built_in.scenario().expect(built_in.file);
        assert_eq!(scenario.header.name, built_in.name);
    }
}

#[test]
fn valid_file_is_parsed() {
    let scenario = parse("trial.toml", VALID).expect("valid");
    let Body::Control(body) = scenario.body else {
        panic!("expected a scenario of kind control");
    };
    assert_eq!(body.topology.replicas, 3);
    assert_eq!(body.faults[0].at_ms, MillisRange::between(0, 100));
}

#[test]
fn errors_name_file_line_and_key() {
    let unknown = error_of("replicas = 3", "replicsa = 3");
    assert!(unknown.starts_with("trial.toml:7: replicsa: "), "{unknown}");
    let reversed = error_of("at_ms = [0, 100]", "at_ms = [100, 0]");
    assert!(
        reversed.starts_with("trial.toml:15: fault[0].at_ms: "),
        "{reversed}"
    );
    let kind = error_of("kind = \"kill\"", "kind = \"kil\"");
    assert!(kind.starts_with("trial.toml:13: kind: "), "{kind}");
    let too_many = error_of("replicas = 3", "replicas = 30");
    assert!(
        too_many.starts_with("trial.toml:7: topology.replicas: "),
        "{too_many}"
    );
    let other_kind = error_of("kind = \"control\"", "kind = \"kontrol\"");
    assert!(
        other_kind.starts_with("trial.toml:3: kind: "),
        "{other_kind}"
    );
}
