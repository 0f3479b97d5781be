//! A control replica that keeps the ledger of run-once operations: the real node over files in
//! memory that lose what was not synced.

use super::actor::RequestActor;
use super::message::{Message, PeerEnvelope, Timer};
use super::process_layout::ProcessLayout;
use crate::kernel::{Context, ProcessId, StopCause};
use bramblewheel_bundle::{
    Bundle, OperatorKey, OperatorPolicy, ServicePolicy, canonical, defaults, digest,
};
use bramblewheel_control::node::{
    ClientRequestId, ControlNode, Durable, Hello, NodeConfig, NodeOutput, Now,
};
use bramblewheel_protocol::control::{
    BootstrapRequest, BundleSignature, ControlReply, ControlRequest, ReplicaAddress, ReplyBody,
    RequestBody, SignedBundle,
};
use bramblewheel_replication::{ReplicaId, Role};
use bramblewheel_storage::{MemoryFileSystem, StorageConfig};
use bramblewheel_types::{BundleVersion, Criticality, ServiceName, Timestamp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Data folder of the replica.
const FOLDER: &str = "data";
/// Size of a segment in bytes: small, so that a run goes through several.
const SEGMENT_SIZE: u64 = 16 * 1024;
/// How often a leader starts a round of messages.
const HEARTBEAT: Duration = Duration::from_millis(50);
/// Silence of the leader after which a follower campaigns.
const ELECTION: Duration = Duration::from_millis(200);
/// Silence after which a daemon is taken out of the directory; there are none here.
const DAEMON_LEASE: Duration = Duration::from_secs(60);
/// Entries after which the log is cut by a snapshot.
const SNAPSHOT_INTERVAL: u64 = 64;
/// The group.
const GROUP: u64 = 7;
/// The one operator of the group's first bundle.
const OPERATOR: &str = "operator";

/// A control replica with its machine.
pub struct Replica {
    number: u32,
    process: ProcessId,
    files: MemoryFileSystem,
    random: Pcg64Mcg,
    incarnation: Option<Incarnation>,
}

/// What one start of the process has in memory.
struct Incarnation {
    node: ControlNode,
    durable: Durable<MemoryFileSystem>,
    address: ReplicaAddress,
    clients: BTreeMap<ClientRequestId, (ProcessId, u64)>,
    next_client: u64,
    armed: Timestamp,
}

impl Replica {
    /// The replica of that number with an empty folder; `random` is the machine's, not the
    /// process's.
    pub fn new(number: u32, process: ProcessId, random: Pcg64Mcg) -> Self {
        Self {
            number,
            process,
            files: MemoryFileSystem::new(),
            random,
            incarnation: None,
        }
    }

    /// Whether it leads the group.
    pub fn is_leader(&self) -> bool {
        let node = self
            .incarnation
            .as_ref()
            .map(|incarnation| &incarnation.node);
        node.is_some_and(|node| node.replica().role() == Role::Leader)
    }

    /// Identity and addresses, while it runs.
    pub fn address(&self) -> Option<&ReplicaAddress> {
        self.incarnation
            .as_ref()
            .map(|incarnation| &incarnation.address)
    }

    pub(super) fn start(&mut self, context: &mut Context<'_, RequestActor>) {
        let config = StorageConfig {
            folder: Path::new(FOLDER).to_owned(),
            segment_size: SEGMENT_SIZE,
        };
        let name = format!("control-{}", self.number + 1);
        let fresh = ReplicaId(self.random.random());
        let (durable, restored) = Durable::open(self.files.clone(), config, &name, fresh)
            .expect("the disk of this simulation fails only by losing power");
        let here = ProcessLayout::address(self.process);
        let address = ReplicaAddress {
            replica: durable.identity().replica.0,
            name,
            peer: here,
            service: here,
        };
        let config = NodeConfig {
            address: address.clone(),
            heartbeat: HEARTBEAT,
            election: ELECTION,
            daemon_lease: DAEMON_LEASE,
            snapshot_interval: SNAPSHOT_INTERVAL,
            seed: context.random().random(),
        };
        let node = ControlNode::new(config, restored, now(context))
            .expect("what this program wrote is a state of this program");
        self.incarnation = Some(Incarnation {
            node,
            durable,
            address,
            clients: BTreeMap::new(),
            next_client: 0,
            armed: Timestamp::NEVER,
        });
        self.drive(context);
    }

    pub(super) fn stop(&mut self, cause: StopCause) {
        self.incarnation = None;
        if cause == StopCause::PowerLost {
            self.files.crash(self.random.random());
        } else {
            self.files.kill_process();
        }
    }

    /// Makes the first state of the group; the same request goes to all voters.
    pub(super) fn bootstrap(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        request: BootstrapRequest,
    ) {
        let body = RequestBody::Bootstrap(request);
        let request = ControlRequest { id: 0, body };
        self.request(context, self.process, request);
    }

    /// Hands leadership over, as the first step of a planned stop.
    pub(super) fn hand_over(&mut self, context: &mut Context<'_, RequestActor>) {
        let now = now(context);
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.node.stop(now);
        }
        self.drive(context);
    }

    pub(super) fn receive(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        from: ProcessId,
        message: Message,
    ) {
        match message {
            Message::Peer(envelope) => self.peer(context, *envelope),
            Message::ControlRequest(request) => self.request(context, from, *request),
            _ => {}
        }
    }

    fn peer(&mut self, context: &mut Context<'_, RequestActor>, envelope: PeerEnvelope) {
        let now = now(context);
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let PeerEnvelope { hello, message } = envelope;
        let group = incarnation.durable.identity().group;
        if hello.to != incarnation.address.replica || (group.is_some() && hello.group != group) {
            return;
        }
        let from = ReplicaId(hello.from.replica);
        incarnation.node.record_peer_address(now, hello.from);
        incarnation.node.receive(now, from, message);
        self.drive(context);
    }

    fn request(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        from: ProcessId,
        request: ControlRequest,
    ) {
        let now = now(context);
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.next_client += 1;
        let client = ClientRequestId(incarnation.next_client);
        incarnation.clients.insert(client, (from, request.id));
        incarnation.node.request(now, client, request.body);
        self.drive(context);
    }

    pub(super) fn wake(&mut self, context: &mut Context<'_, RequestActor>) {
        let now = now(context);
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if now.monotonic < incarnation.armed {
            return;
        }
        incarnation.armed = Timestamp::NEVER;
        incarnation.node.tick(now);
        self.drive(context);
    }

    /// Carries out what the node asks for, then sets the timer.
    fn drive(&mut self, context: &mut Context<'_, RequestActor>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        loop {
            let output = incarnation.node.take_output(now(context));
            if output.is_empty() {
                break;
            }
            incarnation
                .durable
                .apply(&output)
                .expect("the disk of this simulation fails only by losing power");
            incarnation.node.persisted(now(context));
            incarnation.send(context, output);
        }
        let due = incarnation.node.next_wakeup();
        if due < incarnation.armed {
            incarnation.armed = due;
            context.set_timer_at(due, Timer::Replica);
        }
    }
}

impl Incarnation {
    fn send(&mut self, context: &mut Context<'_, RequestActor>, output: NodeOutput) {
        let group = self.durable.identity().group;
        for (to, message) in output.messages {
            let Some(peer) = self.node.member_address(to) else {
                continue;
            };
            let hello = Hello {
                group,
                from: self.address.clone(),
                to: to.0,
            };
            let envelope = PeerEnvelope { hello, message };
            let message = Message::Peer(Box::new(envelope));
            context.send(ProcessLayout::process_at(peer.peer), message);
        }
        for (client, body) in output.replies {
            let Some((to, id)) = self.clients.remove(&client) else {
                continue;
            };
            if to == context.process() {
                assert_eq!(body, ReplyBody::Done, "the group is made of valid parts");
                continue;
            }
            let reply = ControlReply { id, body };
            context.send(to, Message::ControlReply(Box::new(reply)));
        }
    }
}

/// Wall clocks begin at the epoch, as those of the callers do.
fn now(context: &Context<'_, RequestActor>) -> Now {
    let monotonic = context.now();
    Now {
        monotonic,
        unix_millis: monotonic.as_millis(),
    }
}

/// The request that makes a group of these voters.
pub(super) fn bootstrap_request(voters: Vec<ReplicaAddress>) -> BootstrapRequest {
    BootstrapRequest {
        group: GROUP,
        voters,
        bundle: first_bundle(),
    }
}

/// A bundle for the group; the daemons of this simulation get theirs from the scenario.
fn first_bundle() -> SignedBundle {
    let key = OperatorKey::from_secret(OPERATOR, &[1; 32]).expect("a valid name");
    let service = ServiceName::new("service").expect("a valid name");
    let policy = ServicePolicy {
        criticality: Criticality::Normal,
        deadline: defaults::DEADLINE,
        admission: defaults::ADMISSION,
        routing: defaults::ROUTING,
        routes: Vec::new(),
    };
    let bundle = Bundle {
        version: BundleVersion(1),
        deployment: "simulated".to_owned(),
        operators: OperatorPolicy {
            required_signatures: 1,
            keys: BTreeMap::from([(OPERATOR.to_owned(), key.public_key())]),
        },
        limits: defaults::LIMITS,
        services: BTreeMap::from([(service, policy)]),
    };
    let bytes = canonical::encode(&bundle);
    let digest = digest(&bytes);
    SignedBundle {
        version: bundle.version,
        digest,
        bytes,
        signatures: vec![BundleSignature {
            operator: OPERATOR.to_owned(),
            signature: key.sign(digest).to_vec(),
        }],
        expected_parent: None,
    }
}
