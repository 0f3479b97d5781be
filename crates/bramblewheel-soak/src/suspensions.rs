//! Suspends one daemon after the other for a short time, as a machine without a processor to spare does.

use crate::plan::Machine;
use crate::run::Soak;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Flips a bit of the seed, so that suspensions have a random sequence of their own.
const SUSPENSION_SEED_BIT: u64 = 1 << 54;
/// Pause between two suspensions, in milliseconds.
const PAUSE_MILLIS: RangeInclusive<u64> = 20..=100;

/// The flag for suspensions is not a range of times.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "--suspend-ms {stated}: expected LEAST-MOST in milliseconds, both above zero, LEAST at most MOST"
)]
pub struct InvalidRange {
    /// What was stated.
    pub stated: String,
}

/// Reads a range of times in milliseconds, stated as `LEAST-MOST`.
///
/// # Errors
/// [`InvalidRange`].
pub fn read_range(stated: &str) -> Result<RangeInclusive<u64>, InvalidRange> {
    let invalid = || InvalidRange {
        stated: stated.to_owned(),
    };
    let (least, most) = stated.split_once('-').ok_or_else(invalid)?;
    let least: u64 = least.parse().map_err(|_| invalid())?;
    let most: u64 = most.parse().map_err(|_| invalid())?;
    if least == 0 || least > most {
        return Err(invalid());
    }
    Ok(least..=most)
}

/// Suspends daemons drawn by the seed, one at a time, until the last fault of the plan has ended.
pub(crate) async fn suspend_daemons(soak: Arc<Soak>, millis: RangeInclusive<u64>) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ SUSPENSION_SEED_BIT);
    let mut count = 0;
    while !soak.are_faults_over() {
        let daemon = random.random_range(0..soak.daemons);
        let controls = &soak.controls[&Machine::Daemon(daemon)];
        soak.history.record_interruption(daemon, false);
        controls.signal(Signal::STOP);
        let suspended = Duration::from_millis(random.random_range(millis.clone()));
        tokio::time::sleep(suspended).await;
        controls.signal(Signal::CONT);
        soak.history.record_interruption(daemon, false);
        count += 1;
        let pause = Duration::from_millis(random.random_range(PAUSE_MILLIS));
        tokio::time::sleep(pause).await;
    }
    println!("{count} suspensions of daemons");
}
