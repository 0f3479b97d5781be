//! Tests that fault plans are reproducible and keep the distances between faults that the checks rely on.

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
        Fault::KillAllControl | Fault::StopControl(_) => true,
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

#[test]
fn faults_of_control_replicas_do_not_overlap() {
    for seed in 0..50 {
        let steps = plan(seed, SIZE);
        let control: Vec<&Step> = steps.iter().filter(|step| affects_control(step)).collect();
        for pair in control.windows(2) {
            assert!(
                pair[1].at >= pair[0].at + pair[0].lasts,
                "seed {seed}: {pair:?}"
            );
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
