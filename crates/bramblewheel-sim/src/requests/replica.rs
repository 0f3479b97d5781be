//! A control replica that holds the ledger of run-once operations: the real node on an in-memory file
//! system that loses data which was not synced.

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

/// Data folder.
const FOLDER: &str = "data";
/// Segment size in bytes; small, so that a run fills several segments.
const SEGMENT_SIZE: u64 = 16 * 1024;
/// Interval of the leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(50);
/// Time without contact to the leader after which a follower starts an election.
const ELECTION: Duration = Duration::from_millis(200);
/// Time without contact after which a daemon is removed from the directory. No daemon registers in this
/// simulation.
const DAEMON_LEASE: Duration = Duration::from_secs(60);
/// Number of entries after which a snapshot truncates the log.
const SNAPSHOT_INTERVAL: u64 = 64;
/// Id of the group.
const GROUP: u64 = 7;
/// The only operator of the group's first bundle.
const OPERATOR: &str = "operator";

/// A control replica and its machine.
pub struct Replica {
    number: u32,
    process: ProcessId,
    files: MemoryFileSystem,
    random: Pcg64Mcg,
    incarnation: Option<Incarnation>,
}

/// In-memory state of one start of the process.
struct Incarnation {
    node: ControlNode,
    durable: Durable<MemoryFileSystem>,
    address: ReplicaAddress,
    clients: BTreeMap<ClientRequestId, (ProcessId, u64)>,
    next_client: u64,
    armed: Timestamp,
}

impl Replica {
    /// Creates the replica of that number with an empty folder; `random` belongs to the machine, not to
    /// the process.
    pub fn new(number: u32, process: ProcessId, random: Pcg64Mcg) -> Self {
        Self {
            number,
            process,
            files: MemoryFileSystem::new(),
            random,
            incarnation: None,
        }
    }

    /// Whether the replica leads the group.
    pub fn is_leader(&self) -> bool {
        let node = self
            .incarnation
            .as_ref()
            .map(|incarnation| &incarnation.node);
        node.is_some_and(|node| node.replica().role() == Role::Leader)
    }

    /// Identity and addresses, while the replica runs.
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
        let new_id = ReplicaId(self.random.random());
        let (durable, restored) = Durable::open(self.files.clone(), config, &name, new_id)
            .expect("the simulated disk fails only by losing power");
        let own_address = ProcessLayout::address(self.process);
        let address = ReplicaAddress {
            replica: durable.identity().replica.0,
            name,
            peer: own_address,
            service: own_address,
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
            .expect("the restored state was written by this program");
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

    /// Bootstraps the group; the same request goes to all voters.
    pub(super) fn bootstrap(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        request: BootstrapRequest,
    ) {
        let body = RequestBody::Bootstrap(request);
        let request = ControlRequest { id: 0, body };
        self.handle_request(context, self.process, request);
    }

    /// Transfers leadership, as the first step of a planned stop.
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
            Message::Peer(envelope) => self.handle_peer_message(context, *envelope),
            Message::ControlRequest(request) => self.handle_request(context, from, *request),
            _ => {}
        }
    }

    fn handle_peer_message(
        &mut self,
        context: &mut Context<'_, RequestActor>,
        envelope: PeerEnvelope,
    ) {
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

    fn handle_request(
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

    /// Executes the node's output until none is left, then sets the timer.
    fn drive(&mut self, context: &mut Context<'_, RequestActor>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        loop {
            let mut output = incarnation.node.take_output(now(context));
            if output.is_empty() {
                break;
            }
            incarnation
                .durable
                .apply(&mut output)
                .expect("the simulated disk fails only by losing power");
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
                reads_usage_reports: true,
                reads_acknowledgements: false,
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
                assert_eq!(body, ReplyBody::Done, "bootstrap of the group failed");
                continue;
            }
            let reply = ControlReply { id, body };
            context.send(to, Message::ControlReply(Box::new(reply)));
        }
    }
}

/// Current time; wall clocks begin at the epoch, like those of the callers.
fn now(context: &Context<'_, RequestActor>) -> Now {
    let monotonic = context.now();
    Now {
        monotonic,
        unix_millis: monotonic.as_millis(),
    }
}

/// The request that bootstraps a group of these voters.
pub(super) fn bootstrap_request(voters: Vec<ReplicaAddress>) -> BootstrapRequest {
    BootstrapRequest {
        group: GROUP,
        voters,
        bundle: first_bundle(),
    }
}

/// First bundle of the group; the simulated daemons get their bundle from the scenario instead.
fn first_bundle() -> SignedBundle {
    let key = OperatorKey::from_secret(OPERATOR, &[1; 32]).expect("the operator's name is valid");
    let service = ServiceName::new("service").expect("the service name is valid");
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
