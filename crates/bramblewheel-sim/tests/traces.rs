//! Traces: the examples replay with their stated outcomes, differences are reported, and errors name line and field.

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

/// File names of the example traces.
fn names() -> Vec<String> {
    let entries = fs::read_dir(folder()).expect("folder exists");
    let names = entries.map(|entry| entry.expect("readable").file_name());
    let names = names.map(|name| name.to_string_lossy().into_owned());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".toml")).collect();
    names.sort();
    names
}

#[test]
fn every_example_passes_and_replays_with_equal_digest() {
    let names = names();
    assert!(names.len() >= 4, "{names:?}");
    for name in names {
        let trace = example(&name);
        let verdict = replay(&trace);
        assert!(verdict.passed(), "{name}: {}", verdict.differences[0]);
        assert!(verdict.stated > 0, "{name}: no outcome is stated");
        assert_eq!(verdict.digest, replay(&trace).digest, "{name}");
    }
}

#[test]
fn writing_and_parsing_a_trace_preserves_it() {
    for name in names() {
        let trace = example(&name);
        let written = to_toml(&trace);
        let again = parse("written", &written, &files).expect("a written trace is valid");
        assert_eq!(to_toml(&again), written, "{name}");
        assert_eq!(replay(&again).digest, replay(&trace).digest, "{name}");
    }
}

#[test]
fn changed_outcome_is_reported_with_its_request_id() {
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
fn not_run_without_a_reason_matches_any_reason() {
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
fn unmet_completed_and_recovery_expectations_are_reported() {
    let mut trace = example("museum-surge.toml");
    let payments = trace.head.expect.completed[0];
    let too_many_payments = Completed {
        at_least: payments.at_least + 1,
        ..payments
    };
    let all = Completed {
        subject: Subject::All,
        at_least: trace.requests.len() as u64 + 1,
    };
    let immediate = Recovery {
        from: Timestamp::from_millis(1_000),
        within: Duration::ZERO,
        at_least_percent: 100,
    };
    trace.head.expect.completed = vec![too_many_payments, all];
    trace.head.expect.recovery = vec![immediate];
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
fn unsafe_doubles_break_the_stated_promises() {
    let without_tokens = kinds_with("by-hand.toml", UnsafeDouble::RetryPerHop);
    assert!(without_tokens.contains(&"retries"), "{without_tokens:?}");
    let late_claims = kinds_with("torgnett-kills.toml", UnsafeDouble::ClaimAfterDispatch);
    assert!(late_claims.contains(&"ran-twice"), "{late_claims:?}");
    let false_not_run = kinds_with("torgnett-kills.toml", UnsafeDouble::NotRunOnTimeout);
    assert!(
        false_not_run.contains(&"not-run-untrue"),
        "{false_not_run:?}"
    );
}

/// Parses an example in which one text is replaced; returns the error and the line that it names.
fn error_of(name: &str, from: &str, to: &str) -> (TraceError, String) {
    let text = text_of(name);
    let changed = text.replacen(from, to, 1);
    assert_ne!(changed, text, "`{from}` is not in {name}");
    let error = parse(name, &changed, &files).expect_err(to);
    let line = changed.lines().nth(error.line - 1).unwrap_or_default();
    (error, line.to_owned())
}

#[test]
fn errors_name_line_and_field_of_invalid_values() {
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
fn errors_locate_missing_field_and_duplicate_id() {
    let text = text_of("torgnett-surge.toml");
    let at = text.find("at_us = ").expect("the example has a send");
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
fn plan_is_rejected_as_trace_and_trace_as_plan() {
    let plan = text_of("plans/torgnett-surge.toml");
    let error = parse("plan", &plan, &plan_files).expect_err("a plan is not a valid trace");
    assert_eq!(error.field.as_deref(), Some("load"));
    let trace = text_of("torgnett-surge.toml");
    let error = parse_plan("trace", &trace, &files).expect_err("a trace is not a valid plan");
    assert_eq!(error.field.as_deref(), Some("request"));
}

#[test]
fn recorded_run_replays_with_recorded_outcomes() {
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
fn run_that_violates_its_plan_is_not_recorded() {
    let text = text_of("plans/torgnett-kills.toml");
    let mut plan = parse_plan("plan", &text, &plan_files).expect("plan");
    plan.head.expect.completed[0].at_least = 10_000;
    let RecordError::Differs { first, .. } =
        record(&plan).expect_err("the stated number is out of reach");
    assert_eq!(kind(&first), "completed");
}

#[test]
fn last_listed_run_of_a_position_is_reused_for_further_runs() {
    let mut trace = example("by-hand.toml");
    let has_three_runs = |request: &Request| request.sends[0].runs.len() == 3;
    let request = trace.requests.iter_mut().find(|r| has_three_runs(r));
    let request = request.expect("a request with three runs");
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
