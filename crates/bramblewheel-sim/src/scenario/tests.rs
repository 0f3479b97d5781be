//! Tests of reading scenario files.

use super::*;

const GOOD: &str = r#"
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

fn error_of(good: &str, bad: &str) -> String {
    assert!(GOOD.contains(good), "the test changes what is there");
    let error = parse("trial.toml", &GOOD.replace(good, bad));
    error.expect_err("the change is wrong").to_string()
}

#[test]
fn all_built_in_scenarios_are_valid_and_named_as_their_file() {
    for built_in in BUILT_IN {
        let scenario = built_in.scenario().expect(built_in.file);
        assert_eq!(scenario.header.name, built_in.name);
    }
}

#[test]
fn a_good_file_is_read() {
    let scenario = parse("trial.toml", GOOD).expect("valid");
    let Body::Control(body) = scenario.body else {
        panic!("the file is of kind control");
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
