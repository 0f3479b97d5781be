//! An operator: bootstraps the group, publishes bundles, sends unanswered requests again, replaces replicas.

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

/// Time that an operator waits for a reply before it tries another replica.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that an operator waits for the end of a replacement.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a rejected request is sent again, since the rejection may be temporary.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Id of the group that the operators bootstrap.
const GROUP: u64 = 1;

/// Behaviour of operators.
#[derive(Clone, Debug)]
pub(super) struct OperatorSettings {
    pub(super) replicas: Vec<ProcessId>,
    /// Whether a publish begins only once the preceding one is answered.
    pub(super) serial: bool,
    pub(super) lose_answer_percent: u8,
    pub(super) resend_percent: u8,
    pub(super) resend_after: MillisRange,
}

/// An operator.
pub struct Operator {
    settings: OperatorSettings,
    tasks: Vec<Task>,
    /// Tasks of the requests that await a reply, by request id.
    pending_requests: BTreeMap<u64, usize>,
    next_request: u64,
    has_bootstrapped: bool,
    accepted: BTreeMap<BundleName, SignedBundle>,
    repairs_done: usize,
    /// Tasks of publishes without a final answer, including those not yet begun.
    open_publishes: BTreeSet<usize>,
    /// The publish in progress, if publishes are serial.
    current_publish: Option<usize>,
    /// Publishes that wait until the one in progress is answered.
    queued_publishes: VecDeque<usize>,
}

struct Task {
    job: Job,
    choice: ReplicaChoice,
}

enum Job {
    /// Reads the address and identity of each voter, then bootstraps each with the first bundle.
    Bootstrap {
        voters: Vec<ReplicaAddress>,
        bootstrapped: usize,
        first: SignedBundle,
    },
    Publish(SignedBundle),
    /// Reads the address and identity of the new replica, then asks the group for the replacement.
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
            pending_requests: BTreeMap::new(),
            next_request: 0,
            has_bootstrapped: false,
            accepted: BTreeMap::new(),
            repairs_done: 0,
            open_publishes: BTreeSet::new(),
            current_publish: None,
            queued_publishes: VecDeque::new(),
        }
    }

    pub(super) fn start(&mut self, _context: &mut ActorContext<'_>) {}

    /// Bootstraps the group with all replicas as voters.
    pub(super) fn bootstrap(&mut self, context: &mut ActorContext<'_>, first: SignedBundle) {
        let job = Job::Bootstrap {
            voters: Vec::new(),
            bootstrapped: 0,
            first,
        };
        self.add(context, Duration::ZERO, job);
    }

    /// Publishes a bundle after the given time.
    pub(super) fn publish(
        &mut self,
        context: &mut ActorContext<'_>,
        after: Duration,
        signed: SignedBundle,
    ) {
        let task = self.add(context, after, Job::Publish(signed));
        self.open_publishes.insert(task);
    }

    /// Replaces a replica that lost its disk by a new one on the same machine.
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

    /// Sends the next request of a task, or queues the task while another publish is in progress.
    pub(super) fn begin(&mut self, context: &mut ActorContext<'_>, task: usize) {
        let is_publish = matches!(self.tasks[task].job, Job::Publish(_));
        if self.settings.serial && is_publish {
            let current = *self.current_publish.get_or_insert(task);
            if current != task {
                return self.queued_publishes.push_back(task);
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
            let bundle = bundle_name(signed);
            context.record(ControlRecord::PublishSent { bundle, via: to });
        }
        self.next_request += 1;
        let id = self.next_request;
        self.pending_requests.insert(id, task);
        let request = ControlRequest { id, body };
        context.send(to, ControlMessage::Request(Box::new(request)));
        context.set_timer(timeout, ControlTimer::RequestTimeout(id));
    }

    /// Handles a request that got no reply in time or could not be delivered.
    pub(super) fn timed_out(&mut self, context: &mut ActorContext<'_>, id: u64) {
        if let Some(task) = self.pending_requests.remove(&id) {
            self.try_next_replica(context, task);
        }
    }

    fn try_next_replica(&mut self, context: &mut ActorContext<'_>, task: usize) {
        self.tasks[task].choice.next_replica();
        self.send_again_later(context, task);
    }

    fn send_again_later(&mut self, context: &mut ActorContext<'_>, task: usize) {
        let pause = self.tasks[task].choice.pause();
        context.set_timer(pause, ControlTimer::Task(task));
    }

    pub(super) fn receive(
        &mut self,
        context: &mut ActorContext<'_>,
        from: ProcessId,
        reply: ControlReply,
    ) {
        let Some(task) = self.pending_requests.remove(&reply.id) else {
            return;
        };
        match reply.body {
            ReplyBody::Unavailable(reason) => {
                self.tasks[task].choice.record_unavailable(&reason);
                self.send_again_later(context, task);
            }
            ReplyBody::Publish(reply) => {
                self.handle_publish_answer(context, task, from, reply.into())
            }
            ReplyBody::GroupStatus(status) => {
                self.tasks[task].record_address(status.replica);
                self.begin(context, task);
            }
            ReplyBody::Done => self.handle_done(context, task),
            ReplyBody::Rejected(_) => {
                context.set_timer(REFUSED_PAUSE, ControlTimer::Task(task));
            }
            // Only unsafe doubles reply like this.
            _ => self.try_next_replica(context, task),
        }
    }

    fn handle_publish_answer(
        &mut self,
        context: &mut ActorContext<'_>,
        task: usize,
        via: ProcessId,
        answer: PublishAnswer,
    ) {
        let Job::Publish(signed) = &self.tasks[task].job else {
            unreachable!("only publish tasks get publish replies");
        };
        let bundle = bundle_name(signed);
        if happens(context, self.settings.lose_answer_percent) {
            context.record(ControlRecord::AnswerLost { bundle });
            return self.try_next_replica(context, task);
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
        self.current_publish = None;
        if let Some(next) = self.queued_publishes.pop_front() {
            self.begin(context, next);
        }
        if happens(context, self.settings.resend_percent) {
            let after = self.settings.resend_after.draw(context.random());
            self.publish(context, after, signed);
        }
    }

    fn handle_done(&mut self, context: &mut ActorContext<'_>, task: usize) {
        match &mut self.tasks[task].job {
            Job::Bootstrap {
                voters,
                bootstrapped,
                ..
            } => {
                *bootstrapped += 1;
                if *bootstrapped < voters.len() {
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
            Job::Publish(_) => unreachable!("a publish is never answered with `Done`"),
        }
    }

    /// Ends random loss of answers and random resends.
    pub(super) fn stop_load(&mut self) {
        self.settings.lose_answer_percent = 0;
        self.settings.resend_percent = 0;
    }

    /// Whether the group is bootstrapped.
    pub(super) fn has_bootstrapped(&self) -> bool {
        self.has_bootstrapped
    }

    /// Bundles whose acceptance was reported to this operator.
    pub(super) fn accepted(&self) -> impl Iterator<Item = &SignedBundle> {
        self.accepted.values()
    }

    /// Number of finished replacements.
    pub(super) fn repairs_done(&self) -> usize {
        self.repairs_done
    }

    /// Number of publishes without a final answer.
    pub(super) fn open_publishes(&self) -> usize {
        self.open_publishes.len()
    }
}

impl Task {
    /// Next request of the task and the replica to send it to.
    fn next_request(&self, replicas: &[ProcessId]) -> (ProcessId, RequestBody) {
        let chosen = address::process(self.choice.address());
        match &self.job {
            Job::Bootstrap { voters, .. } if voters.len() < replicas.len() => {
                (replicas[voters.len()], RequestBody::GroupStatus)
            }
            Job::Bootstrap {
                voters,
                bootstrapped,
                first,
            } => {
                let request = BootstrapRequest {
                    group: GROUP,
                    voters: voters.clone(),
                    bundle: first.clone(),
                };
                (replicas[*bootstrapped], RequestBody::Bootstrap(request))
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

    /// Records the address and identity that a replica reported.
    fn record_address(&mut self, address: ReplicaAddress) {
        match &mut self.job {
            Job::Bootstrap { voters, .. } => voters.push(address),
            Job::Replace { replacement, .. } => *replacement = Some(address),
            Job::Publish(_) => {}
        }
    }
}

fn bundle_name(signed: &SignedBundle) -> BundleName {
    BundleName {
        version: signed.version,
        digest: signed.digest,
    }
}

fn happens(context: &mut ActorContext<'_>, percent: u8) -> bool {
    percent > 0 && context.random().random_range(0..100) < percent
}
