//! `sim run` reports seeds in order and gives distinct exit statuses for violations and invalid input.

use bramblewheel_lab::commands::sim::{SimCommand, SimOptions, SimRunOptions, run};
use bramblewheel_lab::error::ExitStatus;
use bramblewheel_lab::sim::{SeedRange, Summary, run_seeds};
use bramblewheel_sim::scenario::built_in;

fn run_options(scenario: &str) -> SimOptions {
    let command = SimRunOptions {
        help: false,
        scenario: scenario.to_owned(),
        seeds: "0..2".parse().expect("range is valid"),
        jobs: 2,
        report: None,
    };
    SimOptions {
        help: false,
        command: Some(SimCommand::Run(command)),
    }
}

#[test]
fn seed_ranges_are_parsed_and_invalid_ones_rejected() {
    let range: SeedRange = "17..20".parse().expect("range is valid");
    assert_eq!((range.first, range.end, range.count()), (17, 20, 3));
    for wrong in ["", "5", "5..", "..5", "5..5", "6..5", "a..b", "-1..2"] {
        assert!(wrong.parse::<SeedRange>().is_err(), "{wrong}");
    }
}

#[test]
fn reports_are_in_the_order_of_seeds_and_reproducible() {
    let scenario = built_in("operators-race")
        .expect("scenario exists")
        .scenario();
    let scenario = scenario.expect("scenario is valid");
    let seeds = "3..9".parse().expect("range is valid");
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
fn violated_outcomes_and_invalid_input_have_different_exit_statuses() {
    let folder = tempfile::tempdir().expect("folder can be created");
    let text = built_in("operators-race").expect("scenario exists").text;
    let unreachable = text.replace("min_accepted = 4", "min_accepted = 1000");
    let path = folder.path().join("unreachable.toml");
    std::fs::write(&path, unreachable).expect("file can be written");
    let error =
        run(run_options(path.to_str().expect("path is UTF-8"))).expect_err("outcome does not hold");
    assert_eq!(error.status(), ExitStatus::Failed);
    std::fs::write(&path, text.replace("rounds", "ruonds")).expect("file can be written");
    let error = run(run_options(path.to_str().expect("path is UTF-8")))
        .expect_err("file has an unknown key");
    assert_eq!(error.status(), ExitStatus::BadInput);
    assert!(error.to_string().contains(":14: ruonds"), "{error}");
    let error = run(run_options("no-such-scenario")).expect_err("scenario does not exist");
    assert_eq!(error.status(), ExitStatus::BadInput);
}
