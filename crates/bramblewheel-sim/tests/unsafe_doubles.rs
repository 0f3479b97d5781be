//! Each checker of kind `control` reports the unsafe double that breaks its promise.

use bramblewheel_sim::control::check::Promise;
use bramblewheel_sim::control::{self, UnsafeDouble};
use bramblewheel_sim::run::report_control;
use bramblewheel_sim::scenario::{Body, built_in, parse};

const SEEDS: u64 = 20;

/// Lost and reordered messages make replicas lag, so that daemons switch between replicas.
const MANY_CHANGES_IN_DISORDER: &str = r#"
name = "many-changes-in-disorder"
kind = "control"
summary = "many changes in disorder"

[topology]
daemons = 8

[load]
rounds = 200
every_ms = [20, 60]

[[fault]]
kind = "disorder"
at_ms = 0
for_ms = 12000
loss_percent = 30
reorder_percent = 50

[outcomes]
in_force_within_ms = 18000
"#;

/// Seeds of a scenario on which a double breaks a promise and its checker reports it.
fn seeds_with_violation(text: &str, double: UnsafeDouble, promise: Promise) -> Vec<u64> {
    let scenario = parse("scenario.toml", text).expect("the scenario is valid");
    let Body::Control(scenario) = scenario.body else {
        panic!("the scenario is not of kind control");
    };
    let promise_name = promise.to_string();
    let is_reported = |seed: &u64| {
        let run = control::run(&scenario, *seed, Some(double));
        let report = report_control(&scenario, *seed, &run);
        let mut violations = report.violations.iter();
        violations.any(|violation| violation.promise == promise_name)
    };
    (0..SEEDS).filter(is_reported).collect()
}

fn assert_reported(scenario: &str, double: UnsafeDouble, promise: Promise) {
    let built_in = built_in(scenario).expect("the scenario is built in");
    let seeds = seeds_with_violation(built_in.text, double, promise);
    println!(
        "{double:?}: {promise} reported on {} of {SEEDS} seeds",
        seeds.len()
    );
    assert!(
        !seeds.is_empty(),
        "no seed reports that {double:?} breaks {promise}"
    );
}

#[test]
fn unsynced_replicas_lose_accepted_bundles() {
    assert_reported(
        "control-chaos",
        UnsafeDouble::UnsyncedReplica,
        Promise::AcceptedNeverLost,
    );
}

#[test]
fn unsynced_replicas_leave_folders_unreadable() {
    assert_reported(
        "torn-write",
        UnsafeDouble::UnsyncedReplica,
        Promise::SyncedStaysReadable,
    );
}

#[test]
fn reuse_of_a_lost_identity_is_reported() {
    assert_reported(
        "replica-disk-lost",
        UnsafeDouble::IdentityReuse,
        Promise::LostIdentityNeverVotes,
    );
}

#[test]
fn accepting_before_commit_loses_accepted_bundles() {
    assert_reported(
        "operators-race",
        UnsafeDouble::AcceptBeforeCommit,
        Promise::AcceptedNeverLost,
    );
}

#[test]
fn accepting_before_commit_accepts_two_bundles_of_one_version() {
    assert_reported(
        "operators-race",
        UnsafeDouble::AcceptBeforeCommit,
        Promise::OneDigestPerVersion,
    );
}

#[test]
fn last_writer_wins_accepts_two_bundles_of_one_version() {
    assert_reported(
        "operators-race",
        UnsafeDouble::LastWriterWins,
        Promise::OneDigestPerVersion,
    );
}

#[test]
fn answers_without_a_lease_delay_bundles_on_daemons() {
    assert_reported(
        "replica-silent-cutoff",
        UnsafeDouble::AnswersWithoutLease,
        Promise::InForceInTime,
    );
}

#[test]
fn a_daemon_that_installs_older_bundles_is_reported() {
    let seeds = seeds_with_violation(
        MANY_CHANGES_IN_DISORDER,
        UnsafeDouble::DaemonTakesOlder,
        Promise::OrderNeverGoesBack,
    );
    assert!(
        !seeds.is_empty(),
        "no seed reports that older bundles are installed"
    );
}

#[test]
fn a_daemon_that_uses_bundles_before_sync_returns_to_an_older_one() {
    assert_reported(
        "torn-write",
        UnsafeDouble::UnsyncedDaemon,
        Promise::OrderNeverGoesBack,
    );
}
