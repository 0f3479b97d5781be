//! The thread that drives the node: it collects inputs, syncs once for all of them, then sends the outputs.
//!
//! Tasks of the listeners send it the inputs, and `PeerSenders` sends its messages.

use super::event_log;
use super::input::{ConnectionId, Input, Inspection};
use super::peer_out::PeerSenders;
use super::peer_refusals::{self, PeerRefusals};
use super::usage_file::UsageWriter;
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

/// Inputs processed at most before their outputs are executed.
const MAX_BATCH: usize = 4096;
/// Longest sleep. Prevents overflow in the arithmetic on a distant wakeup.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Client of a pending request, to which its reply is sent.
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
    pub(super) refusals: PeerRefusals,
    pub(super) usage_writer: UsageWriter,
    /// Time within which a planned stop must have transferred leadership.
    pub(super) stop_timeout: Duration,
    pub(super) log: Logger,
}

/// Clients with pending requests.
#[derive(Default)]
struct Clients {
    next: u64,
    waiting: HashMap<ClientRequestId, Client>,
    by_connection: HashMap<ConnectionId, BTreeSet<ClientRequestId>>,
}

impl Clients {
    fn add(&mut self, client: Client) -> ClientRequestId {
        self.next += 1;
        let id = ClientRequestId(self.next);
        let requests = self.by_connection.entry(client.connection).or_default();
        requests.insert(id);
        self.waiting.insert(id, client);
        id
    }

    fn reply(&mut self, id: ClientRequestId, body: ReplyBody) {
        let Some(client) = self.waiting.remove(&id) else {
            return;
        };
        if let Some(requests) = self.by_connection.get_mut(&client.connection) {
            requests.remove(&id);
            if requests.is_empty() {
                self.by_connection.remove(&client.connection);
            }
        }
        let id = client.request;
        // The client may have disconnected.
        let _ = client.replies.send(ControlReply { id, body });
    }

    fn close(&mut self, connection: ConnectionId) -> BTreeSet<ClientRequestId> {
        let requests = self.by_connection.remove(&connection).unwrap_or_default();
        for id in &requests {
            self.waiting.remove(id);
        }
        requests
    }
}

impl<F: FileSystem> NodeThread<F> {
    /// Runs until a planned stop is complete or all senders of inputs are dropped.
    pub(super) fn run(mut self) -> Result<(), StorageError> {
        let mut clients = Clients::default();
        let mut stop_by: Option<Timestamp> = None;
        let mut was_leader = false;
        loop {
            let is_open = self.process_inputs(&mut clients, &mut stop_by);
            let now = self.clock.now();
            if self.node.next_wakeup() <= now.monotonic {
                self.node.tick(now);
            }
            self.usage_writer.save_if_due(now, &self.node);
            self.execute_outputs(&mut clients)?;
            self.log_leadership(&mut was_leader);
            let is_late = stop_by.is_some_and(|by| by <= self.clock.now().monotonic);
            if !is_open || is_late || self.node.has_handed_over() {
                return Ok(());
            }
        }
    }

    /// Waits for inputs until the node's next wakeup, then processes all that are available. Returns
    /// `false` if all senders are dropped.
    fn process_inputs(&mut self, clients: &mut Clients, stop_by: &mut Option<Timestamp>) -> bool {
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
            self.process_input(input, clients, stop_by);
            next = self.inputs.try_recv().ok();
        }
        if let Some(input) = next {
            self.process_input(input, clients, stop_by);
        }
        true
    }

    fn process_input(
        &mut self,
        input: Input,
        clients: &mut Clients,
        stop_by: &mut Option<Timestamp>,
    ) {
        let now = self.clock.now();
        match input {
            Input::Hello(hello, answer) => {
                let _ = answer.send(self.accept_peer(*hello));
            }
            Input::Peer(from, message) => {
                self.node.confirm_peer_address(now, &from);
                self.node.receive(now, ReplicaId(from.replica), message);
            }
            Input::Request {
                connection,
                request,
                replies,
            } => {
                let id = clients.add(Client {
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
            Input::OfferSpare(group) => self.node.offer_as_spare(now, *group),
            Input::Stop => {
                stop_by.get_or_insert(now.monotonic + self.stop_timeout);
                self.node.stop(now);
            }
        }
    }

    /// Accepts a connection of another replica if it is meant for this replica and its group.
    fn accept_peer(&mut self, hello: Hello) -> bool {
        let now = self.clock.now();
        let group = self.node.state().group();
        if let Some(reason) = peer_refusals::refusal(&hello, self.own, group) {
            self.refusals.log(&self.log, now.monotonic, &hello, reason);
            return false;
        }
        let from = ReplicaId(hello.from.replica);
        self.node
            .note_usage_report_reader(from, hello.reads_usage_reports);
        self.node.record_peer_address(now, hello.from);
        true
    }

    fn execute_outputs(&mut self, clients: &mut Clients) -> Result<(), StorageError> {
        loop {
            let mut output = self.node.take_output(self.clock.now());
            if output.is_empty() {
                return Ok(());
            }
            match self.durable.apply(&mut output) {
                Ok(()) => {
                    self.node.persisted(self.clock.now());
                    self.send(output, clients);
                }
                Err(error) if error.is_retriable() => {
                    self.node.disk_full(self.clock.now(), output, &error);
                }
                Err(error) => return Err(error),
            }
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
        for event in &output.events {
            event_log::write(&self.log, event);
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
