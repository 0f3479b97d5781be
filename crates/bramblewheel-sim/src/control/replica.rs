//! A control replica: the real node on a simulated disk.

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
/// Size of a log segment in bytes; small, so that a run uses many segments.
const SEGMENT_SIZE: u64 = 16 * 1024;
/// Wall-clock time when a process's own clock reads zero, in milliseconds since the Unix epoch.
const UNIX_MILLIS_AT_ZERO: u64 = 1_900_000_000_000;
/// Delay before a process that exited because of a disk failure is restarted.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// Time after which an unsafe double answers a poll.
const DOUBLE_POLL_WAIT: Duration = Duration::from_secs(3);

/// Settings of a machine, fixed for the whole run.
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

/// A control replica together with its machine.
pub struct ReplicaMachine {
    settings: ReplicaSettings,
    disk: SimulatedDisk,
    /// Random number generator of the machine, separate from that of the process.
    random: Pcg64Mcg,
    /// If set, the next refused disk operation is a power failure; the value is the time until the restart.
    pending_power_failure: Option<Duration>,
    identity: Option<u64>,
    is_unusable: bool,
    incarnation: Option<Incarnation>,
}

/// State in memory of one incarnation of the process.
struct Incarnation {
    node: ControlNode,
    durable: Durable<SimulatedDisk>,
    address: ReplicaAddress,
    clients: BTreeMap<ClientRequestId, (ProcessId, u64)>,
    next_client: u64,
    /// Time of the earliest wake-up timer; `NEVER` if none is set.
    wake_timer_at: Timestamp,
    last_recorded: LastRecorded,
}

/// Values recorded last, so that only changes are recorded.
#[derive(Default)]
struct LastRecorded {
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
            pending_power_failure: None,
            identity: None,
            is_unusable: false,
            incarnation: None,
        }
    }

    pub(super) fn start(&mut self, context: &mut ActorContext<'_>) {
        let result = self.open(context);
        match result {
            Ok(incarnation) => {
                let identity = incarnation.address.replica;
                self.identity = Some(identity);
                context.record(ControlRecord::ReplicaOpened { identity });
                self.incarnation = Some(incarnation);
                self.process_output(context);
            }
            Err(error) => self.fail(context, &error),
        }
    }

    fn open(&mut self, context: &mut ActorContext<'_>) -> Result<Incarnation, StorageError> {
        let new_identity = self.identity_for_empty_folder();
        let config = StorageConfig {
            folder: Path::new(FOLDER).to_owned(),
            segment_size: SEGMENT_SIZE,
        };
        let name = &self.settings.name;
        let (durable, restored) = Durable::open(self.disk.clone(), config, name, new_identity)?;
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
            .expect("state written by this program can be restored");
        Ok(Incarnation {
            node,
            durable,
            address,
            clients: BTreeMap::new(),
            next_client: 0,
            wake_timer_at: Timestamp::NEVER,
            last_recorded: LastRecorded::default(),
        })
    }

    /// Identity for an empty data folder.
    fn identity_for_empty_folder(&mut self) -> ReplicaId {
        let drawn = self.random.random();
        let reused = self
            .identity
            .filter(|_| self.settings.double == Some(UnsafeDouble::IdentityReuse));
        ReplicaId(reused.unwrap_or(drawn))
    }

    pub(super) fn stop(&mut self, cause: StopCause) {
        self.incarnation = None;
        let power_failed = cause == StopCause::Exited && self.pending_power_failure.is_some();
        if cause == StopCause::PowerLost || power_failed {
            self.disk.files().crash(self.random.random());
        } else {
            self.disk.files().kill_process();
        }
        self.pending_power_failure = None;
    }

    pub(super) fn receive_peer(&mut self, context: &mut ActorContext<'_>, envelope: PeerEnvelope) {
        let now = now(context);
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let PeerEnvelope { hello, message } = envelope;
        if !incarnation.accepts_connection(&hello) {
            return;
        }
        let from = ReplicaId(hello.from.replica);
        incarnation.node.record_peer_address(now, hello.from);
        incarnation.node.receive(now, from, message);
        self.process_output(context);
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
        if let Some(body) = premature_answer(double, incarnation, &request.body) {
            let id = request.id;
            let reply = ControlMessage::Reply(Box::new(ControlReply { id, body }));
            context.send(from, reply);
        }
        incarnation.next_client += 1;
        let client = ClientRequestId(incarnation.next_client);
        incarnation.clients.insert(client, (from, request.id));
        incarnation.node.request(now, client, request.body);
        self.process_output(context);
    }

    pub(super) fn wake(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if context.now() < incarnation.wake_timer_at {
            return;
        }
        incarnation.wake_timer_at = Timestamp::NEVER;
        let now = now(context);
        incarnation.node.tick(now);
        self.process_output(context);
    }

    /// Carries out the node's output, records changes and sets the wake-up timer.
    fn process_output(&mut self, context: &mut ActorContext<'_>) {
        while let Some(incarnation) = &mut self.incarnation {
            let now = now(context);
            let mut output = incarnation.node.take_output(now);
            if output.is_empty() {
                break;
            }
            let needs_sync = !output.write.is_empty() || output.snapshot.is_some();
            if let Err(error) = incarnation.durable.apply(&mut output) {
                return self.fail(context, &error);
            }
            let sync = self.sync_time(needs_sync);
            self.send(context, output, sync);
        }
        self.record_changes(context);
        self.set_wake_timer(context);
    }

    fn sync_time(&mut self, needs_sync: bool) -> Duration {
        if !needs_sync {
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
            incarnation.record_vote_or_acknowledgement(context, &message);
            let Some(peer) = incarnation.node.member_address(to) else {
                continue;
            };
            let hello = Hello {
                group,
                from: incarnation.address.clone(),
                to: to.0,
                reads_usage_reports: true,
                reads_acknowledgements: false,
            };
            let envelope = PeerEnvelope { hello, message };
            let message = ControlMessage::Peer(Box::new(envelope));
            context.send_after(sync, address::process(peer.peer), message);
        }
        for (client, body) in output.replies {
            let Some((to, id)) = incarnation.clients.remove(&client) else {
                continue;
            };
            let (body, wait) = incarnation.alter_reply(double, body);
            let reply = ControlMessage::Reply(Box::new(ControlReply { id, body }));
            context.send_after(sync + wait, to, reply);
        }
    }

    /// Exits the process after a disk failure. It is not restarted if its data folder is damaged.
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
        context.exit(Some(self.pending_power_failure.unwrap_or(RESTART_AFTER)));
    }

    fn set_wake_timer(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let due = incarnation.node.next_wakeup();
        if due < incarnation.wake_timer_at {
            incarnation.wake_timer_at = due;
            context.set_timer_at(due, ControlTimer::Wake);
        }
    }

    fn record_changes(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let current = incarnation.node.state().bundles().current();
        let bundle = current.map(|signed| BundleName {
            version: signed.version,
            digest: signed.digest,
        });
        if bundle != incarnation.last_recorded.bundle {
            incarnation.last_recorded.bundle = bundle;
            let index = incarnation.node.state().position().index;
            let record = bundle.map(|bundle| ControlRecord::ReplicaInForce { bundle, index });
            record.into_iter().for_each(|record| context.record(record));
        }
        let replica = incarnation.node.replica();
        let leading = (replica.role() == Role::Leader).then(|| replica.term());
        if leading != incarnation.last_recorded.leading {
            incarnation.last_recorded.leading = leading;
            if let Some(term) = leading {
                let identity = incarnation.address.replica;
                context.record(ControlRecord::Leading {
                    identity,
                    term: term.0,
                });
            }
        }
    }

    /// Identity last read from the data folder.
    pub(super) fn identity(&self) -> Option<u64> {
        self.identity
    }

    /// Whether the data folder is damaged.
    pub(super) fn is_unusable(&self) -> bool {
        self.is_unusable
    }

    /// Whether the replica is leader.
    pub(super) fn is_leader(&self) -> bool {
        let incarnation = self.incarnation.as_ref();
        incarnation.is_some_and(|incarnation| incarnation.node.replica().role() == Role::Leader)
    }

    /// Disk of the machine, to inject faults.
    pub(super) fn disk(&self) -> &SimulatedDisk {
        &self.disk
    }

    /// Replaces the disk by an empty one.
    pub(super) fn replace_disk(&mut self) {
        self.disk.files().wipe();
        self.is_unusable = false;
    }

    /// Schedules a power failure after the given number of disk operations, possibly in the middle of a write; the
    /// machine restarts after `down`.
    pub(super) fn fail_power_after(&mut self, operations: u64, down: Duration) {
        self.pending_power_failure = Some(down);
        self.disk.files().stop_after(operations);
    }

    /// Cancels a scheduled power failure that has not occurred.
    pub(super) fn cancel_power_failure(&mut self) {
        if self.pending_power_failure.take().is_some() {
            self.disk.files().stop_after(u64::MAX);
        }
    }
}

impl Incarnation {
    /// Whether a connection with this first frame is meant for this replica.
    fn accepts_connection(&self, hello: &Hello) -> bool {
        let group = self.durable.identity().group;
        let is_same_group = match (group, hello.group) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        };
        let is_for_this_replica =
            hello.to == self.address.replica && hello.from.replica != hello.to;
        is_for_this_replica && is_same_group
    }

    fn is_leader(&self) -> bool {
        self.node.replica().role() == Role::Leader
    }

    /// Reply of an unsafe double in place of `body`, and its additional delay.
    fn alter_reply(&self, double: Option<UnsafeDouble>, body: ReplyBody) -> (ReplyBody, Duration) {
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
            ) => (
                ReplyBody::Poll(Box::new(self.unchanged_poll_reply())),
                DOUBLE_POLL_WAIT,
            ),
            _ => (body, Duration::ZERO),
        }
    }

    fn unchanged_poll_reply(&self) -> PollReply {
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

    /// Records granted votes and the first acknowledgement of synced entries.
    fn record_vote_or_acknowledgement(
        &mut self,
        context: &mut ActorContext<'_>,
        message: &PeerMessage,
    ) {
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
            } if !self.last_recorded.has_acknowledged => {
                self.last_recorded.has_acknowledged = true;
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

/// Reply of an unsafe double to a publish before the entry is committed.
fn premature_answer(
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
