//! Whole fleets as processes. Only safety is asserted: that the checkers pass, not how fast.

use bramblewheel_sim::trace;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bramblewheel-lab"))
        .args(arguments)
        .output()
        .expect("the lab's own program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn torgnett_keeps_its_promises() {
    let output = lab(&["fleet", "torgnett", "--seconds", "3", "--rate", "40"]);
    let report = text(&output.stdout);
    assert!(output.status.success(), "{report}{}", text(&output.stderr));
    assert!(report.ends_with("result=pass\n"), "{report}");
    for check in ["run-once", "own-whole-answer", "retry-bound", "sessions"] {
        let line = report
            .lines()
            .find(|line| line.contains(&format!("check={check} ")));
        let line = line.expect("a line for each check");
        assert!(!line.contains("cases=0"), "nothing was checked: {line}");
    }
}

#[test]
fn a_run_is_recorded_as_a_trace_that_replays() {
    let file = concat!(env!("CARGO_TARGET_TMPDIR"), "/recorded.toml");
    let load = ["--seconds", "2", "--rate", "30", "--record", file];
    let output = lab(&[&["fleet", "museum"][..], &load].concat());
    let report = text(&output.stdout);
    assert!(output.status.success(), "{report}{}", text(&output.stderr));
    let trace = std::fs::read_to_string(file).expect("a trace");
    let trace = trace::parse(file, &trace, &|_| Err("no files".to_owned()));
    let verdict = trace::replay(&trace.expect("what is recorded can be read"));
    assert!(verdict.passed(), "{:?}", verdict.differences);
    let noted = verdict.sends - verdict.stated;
    let line = format!("sends_stated={} sends_noted={noted}\n", verdict.stated);
    assert!(report.ends_with(&line), "{report} should end with {line}");
}

#[test]
fn wrong_input_is_told_from_a_failed_check() {
    let script = concat!(env!("CARGO_TARGET_TMPDIR"), "/wrong.toml");
    std::fs::write(script, "seconds = 1\nrate = 1\ndouble_share = 2\n").expect("a file");
    let cases: [(&[&str], &str); 4] = [
        (&["fleet", "nowhere"], "there are torgnett and museum"),
        (&["fleet", "torgnett", "--rate", "0"], "--rate"),
        (
            &["fleet", "torgnett", "--script", script],
            "wrong.toml:3: double_share",
        ),
        (&["fleet"], "see `bramblewheel-lab --help`"),
    ];
    for (arguments, expected) in cases {
        let output = lab(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let error = text(&output.stderr);
        assert!(error.contains(expected), "{error} should say {expected}");
    }
}
