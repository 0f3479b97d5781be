//! Recorded traces: the examples pass, what differs is named, and bad input is located.

use bramblewheel_sim::requests::UnsafeDouble;
use bramblewheel_sim::trace::{
    Completed, Difference, RecordError, Recovery, Request, StatedOutcome, Subject, Trace,
    TraceError, parse, parse_plan, record, replay, replay_with_double, to_toml,
};
use bramblewheel_types::Timestamp;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/traces")
}

fn text_of(name: &str) -> String {
    fs::read_to_string(folder().join(name)).expect("example exists")
}

fn files(name: &str) -> Result<String, String> {
    fs::read_to_string(folder().join(name)).map_err(|error| error.to_string())
}

fn plan_files(name: &str) -> Result<String, String> {
    let path = folder().join("plans").join(name);
    fs::read_to_string(path).map_err(|error| error.to_string())
}

fn example(name: &str) -> Trace {
    parse(name, &text_of(name), &files).expect("the examples are valid")
}

/// Names of the traces among the examples.
fn names() -> Vec<String> {
    let entries = fs::read_dir(folder()).expect("folder exists");
    let names = entries.map(|entry| entry.expect("readable").file_name());
    let names = names.map(|name| name.to_string_lossy().into_owned());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".toml")).collect();
    names.sort();
    names
}

#[test]
fn each_example_passes_and_replays_alike() {
    let names = names();
    assert!(names.len() >= 4, "{names:?}");
    for name in names {
        let trace = example(&name);
        let verdict = replay(&trace);
        assert!(verdict.passed(), "{name}: {}", verdict.differences[0]);
        assert!(verdict.stated > 0, "{name} states nothing");
        assert_eq!(verdict.digest, replay(&trace).digest, "{name}");
    }
}

#[test]
fn a_trace_written_and_read_again_is_the_same() {
    for name in names() {
        let trace = example(&name);
        let written = to_toml(&trace);
        let again = parse("written", &written, &files).expect("what is written can be read");
        assert_eq!(to_toml(&again), written, "{name}");
        assert_eq!(replay(&again).digest, replay(&trace).digest, "{name}");
    }
}

#[test]
fn a_changed_outcome_is_found_and_its_request_named() {
    let mut trace = example("torgnett-kills.toml");
    let request = &mut trace.requests[100];
    let id = request.id;
    assert_eq!(request.sends[0].outcome, Some(StatedOutcome::Completed));
    request.sends[0].outcome = Some(StatedOutcome::NotRun(None));
    let differences = replay(&trace).differences;
    assert_eq!(
        differences,
        [Difference::Send {
            request: id,
            send: 1,
            stated: StatedOutcome::NotRun(None),
            replayed: StatedOutcome::Completed,
        }]
    );
    assert!(differences[0].to_string().contains(&id.to_string()));
}

#[test]
fn a_reason_counts_only_if_it_is_stated() {
    let mut trace = example("torgnett-surge.toml");
    let sends = trace.requests.iter_mut().flat_map(|r| &mut r.sends);
    let mut refused = 0;
    for send in sends {
        if let Some(StatedOutcome::NotRun(_)) = send.outcome {
            send.outcome = Some(StatedOutcome::NotRun(None));
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert!(replay(&trace).passed());
}

#[test]
fn statements_on_many_requests_can_fail() {
    let mut trace = example("museum-surge.toml");
    let payments = trace.head.expect.completed[0];
    let above = Completed {
        at_least: payments.at_least + 1,
        ..payments
    };
    let all = Completed {
        subject: Subject::All,
        at_least: trace.requests.len() as u64 + 1,
    };
    let at_once = Recovery {
        from: Timestamp::from_millis(1_000),
        within: Duration::ZERO,
        at_least_percent: 100,
    };
    trace.head.expect.completed = vec![above, all];
    trace.head.expect.recovery = vec![at_once];
    let differences = replay(&trace).differences;
    let kinds: Vec<&str> = differences.iter().map(kind).collect();
    assert_eq!(kinds, ["completed", "completed", "recovery"]);
}

fn kind(difference: &Difference) -> &'static str {
    match difference {
        Difference::Send { .. } => "send",
        Difference::Completed { .. } => "completed",
        Difference::Recovery { .. } => "recovery",
        Difference::RanTwice { .. } => "ran-twice",
        Difference::Retries { .. } => "retries",
        Difference::NotRunUntrue { .. } => "not-run-untrue",
    }
}

fn kinds_with(name: &str, double: UnsafeDouble) -> Vec<&'static str> {
    let verdict = replay_with_double(&example(name), Some(double));
    let mut kinds: Vec<_> = verdict.differences.iter().map(kind).collect();
    kinds.dedup();
    kinds
}

#[test]
fn unsafe_daemons_break_the_stated_promises() {
    let without_tokens = kinds_with("by-hand.toml", UnsafeDouble::RetryPerHop);
    assert!(without_tokens.contains(&"retries"), "{without_tokens:?}");
    let late_claims = kinds_with("torgnett-kills.toml", UnsafeDouble::ClaimAfterDispatch);
    assert!(late_claims.contains(&"ran-twice"), "{late_claims:?}");
    let untrue = kinds_with("torgnett-kills.toml", UnsafeDouble::NotRunOnTimeout);
    assert!(untrue.contains(&"not-run-untrue"), "{untrue:?}");
}

/// What is wrong after one line of an example is replaced.
fn error_of(name: &str, from: &str, to: &str) -> (TraceError, String) {
    let text = text_of(name);
    let changed = text.replacen(from, to, 1);
    assert_ne!(changed, text, "`{from}` is not in {name}");
    let error = parse(name, &changed, &files).expect_err(to);
    let line = changed.lines().nth(error.line - 1).unwrap_or_default();
    (error, line.to_owned())
}

#[test]
fn bad_lines_are_located() {
    let cases = [
        ("flow = \"price-board\"", "flow = \"price\"", "flow"),
        ("gateway = \"molde-hall\"", "gateway = \"molde\"", "gateway"),
        (
            "outcome = \"completed\"",
            "outcome = \"complete\"",
            "outcome",
        ),
        (
            "outcome = \"completed\"",
            "outcom = \"completed\"",
            "outcom",
        ),
        (
            "outcome = \"completed\"",
            "outcome = \"not-run: tired\"",
            "outcome",
        ),
        ("session = true", "session = 1", "session"),
        ("runs = [\"root ", "runs = [\"9 ", "runs"),
        ("runs = [\"root ", "runs = [\"root x ", "runs"),
        ("percent = 6000", "percent = 0", "percent"),
        (
            "service = \"beholdning\"\npercent",
            "service = \"kasse\"\npercent",
            "service",
        ),
        ("kind = \"slow\"", "kind = \"slower\"", "kind"),
        ("digest = \"", "digest = \"0", "digest"),
        ("format = 1", "format = 2", "format"),
        ("run_ms = ", "run_ms = 9", "run_ms"),
        ("region = ", "regoin = ", "deployment.text"),
        ("max_depth = ", "max_depth = 9999", "bundle.text"),
    ];
    for (from, to, field) in cases {
        let (error, line) = error_of("torgnett-surge.toml", from, to);
        assert_eq!(error.file, "torgnett-surge.toml");
        assert_eq!(error.field.as_deref(), Some(field), "{error}");
        let changed = to.lines().next().unwrap_or_default();
        assert!(line.starts_with(changed), "{error}: line is {line}");
    }
}

#[test]
fn a_field_left_out_and_a_repeated_id_are_located() {
    let text = text_of("torgnett-surge.toml");
    let at = text.find("at_us = ").expect("requests are sent at a time");
    let end = at + text[at..].find('\n').expect("line ends") + 1;
    let without = format!("{}{}", &text[..at], &text[end..]);
    let error = parse("t", &without, &files).expect_err("a field is missing");
    assert_eq!(error.field.as_deref(), Some("at_us"), "{error}");
    let line = without.lines().nth(error.line - 1);
    assert_eq!(line, Some("[[request.send]]"), "{error}");

    let trace = example("torgnett-surge.toml");
    let [first, second] = [trace.requests[0].id, trace.requests[1].id];
    let (error, line) = error_of(
        "torgnett-surge.toml",
        &second.to_string(),
        &first.to_string(),
    );
    assert_eq!(error.field.as_deref(), Some("id"));
    assert_eq!(line, format!("id = \"{first}\""));
}

#[test]
fn plans_and_traces_are_told_apart() {
    let plan = text_of("plans/torgnett-surge.toml");
    let error = parse("plan", &plan, &plan_files).expect_err("a plan is no trace");
    assert_eq!(error.field.as_deref(), Some("load"));
    let trace = text_of("torgnett-surge.toml");
    let error = parse_plan("trace", &trace, &files).expect_err("a trace is no plan");
    assert_eq!(error.field.as_deref(), Some("request"));
}

#[test]
fn a_recorded_run_replays_with_its_own_outcomes() {
    let text = text_of("plans/torgnett-kills.toml");
    for seed in [21, 22, 23] {
        let mut plan = parse_plan("plan", &text, &plan_files).expect("plan");
        plan.head.seed = seed;
        plan.head.expect.completed.clear();
        plan.head.expect.recovery.clear();
        let trace = record(&plan).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(trace.requests.len() > 200);
        assert!(trace.requests.iter().any(|request| request.sends.len() > 1));
    }
}

#[test]
fn a_run_that_breaks_its_plan_is_not_recorded() {
    let text = text_of("plans/torgnett-kills.toml");
    let mut plan = parse_plan("plan", &text, &plan_files).expect("plan");
    plan.head.expect.completed[0].at_least = 10_000;
    let RecordError::Differs { first, .. } = record(&plan).expect_err("too much is stated");
    assert_eq!(kind(&first), "completed");
}

#[test]
fn the_last_run_listed_of_a_place_stands_for_further_ones() {
    let mut trace = example("by-hand.toml");
    let is_failing = |request: &Request| request.sends[0].runs.len() == 3;
    let request = trace.requests.iter_mut().find(|r| is_failing(r));
    let request = request.expect("a request of which one run fails");
    assert!(request.sends[0].runs[1].fails);
    request.sends[0].runs.pop();
    let id = request.id;
    let differences = replay(&trace).differences;
    let failed = Difference::Send {
        request: id,
        send: 1,
        stated: StatedOutcome::Completed,
        replayed: StatedOutcome::Failed,
    };
    assert_eq!(differences, [failed]);
}
