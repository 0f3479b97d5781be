//! Carries out a scenario's faults: when, on which machines, and what ends them.

use super::actor::ControlActor;
use super::record::{ControlRecord, FaultRecord};
use super::scenario::{After, Direction, Fault, FaultKind, Target};
use super::world::Cast;
use crate::kernel::{Disorder, ProcessId, ProcessState, Purpose, Simulation, StopCause, ZoneId};
use bramblewheel_storage::FileSystem;
use bramblewheel_types::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

/// How long a loss that can't be allowed now is put off.
const POSTPONED: Duration = Duration::from_millis(500);
/// Most operations of the disk after which power fails in the middle of a write.
const MAX_OPERATIONS_BEFORE_TEAR: u64 = 12;
/// Most syncs after which one fails.
const MAX_SYNCS_BEFORE_FAILURE: u64 = 4;
/// Longest time until operators notice a lost disk, in milliseconds.
const MAX_REPAIR_DELAY: u64 = 2_000;

type World = Simulation<ControlActor>;

/// What ends a fault.
#[derive(Clone, Debug)]
enum Ending {
    Start(Vec<ProcessId>),
    Thaw(Vec<ProcessId>),
    Links(Vec<(ProcessId, ProcessId)>),
    Zones(Vec<(ZoneId, ZoneId)>),
    Capacity(Vec<ProcessId>),
    Disorder,
}

/// Something to do at one moment.
#[derive(Clone, Debug)]
enum Entry {
    Begin(Fault),
    End(FaultKind, Ending),
}

/// All faults that are to come and to end.
pub(super) struct Faults {
    agenda: BTreeMap<(Timestamp, u64), Entry>,
    added: u64,
    /// Faults whose moment is counted from the end of a repair.
    after_repair: Vec<Fault>,
    /// Faults whose moment is counted from the end of the load.
    after_load: Vec<Fault>,
    random: Pcg64Mcg,
    /// Machines whose replica is being replaced.
    repairs: BTreeSet<ProcessId>,
    /// Machines with damaged files, of which it is not known yet whether they are usable.
    damaged: BTreeSet<ProcessId>,
    repairs_done: usize,
}

impl Faults {
    /// Draws the moments of all faults.
    pub(super) fn draw(world: &World, faults: &[Fault]) -> Self {
        let start = world.now();
        let mut drawn = Self {
            agenda: BTreeMap::new(),
            added: 0,
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

    fn add(&mut self, at: Timestamp, entry: Entry) {
        self.added += 1;
        self.agenda.insert((at, self.added), entry);
    }

    /// Draws a fault's moment, counted from `origin`.
    fn schedule(&mut self, origin: Timestamp, fault: Fault) {
        let delay = fault.at_ms.draw(&mut self.random);
        self.add(origin + delay, Entry::Begin(fault));
    }

    /// The load is over: draws the moments of the faults that are counted from then.
    pub(super) fn load_is_over(&mut self, now: Timestamp) {
        for fault in std::mem::take(&mut self.after_load) {
            self.schedule(now, fault);
        }
    }

    /// When there is something to do next.
    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.agenda.keys().next().map(|(at, _)| *at)
    }

    /// Whether nothing is to come any more.
    pub(super) fn are_over(&self) -> bool {
        self.agenda.is_empty() && self.repairs.is_empty()
    }

    /// Does what is due.
    pub(super) fn advance(&mut self, world: &mut World, cast: &Cast) {
        while self.next_at().is_some_and(|at| at <= world.now()) {
            let Some((_, entry)) = self.agenda.pop_first() else {
                return;
            };
            match entry {
                Entry::Begin(fault) => self.begin(world, cast, fault),
                Entry::End(kind, ending) => end(world, kind, ending),
            }
        }
    }

    /// Looks for replicas that must be replaced and for replacements that are finished.
    pub(super) fn watch_repairs(&mut self, world: &mut World, cast: &Cast) {
        for &replica in &cast.replicas {
            let actor = world.actor(replica).as_replica();
            if actor.is_some_and(|machine| machine.is_unusable()) {
                self.lose_disk(world, cast, replica, Duration::ZERO);
            }
            if world.state(replica) != ProcessState::Stopped {
                self.damaged.remove(&replica);
            }
        }
        let done = repairs_done(world, cast);
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

    fn begin(&mut self, world: &mut World, cast: &Cast, fault: Fault) {
        let may_destroy = self.repairs.is_empty() && self.damaged.is_empty();
        let is_loss = fault.kind.destroys() && fault.target.is_one_replica();
        if is_loss && !may_destroy {
            return self.add(world.now() + POSTPONED, Entry::Begin(fault));
        }
        let targets = self.choose(world, cast, fault.target);
        let record = FaultRecord {
            kind: fault.kind,
            processes: targets.clone(),
        };
        world.record(None, ControlRecord::Fault(record));
        let lasting = fault.for_ms.draw(&mut self.random);
        let ending = self.strike(world, cast, &fault, targets, lasting);
        if let Some(ending) = ending {
            let at = world.now() + lasting;
            self.add(at, Entry::End(fault.kind, ending));
        }
    }

    fn strike(
        &mut self,
        world: &mut World,
        cast: &Cast,
        fault: &Fault,
        targets: Vec<ProcessId>,
        lasting: Duration,
    ) -> Option<Ending> {
        match fault.kind {
            FaultKind::Kill => Some(stop(world, targets, StopCause::Killed)),
            FaultKind::PowerLoss => Some(stop(world, targets, StopCause::PowerLost)),
            FaultKind::TornWrite => {
                for target in targets {
                    let operations = self.random.random_range(0..=MAX_OPERATIONS_BEFORE_TEAR);
                    if let Some(machine) = world.actor_mut(target).as_replica_mut() {
                        machine.fail_power_after(operations, lasting);
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
                Some(Ending::Capacity(targets))
            }
            FaultKind::Freeze => {
                for &target in &targets {
                    world.freeze(target);
                }
                Some(Ending::Thaw(targets))
            }
            FaultKind::DiskLoss => {
                for target in targets {
                    self.lose_disk(world, cast, target, lasting);
                }
                None
            }
            FaultKind::Damage => {
                for &target in &targets {
                    world.stop(target, StopCause::Killed);
                    self.damage(world, target);
                    self.damaged.insert(target);
                }
                Some(Ending::Start(targets))
            }
            FaultKind::Cut => {
                let direction = self.direction(fault.direction);
                Some(cut_links(world, cast, &targets, direction))
            }
            FaultKind::ZoneCut => {
                let direction = self.direction(fault.direction);
                Some(cut_zones(world, cast, &targets, direction))
            }
            FaultKind::Disorder => {
                world.network_mut().set_disorder(disorder(fault));
                Some(Ending::Disorder)
            }
        }
    }

    /// The machine comes back with an empty disk; a replica is then replaced by operators.
    fn lose_disk(&mut self, world: &mut World, cast: &Cast, target: ProcessId, down: Duration) {
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
        world.with(cast.operators[0], |actor, context| {
            if let Some(operator) = actor.as_operator_mut() {
                operator.replace(context, down + delay, identity, target);
            }
        });
    }

    /// Flips a bit of something that was synced and is not at the end of the log, where it could
    /// not be told from a torn write.
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

    fn choose(&mut self, world: &World, cast: &Cast, target: Target) -> Vec<ProcessId> {
        let leads = |process: &ProcessId| {
            let replica = world.actor(*process).as_replica();
            let is_up = world.state(*process) != ProcessState::Stopped;
            is_up && replica.is_some_and(|machine| machine.is_leader())
        };
        let replicas = cast.replicas.iter().copied();
        let candidates: Vec<ProcessId> = match target {
            Target::AllReplicas => return cast.replicas.clone(),
            Target::AllDaemons => return cast.daemons.clone(),
            Target::Everything => return replicas.chain(cast.daemons.iter().copied()).collect(),
            Target::Replica => replicas.collect(),
            Target::Leader => replicas.filter(leads).collect(),
            Target::Follower => replicas.filter(|process| !leads(process)).collect(),
            Target::Daemon => cast.daemons.clone(),
        };
        let candidates = if candidates.is_empty() {
            &cast.replicas
        } else {
            &candidates
        };
        vec![candidates[self.random.random_range(0..candidates.len())]]
    }

    /// Ends everything that still lasts.
    pub(super) fn heal(&mut self, world: &mut World, cast: &Cast) {
        self.agenda.clear();
        self.after_repair.clear();
        world.network_mut().heal();
        let machines = cast.replicas.iter().chain(&cast.daemons);
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

fn repairs_done(world: &World, cast: &Cast) -> usize {
    let operator = world.actor(cast.operators[0]).as_operator();
    operator.map_or(0, |operator| operator.repairs_done())
}

fn stop(world: &mut World, targets: Vec<ProcessId>, cause: StopCause) -> Ending {
    for &target in &targets {
        world.stop(target, cause);
    }
    Ending::Start(targets)
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
    cast: &Cast,
    targets: &[ProcessId],
    direction: Direction,
) -> Ending {
    let mut links = Vec::new();
    for &target in targets {
        let others = cast.replicas.iter().filter(|other| **other != target);
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
    Ending::Links(links)
}

/// Cuts the zones of machines off from all other zones.
fn cut_zones(
    world: &mut World,
    cast: &Cast,
    targets: &[ProcessId],
    direction: Direction,
) -> Ending {
    let mut pairs = Vec::new();
    for &target in targets {
        let zone = cast.zone(target);
        for other in cast.other_zones(zone) {
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
    Ending::Zones(pairs)
}

fn disorder(fault: &Fault) -> Disorder {
    let share = |percent: u8| f64::from(percent) / 100.0;
    Disorder {
        loss: share(fault.loss_percent),
        duplicate: share(fault.duplicate_percent),
        reorder: share(fault.reorder_percent),
    }
}

fn end(world: &mut World, kind: FaultKind, ending: Ending) {
    world.record(None, ControlRecord::FaultEnded(kind));
    match ending {
        Ending::Start(processes) => {
            for process in processes {
                world.start(process);
            }
        }
        Ending::Thaw(processes) => {
            for process in processes {
                world.thaw(process);
            }
        }
        Ending::Links(links) => {
            for (from, to) in links {
                world.network_mut().heal_link(from, to);
            }
        }
        Ending::Zones(pairs) => {
            for (from, to) in pairs {
                world.network_mut().heal_zone(from, to);
            }
        }
        Ending::Capacity(processes) => set_capacity(world, &processes, None),
        Ending::Disorder => world.network_mut().set_disorder(Disorder::default()),
    }
}
