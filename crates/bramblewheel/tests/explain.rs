//! `explain` and `retry-bound`: timelines, causes and sums from recorded logs.

mod support;

use std::path::Path;
use support::run_in;
use tempfile::TempDir;

/// Logs of all machines in the incident described in docs/incidents/.
const LOG: &str = "incident-torgnett.txt";

/// Log lines of a deployment with tenants.
const TENANTS_LOG: &str = "tenants.txt";

fn explain(request: &str) -> (i32, String) {
    explain_from(LOG, request)
}

fn explain_from(log: &str, request: &str) -> (i32, String) {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let log = data.join(log).display().to_string();
    let folder = TempDir::new().expect("a temporary folder can be created");
    let run = run_in(folder.path(), &["explain", request, &log]);
    (run.status, run.out + &run.err)
}

#[test]
fn a_request_refused_for_lack_of_capacity_shows_the_refusing_daemons() {
    let (status, text) = explain("e7e71d1c0af94618");
    assert_eq!(status, 0, "{text}");
    assert_eq!(text.matches("not admitted").count(), 3, "{text}");
    assert!(
        text.contains("cause=\"no room, last at i-99e853140d (busy 15 of 41"),
        "{text}"
    );
}

#[test]
fn a_request_with_unknown_outcome_shows_the_endpoint_whose_answer_was_lost() {
    let (status, text) = explain("9b5d824b2d3bd864");
    assert_eq!(status, 0, "{text}");
    let cause = "cause=\"the answer of i-9b87bbb184 was lost (connection)\"";
    assert!(text.contains(cause), "{text}");
}

/// Lines of different processes are ordered by time.
#[test]
fn a_request_rerouted_from_a_stopping_daemon_shows_refusal_and_attempt_in_order() {
    let (status, text) = explain("960bc8d47075828d");
    assert_eq!(status, 0, "{text}");
    let refused = text
        .find("sidecar-molde-hall-4  not admitted")
        .expect("the refusal is shown");
    let attempt = text
        .find("sidecar-molde-hall-2  attempt failed")
        .expect("the attempt is shown");
    assert!(refused < attempt, "{text}");
    assert!(
        text.contains("cause=\"the endpoint answered with an error\""),
        "{text}"
    );
}

/// Output of `explain` for the request `r-1` and a log with these lines.
fn explain_lines(lines: &str) -> String {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let log = folder.path().join("daemon.txt");
    std::fs::write(&log, lines).expect("the log can be written");
    let log = log.display().to_string();
    let run = run_in(folder.path(), &["explain", "r-1", &log]);
    run.out + &run.err
}

/// The `request ended` line may be omitted under load; the line of the attempt shows the same cause.
#[test]
fn an_attempt_failed_by_the_endpoint_is_the_cause_without_a_request_ended_line() {
    let text = explain_lines(
        "level=INFO msg=\"attempt failed\" at=1779151084422 left_ms=900 again=false attempt=2 \
         result=failed endpoint=e-1 service=kassa id=r-1\n",
    );
    assert!(
        text.contains("cause=\"the endpoint answered with an error\""),
        "{text}"
    );
}

#[test]
fn a_quarantined_request_shows_its_content() {
    let text = explain_lines(
        "level=INFO msg=quarantined at=1779151084422 revision=4 ends=3 content=0a1b id=r-1\n\
         level=INFO msg=\"request ended\" at=1779151084422 after_ms=0 outcome=quarantined id=r-1\n",
    );
    let cause = "cause=\"kept from endpoints: 3 of them ended while they ran its content 0a1b\"";
    assert!(text.contains(cause), "{text}");
}

#[test]
fn a_refusal_for_rate_limits_shows_the_limit_and_the_next_token() {
    let text = explain_lines(
        "level=INFO msg=\"not admitted\" at=1 next_token_ms=48 rate_limit_age_ms=2 rate_limit=29.2 rank=1 \
         reason=rate-limited endpoint=e-2 id=r-1\n\
         level=INFO msg=\"attempt failed\" at=2 left_ms=1999 reason=rate-limited again=false attempt=3 \
         result=rate-limited endpoint=e-2 service=kassa id=r-1\n",
    );
    let cause = "cause=\"the rate limits of endpoints were used up, last at e-2 \
                 (limit 29.2, stated 2 ms before, next token in 48 ms)\"";
    assert!(text.contains(cause), "{text}");
    let text = explain_lines(
        "level=INFO msg=\"no endpoint\" at=1 table=46 over_limits=0.83 tried=0 service=kassa id=r-1\n",
    );
    let cause = "cause=\"the rate limits of endpoints were used up\"";
    assert!(text.contains(cause), "{text}");
}

#[test]
fn an_early_refusal_shows_the_refused_share() {
    let text = explain_lines(
        "level=INFO msg=\"refused early\" at=1779151084422 refused_part=0.31 route=r-a id=r-1\n\
         level=INFO msg=\"request ended\" at=1779151084422 after_ms=0 outcome=not-run table=5 \
         route=r-a id=r-1\n",
    );
    assert!(
        text.contains("cause=\"no room for its like, 0.31 of them refused early\""),
        "{text}"
    );
}

#[test]
fn a_downstream_service_without_capacity_is_named() {
    let refused = explain_lines(
        "level=INFO msg=\"refused early\" at=1779151084422 short=registry refused_part=0.31 rank=2 \
         route=r-a id=r-1\n",
    );
    let expected = "cause=\"no room for its like at registry, 0.31 of them refused early\"";
    assert!(refused.contains(expected), "{refused}");
    let failed = explain_lines(
        "level=INFO msg=\"request ended\" at=1779151084422 short=registry after_ms=280 outcome=failed \
         table=5 route=r-a id=r-1\n",
    );
    let expected = "the endpoint answered with an error: a call found no room at registry";
    assert!(failed.contains(expected), "{failed}");
}

#[test]
fn a_request_without_log_lines_exits_with_status_1() {
    let (status, text) = explain("0000000000000000");
    assert_eq!(status, 1, "{text}");
    assert!(
        text.contains("no log line mentions request 0000000000000000"),
        "{text}"
    );
}

#[test]
fn refused_requests_of_tenants_show_key_quota_or_lease_as_cause() {
    let causes = [
        (
            "7bcab5900d900d26",
            "no valid key in table 3: nobody holds the key",
        ),
        (
            "89f7acec455a45da",
            "over the quota of yelo8118 (73 a second, 0 let in), 0.00 of its requests let in",
        ),
        (
            "5f1c0aa3d9be4471",
            "refused at once: the lease on the table is over",
        ),
    ];
    for (request, cause) in causes {
        let (status, text) = explain_from(TENANTS_LOG, request);
        assert_eq!(status, 0, "{text}");
        assert!(text.contains(&format!("cause=\"{cause}\"")), "{text}");
    }
}

/// Log lines of two daemons that use up the bound on retries.
const RETRY_BOUND_LOG: &str = "retry-bound.txt";

/// Each daemon counts with its last line that is not too old: 9 and 21.5 of 42 in the second with the highest use.
#[test]
fn retry_bound_adds_up_the_use_of_all_daemons() {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let log = data.join(RETRY_BOUND_LOG).display().to_string();
    let folder = TempDir::new().expect("a temporary folder can be created");
    let run = run_in(folder.path(), &["retry-bound", &log]);
    assert_eq!(run.status, 0, "{}", run.err);
    let lines: Vec<&str> = run.out.lines().collect();
    let stock = "service=stock at=1774724342 used_part=0.73 repeats=11 calls_of_repeats=20 allowed=42 processes=2 \
                 most_by=\"sidecar-north-2 22, sidecar-north-1 9\"";
    assert_eq!(lines[0], stock);
    assert!(lines[1].starts_with("service=reports"), "{lines:?}");
}

#[test]
fn a_retry_refused_by_the_bound_shows_the_use_downstream() {
    let (status, text) = explain_from(RETRY_BOUND_LOG, "1f2e");
    assert_eq!(status, 0, "{text}");
    assert!(text.contains("repeat refused  used_below=0.74"), "{text}");
    let cause = "cause=\"the answer of i-a70f233120 was lost\"";
    assert!(text.contains(cause), "{text}");
}

#[test]
fn a_refused_call_of_a_retried_run_shows_the_bound_as_cause() {
    let (status, text) = explain_from(RETRY_BOUND_LOG, "3b4c");
    assert_eq!(status, 0, "{text}");
    let cause =
        "cause=\"a retried run made this call, and the bound on retries at stock was used up\"";
    assert!(text.contains(cause), "{text}");
}

#[test]
fn a_refusal_by_a_stopping_daemon_is_not_shown_as_lack_of_capacity() {
    let (status, text) = explain_from(RETRY_BOUND_LOG, "5d6e");
    assert_eq!(status, 0, "{text}");
    let cause = "cause=\"refused at once: its daemon stops\"";
    assert!(text.contains(cause), "{text}");
}

/// The log of a daemon during a planned stop.
#[test]
fn a_planned_stop_is_shown_as_the_cause_of_refused_unfinished_and_cut_off_requests() {
    for (request, cause) in [
        ("r-refused", "refused at once: its daemon stops"),
        (
            "r-at-work",
            "an endpoint was still running it when its daemon had to exit",
        ),
        (
            "r-slow",
            "cut off after 4100 ms (answering) when its daemon exited",
        ),
    ] {
        let (status, text) = explain_from("planned-stop.txt", request);
        assert_eq!(status, 0, "{text}");
        assert!(text.contains(cause), "{text}");
    }
}
