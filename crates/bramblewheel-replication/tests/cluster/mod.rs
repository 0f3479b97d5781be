//! A group of replicas on a seeded network, with disks that keep only what was written.
//!
//! The checks use only the history: entries applied, results reported, leaders observed.

#![allow(dead_code, reason = "each test file uses a part of this module")]

mod checks;
mod network;

use bramblewheel_replication::{
    Body, Entry, Event, LogIndex, Membership, Message, Payload, ProposalId, ProposalResult, ReadId,
    ReadResult, Replica, ReplicaConfig, ReplicaId, RestoredState, Role, Term, Write,
};
use bramblewheel_types::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const HEARTBEAT: Duration = Duration::from_millis(50);
pub const ELECTION: Duration = Duration::from_millis(300);
pub const LEASE: Duration = Duration::from_millis(400);

/// Probabilities of faults, per thousand.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub crash_before_sync: u32,
}

/// Adds an entry to the state machine's state, which is a hash over all applied entries.
fn hash_entry(hash: u64, entry: &Entry) -> u64 {
    let payload = match &entry.payload {
        Payload::Command(command) => command.as_slice(),
        _ => b"",
    };
    payload.iter().fold(hash ^ entry.index.0, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub struct Node {
    pub replica: Option<Replica>,
    pub disk: RestoredState,
    pub frozen: bool,
    applied: LogIndex,
    hash: u64,
    waiting: Vec<(ReplicaId, Message)>,
}

pub struct Cluster {
    pub now: Timestamp,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub faults: Faults,
    pub random: Pcg64Mcg,
    /// Pairs (from, to) whose messages are lost.
    pub cut: BTreeSet<(ReplicaId, ReplicaId)>,
    network: BTreeMap<(Timestamp, u64), (ReplicaId, ReplicaId, Message)>,
    sequence: u64,
    starts: u64,
    next_id: u64,
    /// Hash of the state at each index, recorded when the first replica applies it.
    hashes: BTreeMap<LogIndex, u64>,
    committed: BTreeMap<LogIndex, Entry>,
    leaders: BTreeMap<Term, ReplicaId>,
    proposed: BTreeMap<ProposalId, Vec<u8>>,
    /// Highest index acknowledged when each open read began.
    reads: BTreeMap<ReadId, LogIndex>,
    highest_acknowledged: LogIndex,
    pub proposal_results: BTreeMap<ProposalId, ProposalResult>,
    pub read_results: BTreeMap<ReadId, ReadResult>,
    /// Events of all replicas, oldest first.
    pub events: Vec<(Timestamp, ReplicaId, Event)>,
}

pub fn id(number: u64) -> ReplicaId {
    ReplicaId(number)
}

pub fn membership(voters: impl IntoIterator<Item = u64>) -> Membership {
    Membership {
        voters: voters.into_iter().map(ReplicaId).collect(),
        ..Membership::default()
    }
}

impl Cluster {
    /// Starts voters 1 to `voters`.
    pub fn new(voters: u64, seed: u64) -> Self {
        let mut cluster = Self {
            now: Timestamp::from_millis(1),
            nodes: BTreeMap::new(),
            faults: Faults::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            cut: BTreeSet::new(),
            network: BTreeMap::new(),
            sequence: 0,
            starts: seed << 20,
            next_id: 0,
            hashes: BTreeMap::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            highest_acknowledged: LogIndex(0),
            proposal_results: BTreeMap::new(),
            read_results: BTreeMap::new(),
            events: Vec::new(),
        };
        for number in 1..=voters {
            let disk = RestoredState::bootstrap(membership(1..=voters));
            cluster.add(id(number), disk);
        }
        cluster
    }

    /// Adds a node with a disk and starts it.
    pub fn add(&mut self, id: ReplicaId, disk: RestoredState) {
        let node = Node {
            replica: None,
            disk,
            frozen: false,
            applied: LogIndex(0),
            hash: 0,
            waiting: Vec::new(),
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    pub fn start(&mut self, id: ReplicaId) {
        self.starts += 1;
        let config = ReplicaConfig {
            id,
            heartbeat_interval: HEARTBEAT,
            election_timeout: ELECTION,
            lease: LEASE,
            max_entries_per_message: 8,
            seed: self.starts,
            bootstrap: None,
        };
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("node exists");
        let restored = node.disk.clone();
        let snapshot = restored.snapshot.as_ref();
        node.applied = snapshot.map_or(LogIndex(0), |s| s.index);
        node.hash = snapshot.map_or(0, |s| decode_hash(&s.data));
        node.replica = Some(Replica::new(config, restored, now));
        node.frozen = false;
        node.waiting.clear();
    }

    pub fn crash(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).expect("node exists");
        node.replica = None;
        node.frozen = false;
        node.waiting.clear();
    }

    pub fn freeze(&mut self, id: ReplicaId) {
        self.nodes.get_mut(&id).expect("node exists").frozen = true;
    }

    /// Unfreezes a node; it processes the waiting messages before any tick.
    pub fn thaw(&mut self, id: ReplicaId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("node exists");
        node.frozen = false;
        for (from, message) in std::mem::take(&mut node.waiting) {
            if let Some(replica) = &mut node.replica {
                replica.receive(now, from, message);
            }
        }
        self.drive(id);
    }

    /// Partitions a node from all others in both directions.
    pub fn isolate(&mut self, id: ReplicaId) {
        for &other in self.nodes.keys().filter(|other| **other != id) {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    pub fn replica(&self, id: ReplicaId) -> &Replica {
        self.nodes[&id].replica.as_ref().expect("node runs")
    }

    fn replica_mut(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        let node = self.nodes.get_mut(&id)?;
        node.replica.as_mut().filter(|_| !node.frozen)
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let running = self.nodes.values().filter_map(|node| node.replica.as_ref());
        let leaders = running.filter(|replica| replica.role() == Role::Leader);
        let newest = leaders.max_by_key(|replica| replica.term());
        newest.map(Replica::id)
    }

    /// Calls a function on one replica and carries out the resulting outputs.
    pub fn with<T>(
        &mut self,
        id: ReplicaId,
        call: impl FnOnce(&mut Replica, Timestamp) -> T,
    ) -> Option<T> {
        let now = self.now;
        let result = call(self.replica_mut(id)?, now);
        self.drive(id);
        Some(result)
    }

    /// Proposes a command; `None` if the replica refuses it.
    pub fn propose(&mut self, at: ReplicaId) -> Option<ProposalId> {
        self.next_id += 1;
        let proposal = ProposalId(self.next_id);
        let command = self.next_id.to_be_bytes().to_vec();
        self.proposed.insert(proposal, command.clone());
        let result = self.with(at, |replica, now| replica.propose(now, proposal, command))?;
        result.ok().map(|()| proposal)
    }

    pub fn read(&mut self, at: ReplicaId) -> Option<ReadId> {
        self.next_id += 1;
        let read = ReadId(self.next_id);
        self.reads.insert(read, self.highest_acknowledged);
        let result = self.with(at, |replica, now| replica.read(now, read))?;
        result.ok().map(|()| read)
    }

    /// Compacts a node's log up to its last applied entry.
    pub fn compact(&mut self, id: ReplicaId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(replica) = node.replica.as_mut().filter(|_| !node.frozen) else {
            return;
        };
        let data = node.hash.to_be_bytes().to_vec();
        if let Ok(snapshot) = replica.compact(now, node.applied, data) {
            node.disk.entries.retain(|e| e.index > snapshot.index);
            node.disk.snapshot = Some(snapshot);
        }
    }

    /// Carries out a replica's outputs in the order that the crate's documentation requires.
    pub fn drive(&mut self, id: ReplicaId) {
        loop {
            let now = self.now;
            let Some(replica) = self.replica_mut(id) else {
                return;
            };
            let output = replica.take_output();
            if output.is_empty() {
                self.check_single_leader(id);
                return;
            }
            if self.chance(self.faults.crash_before_sync) {
                self.crash(id);
                return;
            }
            let node = self.nodes.get_mut(&id).expect("node exists");
            write_to(&mut node.disk, output.write);
            let replica = node.replica.as_mut().expect("node runs");
            replica.persisted();
            if let Some(snapshot) = output.installed_snapshot {
                node.applied = snapshot.index;
                node.hash = decode_hash(&snapshot.data);
            }
            for (to, message) in output.messages {
                self.transmit(now, id, to, message);
            }
            for entry in output.committed {
                self.apply(id, entry);
            }
            for (proposal, result) in output.proposals {
                self.acknowledge(proposal, result);
            }
            let events = output.events.into_iter();
            self.events.extend(events.map(|event| (now, id, event)));
            for (read, result) in output.reads {
                self.answer_read(id, read, result);
            }
        }
    }

    fn apply(&mut self, id: ReplicaId, entry: Entry) {
        let node = self.nodes.get_mut(&id).expect("node exists");
        assert_eq!(
            entry.index.0,
            node.applied.0 + 1,
            "entries must be applied in order"
        );
        node.applied = entry.index;
        node.hash = hash_entry(node.hash, &entry);
        let hash = *self.hashes.entry(entry.index).or_insert(node.hash);
        assert_eq!(
            hash, node.hash,
            "state machines differ at {:?}",
            entry.index
        );
        let first = self.committed.entry(entry.index).or_insert(entry.clone());
        assert_eq!(*first, entry, "two entries committed at one index");
    }

    fn acknowledge(&mut self, proposal: ProposalId, result: ProposalResult) {
        if let ProposalResult::Committed { index, .. } = result {
            let entry = &self.committed[&index];
            if let Some(command) = self.proposed.get(&proposal) {
                assert_eq!(entry.payload, Payload::Command(command.clone()));
            }
            self.highest_acknowledged = self.highest_acknowledged.max(index);
        }
        let earlier = self.proposal_results.insert(proposal, result);
        assert_eq!(earlier, None, "a proposal must have one result");
    }

    fn answer_read(&mut self, id: ReplicaId, read: ReadId, result: ReadResult) {
        if let ReadResult::Ready { index } = result {
            let acknowledged = self.reads[&read];
            assert!(
                index >= acknowledged,
                "read at {index:?} misses the acknowledged entry {acknowledged:?}"
            );
            assert!(
                self.nodes[&id].applied >= index,
                "read answered before its entry is applied"
            );
        }
        let earlier = self.read_results.insert(read, result);
        assert_eq!(earlier, None, "a read must have one result");
    }

    fn check_single_leader(&mut self, id: ReplicaId) {
        let Some(replica) = self.replica_mut(id) else {
            return;
        };
        if replica.role() == Role::Leader {
            let term = replica.term();
            let leader = *self.leaders.entry(term).or_insert(id);
            assert_eq!(leader, id, "two leaders in one term");
        }
    }

    /// Advances the clock by `duration` and processes the events that are due, in order.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let message_at = self.network.keys().next().map(|(at, _)| *at);
            let running = self.nodes.iter().filter(|(_, node)| !node.frozen);
            let wakeups = running.filter_map(|(id, node)| {
                Some((node.replica.as_ref()?.next_wakeup().max(self.now), *id))
            });
            let wakeup = wakeups.min();
            let next = message_at.into_iter().chain(wakeup.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next < end) else {
                break;
            };
            self.now = next;
            if message_at == Some(next) {
                let (_, (from, to, message)) = self.network.pop_first().expect("a message is due");
                self.deliver(from, to, message);
            } else if let Some((_, id)) = wakeup {
                self.with(id, |replica, now| replica.tick(now));
            }
        }
        self.now = end;
    }
}

fn decode_hash(data: &[u8]) -> u64 {
    data.try_into().map_or(0, u64::from_be_bytes)
}

fn write_to(disk: &mut RestoredState, write: Write) {
    if let Some(snapshot) = write.snapshot {
        disk.entries.clear();
        disk.snapshot = Some(snapshot);
    }
    if let Some(first) = write.truncate_from {
        disk.entries.retain(|entry| entry.index < first);
    }
    let start = disk.snapshot.as_ref().map_or(0, |s| s.index.0);
    for entry in write.entries {
        let last = disk.entries.last().map_or(start, |last| last.index.0);
        assert_eq!(entry.index.0, last + 1, "write leaves a gap in the log");
        disk.entries.push(entry);
    }
    disk.hard_state = write.hard_state.unwrap_or(disk.hard_state);
}

/// Whether a message asks for a vote.
pub fn is_vote_request(message: &Message) -> bool {
    matches!(message.body, Body::VoteRequest { .. })
}
