//! Injects the faults of a scenario at their drawn times, chooses their targets, and ends them.

use super::actor::ControlActor;
use super::record::{ControlRecord, FaultRecord};
use super::scenario::{After, Direction, Fault, FaultKind, Target};
use super::world::ProcessRoles;
use crate::kernel::{Disorder, ProcessId, ProcessState, Purpose, Simulation, StopCause, ZoneId};
use bramblewheel_storage::FileSystem;
use bramblewheel_types::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

/// Delay before a fault that destroys state is tried again while another replica is damaged or under repair.
const POSTPONE_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of disk operations before power fails in the middle of a write.
const MAX_OPERATIONS_BEFORE_TEAR: u64 = 12;
/// Largest number of successful syncs before one fails.
const MAX_SYNCS_BEFORE_FAILURE: u64 = 4;
/// Longest time before operators react to a lost disk, in milliseconds.
const MAX_REPAIR_DELAY: u64 = 2_000;

type World = Simulation<ControlActor>;

/// Action that ends a fault.
#[derive(Clone, Debug)]
enum FaultEnd {
    Start(Vec<ProcessId>),
    Thaw(Vec<ProcessId>),
    Links(Vec<(ProcessId, ProcessId)>),
    Zones(Vec<(ZoneId, ZoneId)>),
    Capacity(Vec<ProcessId>),
    Disorder,
}

/// The begin or the end of a fault.
#[derive(Clone, Debug)]
enum ScheduledAction {
    Begin(Fault),
    End(FaultKind, FaultEnd),
}

/// Scheduled begins and ends of faults.
pub(super) struct Faults {
    scheduled: BTreeMap<(Timestamp, u64), ScheduledAction>,
    sequence: u64,
    /// Faults whose times count from the end of a repair.
    after_repair: Vec<Fault>,
    /// Faults whose times count from the end of the load.
    after_load: Vec<Fault>,
    random: Pcg64Mcg,
    /// Machines whose replica is being replaced.
    repairs: BTreeSet<ProcessId>,
    /// Machines with damaged files that have not restarted yet, so that their files may turn out unusable.
    damaged: BTreeSet<ProcessId>,
    repairs_done: usize,
}

impl Faults {
    /// Draws the times of the faults that count from the start of the load, and keeps the others for later.
    pub(super) fn draw(world: &World, faults: &[Fault]) -> Self {
        let start = world.now();
        let mut drawn = Self {
            scheduled: BTreeMap::new(),
            sequence: 0,
            after_repair: Vec::new(),
            after_load: Vec::new(),
            damaged: BTreeSet::new(),
            random: world.streams().stream(Purpose::Faults),
            repairs: BTreeSet::new(),
            repairs_done: 0,
        };
        for fault in faults {
            for _ in 0..fault.times.draw(&mut drawn.random) {
                match fault.after {
                    After::Start => drawn.schedule(start, fault.clone()),
                    After::Load => drawn.after_load.push(fault.clone()),
                    After::Repair => drawn.after_repair.push(fault.clone()),
                }
            }
        }
        drawn
    }

    fn add(&mut self, at: Timestamp, action: ScheduledAction) {
        self.sequence += 1;
        self.scheduled.insert((at, self.sequence), action);
    }

    /// Draws the time of a fault, counted from `origin`, and schedules it.
    fn schedule(&mut self, origin: Timestamp, fault: Fault) {
        let delay = fault.at_ms.draw(&mut self.random);
        self.add(origin + delay, ScheduledAction::Begin(fault));
    }

    /// Schedules the faults whose times count from the end of the load.
    pub(super) fn load_is_over(&mut self, now: Timestamp) {
        for fault in std::mem::take(&mut self.after_load) {
            self.schedule(now, fault);
        }
    }

    /// Time of the next scheduled begin or end.
    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.scheduled.keys().next().map(|(at, _)| *at)
    }

    /// Whether no begin or end is scheduled and no repair is in progress.
    pub(super) fn are_over(&self) -> bool {
        self.scheduled.is_empty() && self.repairs.is_empty()
    }

    /// Begins and ends the faults that are due.
    pub(super) fn advance(&mut self, world: &mut World, roles: &ProcessRoles) {
        while self.next_at().is_some_and(|at| at <= world.now()) {
            let Some((_, action)) = self.scheduled.pop_first() else {
                return;
            };
            match action {
                ScheduledAction::Begin(fault) => self.begin(world, roles, fault),
                ScheduledAction::End(kind, ending) => end(world, kind, ending),
            }
        }
    }

    /// Starts the repair of replicas with unusable data folders, and notices finished replacements.
    pub(super) fn watch_repairs(&mut self, world: &mut World, roles: &ProcessRoles) {
        for &replica in &roles.replicas {
            let actor = world.actor(replica).as_replica();
            if actor.is_some_and(|machine| machine.is_unusable()) {
                self.lose_disk(world, roles, replica, Duration::ZERO);
            }
            if world.state(replica) != ProcessState::Stopped {
                self.damaged.remove(&replica);
            }
        }
        let done = repairs_done(world, roles);
        if done > self.repairs_done {
            self.repairs_done = done;
            self.repairs.clear();
            self.schedule_after_repair(world.now());
        }
    }

    fn schedule_after_repair(&mut self, now: Timestamp) {
        if self.after_repair.is_empty() {
            return;
        }
        let fault = self.after_repair.remove(0);
        self.schedule(now, fault);
    }

    fn begin(&mut self, world: &mut World, roles: &ProcessRoles, fault: Fault) {
        let can_destroy = self.repairs.is_empty() && self.damaged.is_empty();
        let is_loss = fault.kind.destroys() && fault.target.is_one_replica();
        if is_loss && !can_destroy {
            return self.add(
                world.now() + POSTPONE_INTERVAL,
                ScheduledAction::Begin(fault),
            );
        }
        let targets = self.choose(world, roles, fault.target);
        let record = FaultRecord {
            kind: fault.kind,
            processes: targets.clone(),
        };
        world.record(None, ControlRecord::Fault(record));
        let duration = fault.for_ms.draw(&mut self.random);
        let ending = self.inject(world, roles, &fault, targets, duration);
        if let Some(ending) = ending {
            let at = world.now() + duration;
            self.add(at, ScheduledAction::End(fault.kind, ending));
        }
    }

    fn inject(
        &mut self,
        world: &mut World,
        roles: &ProcessRoles,
        fault: &Fault,
        targets: Vec<ProcessId>,
        duration: Duration,
    ) -> Option<FaultEnd> {
        match fault.kind {
            FaultKind::Kill => Some(stop(world, targets, StopCause::Killed)),
            FaultKind::PowerLoss => Some(stop(world, targets, StopCause::PowerLost)),
            FaultKind::TornWrite => {
                for target in targets {
                    let operations = self.random.random_range(0..=MAX_OPERATIONS_BEFORE_TEAR);
                    if let Some(machine) = world.actor_mut(target).as_replica_mut() {
                        machine.fail_power_after(operations, duration);
                    }
                }
                None
            }
            FaultKind::SyncFailure => {
                for target in targets {
                    let syncs = self.random.random_range(0..=MAX_SYNCS_BEFORE_FAILURE);
                    if let Some(disk) = world.actor(target).disk() {
                        disk.files().fail_sync_after(syncs);
                    }
                }
                None
            }
            FaultKind::DiskFull => {
                set_capacity(world, &targets, Some(0));
                Some(FaultEnd::Capacity(targets))
            }
            FaultKind::Freeze => {
                for &target in &targets {
                    world.freeze(target);
                }
                Some(FaultEnd::Thaw(targets))
            }
            FaultKind::DiskLoss => {
                for target in targets {
                    self.lose_disk(world, roles, target, duration);
                }
                None
            }
            FaultKind::Damage => {
                for &target in &targets {
                    world.stop(target, StopCause::Killed);
                    self.damage(world, target);
                    self.damaged.insert(target);
                }
                Some(FaultEnd::Start(targets))
            }
            FaultKind::Cut => {
                let direction = self.direction(fault.direction);
                Some(cut_links(world, roles, &targets, direction))
            }
            FaultKind::ZoneCut => {
                let direction = self.direction(fault.direction);
                Some(cut_zones(world, roles, &targets, direction))
            }
            FaultKind::Disorder => {
                world.network_mut().set_disorder(disorder(fault));
                Some(FaultEnd::Disorder)
            }
        }
    }

    /// Restarts a machine with an empty disk; if it is a replica, an operator replaces it.
    fn lose_disk(
        &mut self,
        world: &mut World,
        roles: &ProcessRoles,
        target: ProcessId,
        down: Duration,
    ) {
        world.stop(target, StopCause::PowerLost);
        let mut lost = None;
        if let Some(machine) = world.actor_mut(target).as_replica_mut() {
            lost = machine.identity();
            machine.replace_disk();
        } else if let Some(disk) = world.actor(target).disk() {
            disk.files().wipe();
        }
        world.start_after(target, down);
        let Some(identity) = lost else {
            return;
        };
        world.record(Some(target), ControlRecord::IdentityLost { identity });
        self.damaged.remove(&target);
        self.repairs.insert(target);
        let delay = Duration::from_millis(self.random.random_range(0..=MAX_REPAIR_DELAY));
        world.with(roles.operators[0], |actor, context| {
            if let Some(operator) = actor.as_operator_mut() {
                operator.replace(context, down + delay, identity, target);
            }
        });
    }

    /// Flips a bit in a synced file other than the last log segment, where damage could not be distinguished from a
    /// torn write.
    fn damage(&mut self, world: &mut World, target: ProcessId) {
        let Some(disk) = world.actor(target).disk() else {
            return;
        };
        let folder = Path::new("data");
        let mut names = disk.list(folder).unwrap_or_default();
        names.retain(|name| !name.ends_with(".tmp"));
        let last_segment = names.iter().rposition(|name| name.starts_with("log-"));
        if let Some(last_segment) = last_segment {
            names.remove(last_segment);
        }
        if names.is_empty() {
            return;
        }
        let name = &names[self.random.random_range(0..names.len())];
        let path = folder.join(name);
        let length = disk.read(&path).map_or(0, |bytes| bytes.len());
        if length > 0 {
            let offset = self.random.random_range(0..length);
            disk.files().flip_bit(&path, offset, self.random.random());
        }
    }

    fn direction(&mut self, stated: Direction) -> Direction {
        const DRAWN: [Direction; 3] = [Direction::Both, Direction::In, Direction::Out];
        match stated {
            Direction::Any => DRAWN[self.random.random_range(0..DRAWN.len())],
            stated => stated,
        }
    }

    fn choose(&mut self, world: &World, roles: &ProcessRoles, target: Target) -> Vec<ProcessId> {
        let is_leader = |process: &ProcessId| {
            let replica = world.actor(*process).as_replica();
            let is_up = world.state(*process) != ProcessState::Stopped;
            is_up && replica.is_some_and(|machine| machine.is_leader())
        };
        let replicas = roles.replicas.iter().copied();
        let candidates: Vec<ProcessId> = match target {
            Target::AllReplicas => return roles.replicas.clone(),
            Target::AllDaemons => return roles.daemons.clone(),
            Target::Everything => return replicas.chain(roles.daemons.iter().copied()).collect(),
            Target::Replica => replicas.collect(),
            Target::Leader => replicas.filter(is_leader).collect(),
            Target::Follower => replicas.filter(|process| !is_leader(process)).collect(),
            Target::Daemon => roles.daemons.clone(),
        };
        let candidates = if candidates.is_empty() {
            &roles.replicas
        } else {
            &candidates
        };
        vec![candidates[self.random.random_range(0..candidates.len())]]
    }

    /// Ends all faults and starts all machines.
    pub(super) fn heal(&mut self, world: &mut World, roles: &ProcessRoles) {
        self.scheduled.clear();
        self.after_repair.clear();
        world.network_mut().heal();
        let machines = roles.replicas.iter().chain(&roles.daemons);
        for &process in machines {
            if let Some(machine) = world.actor_mut(process).as_replica_mut() {
                machine.cancel_power_failure();
            }
            if let Some(disk) = world.actor(process).disk() {
                disk.files().set_capacity(None);
            }
            world.thaw(process);
            world.start(process);
        }
        world.record(None, ControlRecord::Healed);
    }
}

fn repairs_done(world: &World, roles: &ProcessRoles) -> usize {
    let operator = world.actor(roles.operators[0]).as_operator();
    operator.map_or(0, |operator| operator.repairs_done())
}

fn stop(world: &mut World, targets: Vec<ProcessId>, cause: StopCause) -> FaultEnd {
    for &target in &targets {
        world.stop(target, cause);
    }
    FaultEnd::Start(targets)
}

fn set_capacity(world: &World, targets: &[ProcessId], bytes: Option<usize>) {
    for &target in targets {
        if let Some(disk) = world.actor(target).disk() {
            disk.files().set_capacity(bytes);
        }
    }
}

/// Cuts machines off from all replicas.
fn cut_links(
    world: &mut World,
    roles: &ProcessRoles,
    targets: &[ProcessId],
    direction: Direction,
) -> FaultEnd {
    let mut links = Vec::new();
    for &target in targets {
        let others = roles.replicas.iter().filter(|other| **other != target);
        for &other in others {
            if direction != Direction::In {
                links.push((target, other));
            }
            if direction != Direction::Out {
                links.push((other, target));
            }
        }
    }
    for &(from, to) in &links {
        world.network_mut().cut_link(from, to);
    }
    FaultEnd::Links(links)
}

/// Cuts the zones of machines off from all other zones.
fn cut_zones(
    world: &mut World,
    roles: &ProcessRoles,
    targets: &[ProcessId],
    direction: Direction,
) -> FaultEnd {
    let mut pairs = Vec::new();
    for &target in targets {
        let zone = roles.zone(target);
        for other in roles.other_zones(zone) {
            if direction != Direction::In {
                pairs.push((zone, other));
            }
            if direction != Direction::Out {
                pairs.push((other, zone));
            }
        }
    }
    for &(from, to) in &pairs {
        world.network_mut().cut_zone(from, to);
    }
    FaultEnd::Zones(pairs)
}

fn disorder(fault: &Fault) -> Disorder {
    let share = |percent: u8| f64::from(percent) / 100.0;
    Disorder {
        loss: share(fault.loss_percent),
        duplicate: share(fault.duplicate_percent),
        reorder: share(fault.reorder_percent),
    }
}

fn end(world: &mut World, kind: FaultKind, ending: FaultEnd) {
    world.record(None, ControlRecord::FaultEnded(kind));
    match ending {
        FaultEnd::Start(processes) => {
            for process in processes {
                world.start(process);
            }
        }
        FaultEnd::Thaw(processes) => {
            for process in processes {
                world.thaw(process);
            }
        }
        FaultEnd::Links(links) => {
            for (from, to) in links {
                world.network_mut().heal_link(from, to);
            }
        }
        FaultEnd::Zones(pairs) => {
            for (from, to) in pairs {
                world.network_mut().heal_zone(from, to);
            }
        }
        FaultEnd::Capacity(processes) => set_capacity(world, &processes, None),
        FaultEnd::Disorder => world.network_mut().set_disorder(Disorder::default()),
    }
}
