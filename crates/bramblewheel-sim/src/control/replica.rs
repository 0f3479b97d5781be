//! A control replica: the real node over a simulated disk.

use super::actor::ControlActor;
use super::address;
use super::disk::SimulatedDisk;
use super::double::UnsafeDouble;
use super::message::{ControlMessage, ControlTimer, PeerEnvelope};
use super::record::{BundleName, ControlRecord};
use crate::kernel::{Context, ProcessId, StopCause};
use crate::scenario::Range;
use bramblewheel_control::node::{
    ClientRequestId, ControlNode, Durable, Hello, NodeConfig, NodeOutput, Now, PeerMessage,
};
use bramblewheel_protocol::control::{
    ControlReply, ControlRequest, LogPosition, PollReply, PublishReply, ReplicaAddress, ReplyBody,
    RequestBody, Unavailable,
};
use bramblewheel_replication::{AppendResult, Body, ReplicaId, Role, Term};
use bramblewheel_storage::{StorageConfig, StorageError};
use bramblewheel_types::Timestamp;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Data folder on the simulated disk.
const FOLDER: &str = "data";
/// Size of a segment in bytes: small, so that a run goes through many.
const SEGMENT_SIZE: u64 = 16 * 1024;
/// What the wall clock shows when a process's own clock shows zero, in milliseconds.
const UNIX_MILLIS_AT_ZERO: u64 = 1_900_000_000_000;
/// After how long a process that ended because of its disk is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// After how long a double answers a poll.
const DOUBLE_POLL_WAIT: Duration = Duration::from_secs(3);

/// What does not change over the life of a machine.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSettings {
    pub(super) name: String,
    pub(super) process: ProcessId,
    pub(super) heartbeat: Duration,
    pub(super) election: Duration,
    pub(super) daemon_lease: Duration,
    pub(super) snapshot_interval: u64,
    pub(super) sync_us: Range,
    pub(super) double: Option<UnsafeDouble>,
}

/// A control replica with its machine.
pub struct ReplicaMachine {
    settings: ReplicaSettings,
    disk: SimulatedDisk,
    /// Randomness of the machine, apart from that of the process.
    random: Pcg64Mcg,
    /// Power fails with the next operation that the disk refuses; down for as long.
    power_fails: Option<Duration>,
    identity: Option<u64>,
    is_unusable: bool,
    incarnation: Option<Incarnation>,
}

/// What one start of the process has in memory.
struct Incarnation {
    node: ControlNode,
    durable: Durable<SimulatedDisk>,
    address: ReplicaAddress,
    clients: BTreeMap<ClientRequestId, (ProcessId, u64)>,
    next_client: u64,
    /// The timer that is set.
    armed: Timestamp,
    shown: Shown,
}

/// What was recorded last, so that only changes are recorded.
#[derive(Default)]
struct Shown {
    bundle: Option<BundleName>,
    leading: Option<Term>,
    has_acknowledged: bool,
}

type ActorContext<'a> = Context<'a, ControlActor>;

impl ReplicaMachine {
    pub(super) fn new(settings: ReplicaSettings, random: Pcg64Mcg) -> Self {
        let ignores_sync = settings.double == Some(UnsafeDouble::UnsyncedReplica);
        Self {
            settings,
            disk: SimulatedDisk::new(ignores_sync),
            random,
            power_fails: None,
            identity: None,
            is_unusable: false,
            incarnation: None,
        }
    }

    pub(super) fn start(&mut self, context: &mut ActorContext<'_>) {
        let opened = self.open(context);
        match opened {
            Ok(incarnation) => {
                let identity = incarnation.address.replica;
                self.identity = Some(identity);
                context.record(ControlRecord::ReplicaOpened { identity });
                self.incarnation = Some(incarnation);
                self.drive(context);
            }
            Err(error) => self.fail(context, &error),
        }
    }

    fn open(&mut self, context: &mut ActorContext<'_>) -> Result<Incarnation, StorageError> {
        let fresh = self.fresh_identity();
        let config = StorageConfig {
            folder: Path::new(FOLDER).to_owned(),
            segment_size: SEGMENT_SIZE,
        };
        let name = &self.settings.name;
        let (durable, restored) = Durable::open(self.disk.clone(), config, name, fresh)?;
        let process = self.settings.process;
        let address = ReplicaAddress {
            replica: durable.identity().replica.0,
            name: self.settings.name.clone(),
            peer: address::peer(process),
            service: address::service(process),
        };
        let config = NodeConfig {
            address: address.clone(),
            heartbeat: self.settings.heartbeat,
            election: self.settings.election,
            daemon_lease: self.settings.daemon_lease,
            snapshot_interval: self.settings.snapshot_interval,
            seed: context.random().random(),
        };
        let node = ControlNode::new(config, restored, now(context))
            .expect("what this program wrote is a state of this program");
        Ok(Incarnation {
            node,
            durable,
            address,
            clients: BTreeMap::new(),
            next_client: 0,
            armed: Timestamp::NEVER,
            shown: Shown::default(),
        })
    }

    /// The identity that an empty folder gets.
    fn fresh_identity(&mut self) -> ReplicaId {
        let drawn = self.random.random();
        let reused = self
            .identity
            .filter(|_| self.settings.double == Some(UnsafeDouble::IdentityReuse));
        ReplicaId(reused.unwrap_or(drawn))
    }

    pub(super) fn stop(&mut self, cause: StopCause) {
        self.incarnation = None;
        let power_failed = cause == StopCause::Exited && self.power_fails.is_some();
        if cause == StopCause::PowerLost || power_failed {
            self.disk.files().crash(self.random.random());
        } else {
            self.disk.files().kill_process();
        }
        self.power_fails = None;
    }

    pub(super) fn receive_peer(&mut self, context: &mut ActorContext<'_>, envelope: PeerEnvelope) {
        let now = now(context);
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let PeerEnvelope { hello, message } = envelope;
        if !incarnation.is_meant(&hello) {
            return;
        }
        let from = ReplicaId(hello.from.replica);
        incarnation.node.record_peer_address(now, hello.from);
        incarnation.node.receive(now, from, message);
        self.drive(context);
    }

    pub(super) fn receive_request(
        &mut self,
        context: &mut ActorContext<'_>,
        from: ProcessId,
        request: ControlRequest,
    ) {
        let double = self.settings.double;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let now = now(context);
        if let Some(body) = answer_at_once(double, incarnation, &request.body) {
            let id = request.id;
            let reply = ControlMessage::Reply(Box::new(ControlReply { id, body }));
            context.send(from, reply);
        }
        incarnation.next_client += 1;
        let client = ClientRequestId(incarnation.next_client);
        incarnation.clients.insert(client, (from, request.id));
        incarnation.node.request(now, client, request.body);
        self.drive(context);
    }

    pub(super) fn wake(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if context.now() < incarnation.armed {
            return;
        }
        incarnation.armed = Timestamp::NEVER;
        let now = now(context);
        incarnation.node.tick(now);
        self.drive(context);
    }

    /// Carries out what the node asks for, then sets the timer.
    fn drive(&mut self, context: &mut ActorContext<'_>) {
        while let Some(incarnation) = &mut self.incarnation {
            let now = now(context);
            let output = incarnation.node.take_output(now);
            if output.is_empty() {
                break;
            }
            if let Err(error) = incarnation.durable.apply(&output) {
                return self.fail(context, &error);
            }
            let sync = self.sync_time(&output);
            self.send(context, output, sync);
        }
        self.show(context);
        self.arm(context);
    }

    fn sync_time(&mut self, output: &NodeOutput) -> Duration {
        if output.write.is_empty() && output.snapshot.is_none() {
            return Duration::ZERO;
        }
        Duration::from_micros(self.settings.sync_us.draw(&mut self.random))
    }

    fn send(&mut self, context: &mut ActorContext<'_>, output: NodeOutput, sync: Duration) {
        let double = self.settings.double;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let now = now(context);
        incarnation.node.persisted(now);
        let group = incarnation.durable.identity().group;
        for (to, message) in output.messages {
            incarnation.show_promises(context, &message);
            let Some(peer) = incarnation.node.member_address(to) else {
                continue;
            };
            let hello = Hello {
                group,
                from: incarnation.address.clone(),
                to: to.0,
            };
            let envelope = PeerEnvelope { hello, message };
            let message = ControlMessage::Peer(Box::new(envelope));
            context.send_after(sync, address::process(peer.peer), message);
        }
        for (client, body) in output.replies {
            let Some((to, id)) = incarnation.clients.remove(&client) else {
                continue;
            };
            let (body, wait) = incarnation.altered(double, body);
            let reply = ControlMessage::Reply(Box::new(ControlReply { id, body }));
            context.send_after(sync + wait, to, reply);
        }
    }

    /// The disk failed: the process ends. A folder that is damaged stays so.
    fn fail(&mut self, context: &mut ActorContext<'_>, error: &StorageError) {
        let reason = error.to_string();
        if matches!(
            error,
            StorageError::Damaged { .. } | StorageError::Missing { .. }
        ) {
            self.is_unusable = true;
            context.record(ControlRecord::ReplicaUnusable { reason });
            return context.exit(None);
        }
        context.record(ControlRecord::StorageFailed { reason });
        context.exit(Some(self.power_fails.unwrap_or(RESTART_AFTER)));
    }

    fn arm(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let due = incarnation.node.next_wakeup();
        if due < incarnation.armed {
            incarnation.armed = due;
            context.set_timer_at(due, ControlTimer::Wake);
        }
    }

    fn show(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let current = incarnation.node.state().bundles().current();
        let bundle = current.map(|signed| BundleName {
            version: signed.version,
            digest: signed.digest,
        });
        if bundle != incarnation.shown.bundle {
            incarnation.shown.bundle = bundle;
            let index = incarnation.node.state().position().index;
            let record = bundle.map(|bundle| ControlRecord::ReplicaInForce { bundle, index });
            record.into_iter().for_each(|record| context.record(record));
        }
        let replica = incarnation.node.replica();
        let leading = (replica.role() == Role::Leader).then(|| replica.term());
        if leading != incarnation.shown.leading {
            incarnation.shown.leading = leading;
            if let Some(term) = leading {
                let identity = incarnation.address.replica;
                context.record(ControlRecord::Leading {
                    identity,
                    term: term.0,
                });
            }
        }
    }

    /// Identity in the data folder, as last read.
    pub(super) fn identity(&self) -> Option<u64> {
        self.identity
    }

    /// Whether the data folder can't be used any more.
    pub(super) fn is_unusable(&self) -> bool {
        self.is_unusable
    }

    /// Whether the process leads.
    pub(super) fn is_leader(&self) -> bool {
        let incarnation = self.incarnation.as_ref();
        incarnation.is_some_and(|incarnation| incarnation.node.replica().role() == Role::Leader)
    }

    /// The disk, to inject faults.
    pub(super) fn disk(&self) -> &SimulatedDisk {
        &self.disk
    }

    /// An empty disk takes the place of the old one.
    pub(super) fn replace_disk(&mut self) {
        self.disk.files().wipe();
        self.is_unusable = false;
    }

    /// Power fails after some more operations of the disk, in the middle of what they belong to.
    pub(super) fn fail_power_after(&mut self, operations: u64, down: Duration) {
        self.power_fails = Some(down);
        self.disk.files().stop_after(operations);
    }

    /// Takes back a power failure that did not come.
    pub(super) fn cancel_power_failure(&mut self) {
        if self.power_fails.take().is_some() {
            self.disk.files().stop_after(u64::MAX);
        }
    }
}

impl Incarnation {
    /// Whether a connection that begins like this reaches whom it means.
    fn is_meant(&self, hello: &Hello) -> bool {
        let group = self.durable.identity().group;
        let is_same_group = match (group, hello.group) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        };
        let is_meant = hello.to == self.address.replica && hello.from.replica != hello.to;
        is_meant && is_same_group
    }

    fn is_leader(&self) -> bool {
        self.node.replica().role() == Role::Leader
    }

    /// What a double makes of an answer, and after how long it gives it.
    fn altered(&self, double: Option<UnsafeDouble>, body: ReplyBody) -> (ReplyBody, Duration) {
        match (double, &body) {
            (
                Some(UnsafeDouble::LastWriterWins),
                ReplyBody::Publish(PublishReply::Conflict { .. }),
            ) => {
                let position = LogPosition::default();
                let reply = PublishReply::Accepted { position };
                (ReplyBody::Publish(reply), Duration::ZERO)
            }
            (
                Some(UnsafeDouble::AnswersWithoutLease),
                ReplyBody::Unavailable(Unavailable::NoQuorum),
            ) => (ReplyBody::Poll(Box::new(self.no_news())), DOUBLE_POLL_WAIT),
            _ => (body, Duration::ZERO),
        }
    }

    fn no_news(&self) -> PollReply {
        PollReply {
            position: self.node.state().position(),
            operator_changes: Vec::new(),
            bundle: None,
            directory_revision: self.node.state().directory().revision(),
            directory_is_complete: false,
            live: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Records votes, and that entries are reported as synced.
    fn show_promises(&mut self, context: &mut ActorContext<'_>, message: &PeerMessage) {
        let PeerMessage::Replication(message) = message else {
            return;
        };
        let identity = self.address.replica;
        match message.body {
            Body::VoteResponse { granted: true } => {
                let term = message.term.0;
                context.record(ControlRecord::VoteGiven { identity, term });
            }
            Body::AppendResponse {
                result: AppendResult::Matched { .. },
                ..
            } if !self.shown.has_acknowledged => {
                self.shown.has_acknowledged = true;
                context.record(ControlRecord::Acknowledged { identity });
            }
            _ => {}
        }
    }
}

fn now(context: &ActorContext<'_>) -> Now {
    let monotonic = context.now();
    Now {
        monotonic,
        unix_millis: UNIX_MILLIS_AT_ZERO + monotonic.as_millis(),
    }
}

/// What a double answers to a publish before anything is committed.
fn answer_at_once(
    double: Option<UnsafeDouble>,
    incarnation: &Incarnation,
    body: &RequestBody,
) -> Option<ReplyBody> {
    let accepts = double == Some(UnsafeDouble::AcceptBeforeCommit) && incarnation.is_leader();
    if !accepts || !matches!(body, RequestBody::Publish(_)) {
        return None;
    }
    let position = LogPosition::default();
    Some(ReplyBody::Publish(PublishReply::Accepted { position }))
}
