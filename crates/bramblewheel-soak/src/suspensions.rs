//! Suspends daemons for short times, as a machine without a processor to spare does: one after the other, or several at the
//! same moment.

use crate::history::Strike;
use crate::plan::Machine;
use crate::run::Soak;
use rand::seq::index;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Flips a bit of the seed, so that suspensions have a random sequence of their own.
const SUSPENSION_SEED_BIT: u64 = 1 << 54;
/// Pause between two suspensions of one daemon, in milliseconds.
const PAUSE_MILLIS: RangeInclusive<u64> = 20..=100;
/// Pause between two suspensions of a group, in which the suspended daemons can catch up.
const GROUP_PAUSE: Duration = Duration::from_millis(1_000);
/// Name of a suspension in the evidence of broken promises.
const FAULT_NAME: &str = "Suspension";

/// A flag for suspensions is not sound.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidSuspensions {
    /// It is not a range of numbers.
    #[error(
        "{flag} {stated}: expected LEAST-MOST, both whole numbers above zero, LEAST at most MOST"
    )]
    Range {
        /// Flag.
        flag: &'static str,
        /// What was stated.
        stated: String,
    },
    /// It needs the other flag, which was not stated.
    #[error("{flag} needs {needed}")]
    Alone {
        /// Flag.
        flag: &'static str,
        /// The flag that is missing.
        needed: &'static str,
    },
}

/// Which daemons are suspended, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspensions {
    /// Length of a suspension in milliseconds.
    pub millis: RangeInclusive<u64>,
    /// Number of daemons that are suspended at the same moment; `None` for one after the other.
    pub group: Option<RangeInclusive<usize>>,
    /// Whether suspensions go on during the last fault of the plan.
    pub is_past_last_fault: bool,
}

impl Suspensions {
    /// Reads the values of the flags `--suspend-ms`, `--suspend-groups` and `--suspend-past-last-fault`; `None` without
    /// any.
    ///
    /// # Errors
    /// [`InvalidSuspensions`] for the first flag that is not sound.
    pub fn read(
        millis: Option<&str>,
        groups: Option<&str>,
        is_past_last_fault: bool,
    ) -> Result<Option<Self>, InvalidSuspensions> {
        const MILLIS: &str = "--suspend-ms";
        const GROUPS: &str = "--suspend-groups";
        let alone = |flag| InvalidSuspensions::Alone {
            flag,
            needed: MILLIS,
        };
        let Some(millis) = millis else {
            return match (groups, is_past_last_fault) {
                (Some(_), _) => Err(alone(GROUPS)),
                (None, true) => Err(alone("--suspend-past-last-fault")),
                (None, false) => Ok(None),
            };
        };
        let group = groups.map(|stated| read_range(GROUPS, stated));
        Ok(Some(Self {
            millis: read_range(MILLIS, millis)?,
            group: group.transpose()?,
            is_past_last_fault,
        }))
    }

    /// Whether a suspension may begin now.
    fn may_begin(&self, soak: &Soak) -> bool {
        if self.is_past_last_fault || self.group.is_none() {
            return !soak.are_faults_over();
        }
        let longest = Duration::from_millis(*self.millis.end());
        !soak.begins_last_fault_by(soak.history.now() + longest)
    }
}

/// Reads a range of whole numbers above zero, stated as `LEAST-MOST`.
fn read_range<T>(flag: &'static str, stated: &str) -> Result<RangeInclusive<T>, InvalidSuspensions>
where
    T: FromStr + PartialOrd + Default,
{
    let invalid = || InvalidSuspensions::Range {
        flag,
        stated: stated.to_owned(),
    };
    let (least, most) = stated.split_once('-').ok_or_else(invalid)?;
    let least: T = least.parse().map_err(|_| invalid())?;
    let most: T = most.parse().map_err(|_| invalid())?;
    if least <= T::default() || least > most {
        return Err(invalid());
    }
    Ok(least..=most)
}

/// Suspends daemons drawn by the seed until the last fault of the plan begins, or until it has ended.
pub(crate) async fn suspend_daemons(soak: Arc<Soak>, suspensions: Suspensions) {
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ SUSPENSION_SEED_BIT);
    let mut count = 0;
    while suspensions.may_begin(&soak) {
        let daemons = match &suspensions.group {
            Some(sizes) => {
                let size = random.random_range(sizes.clone()).min(soak.daemons);
                index::sample(&mut random, soak.daemons, size).into_vec()
            }
            None => vec![random.random_range(0..soak.daemons)],
        };
        let time = Duration::from_millis(random.random_range(suspensions.millis.clone()));
        suspend(&soak, &daemons, time).await;
        count += daemons.len();
        let pause = match suspensions.group {
            Some(_) => GROUP_PAUSE,
            None => Duration::from_millis(random.random_range(PAUSE_MILLIS)),
        };
        tokio::time::sleep(pause).await;
    }
    println!("{count} suspensions of daemons");
}

/// Suspends these daemons for `time`, and records it.
async fn suspend(soak: &Soak, daemons: &[usize], time: Duration) {
    let from = soak.history.now();
    signal_all(soak, daemons, Signal::STOP);
    tokio::time::sleep(time).await;
    signal_all(soak, daemons, Signal::CONT);
    let until = soak.history.now();
    let strikes = daemons.iter().map(|daemon| Strike {
        machine: Machine::Daemon(*daemon),
        fault: FAULT_NAME.to_owned(),
        from,
        until: Some(until),
    });
    soak.history.events().strikes.extend(strikes);
}

fn signal_all(soak: &Soak, daemons: &[usize], signal: Signal) {
    for daemon in daemons {
        soak.history.record_interruption(*daemon, false);
        soak.controls[&Machine::Daemon(*daemon)].signal(signal);
    }
}
