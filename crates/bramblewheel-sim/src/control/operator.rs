//! An operator: makes the group, publishes, sends again what was not answered, replaces replicas.

use super::actor::ControlActor;
use super::address;
use super::message::{ControlMessage, ControlTimer};
use super::record::{BundleName, ControlRecord, PublishAnswer};
use crate::kernel::{Context, ProcessId};
use crate::scenario::MillisRange;
use bramblewheel_daemon::control::choice::ReplicaChoice;
use bramblewheel_protocol::control::{
    BootstrapRequest, ControlReply, ControlRequest, ReplaceRequest, ReplicaAddress, ReplyBody,
    RequestBody, SignedBundle,
};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How long an operator waits for an answer before another replica is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long for the end of a replacement.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a refusal that may be another one next time.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Group that the operators make.
const GROUP: u64 = 1;

/// What operators do besides what they are told.
#[derive(Clone, Debug)]
pub(super) struct OperatorSettings {
    pub(super) replicas: Vec<ProcessId>,
    /// A publish begins only once the one before is answered.
    pub(super) serial: bool,
    pub(super) lose_answer_percent: u8,
    pub(super) resend_percent: u8,
    pub(super) resend_after: MillisRange,
}

/// An operator.
pub struct Operator {
    settings: OperatorSettings,
    tasks: Vec<Task>,
    /// Requests under way with their tasks.
    open: BTreeMap<u64, usize>,
    next_request: u64,
    has_bootstrapped: bool,
    accepted: BTreeMap<BundleName, SignedBundle>,
    repairs_done: usize,
    /// Publishes that wait for a final answer, also those that are yet to begin.
    open_publishes: BTreeSet<usize>,
    /// The publish under way, and those that wait for its answer.
    publishing: Option<usize>,
    waiting: VecDeque<usize>,
}

struct Task {
    job: Job,
    choice: ReplicaChoice,
}

enum Job {
    /// First asks each voter who it is, then gives each the first state.
    Bootstrap {
        voters: Vec<ReplicaAddress>,
        admitted: usize,
        first: SignedBundle,
    },
    Publish(SignedBundle),
    /// First asks the new replica who it is.
    Replace {
        lost: u64,
        target: ProcessId,
        replacement: Option<ReplicaAddress>,
    },
}

type ActorContext<'a> = Context<'a, ControlActor>;

impl Operator {
    pub(super) fn new(settings: OperatorSettings) -> Self {
        Self {
            settings,
            tasks: Vec::new(),
            open: BTreeMap::new(),
            next_request: 0,
            has_bootstrapped: false,
            accepted: BTreeMap::new(),
            repairs_done: 0,
            open_publishes: BTreeSet::new(),
            publishing: None,
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn start(&mut self, _context: &mut ActorContext<'_>) {}

    /// Makes the group with all replicas as voters.
    pub(super) fn bootstrap(&mut self, context: &mut ActorContext<'_>, first: SignedBundle) {
        let job = Job::Bootstrap {
            voters: Vec::new(),
            admitted: 0,
            first,
        };
        self.add(context, Duration::ZERO, job);
    }

    /// Publishes a bundle after some time.
    pub(super) fn publish(
        &mut self,
        context: &mut ActorContext<'_>,
        after: Duration,
        signed: SignedBundle,
    ) {
        let task = self.add(context, after, Job::Publish(signed));
        self.open_publishes.insert(task);
    }

    /// Replaces a replica that lost its disk by the new one on the same machine.
    pub(super) fn replace(
        &mut self,
        context: &mut ActorContext<'_>,
        after: Duration,
        lost: u64,
        target: ProcessId,
    ) {
        context.record(ControlRecord::RepairBegun { lost });
        let job = Job::Replace {
            lost,
            target,
            replacement: None,
        };
        self.add(context, after, job);
    }

    fn add(&mut self, context: &mut ActorContext<'_>, after: Duration, job: Job) -> usize {
        let replicas = self.settings.replicas.iter().copied();
        let addresses = replicas.map(address::service).collect();
        let choice = ReplicaChoice::new(addresses, context.random().random());
        self.tasks.push(Task { job, choice });
        let task = self.tasks.len() - 1;
        context.set_timer(after, ControlTimer::Task(task));
        task
    }

    /// Sends a task's next request, unless it has to wait for its turn.
    pub(super) fn begin(&mut self, context: &mut ActorContext<'_>, task: usize) {
        let is_publish = matches!(self.tasks[task].job, Job::Publish(_));
        if self.settings.serial && is_publish {
            let current = *self.publishing.get_or_insert(task);
            if current != task {
                return self.waiting.push_back(task);
            }
        }
        self.send(context, task);
    }

    fn send(&mut self, context: &mut ActorContext<'_>, task: usize) {
        let replicas = &self.settings.replicas;
        let (to, body) = self.tasks[task].next_request(replicas);
        let timeout = match &body {
            RequestBody::Replace(_) => REPLACE_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        if let RequestBody::Publish(signed) = &body {
            let bundle = name(signed);
            context.record(ControlRecord::PublishSent { bundle, via: to });
        }
        self.next_request += 1;
        let id = self.next_request;
        self.open.insert(id, task);
        let request = ControlRequest { id, body };
        context.send(to, ControlMessage::Request(Box::new(request)));
        context.set_timer(timeout, ControlTimer::RequestTimeout(id));
    }

    /// No answer in time, or nobody listens.
    pub(super) fn timed_out(&mut self, context: &mut ActorContext<'_>, id: u64) {
        if let Some(task) = self.open.remove(&id) {
            self.ask_another(context, task);
        }
    }

    fn ask_another(&mut self, context: &mut ActorContext<'_>, task: usize) {
        self.tasks[task].choice.next_replica();
        self.ask_again(context, task);
    }

    fn ask_again(&mut self, context: &mut ActorContext<'_>, task: usize) {
        let pause = self.tasks[task].choice.pause();
        context.set_timer(pause, ControlTimer::Task(task));
    }

    pub(super) fn receive(
        &mut self,
        context: &mut ActorContext<'_>,
        from: ProcessId,
        reply: ControlReply,
    ) {
        let Some(task) = self.open.remove(&reply.id) else {
            return;
        };
        match reply.body {
            ReplyBody::Unavailable(reason) => {
                self.tasks[task].choice.record_unavailable(&reason);
                self.ask_again(context, task);
            }
            ReplyBody::Publish(reply) => self.answered(context, task, from, reply.into()),
            ReplyBody::GroupStatus(status) => {
                self.tasks[task].met(status.replica);
                self.begin(context, task);
            }
            ReplyBody::Done => self.done(context, task),
            ReplyBody::Rejected(_) => {
                context.set_timer(REFUSED_PAUSE, ControlTimer::Task(task));
            }
            // A double answers so; no replica does.
            _ => self.ask_another(context, task),
        }
    }

    fn answered(
        &mut self,
        context: &mut ActorContext<'_>,
        task: usize,
        via: ProcessId,
        answer: PublishAnswer,
    ) {
        let Job::Publish(signed) = &self.tasks[task].job else {
            unreachable!("only publishes are answered so");
        };
        let bundle = name(signed);
        if chance(context, self.settings.lose_answer_percent) {
            context.record(ControlRecord::AnswerLost { bundle });
            return self.ask_another(context, task);
        }
        if answer == PublishAnswer::Accepted {
            self.accepted.insert(bundle, signed.clone());
        }
        let signed = signed.clone();
        context.record(ControlRecord::PublishAnswered {
            bundle,
            via,
            answer,
        });
        self.open_publishes.remove(&task);
        self.publishing = None;
        if let Some(next) = self.waiting.pop_front() {
            self.begin(context, next);
        }
        if chance(context, self.settings.resend_percent) {
            let after = self.settings.resend_after.draw(context.random());
            self.publish(context, after, signed);
        }
    }

    fn done(&mut self, context: &mut ActorContext<'_>, task: usize) {
        match &mut self.tasks[task].job {
            Job::Bootstrap {
                voters, admitted, ..
            } => {
                *admitted += 1;
                if *admitted < voters.len() {
                    return self.begin(context, task);
                }
                self.has_bootstrapped = true;
                context.record(ControlRecord::Bootstrapped);
            }
            Job::Replace {
                lost, replacement, ..
            } => {
                let replacement = replacement.as_ref().map_or(0, |address| address.replica);
                let lost = *lost;
                self.repairs_done += 1;
                context.record(ControlRecord::RepairDone { lost, replacement });
            }
            Job::Publish(_) => unreachable!("a publish has an answer of its own"),
        }
    }

    /// Ends the faults of the operator's own way to the group, and sending by chance.
    pub(super) fn stop_load(&mut self) {
        self.settings.lose_answer_percent = 0;
        self.settings.resend_percent = 0;
    }

    /// Whether the group was made.
    pub(super) fn has_bootstrapped(&self) -> bool {
        self.has_bootstrapped
    }

    /// Bundles that the operator was told are accepted.
    pub(super) fn accepted(&self) -> impl Iterator<Item = &SignedBundle> {
        self.accepted.values()
    }

    /// Replacements that are finished.
    pub(super) fn repairs_done(&self) -> usize {
        self.repairs_done
    }

    /// Publishes without a final answer.
    pub(super) fn open_publishes(&self) -> usize {
        self.open_publishes.len()
    }
}

impl Task {
    /// Whom to ask, and what.
    fn next_request(&self, replicas: &[ProcessId]) -> (ProcessId, RequestBody) {
        let chosen = address::process(self.choice.address());
        match &self.job {
            Job::Bootstrap { voters, .. } if voters.len() < replicas.len() => {
                (replicas[voters.len()], RequestBody::GroupStatus)
            }
            Job::Bootstrap {
                voters,
                admitted,
                first,
            } => {
                let request = BootstrapRequest {
                    group: GROUP,
                    voters: voters.clone(),
                    bundle: first.clone(),
                };
                (replicas[*admitted], RequestBody::Bootstrap(request))
            }
            Job::Publish(signed) => (chosen, RequestBody::Publish(signed.clone())),
            Job::Replace {
                target,
                replacement: None,
                ..
            } => (*target, RequestBody::GroupStatus),
            Job::Replace {
                lost,
                replacement: Some(replacement),
                ..
            } => {
                let request = ReplaceRequest {
                    lost: *lost,
                    replacement: replacement.clone(),
                };
                (chosen, RequestBody::Replace(request))
            }
        }
    }

    /// A replica said who it is.
    fn met(&mut self, address: ReplicaAddress) {
        match &mut self.job {
            Job::Bootstrap { voters, .. } => voters.push(address),
            Job::Replace { replacement, .. } => *replacement = Some(address),
            Job::Publish(_) => {}
        }
    }
}

fn name(signed: &SignedBundle) -> BundleName {
    BundleName {
        version: signed.version,
        digest: signed.digest,
    }
}

fn chance(context: &mut ActorContext<'_>, percent: u8) -> bool {
    percent > 0 && context.random().random_range(0..100) < percent
}
