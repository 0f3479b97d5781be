//! Two faults at all distances from each other.

use super::{Action, LastLoss, Schedule, Start, Step};
use crate::support::founded::NO_SNAPSHOTS;
use std::time::Duration;

/// Time between two distances that are tried.
const SPACING: Duration = Duration::from_millis(3);
/// Range of the distances. The steps of a replacement follow each other in less time.
const RANGE: Duration = Duration::from_millis(600);

/// Two faults, and the shortest time between them.
#[derive(Clone, Copy, Debug)]
pub struct Pair {
    pub spares: usize,
    pub first: Action,
    pub shortest_distance: Duration,
    pub second: Action,
}

impl Pair {
    /// One schedule for each distance, with seeds from `first_seed` on.
    pub fn schedules(self, first_seed: u64) -> impl Iterator<Item = Schedule> {
        let count = RANGE.as_millis() / SPACING.as_millis();
        let count = u32::try_from(count).expect("few distances");
        (0..count).map(move |number| {
            let distance = self.shortest_distance + SPACING * number;
            self.schedule(first_seed + u64::from(number), distance)
        })
    }

    fn schedule(self, seed: u64, distance: Duration) -> Schedule {
        let first = Step {
            start: Start::After(Duration::ZERO),
            action: self.first,
        };
        let second = Step {
            start: Start::After(distance),
            action: self.second,
        };
        Schedule {
            seed,
            spares: self.spares,
            snapshot_interval: NO_SNAPSHOTS,
            steps: vec![first, second],
            last_loss: LastLoss::DiskAndPower {
                machine: 0,
                down: Duration::from_millis(100),
            },
        }
    }
}
