//! Drawing of several faults within milliseconds of a stage of a replacement.

use super::draw::Draw;
use super::{Action, Start, Target};
use rand::RngExt;
use std::time::Duration;

impl Draw {
    /// A loss or a silent machine, and faults in quick succession while it is replaced.
    pub(super) fn bursts(&mut self) {
        self.beginning_of_replacement();
        for _ in 0..self.random.random_range(1..=3) {
            self.burst();
        }
        self.disturbances(1);
    }

    fn beginning_of_replacement(&mut self) {
        let start = self.pause();
        let target = self.target();
        let down = self.down();
        match self.random.random_range(0..4) {
            0 | 1 => self.push(start, Action::LoseDisk { target, down }),
            2 => {
                self.push(start, Action::LoseDisk { target, down });
                let down = self.millis(0..=1_000);
                self.push(Start::After(Duration::ZERO), Action::RestartAll { down });
            }
            _ => {
                let period = self.millis(2_000..=6_000);
                let action = if self.random.random_bool(0.5) {
                    Action::CutOff { target, period }
                } else {
                    Action::Freeze { target, period }
                };
                self.push(start, action);
            }
        }
    }

    fn burst(&mut self) {
        let mut start = self.near_stage();
        for _ in 0..self.random.random_range(1..=3) {
            let action = self.action_in_burst();
            self.push(start, action);
            start = Start::After(self.millis(0..=30));
        }
    }

    fn action_in_burst(&mut self) -> Action {
        let target = if self.random.random_bool(0.3) {
            Target::NewReplica
        } else {
            self.target()
        };
        let down = self.down();
        let period = self.millis(10..=2_000);
        match self.random.random_range(0..9) {
            0 | 1 => Action::LoseDisk {
                target: Target::LastLost,
                down,
            },
            2 => Action::LoseDisk { target, down },
            3 => Action::RestartAll { down },
            4 => Action::Restart { target, down },
            5 => Action::StopLeader { down },
            6 => Action::CutOff { target, period },
            7 => Action::Freeze { target, period },
            _ => Action::ChangeTable {
                answer_is_lost: self.random.random_bool(0.5),
            },
        }
    }
}
