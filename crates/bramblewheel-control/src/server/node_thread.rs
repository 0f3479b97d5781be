//! The thread that drives the node: gathers inputs, syncs once for all of them, sends.
//!
//! Owns the node, its storage and the clients that wait. Relies on the tasks of the listeners to hand
//! inputs over and on `PeerSenders` to send.

use super::input::{ConnectionId, Input, Inspection};
use super::peer_out::PeerSenders;
use crate::clock::Clock;
use crate::node::{ClientRequestId, ControlNode, Durable, Hello, NodeOutput};
use bramblewheel_protocol::control::{ControlReply, ReplyBody};
use bramblewheel_replication::ReplicaId;
use bramblewheel_storage::{FileSystem, StorageError};
use bramblewheel_types::Timestamp;
use slog::Logger;
use std::collections::{BTreeSet, HashMap};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::mpsc;

/// Inputs taken in before their outputs are carried out; chosen, not measured.
const MAX_BATCH: usize = 4096;
/// Longest sleep, so that no arithmetic on far wakeups can overflow; chosen, not measured.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Where a reply goes.
struct Client {
    connection: ConnectionId,
    request: u64,
    replies: mpsc::UnboundedSender<ControlReply>,
}

/// The driver of a node.
pub(super) struct NodeThread<F: FileSystem> {
    pub(super) node: ControlNode,
    pub(super) durable: Durable<F>,
    pub(super) inputs: Receiver<Input>,
    pub(super) clock: Clock,
    pub(super) peers: PeerSenders,
    pub(super) own: ReplicaId,
    /// How long a planned stop may take to hand leadership over.
    pub(super) stop_timeout: Duration,
    pub(super) log: Logger,
}

/// State of the loop.
#[derive(Default)]
struct Clients {
    next: u64,
    waiting: HashMap<ClientRequestId, Client>,
    by_connection: HashMap<ConnectionId, BTreeSet<ClientRequestId>>,
}

impl Clients {
    fn open(&mut self, client: Client) -> ClientRequestId {
        self.next += 1;
        let id = ClientRequestId(self.next);
        let of_connection = self.by_connection.entry(client.connection).or_default();
        of_connection.insert(id);
        self.waiting.insert(id, client);
        id
    }

    fn reply(&mut self, id: ClientRequestId, body: ReplyBody) {
        let Some(client) = self.waiting.remove(&id) else {
            return;
        };
        if let Some(open) = self.by_connection.get_mut(&client.connection) {
            open.remove(&id);
            if open.is_empty() {
                self.by_connection.remove(&client.connection);
            }
        }
        let id = client.request;
        // The client may have gone away.
        let _ = client.replies.send(ControlReply { id, body });
    }

    fn close(&mut self, connection: ConnectionId) -> BTreeSet<ClientRequestId> {
        let open = self.by_connection.remove(&connection).unwrap_or_default();
        for id in &open {
            self.waiting.remove(id);
        }
        open
    }
}

impl<F: FileSystem> NodeThread<F> {
    /// Runs until a planned stop is complete or everybody has gone.
    pub(super) fn run(mut self) -> Result<(), StorageError> {
        let mut clients = Clients::default();
        let mut stop_by: Option<Timestamp> = None;
        let mut was_leader = false;
        loop {
            let is_open = self.gather(&mut clients, &mut stop_by);
            let now = self.clock.now();
            if self.node.next_wakeup() <= now.monotonic {
                self.node.tick(now);
            }
            self.carry_out(&mut clients)?;
            self.log_leadership(&mut was_leader);
            let is_late = stop_by.is_some_and(|by| by <= self.clock.now().monotonic);
            if !is_open || is_late || self.node.has_handed_over() {
                return Ok(());
            }
        }
    }

    /// Waits for inputs until the node's next wakeup, then takes all there are; `false` when
    /// nobody can send any more.
    fn gather(&mut self, clients: &mut Clients, stop_by: &mut Option<Timestamp>) -> bool {
        let now = self.clock.now().monotonic;
        let sleep = self.node.next_wakeup().since(now).min(LONGEST_SLEEP);
        let mut next = match self.inputs.recv_timeout(sleep) {
            Ok(input) => Some(input),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return false,
        };
        for _ in 0..MAX_BATCH {
            let Some(input) = next else {
                break;
            };
            self.take(input, clients, stop_by);
            next = self.inputs.try_recv().ok();
        }
        if let Some(input) = next {
            self.take(input, clients, stop_by);
        }
        true
    }

    fn take(&mut self, input: Input, clients: &mut Clients, stop_by: &mut Option<Timestamp>) {
        let now = self.clock.now();
        match input {
            Input::Hello(hello, answer) => {
                let _ = answer.send(self.admit(*hello));
            }
            Input::Peer(from, message) => self.node.receive(now, from, message),
            Input::Request {
                connection,
                request,
                replies,
            } => {
                let id = clients.open(Client {
                    connection,
                    request: request.id,
                    replies,
                });
                self.node.request(now, id, request.body);
            }
            Input::Closed(connection) => {
                for id in clients.close(connection) {
                    self.node.cancel(id);
                }
            }
            Input::Inspect(answer) => {
                let _ = answer.send(Inspection {
                    metrics: self.node.metrics(now),
                    has_group: self.node.state().group().is_some(),
                    is_stopping: stop_by.is_some(),
                });
            }
            Input::OfferSpare(members) => self.node.offer_as_spare(now, members),
            Input::Stop => {
                stop_by.get_or_insert(now.monotonic + self.stop_timeout);
                self.node.stop(now);
            }
        }
    }

    /// Whether another replica means this one, and the same group.
    fn admit(&mut self, hello: Hello) -> bool {
        let own = self.node.state().group();
        let is_same_group = own.is_none() || hello.group.is_none() || own == hello.group;
        let is_meant = hello.to == self.own.0 && hello.from.replica != self.own.0;
        if is_meant && is_same_group {
            self.node.introduce(self.clock.now(), hello.from);
            return true;
        }
        slog::warn!(self.log, "replica refused"; "name" => hello.from.name,
            "replica" => format!("{:016x}", hello.from.replica),
            "meant" => format!("{:016x}", hello.to));
        false
    }

    fn carry_out(&mut self, clients: &mut Clients) -> Result<(), StorageError> {
        loop {
            let output = self.node.take_output(self.clock.now());
            if output.is_empty() {
                return Ok(());
            }
            self.durable.apply(&output)?;
            self.node.persisted(self.clock.now());
            self.send(output, clients);
        }
    }

    fn send(&mut self, output: NodeOutput, clients: &mut Clients) {
        if let Some(group) = output.joined_group {
            self.peers.set_group(group);
        }
        for (to, message) in output.messages {
            if let Some(address) = self.node.member_address(to) {
                self.peers.send(to, address.peer, message);
            }
        }
        for (id, body) in output.replies {
            clients.reply(id, body);
        }
    }

    fn log_leadership(&self, was_leader: &mut bool) {
        let is_leader = self.node.replica().role() == bramblewheel_replication::Role::Leader;
        if is_leader != *was_leader {
            let term = self.node.replica().term().0;
            slog::info!(self.log, "leadership changed"; "leads" => is_leader, "term" => term);
            *was_leader = is_leader;
        }
    }
}
