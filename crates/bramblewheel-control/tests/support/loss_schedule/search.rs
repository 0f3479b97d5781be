//! Runs of many schedules, and their report.

use super::inspection::{Defect, describe};
use super::moments::Pair;
use super::run::{Failure, Phase, Run};
use super::{Class, Schedule, draw};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Seeds of two parts of a class are this far apart.
const SEEDS_PER_PART: u64 = 1_000_000;
/// Failures that are reported with their steps and events.
const TRACED_FAILURES: usize = 3;
/// Events reported of a failure, counted from the end.
const TRACED_EVENTS: usize = 120;

/// Runs the schedules of one part of a class.
///
/// The environment variable `BRAMBLEWHEEL_SCHEDULES` sets their number, `BRAMBLEWHEEL_SCHEDULE_SEED` the first
/// seed. With the latter alone, only this seed is run.
///
/// # Panics
/// If a group is not whole after a schedule.
pub fn search(class: Class, part: u64, count: u64) {
    let schedules = seeds(part, count).map(|seed| draw(class, seed));
    expect_recovery(&format!("{class:?}, part {part}"), schedules);
}

/// Runs pairs of faults at all distances from each other.
///
/// # Panics
/// If a group is not whole after a schedule.
pub fn search_moments(pairs: &[Pair]) {
    let numbered = (0..).zip(pairs);
    let schedules = numbered.flat_map(|(number, pair)| pair.schedules(number * SEEDS_PER_PART));
    expect_recovery("moments", schedules);
}

fn expect_recovery(name: &str, schedules: impl Iterator<Item = Schedule>) {
    let mut total = 0;
    let mut failures = Vec::new();
    for schedule in schedules {
        total += 1;
        if let Err((failure, trace)) = execute(&schedule) {
            if failures.len() < TRACED_FAILURES {
                println!("{name}: {schedule}{trace}{failure:?}\n");
            }
            failures.push((schedule.seed, failure));
        }
    }
    println!("{name}: {total} schedules, {} failed", failures.len());
    assert!(failures.is_empty(), "{}", summary(name, total, &failures));
}

fn seeds(part: u64, count: u64) -> Range<u64> {
    let stated_count = number_in("BRAMBLEWHEEL_SCHEDULES");
    let stated_first = number_in("BRAMBLEWHEEL_SCHEDULE_SEED");
    let default_count = if stated_first.is_some() { 1 } else { count };
    let first = stated_first.unwrap_or(part * SEEDS_PER_PART);
    let count = stated_count.unwrap_or(default_count);
    first..first + count
}

fn number_in(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a number"))
}

fn execute(schedule: &Schedule) -> Result<(), (Failure, String)> {
    let mut run = Run::new(schedule.clone());
    let result = catch_unwind(AssertUnwindSafe(|| run.execute()));
    let failure = match result {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(failure)) => failure,
        Err(_) => Failure {
            phase: Phase::DuringFaults,
            defects: BTreeSet::from([Defect::Panicked]),
            detail: "see the message above".to_owned(),
        },
    };
    Err((failure, trace(&run)))
}

/// Steps and events in the order of their time, and what the machines know at the end.
fn trace(run: &Run) -> String {
    let steps = run.trace.iter();
    let steps = steps.map(|(at, step)| (*at, format!("STEP {step}")));
    let events = run.cluster.events.iter();
    let events = events.map(|(at, machine, event)| (*at, format!("machine {machine}: {event:x?}")));
    let mut lines: Vec<_> = steps.chain(events).collect();
    lines.sort_by_key(|(at, _)| *at);
    let shown = lines.len().saturating_sub(TRACED_EVENTS);
    let mut text = String::new();
    for (at, line) in &lines[shown..] {
        text += &format!("  {:>7} ms {line}\n", at.as_millis());
    }
    text + &describe(&run.cluster, &run.faults.machines_with_power())
}

fn summary(name: &str, total: usize, failures: &[(u64, Failure)]) -> String {
    let mut kinds: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (seed, failure) in failures {
        let defects: Vec<_> = failure.defects.iter().map(ToString::to_string).collect();
        let kind = format!("{:?}: {}", failure.phase, defects.join(" "));
        kinds.entry(kind).or_default().push(*seed);
    }
    let mut text = format!("{name}: {} of {total} schedules failed", failures.len());
    for (kind, seeds) in kinds {
        text += &format!("\n  {} {kind}; seeds {seeds:?}", seeds.len());
    }
    text
}
