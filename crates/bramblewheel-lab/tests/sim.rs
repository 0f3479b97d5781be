//! `sim run`: seeds in order, and errors that say what is wrong.

use bramblewheel_lab::commands::sim::{SimCommand, SimOptions, SimRunOptions, run};
use bramblewheel_lab::error::ExitStatus;
use bramblewheel_lab::sim::{SeedRange, Summary, run_seeds};
use bramblewheel_sim::scenario::built_in;

fn run_options(scenario: &str) -> SimOptions {
    let command = SimRunOptions {
        help: false,
        scenario: scenario.to_owned(),
        seeds: "0..2".parse().expect("a range"),
        jobs: 2,
        report: None,
    };
    SimOptions {
        help: false,
        command: Some(SimCommand::Run(command)),
    }
}

#[test]
fn ranges_of_seeds() {
    let range: SeedRange = "17..20".parse().expect("a range");
    assert_eq!((range.first, range.end, range.count()), (17, 20, 3));
    for wrong in ["", "5", "5..", "..5", "5..5", "6..5", "a..b", "-1..2"] {
        assert!(wrong.parse::<SeedRange>().is_err(), "{wrong}");
    }
}

#[test]
fn reports_come_in_the_order_of_seeds_and_are_the_same_each_time() {
    let scenario = built_in("operators-race").expect("there").scenario();
    let scenario = scenario.expect("valid");
    let seeds = "3..9".parse().expect("a range");
    let run_with = |jobs| {
        let mut reports = Vec::new();
        run_seeds(&scenario, seeds, jobs, |report| reports.push(report));
        reports
    };
    let reports = run_with(4);
    let order: Vec<u64> = reports.iter().map(|report| report.seed).collect();
    assert_eq!(order, [3, 4, 5, 6, 7, 8]);
    assert_eq!(reports, run_with(1));
    let mut summary = Summary::new(&scenario, seeds);
    reports.iter().for_each(|report| summary.add(report));
    assert_eq!(summary.violated(), 0);
    assert!(summary.to_json().contains("\"held\": 6"));
}

#[test]
fn an_outcome_that_does_not_hold_and_a_wrong_file_have_their_exit_status() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = built_in("operators-race").expect("there").text;
    let unreachable = text.replace("min_accepted = 4", "min_accepted = 1000");
    let path = folder.path().join("unreachable.toml");
    std::fs::write(&path, unreachable).expect("written");
    let error = run(run_options(path.to_str().expect("text"))).expect_err("it can't hold");
    assert_eq!(error.status(), ExitStatus::Failed);
    std::fs::write(&path, text.replace("rounds", "ruonds")).expect("written");
    let error = run(run_options(path.to_str().expect("text"))).expect_err("a wrong key");
    assert_eq!(error.status(), ExitStatus::BadInput);
    assert!(error.to_string().contains(":14: ruonds"), "{error}");
    let error = run(run_options("no-such-scenario")).expect_err("no such scenario");
    assert_eq!(error.status(), ExitStatus::BadInput);
}
