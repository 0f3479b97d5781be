//! Faults in effect, and their ends.

use crate::support::cluster::Cluster;
use bramblewheel_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time in which a stopped replica hands over leadership before its process ends.
const STOP_PERIOD: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
enum End {
    PowerOn(usize),
    ProcessEnds { machine: usize, down: Duration },
    Heal(usize),
    Thaw(usize),
    FullSpeed(usize),
}

pub struct Faults {
    machines: usize,
    ends: BTreeMap<(Timestamp, u64), End>,
    sequence: u64,
    without_power: BTreeSet<usize>,
    /// Machines without power whose disk is empty at the next start.
    without_disk: BTreeSet<usize>,
    frozen: BTreeSet<usize>,
    cut: BTreeSet<usize>,
    gone: BTreeSet<usize>,
    /// Time of the last start of each machine.
    started: BTreeMap<usize, Timestamp>,
}

impl Faults {
    pub fn new(machines: usize) -> Self {
        Self {
            machines,
            ends: BTreeMap::new(),
            sequence: 0,
            without_power: BTreeSet::new(),
            without_disk: BTreeSet::new(),
            frozen: BTreeSet::new(),
            cut: BTreeSet::new(),
            gone: BTreeSet::new(),
            started: BTreeMap::new(),
        }
    }

    pub fn is_gone(&self, machine: usize) -> bool {
        self.gone.contains(&machine)
    }

    pub fn has_power(&self, machine: usize) -> bool {
        !self.without_power.contains(&machine) && !self.is_gone(machine)
    }

    pub fn is_awake(&self, machine: usize) -> bool {
        self.has_power(machine) && !self.frozen.contains(&machine)
    }

    /// Whether no fault is in effect.
    pub fn are_over(&self) -> bool {
        self.ends.is_empty()
    }

    pub fn present_machines(&self) -> Vec<usize> {
        self.select(|machine| !self.is_gone(machine))
    }

    pub fn machines_with_power(&self) -> Vec<usize> {
        self.select(|machine| self.has_power(machine))
    }

    pub fn machines_with_disk(&self) -> Vec<usize> {
        self.select(|machine| !self.is_gone(machine) && !self.without_disk.contains(&machine))
    }

    pub fn awake_machines(&self) -> Vec<usize> {
        self.select(|machine| self.is_awake(machine))
    }

    fn select(&self, condition: impl Fn(usize) -> bool) -> Vec<usize> {
        (0..self.machines).filter(|m| condition(*m)).collect()
    }

    /// The machine, or another one if it is gone.
    pub fn present(&self, machine: usize) -> usize {
        let present = self.present_machines();
        present[machine % present.len()]
    }

    /// Time of the last start of a machine that has power now and has been started before.
    pub fn back_since(&self, machine: usize) -> Option<Timestamp> {
        let started = self.started.get(&machine).copied();
        started.filter(|_| self.has_power(machine))
    }

    pub fn lose_disk(&mut self, cluster: &mut Cluster, machine: usize, down: Duration) {
        self.without_disk.insert(machine);
        self.restart(cluster, machine, down);
    }

    pub fn lose_for_good(&mut self, cluster: &mut Cluster, machine: usize) {
        cluster.crash(machine);
        self.frozen.remove(&machine);
        self.gone.insert(machine);
    }

    /// Cuts the power of a machine. One that has no power already returns when it would have without this.
    pub fn restart(&mut self, cluster: &mut Cluster, machine: usize, down: Duration) {
        if !self.has_power(machine) {
            return;
        }
        cluster.crash(machine);
        self.frozen.remove(&machine);
        self.without_power.insert(machine);
        if down.is_zero() {
            self.power_on(cluster, machine);
        } else {
            self.end_after(cluster, down, End::PowerOn(machine));
        }
    }

    /// Cuts the power of all machines, which return one after the other within `down`.
    pub fn restart_all(&mut self, cluster: &mut Cluster, down: Duration) {
        let machines = self.machines_with_power();
        let count = u32::try_from(machines.len()).expect("few machines");
        for machine in &machines {
            cluster.crash(*machine);
        }
        for (place, machine) in (1..=count).zip(machines) {
            self.restart(cluster, machine, down * place / count);
        }
    }

    pub fn stop(&mut self, cluster: &mut Cluster, machine: usize, down: Duration) {
        cluster.stop(machine);
        self.end_after(cluster, STOP_PERIOD, End::ProcessEnds { machine, down });
    }

    pub fn cut_off(&mut self, cluster: &mut Cluster, machine: usize, period: Duration) {
        cluster.cut_off(machine);
        self.cut.insert(machine);
        self.end_after(cluster, period, End::Heal(machine));
    }

    pub fn freeze(&mut self, cluster: &mut Cluster, machine: usize, period: Duration) {
        cluster.freeze(machine);
        self.frozen.insert(machine);
        self.end_after(cluster, period, End::Thaw(machine));
    }

    pub fn slow(
        &mut self,
        cluster: &mut Cluster,
        machine: usize,
        delay: Duration,
        period: Duration,
    ) {
        cluster.delay(machine, delay);
        self.end_after(cluster, period, End::FullSpeed(machine));
    }

    /// Runs for a time and ends the faults that are over.
    pub fn advance(&mut self, cluster: &mut Cluster, duration: Duration) {
        let end = cluster.now + duration;
        while let Some(entry) = self.ends.first_entry()
            && entry.key().0 <= end
        {
            let ((due, _), fault_end) = entry.remove_entry();
            cluster.run(due.since(cluster.now));
            self.finish(cluster, fault_end);
        }
        cluster.run(end.since(cluster.now));
    }

    /// Ends all faults now.
    pub fn end_all(&mut self, cluster: &mut Cluster) {
        while let Some((_, end)) = self.ends.pop_first() {
            self.finish(cluster, end);
        }
    }

    fn end_after(&mut self, cluster: &Cluster, period: Duration, end: End) {
        self.sequence += 1;
        self.ends.insert((cluster.now + period, self.sequence), end);
    }

    fn finish(&mut self, cluster: &mut Cluster, end: End) {
        match end {
            End::PowerOn(machine) => self.power_on(cluster, machine),
            End::ProcessEnds { machine, down } => self.restart(cluster, machine, down),
            End::Heal(machine) => self.heal(cluster, machine),
            End::Thaw(machine) => {
                if self.frozen.remove(&machine) {
                    cluster.thaw(machine);
                }
            }
            End::FullSpeed(machine) => cluster.delay(machine, Duration::ZERO),
        }
    }

    fn heal(&mut self, cluster: &mut Cluster, machine: usize) {
        self.cut.remove(&machine);
        cluster.heal();
        for machine in &self.cut {
            cluster.cut_off(*machine);
        }
    }

    fn power_on(&mut self, cluster: &mut Cluster, machine: usize) {
        if self.is_gone(machine) || !self.without_power.remove(&machine) {
            return;
        }
        if self.without_disk.remove(&machine) {
            cluster.restart_wiped_with_messages_in_flight(machine);
        } else {
            cluster.restart(machine);
        }
        self.started.insert(machine, cluster.now);
    }
}
