//! Execution of a schedule on a simulated group.

use super::expected_tables::ExpectedTables;
use super::faults::Faults;
use super::inspection::{Defect, defects};
use super::{Action, LastLoss, Schedule, Stage, Start, Step, Target};
use crate::support::cluster::Cluster;
use crate::support::founded::{FAST, expect_accepted, replace, table};
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::ReplaceTableReply;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

const FOUNDERS: usize = 3;
const VOTERS: usize = 3;
/// Interval at which a replica without a group offers itself.
const OFFER_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last fault within which the group must be whole again, and one second more.
const CALM: Duration = Duration::from_secs(16);
/// Time from the return of a machine without its disk until the disk of another one may be lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// How long a step waits for a stage of a replacement.
const STAGE_TIMEOUT: Duration = Duration::from_secs(5);
const STAGE_POLL: Duration = Duration::from_millis(1);
const REPAIR_POLL: Duration = Duration::from_millis(10);
const REPLY_POLL: Duration = Duration::from_millis(5);
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts to change the table in a group that has recovered.
const CHANGE_ATTEMPTS: usize = 5;
const FIRST_VERSION: u64 = 1;

/// When a failure was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    DuringFaults,
    BetweenLosses,
    AfterFaults,
    AfterLastLoss,
}

#[derive(Clone, Debug)]
pub struct Failure {
    pub phase: Phase,
    pub defects: BTreeSet<Defect>,
    pub detail: String,
}

/// A lost disk whose replica has not been replaced.
#[derive(Clone, Copy, Debug)]
struct UnrepairedLoss {
    machine: usize,
    at: Timestamp,
}

pub struct Run {
    pub cluster: Cluster,
    pub faults: Faults,
    /// What was done, for reports.
    pub trace: Vec<(Timestamp, String)>,
    schedule: Schedule,
    tables: ExpectedTables,
    last_lost: Option<usize>,
    unrepaired: Option<UnrepairedLoss>,
    phase: Phase,
}

impl Run {
    pub fn new(schedule: Schedule) -> Self {
        let machines = FOUNDERS + schedule.spares;
        let interval = schedule.snapshot_interval;
        let mut cluster = Cluster::founded(FOUNDERS, machines, schedule.seed, interval);
        cluster.offer_interval = OFFER_INTERVAL;
        cluster.set_spares(FAST, (0..machines).collect());
        expect_accepted(&mut cluster, &replace(0, FIRST_VERSION, "first"));
        Self {
            cluster,
            faults: Faults::new(machines),
            trace: Vec::new(),
            schedule,
            tables: ExpectedTables::new(table(FIRST_VERSION, "first")),
            last_lost: None,
            unrepaired: None,
            phase: Phase::DuringFaults,
        }
    }

    /// Runs the whole schedule.
    pub fn execute(&mut self) -> Result<(), Failure> {
        for step in self.schedule.steps.clone() {
            self.wait_for_start(step);
            self.act(step.action)?;
        }
        self.phase = Phase::AfterFaults;
        self.calm_down();
        self.expect_whole()?;
        self.phase = Phase::AfterLastLoss;
        self.last_loss();
        self.calm_down();
        self.expect_whole()
    }

    /// Ends the periods of all faults and runs without faults.
    fn calm_down(&mut self) {
        self.note("faults end");
        self.faults.end_all(&mut self.cluster);
        self.cluster.run(CALM);
    }

    fn last_loss(&mut self) {
        let last_loss = self.schedule.last_loss;
        self.note(format!("{last_loss:?}"));
        let (LastLoss::Disk { machine, down } | LastLoss::DiskAndPower { machine, down }) =
            last_loss;
        let machine = self.faults.present(machine);
        self.faults.lose_disk(&mut self.cluster, machine, down);
        if matches!(last_loss, LastLoss::DiskAndPower { .. }) {
            self.faults.restart_all(&mut self.cluster, down);
        }
        self.advance(down);
    }

    fn wait_for_start(&mut self, step: Step) {
        match step.start {
            Start::After(pause) => self.advance(pause),
            Start::AfterStage(stage, delay) => {
                self.wait_for_stage(stage);
                self.advance(delay);
            }
        }
    }

    fn wait_for_stage(&mut self, stage: Stage) {
        let end = self.cluster.now + STAGE_TIMEOUT;
        let mut had_learner = false;
        while self.cluster.now < end {
            if let Some(leader) = self.leader() {
                let membership = self.cluster.node(leader).replica().membership();
                let has_learner = !membership.learners.is_empty();
                let is_reached = match stage {
                    Stage::LearnerAdded => has_learner,
                    Stage::LostRemoved => has_learner && membership.voters.len() < VOTERS,
                    Stage::Promoted => had_learner && !has_learner,
                };
                if is_reached {
                    return self.note(format!("{stage:?}"));
                }
                had_learner |= has_learner;
            }
            self.advance(STAGE_POLL);
        }
    }

    fn act(&mut self, action: Action) -> Result<(), Failure> {
        match action {
            Action::LoseDisk { target, down } => return self.lose_disk(target, down),
            Action::LoseForGood { target } => return self.lose_for_good(target),
            Action::ChangeTable { answer_is_lost } => {
                return self.change_table(answer_is_lost).map(drop);
            }
            Action::RestartAll { down } => {
                self.note(format!("{action:?}"));
                self.faults.restart_all(&mut self.cluster, down);
            }
            Action::StopLeader { down } => {
                if let Some(leader) = self.resolve(Target::Leader, action) {
                    self.faults.stop(&mut self.cluster, leader, down);
                }
            }
            Action::Restart { target, down } => {
                if let Some(machine) = self.resolve(target, action) {
                    self.faults.restart(&mut self.cluster, machine, down);
                }
            }
            Action::CutOff { target, period } => {
                if let Some(machine) = self.resolve(target, action) {
                    self.faults.cut_off(&mut self.cluster, machine, period);
                }
            }
            Action::Freeze { target, period } => {
                if let Some(machine) = self.resolve(target, action) {
                    self.faults.freeze(&mut self.cluster, machine, period);
                }
            }
            Action::Slow {
                target,
                delay,
                period,
            } => {
                if let Some(machine) = self.resolve(target, action) {
                    self.faults.slow(&mut self.cluster, machine, delay, period);
                }
            }
        }
        Ok(())
    }

    fn lose_disk(&mut self, target: Target, down: Duration) -> Result<(), Failure> {
        let action = Action::LoseDisk { target, down };
        if matches!(target, Target::NewReplica) && !self.may_lose_new_replica() {
            self.note(format!("{action:?}: skipped"));
            return Ok(());
        }
        let Some(machine) = self.resolve(target, action) else {
            return Ok(());
        };
        self.wait_until_loss_is_tolerated(machine)?;
        self.note(format!("machine {machine} loses its disk"));
        self.faults.lose_disk(&mut self.cluster, machine, down);
        self.count_loss(machine);
        Ok(())
    }

    fn lose_for_good(&mut self, target: Target) -> Result<(), Failure> {
        let action = Action::LoseForGood { target };
        let Some(machine) = self.resolve(target, action) else {
            return Ok(());
        };
        self.wait_until_loss_is_tolerated(machine)?;
        self.note(format!("machine {machine} is gone"));
        self.faults.lose_for_good(&mut self.cluster, machine);
        self.count_loss(machine);
        Ok(())
    }

    fn count_loss(&mut self, machine: usize) {
        self.last_lost = Some(machine);
        self.unrepaired = Some(UnrepairedLoss {
            machine,
            at: self.cluster.now,
        });
    }

    /// Whether the disk of the replica that is being added may be lost: no other machine's disk is lost.
    fn may_lose_new_replica(&self) -> bool {
        let unrepaired = self.unrepaired.map(|loss| loss.machine);
        unrepaired.is_none() || unrepaired == self.new_replica()
    }

    /// Waits until the loss of another machine's disk is repaired, since only one disk may be lost at a time.
    fn wait_until_loss_is_tolerated(&mut self, machine: usize) -> Result<(), Failure> {
        let Some(loss) = self.unrepaired.filter(|loss| loss.machine != machine) else {
            return Ok(());
        };
        self.note(format!("waits for the repair of machine {}", loss.machine));
        let mut last_fault = self.cluster.now;
        loop {
            if !self.faults.are_over() {
                last_fault = self.cluster.now;
            }
            let back = self.faults.back_since(loss.machine).unwrap_or(loss.at);
            let is_caught_up = self.cluster.now.since(back) >= CATCH_UP;
            let found = self.defects();
            if is_caught_up && found.is_empty() {
                self.unrepaired = None;
                return Ok(());
            }
            if self.cluster.now.since(last_fault) >= CALM {
                self.phase = Phase::BetweenLosses;
                return self.fail(found, "the loss before is not repaired");
            }
            self.advance(REPAIR_POLL);
        }
    }

    /// The machine that a fault strikes, if it is there and has power.
    fn resolve(&mut self, target: Target, action: Action) -> Option<usize> {
        let machine = match target {
            Target::Machine(machine) => Some(machine),
            Target::Leader => self.leader(),
            Target::LastLost => self.last_lost,
            Target::NewReplica => self.new_replica(),
        };
        let loses_disk = matches!(action, Action::LoseDisk { .. });
        let machine = machine.filter(|machine| {
            !self.faults.is_gone(*machine) && (loses_disk || self.faults.has_power(*machine))
        });
        self.note(match machine {
            Some(machine) => format!("{action:?} on machine {machine}"),
            None => format!("{action:?}: skipped"),
        });
        machine
    }

    /// The machine of the replica that is being added to the group.
    fn new_replica(&self) -> Option<usize> {
        let node = self.cluster.node(self.leader()?);
        let learner = node.replica().membership().learners.first().copied();
        let replacement = node.state().replacement();
        let new = replacement.map(|replacement| ReplicaId(replacement.new_replica().replica));
        let new = learner.or(new)?;
        self.faults
            .present_machines()
            .into_iter()
            .find(|machine| self.cluster.address(*machine).replica == new.0)
    }

    /// The leader with a quorum that has the highest term.
    fn leader(&self) -> Option<usize> {
        let machines = self.faults.awake_machines().into_iter();
        let leaders = machines.filter(|machine| {
            let node = self.cluster.node(*machine);
            let is_leader = node.replica().role() == bramblewheel_replication::Role::Leader;
            is_leader && node.replica().has_quorum(self.cluster.now)
        });
        leaders.max_by_key(|machine| self.cluster.node(*machine).replica().term())
    }

    fn defects(&self) -> BTreeSet<Defect> {
        defects(
            &self.cluster,
            self.leader(),
            &self.faults.machines_with_disk(),
        )
    }

    fn expect_whole(&mut self) -> Result<(), Failure> {
        let mut found = self.defects();
        if found.contains(&Defect::NoLeader) {
            return self.fail(found, "no leader");
        }
        let is_accepted = self.change_table_in_calm()?;
        if !is_accepted {
            found.insert(Defect::ChangeNotAccepted);
        }
        if found.is_empty() {
            self.unrepaired = None;
            return Ok(());
        }
        self.fail(found, "not whole")
    }

    fn change_table_in_calm(&mut self) -> Result<bool, Failure> {
        for _ in 0..CHANGE_ATTEMPTS {
            if self.change_table(false)? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Reads the table and replaces it. Returns whether the new one was acknowledged.
    fn change_table(&mut self, answer_is_lost: bool) -> Result<bool, Failure> {
        let Some(leader) = self.leader() else {
            return Ok(false);
        };
        let Some(ReplyBody::Table(read)) = self.ask(leader, RequestBody::ReadTable) else {
            return Ok(false);
        };
        let checked = self.tables.read(read);
        self.check_table(checked)?;
        if !self.faults.is_awake(leader) {
            return Ok(false);
        }
        let parent = self.tables.parent();
        let version = self.tables.next_version();
        let text = format!("version {version}");
        let change = replace(parent, version, &text);
        let new = table(version, &text);
        self.note(format!(
            "change to version {version}, answer lost: {answer_is_lost}"
        ));
        if answer_is_lost {
            self.cluster.send(leader, change);
            self.tables.answer_lost(new);
            return Ok(false);
        }
        match self.ask(leader, change) {
            Some(ReplyBody::TableReplaced(ReplaceTableReply::Accepted)) => {
                self.tables.accepted(new);
                return Ok(true);
            }
            Some(ReplyBody::TableReplaced(
                ReplaceTableReply::ParentMismatch { current }
                | ReplaceTableReply::Outdated { current },
            )) => {
                let checked = self.tables.refused_for(current);
                self.check_table(checked)?;
            }
            _ => self.tables.answer_lost(new),
        }
        Ok(false)
    }

    fn check_table(&self, checked: Result<(), String>) -> Result<(), Failure> {
        checked.or_else(|detail| self.fail(BTreeSet::from([Defect::TableLost]), &detail))
    }

    fn ask(&mut self, machine: usize, body: RequestBody) -> Option<ReplyBody> {
        let id = self.cluster.send(machine, body);
        let end = self.cluster.now + REPLY_TIMEOUT;
        while self.cluster.now < end {
            if let Some(reply) = self.cluster.reply(id) {
                return Some(reply);
            }
            self.advance(REPLY_POLL);
        }
        None
    }

    fn advance(&mut self, duration: Duration) {
        self.faults.advance(&mut self.cluster, duration);
    }

    fn note(&mut self, text: impl Into<String>) {
        self.trace.push((self.cluster.now, text.into()));
    }

    fn fail<T>(&self, defects: BTreeSet<Defect>, detail: &str) -> Result<T, Failure> {
        Err(Failure {
            phase: self.phase,
            defects,
            detail: detail.to_owned(),
        })
    }
}
