//! Drawing of schedules.

use super::{Action, Class, LastLoss, Schedule, Stage, Start, Step, Target};
use crate::support::founded::NO_SNAPSHOTS;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const FOUNDERS: usize = 3;
/// Entries between two snapshots in schedules with snapshots.
const SNAPSHOT_INTERVAL: u64 = 8;

/// Draws the schedule of a seed.
pub fn draw(class: Class, seed: u64) -> Schedule {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let spares = match class {
        Class::SingleLosses | Class::RepeatedLosses => 0,
        Class::OtherAddresses => random.random_range(1..=2),
        Class::Bursts => random.random_range(0..=2),
    };
    let has_snapshots = random.random_bool(0.5);
    let mut draw = Draw {
        random,
        machines: FOUNDERS + spares,
        losses_for_good_left: spares,
        steps: Vec::new(),
    };
    let rounds = draw.random.random_range(1..=3);
    for _ in 0..rounds {
        match class {
            Class::SingleLosses => draw.single_loss(),
            Class::RepeatedLosses => draw.repeated_loss(),
            Class::OtherAddresses => draw.loss_with_spares(),
            Class::Bursts => draw.bursts(),
        }
    }
    let last_loss = draw.last_loss();
    Schedule {
        seed,
        spares,
        snapshot_interval: if has_snapshots {
            SNAPSHOT_INTERVAL
        } else {
            NO_SNAPSHOTS
        },
        steps: draw.steps,
        last_loss,
    }
}

pub(super) struct Draw {
    pub(super) random: Pcg64Mcg,
    machines: usize,
    losses_for_good_left: usize,
    steps: Vec<Step>,
}

impl Draw {
    pub(super) fn millis(&mut self, range: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    pub(super) fn push(&mut self, start: Start, action: Action) {
        self.steps.push(Step { start, action });
    }

    fn machine(&mut self) -> usize {
        self.random.random_range(0..self.machines)
    }

    pub(super) fn target(&mut self) -> Target {
        if self.random.random_bool(0.3) {
            Target::Leader
        } else {
            Target::Machine(self.machine())
        }
    }

    /// Time from the loss of power of a machine to its start; often none.
    pub(super) fn down(&mut self) -> Duration {
        if self.random.random_bool(0.5) {
            Duration::ZERO
        } else {
            self.millis(100..=1_500)
        }
    }

    pub(super) fn pause(&mut self) -> Start {
        let pause = match self.random.random_range(0..4) {
            0 => self.millis(0..=20),
            1 | 2 => self.millis(0..=600),
            _ => self.millis(0..=4_000),
        };
        Start::After(pause)
    }

    /// A time near a step of a replacement.
    pub(super) fn near_stage(&mut self) -> Start {
        let stage = match self.random.random_range(0..3) {
            0 => Stage::LearnerAdded,
            1 => Stage::LostRemoved,
            _ => Stage::Promoted,
        };
        let delay = if self.random.random_bool(0.7) {
            self.millis(0..=20)
        } else {
            self.millis(0..=400)
        };
        Start::AfterStage(stage, delay)
    }

    fn start(&mut self) -> Start {
        if self.random.random_bool(0.2) {
            self.near_stage()
        } else {
            self.pause()
        }
    }

    fn single_loss(&mut self) {
        self.disturbances(3);
        let start = self.pause();
        let action = Action::LoseDisk {
            target: self.target(),
            down: self.down(),
        };
        self.push(start, action);
        self.disturbances(4);
    }

    fn repeated_loss(&mut self) {
        self.disturbances(1);
        let start = self.pause();
        let action = Action::LoseDisk {
            target: self.target(),
            down: self.down(),
        };
        self.push(start, action);
        let is_disturbed = self.random.random_bool(0.5);
        for _ in 0..self.random.random_range(1..=4) {
            if is_disturbed {
                self.disturbances(1);
            }
            self.lose_again();
        }
        self.disturbances(2);
    }

    fn lose_again(&mut self) {
        let start = match self.random.random_range(0..4) {
            0 | 1 => self.near_stage(),
            2 => Start::After(self.millis(0..=3_000)),
            _ => Start::After(self.millis(0..=60_000)),
        };
        let action = Action::LoseDisk {
            target: Target::LastLost,
            down: self.down(),
        };
        self.push(start, action);
    }

    fn loss_with_spares(&mut self) {
        self.disturbances(2);
        match self.random.random_range(0..4) {
            0 if self.losses_for_good_left > 0 => {
                self.losses_for_good_left -= 1;
                let start = self.pause();
                let target = self.target();
                self.push(start, Action::LoseForGood { target });
            }
            0 | 1 => self.repeated_loss(),
            2 => self.loss_of_the_new_replica(),
            _ => self.single_loss(),
        }
        self.disturbances(3);
    }

    /// A machine is silent until a spare replaces it, and the spare loses its disk meanwhile.
    fn loss_of_the_new_replica(&mut self) {
        let start = self.pause();
        let target = self.target();
        let period = self.millis(2_000..=6_000);
        let action = match self.random.random_range(0..3) {
            0 => Action::CutOff { target, period },
            1 => Action::Freeze { target, period },
            _ => Action::Restart {
                target,
                down: period,
            },
        };
        self.push(start, action);
        let start = self.near_stage();
        let action = Action::LoseDisk {
            target: Target::NewReplica,
            down: self.down(),
        };
        self.push(start, action);
    }

    /// Draws up to `most` faults that lose no disk, and changes between them.
    pub(super) fn disturbances(&mut self, most: usize) {
        for _ in 0..self.random.random_range(0..=most) {
            let start = self.start();
            let action = self.disturbance();
            self.push(start, action);
            if self.random.random_bool(0.5) {
                let start = self.start();
                let answer_is_lost = self.random.random_bool(0.3);
                self.push(start, Action::ChangeTable { answer_is_lost });
            }
        }
    }

    fn disturbance(&mut self) -> Action {
        let target = self.target();
        let period = self.millis(100..=5_000);
        let down = self.down();
        match self.random.random_range(0..8) {
            0 => Action::Restart { target, down },
            1 => Action::RestartAll {
                down: self.millis(0..=1_000),
            },
            2 => Action::CutOff { target, period },
            3 => Action::Freeze { target, period },
            4 => Action::Slow {
                target,
                delay: self.millis(10..=300),
                period,
            },
            5 => Action::StopLeader { down },
            _ => Action::ChangeTable {
                answer_is_lost: self.random.random_bool(0.3),
            },
        }
    }

    fn last_loss(&mut self) -> LastLoss {
        let machine = self.machine();
        if self.random.random_bool(0.5) {
            let down = self.millis(0..=1_000);
            LastLoss::DiskAndPower { machine, down }
        } else {
            let down = self.down();
            LastLoss::Disk { machine, down }
        }
    }
}
