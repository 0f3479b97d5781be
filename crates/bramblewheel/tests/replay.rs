//! `replay`: verdicts, exit statuses and locations of errors.

mod support;

use std::fs;
use std::path::Path;
use support::{Run, example, run_in};
use tempfile::TempDir;

const TRACE: &str = "traces/torgnett-kills.toml";

/// Replays the example trace with the first `from` replaced by `to`; returns the run and the changed text.
fn replay_changed(from: &str, to: &str) -> (Run, String) {
    let text = fs::read_to_string(example(TRACE)).expect("the example can be read");
    let changed = text.replacen(from, to, 1);
    assert_ne!(changed, text, "`{from}` is not in the example");
    let folder = TempDir::new().expect("a temporary folder can be created");
    fs::write(folder.path().join("t.toml"), &changed).expect("the file can be written");
    (run_in(folder.path(), &["replay", "t.toml"]), changed)
}

#[test]
fn a_matching_trace_passes_and_gives_the_same_report_each_time() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let trace = example(TRACE);
    let words = ["replay", &trace.to_string_lossy(), "--report", "report"];
    let first = run_in(folder.path(), &words);
    assert_eq!((first.status, &*first.err), (0, ""));
    assert!(first.out.contains(" verdict=pass "), "{}", first.out);
    assert!(first.out.contains(" differences=0 "), "{}", first.out);
    let report = fs::read_to_string(folder.path().join("report")).expect("the report was written");
    assert_eq!(report, first.out);
    assert_eq!(run_in(folder.path(), &words).out, first.out);
}

#[test]
fn a_different_outcome_fails_and_prints_the_request() {
    let (run, text) = replay_changed("outcome = \"completed\"", "outcome = \"unknown\"");
    let before = text
        .split("outcome = \"unknown\"")
        .next()
        .expect("the trace was changed");
    let id = before
        .rsplit("id = \"")
        .next()
        .expect("the request has an id");
    let id = &id[..32];
    let expected =
        format!("difference: request {id}, send 1: stated unknown, replayed completed\n");
    assert_eq!(run.status, 1);
    assert!(run.out.starts_with(&expected), "{}", run.out);
    assert!(run.out.contains(" verdict=fail "), "{}", run.out);
    assert_eq!(run.err, "t.toml: 1 stated outcomes differ in the replay\n");
}

#[test]
fn an_invalid_trace_is_refused_with_the_location_of_the_error() {
    let (run, text) = replay_changed("gateway = \"molde-hall\"", "gateway = \"molde\"");
    let position = text.lines().position(|line| line == "gateway = \"molde\"");
    let line = position.expect("the trace was changed") + 1;
    assert_eq!(run.status, 2);
    assert_eq!(
        run.err,
        format!("t.toml:{line}: gateway: no zone `molde`\n")
    );

    let (run, _) = replay_changed("seed = ", "sede = ");
    assert_eq!(run.status, 2);
    assert!(
        run.err.starts_with("t.toml:3: sede: unknown field"),
        "{}",
        run.err
    );

    let missing = run_in(Path::new("."), &["replay", "not-there.toml"]);
    assert_eq!(missing.status, 2);
}
