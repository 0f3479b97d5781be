//! Tests that fault plans are reproducible and keep the distances between faults that the checks rely on.

use bramblewheel_soak::disk_losses::CATCH_UP_TIME;
use bramblewheel_soak::plan::{Fault, Machine, Size, Step, plan};
use std::time::Duration;

const SIZE: Size = Size {
    replicas: 3,
    daemons: 6,
    length: Duration::from_secs(120),
};

fn affects_control(step: &Step) -> bool {
    match step.fault {
        Fault::Kill(machine)
        | Fault::KillAndWipe(machine)
        | Fault::Pause(machine)
        | Fault::SilentInwards(machine)
        | Fault::SilentOutwards(machine)
        | Fault::Silent(machine)
        | Fault::Delay(machine, _)
        | Fault::Reset(machine)
        | Fault::ReloadSeries(machine)
        | Fault::KillSeries(machine)
        | Fault::Reload(machine) => matches!(machine, Machine::Control(_)),
        Fault::KillAllControl
        | Fault::KillAllAndWipe(_)
        | Fault::ReplaceControl(_)
        | Fault::StopControl(_) => true,
        Fault::Stop(_)
        | Fault::Surge(_)
        | Fault::StopsInTurn
        | Fault::EndpointRestart(_)
        | Fault::EndpointRestartAfterLeaving(_)
        | Fault::AllEndpointsRestart
        | Fault::InvalidHeartbeats(_)
        | Fault::ForeignHeartbeats(_)
        | Fault::EndpointCrash(_)
        | Fault::EndpointLeaves(_) => false,
    }
}

#[test]
fn a_plan_is_reproducible_from_its_seed() {
    for seed in 0..50 {
        assert_eq!(plan(seed, SIZE), plan(seed, SIZE));
        assert!(plan(seed, SIZE).len() > 20, "seed {seed}");
    }
    assert_ne!(plan(1, SIZE), plan(2, SIZE));
}

fn end(step: &Step) -> Duration {
    step.at + step.lasts
}

fn control_steps(steps: &[Step]) -> Vec<&Step> {
    steps.iter().filter(|step| affects_control(step)).collect()
}

/// Replica whose disk the step takes.
fn lost_disk(step: &Step) -> Option<usize> {
    match step.fault {
        Fault::KillAndWipe(Machine::Control(replica))
        | Fault::ReplaceControl(replica)
        | Fault::KillAllAndWipe(replica) => Some(replica),
        _ => None,
    }
}

/// Replica that the step restarts, suspends or cuts off.
fn kept_away(step: &Step) -> Option<usize> {
    match step.fault {
        Fault::Kill(Machine::Control(replica))
        | Fault::Pause(Machine::Control(replica))
        | Fault::SilentInwards(Machine::Control(replica))
        | Fault::SilentOutwards(Machine::Control(replica))
        | Fault::Silent(Machine::Control(replica)) => Some(replica),
        _ => None,
    }
}

#[test]
fn faults_of_control_replicas_overlap_only_as_a_lost_disk_with_a_fault_of_another_replica() {
    let mut overlaps = 0;
    for seed in 0..50 {
        let steps = plan(seed, SIZE);
        for pair in control_steps(&steps).windows(2) {
            if pair[1].at >= end(pair[0]) {
                continue;
            }
            let lost: Vec<usize> = pair.iter().filter_map(|step| lost_disk(step)).collect();
            let away: Vec<usize> = pair.iter().filter_map(|step| kept_away(step)).collect();
            assert_eq!((lost.len(), away.len()), (1, 1), "seed {seed}: {pair:?}");
            assert_ne!(lost, away, "seed {seed}: {pair:?}");
            overlaps += 1;
        }
        for three in control_steps(&steps).windows(3) {
            let is_pair = three[1].at < end(three[0]);
            let is_over = three[2].at >= end(three[0]).max(end(three[1]));
            assert!(!is_pair || is_over, "seed {seed}: {three:?}");
        }
    }
    assert!(overlaps > 0);
}

#[test]
fn no_disk_is_lost_while_another_machine_counts_as_lost() {
    for seed in 0..500 {
        let steps = plan(seed, SIZE);
        let losses: Vec<&Step> = steps.iter().filter(|s| lost_disk(s).is_some()).collect();
        for pair in losses.windows(2) {
            let is_same = lost_disk(pair[0]) == lost_disk(pair[1]);
            let is_whole = pair[1].at >= end(pair[0]) + CATCH_UP_TIME;
            assert!(is_same || is_whole, "seed {seed}: {pair:?}");
        }
    }
}

#[test]
fn a_disk_is_lost_again_before_and_after_its_replacement() {
    let mut early = 0;
    let mut late = 0;
    for seed in 0..50 {
        let steps = plan(seed, SIZE);
        let losses: Vec<&Step> = steps.iter().filter(|s| lost_disk(s).is_some()).collect();
        for pair in losses.windows(2) {
            if lost_disk(pair[0]) != lost_disk(pair[1]) {
                continue;
            }
            match pair[1].at - end(pair[0]) {
                gap if gap < Duration::from_secs(3) => early += 1,
                gap if gap >= CATCH_UP_TIME && gap < Duration::from_secs(20) => late += 1,
                _ => {}
            }
        }
    }
    assert!(early > 10 && late > 10, "{early} and {late}");
}

#[test]
fn replicas_are_replaced_at_new_addresses_in_series() {
    let is_replacement = |step: &&Step| matches!(step.fault, Fault::ReplaceControl(_));
    let mut series = 0;
    for seed in 0..50 {
        let steps = plan(seed, SIZE);
        let replacements: Vec<&Step> = steps.iter().filter(is_replacement).collect();
        let next_to_each_other = |pair: &&[&Step]| pair[1].at - end(pair[0]) < CATCH_UP_TIME * 2;
        series += replacements.windows(2).filter(next_to_each_other).count();
    }
    assert!(series > 10, "{series}");
}

#[test]
fn a_run_ends_with_the_loss_of_a_disk_and_of_all_processes() {
    for seconds in [30, 45, 120] {
        let length = Duration::from_secs(seconds);
        for seed in 0..50 {
            let steps = plan(seed, Size { length, ..SIZE });
            let (last, others) = steps.split_last().expect("a plan has steps");
            let is_of_all = matches!(last.fault, Fault::KillAllAndWipe(_));
            assert!(is_of_all, "seed {seed}: {last:?}");
            assert!(
                last.lasts <= Duration::from_secs(1),
                "seed {seed}: {last:?}"
            );
            let has_others_over = others.iter().all(|step| end(step) <= last.at);
            assert!(has_others_over, "seed {seed}: {last:?}");
        }
    }
}

#[test]
fn no_other_fault_is_near_a_planned_stop() {
    for seed in 0..50 {
        let steps = plan(seed, SIZE);
        let stops: Vec<&Step> = steps
            .iter()
            .filter(|step| matches!(step.fault, Fault::Stop(_) | Fault::StopsInTurn))
            .collect();
        assert!(!stops.is_empty(), "seed {seed}");
        for stop in stops {
            let near = steps.iter().filter(|step| {
                let begins = step.at < stop.at + Duration::from_secs(7);
                let ends = step.at + step.lasts > stop.at.saturating_sub(Duration::from_secs(4));
                *step != stop && begins && ends
            });
            assert_eq!(near.count(), 0, "seed {seed} at {:?}", stop.at);
        }
    }
}
