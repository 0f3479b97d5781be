//! Cuts the connections to one machine after the other: the side that opened a connection sees it reset, the machine hears
//! nothing more on it and no end. New connections work.

use crate::history::Strike;
use crate::plan::Machine;
use crate::run::Soak;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// Flips a bit of the seed, so that cuts have a random sequence of their own.
const CUT_SEED_BIT: u64 = 1 << 53;
/// Pause between two cuts, in milliseconds.
const PAUSE_MILLIS: RangeInclusive<u64> = 100..=500;
/// Name of a cut in the evidence of broken promises.
const FAULT_NAME: &str = "Cut";

/// Cuts machines drawn by the seed until the faults of the plan are over.
pub(crate) async fn cut_machines(soak: Arc<Soak>) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ CUT_SEED_BIT);
    let machines: Vec<Machine> = soak.controls.keys().copied().collect();
    let mut count = 0;
    while !soak.are_faults_over() {
        let machine = *machines.choose(&mut random).expect("there are machines");
        cut(&soak, machine);
        count += 1;
        let pause = random.random_range(PAUSE_MILLIS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    println!("{count} cuts");
}

fn cut(soak: &Soak, machine: Machine) {
    let now = soak.history.now();
    soak.controls[&machine].cut_connections();
    if let Machine::Daemon(daemon) = machine {
        soak.history.record_interruption(daemon, false);
    }
    soak.history.events().strikes.push(Strike {
        machine,
        fault: FAULT_NAME.to_owned(),
        from: now,
        until: Some(now),
    });
}
