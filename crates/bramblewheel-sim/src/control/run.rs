//! One run of a scenario: bootstraps the group, runs load and faults, ends all faults, audits.

use super::actor::ControlActor;
use super::bundles::{self, BundlePlan};
use super::double::UnsafeDouble;
use super::faults::Faults;
use super::operator::Operator;
use super::plan::{FIRST_VERSION, PublishPlan};
use super::record::ControlRecord;
use super::scenario::ControlScenario;
use super::world::{self, ProcessRoles};
use crate::kernel::{Context, Entry, HistoryDigest, ProcessId, Purpose, Simulation};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Longest time to bootstrap the group.
const BOOTSTRAP_LIMIT: Duration = Duration::from_secs(60);
/// Longest time for repairs and faults after the load.
const FAULTS_LIMIT: Duration = Duration::from_secs(300);
/// Longest time for the answers to the load after its last round.
const ANSWERS_LIMIT: Duration = Duration::from_secs(30);
/// Longest time for the audit.
const AUDIT_LIMIT: Duration = Duration::from_secs(120);
/// Interval at which conditions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Result of a run.
#[derive(Debug)]
pub struct ControlRun {
    /// History of the run.
    pub history: Vec<Entry<ControlRecord>>,
    /// Digest of the history and the number of handled events.
    pub digest: HistoryDigest,
    /// Processes by role.
    pub roles: ProcessRoles,
    /// Virtual time at the end.
    pub ended_at: Timestamp,
    /// Number of handled events.
    pub events: u64,
}

/// Runs a scenario with one seed; `double` is for tests of the checkers.
pub fn run(scenario: &ControlScenario, seed: u64, double: Option<UnsafeDouble>) -> ControlRun {
    let (simulation, roles) = world::build(scenario, seed, double);
    let mut run = Run {
        simulation,
        roles,
        scenario,
    };
    run.bootstrap();
    let last = run.load_and_faults();
    run.audit(last);
    let mut simulation = run.simulation;
    ControlRun {
        digest: simulation.digest(),
        ended_at: simulation.now(),
        events: simulation.handled(),
        history: simulation.history_mut().take_entries(),
        roles: run.roles,
    }
}

struct Run<'a> {
    simulation: Simulation<ControlActor>,
    roles: ProcessRoles,
    scenario: &'a ControlScenario,
}

impl Run<'_> {
    fn bootstrap(&mut self) {
        let first = bundles::signed_bundle(BundlePlan {
            version: FIRST_VERSION,
            variant: 0,
            generation: 0,
        });
        let operator = self.roles.operators[0];
        self.with_operator(operator, |operator, context| {
            operator.bootstrap(context, first);
        });
        let is_done = |run: &Self| run.operator(operator).has_bootstrapped();
        self.run_until(BOOTSTRAP_LIMIT, is_done);
    }

    /// Runs the load and the faults. Returns a bundle newer than all bundles of the load, for the audit.
    fn load_and_faults(&mut self) -> BundlePlan {
        let start = self.simulation.now();
        let mut random = self.simulation.streams().stream(Purpose::Load);
        let plan = PublishPlan::draw(&self.scenario.load, &mut random);
        for planned in &plan.publishes {
            let operator = self.roles.operators[planned.operator];
            let signed = bundles::signed_bundle(planned.bundle);
            self.with_operator(operator, |operator, context| {
                operator.publish(context, planned.at, signed);
            });
        }
        let planned_end = start + plan.end;
        let mut faults = Faults::draw(&self.simulation, &self.scenario.faults);
        let limit = planned_end + FAULTS_LIMIT;
        while self.simulation.now() < limit {
            if self.load_is_over(planned_end) {
                faults.load_is_over(self.simulation.now());
                if faults.are_over() {
                    break;
                }
            }
            faults.advance(&mut self.simulation, &self.roles);
            faults.watch_repairs(&mut self.simulation, &self.roles);
            let slice = self.simulation.now() + CHECK_INTERVAL;
            let next = faults.next_at().map_or(slice, |at| at.min(slice));
            self.simulation.run_until(next);
        }
        faults.heal(&mut self.simulation, &self.roles);
        plan.last
    }

    /// Publishes all accepted bundles again, and a new one.
    fn audit(&mut self, last: BundlePlan) {
        for operator in self.roles.operators.clone() {
            self.with_operator(operator, |operator, _| operator.stop_load());
        }
        self.wait(self.in_force_limit());
        self.simulation.record(None, ControlRecord::AuditBegun);
        for operator in self.roles.operators.clone() {
            let accepted: Vec<_> = self.operator(operator).accepted().cloned().collect();
            self.with_operator(operator, |operator, context| {
                for signed in accepted {
                    operator.publish(context, Duration::ZERO, signed);
                }
            });
        }
        let signed = bundles::signed_bundle(last);
        self.with_operator(self.roles.operators[0], |operator, context| {
            operator.publish(context, Duration::ZERO, signed);
        });
        self.run_until(AUDIT_LIMIT, |run| run.open_publishes() == 0);
        self.wait(self.in_force_limit() + CHECK_INTERVAL);
        let open_publishes = self.open_publishes() as u64;
        let record = ControlRecord::Ended { open_publishes };
        self.simulation.record(None, record);
    }

    /// Whether all rounds have begun and are answered, or the limit for their answers has passed.
    fn load_is_over(&self, planned_end: Timestamp) -> bool {
        let late = self.simulation.now().since(planned_end);
        let is_answered = self.open_publishes() == 0 || late >= ANSWERS_LIMIT;
        self.simulation.now() >= planned_end && is_answered
    }

    fn in_force_limit(&self) -> Duration {
        Duration::from_millis(self.scenario.outcomes.in_force_within_ms)
    }

    fn wait(&mut self, duration: Duration) {
        let end = self.simulation.now() + duration;
        self.simulation.run_until(end);
    }

    fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) {
        let end = self.simulation.now() + limit;
        while self.simulation.now() < end && !is_done(self) {
            self.wait(CHECK_INTERVAL);
        }
    }

    fn open_publishes(&self) -> usize {
        let operators = self.roles.operators.iter();
        operators
            .map(|id| self.operator(*id).open_publishes())
            .sum()
    }

    fn operator(&self, process: ProcessId) -> &Operator {
        let operator = self.simulation.actor(process).as_operator();
        operator.expect("the process is an operator")
    }

    fn with_operator(
        &mut self,
        process: ProcessId,
        action: impl FnOnce(&mut Operator, &mut Context<'_, ControlActor>),
    ) {
        self.simulation.with(process, |actor, context| {
            let operator = actor.as_operator_mut().expect("the process is an operator");
            action(operator, context);
        });
    }
}
