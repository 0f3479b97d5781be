//! Network faults: zone cuts and message disorder.

use super::{Step, World};
use crate::kernel::Disorder;
use crate::requests::faults::FaultRecord;
use crate::requests::scenario::file::{Direction, Fault};
use crate::requests::topology::ZoneIndex;
use rand::RngExt;
use std::time::Duration;

/// An active cut of a zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cut {
    zone: ZoneIndex,
    into: bool,
    out_of: bool,
}

impl World {
    pub(super) fn begin_cut(&mut self, direction: Direction, duration: Duration) {
        let zones = self.simulation.topology().zones.len();
        let zone = ZoneIndex(self.random.random_range(0..zones));
        let drawn = match direction {
            Direction::Any => match self.random.random_range(0..3) {
                0 => Direction::In,
                1 => Direction::Out,
                _ => Direction::Both,
            },
            configured => configured,
        };
        let cut = Cut {
            zone,
            into: drawn != Direction::Out,
            out_of: drawn != Direction::In,
        };
        let number = self.after(duration, Step::EndCut(self.next_step + 1));
        self.cuts.insert(number, cut);
        self.apply_network();
    }

    pub(super) fn begin_disorder(&mut self, fault: &Fault, duration: Duration) {
        let number = self.after(duration, Step::EndDisorder(self.next_step + 1));
        self.disorders.insert(number, disorder_of(fault));
        self.apply_network();
    }

    /// Applies all active cuts and the latest active disorder to the network.
    pub(super) fn apply_network(&mut self) {
        self.simulation.heal();
        self.record(FaultRecord::Healed);
        for cut in self.cuts.clone().into_values() {
            let Cut { zone, into, out_of } = cut;
            self.simulation.cut_ways(zone, into, out_of);
            self.record(FaultRecord::ZoneCut { zone, into, out_of });
        }
        if let Some(disorder) = self.disorders.values().next_back().copied() {
            let network = self.simulation.kernel_mut().network_mut();
            network.set_disorder(disorder);
            self.record(FaultRecord::Disorder);
        }
    }
}

fn disorder_of(fault: &Fault) -> Disorder {
    let share = |percent: u8| f64::from(percent) / 100.0;
    Disorder {
        loss: share(fault.loss_percent),
        duplicate: share(fault.duplicate_percent),
        reorder: share(fault.reorder_percent),
    }
}
