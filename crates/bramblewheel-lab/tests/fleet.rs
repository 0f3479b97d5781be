//! Whole fleets as processes. The tests assert that the checkers pass; they assert no speed.

use bramblewheel_sim::trace;
use rustix::process::{Pid, Signal, kill_process};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bramblewheel-lab"))
        .args(arguments)
        .output()
        .expect("lab can be started")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn torgnett_fleet_passes_all_checks() {
    let output = lab(&["fleet", "torgnett", "--seconds", "3", "--rate", "40"]);
    let report = text(&output.stdout);
    assert!(output.status.success(), "{report}{}", text(&output.stderr));
    assert!(report.ends_with("result=pass\n"), "{report}");
    for check in ["run-once", "own-whole-answer", "retry-bound", "sessions"] {
        let line = report
            .lines()
            .find(|line| line.contains(&format!("check={check} ")));
        let line = line.expect("report has a line for each check");
        assert!(!line.contains("cases=0"), "no case was checked: {line}");
    }
}

#[test]
fn a_run_is_recorded_as_a_trace_that_replays() {
    let file = concat!(env!("CARGO_TARGET_TMPDIR"), "/recorded.toml");
    let load = ["--seconds", "2", "--rate", "30", "--record", file];
    let output = lab(&[&["fleet", "museum"][..], &load].concat());
    let report = text(&output.stdout);
    assert!(output.status.success(), "{report}{}", text(&output.stderr));
    let trace = std::fs::read_to_string(file).expect("trace was written");
    let trace = trace::parse(file, &trace, &|_| Err("no files".to_owned()));
    let verdict = trace::replay(&trace.expect("recorded trace can be parsed"));
    assert!(verdict.passed(), "{:?}", verdict.differences);
    let noted = verdict.sends - verdict.stated;
    let line = format!("sends_stated={} sends_noted={noted}\n", verdict.stated);
    assert!(report.ends_with(&line), "{report} should end with {line}");
}

#[test]
fn invalid_input_exits_with_status_2() {
    let script = concat!(env!("CARGO_TARGET_TMPDIR"), "/wrong.toml");
    std::fs::write(script, "seconds = 1\nrate = 1\ndouble_share = 2\n")
        .expect("script can be written");
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

/// Time-out of every wait; reached only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn no_process_outlives_a_killed_lab() {
    let mut fleet = Command::new(env!("CARGO_BIN_EXE_bramblewheel-lab"))
        .args(["fleet", "museum", "--seconds", "60", "--rate", "1"])
        .stdout(Stdio::null())
        .spawn()
        .expect("lab can be started");
    let min_children = 20;
    wait_until("the start of the children", || {
        children_of(fleet.id()).len() >= min_children
    });
    let children = children_of(fleet.id());
    // A stopped process does not notice the end of its standard input, but must be killed too.
    let first = Pid::from_raw(children[0].cast_signed()).expect("process id is valid");
    kill_process(first, Signal::STOP).expect("child is running");
    fleet.kill().expect("lab is running");
    fleet.wait().expect("lab has exited");
    wait_until("the exit of the children", || {
        !children.iter().any(|pid| is_running(*pid))
    });
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// State and parent of a process from its `stat` file in `/proc`.
fn state_and_parent(pid: u32) -> Option<(String, u32)> {
    let line = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, after_name) = line.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace();
    Some((fields.next()?.to_owned(), fields.next()?.parse().ok()?))
}

fn children_of(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").expect("/proc can be read");
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    let pids = names.filter_map(|name| name.parse().ok());
    let is_child = |pid: &u32| state_and_parent(*pid).is_some_and(|(_, found)| found == parent);
    pids.filter(is_child).collect()
}

/// Whether a process is running. One that has exited stays listed as a zombie until its new parent reaps it.
fn is_running(pid: u32) -> bool {
    state_and_parent(pid).is_some_and(|(state, _)| state != "Z")
}
