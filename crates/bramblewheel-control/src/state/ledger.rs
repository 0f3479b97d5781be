//! Run-once operations: which attempt may dispatch one, and its answer.
//!
//! Owns the claims and answers until they are forgotten. Time is the log's, passed by the caller.

use bramblewheel_protocol::control::{
    OperationAction, OperationAnswer, OperationReply, OperationRequest,
};
use bramblewheel_types::OperationKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Longest answer body kept, in bytes; of a longer one only the status is kept. Chosen, not measured.
pub const MAX_ANSWER_BODY: usize = 16 * 1024;
/// Attempts remembered per operation as having released the claim; chosen, not measured.
pub const MAX_RELEASED: usize = 64;
/// How far a key's mint time may lie ahead of the log's time, in milliseconds. A key from farther
/// ahead could not be forgotten for as long. Chosen, not measured.
pub const MAX_MINT_AHEAD_MILLIS: u64 = 60 * 60 * 1_000;
/// Operations forgotten with one entry, so that no entry takes long; chosen, not measured.
const FORGET_BATCH: usize = 4096;

/// One attempt of one incarnation of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Attempt {
    incarnation: u64,
    attempt: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// No attempt holds the claim.
    Free,
    /// An attempt may have dispatched it.
    Claimed(Attempt),
    /// It has ended.
    Completed {
        by: Attempt,
        answer: OperationAnswer,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Operation {
    /// Latest mint time stated for the key.
    minted_at: u64,
    phase: Phase,
    /// Attempts that released the claim: a late duplicate of theirs must not claim it again.
    released: Vec<Attempt>,
}

/// All operations that are not forgotten.
///
/// An operation is forgotten only when its key is older than the horizon, and a key older than the
/// horizon is never granted. The horizon never goes back, also if a bundle keeps keys for longer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    horizon_unix_millis: u64,
    operations: BTreeMap<OperationKey, Operation>,
    #[serde(skip)]
    by_mint_time: BTreeSet<(u64, OperationKey)>,
}

impl Ledger {
    /// Carries out a request at a log time, in milliseconds since the Unix epoch.
    pub fn apply(&mut self, log_time: u64, request: OperationRequest) -> OperationReply {
        let attempt = Attempt {
            incarnation: request.incarnation,
            attempt: request.attempt,
        };
        match request.action {
            OperationAction::Claim {
                minted_at_unix_millis,
            } => self.claim(log_time, request.key, attempt, minted_at_unix_millis),
            OperationAction::Complete(answer) => self.complete(&request.key, attempt, answer),
            OperationAction::Release => self.release(log_time, request.key, attempt),
            OperationAction::Status => self.status(&request.key),
        }
    }

    /// State of an operation.
    pub fn status(&self, key: &OperationKey) -> OperationReply {
        match self.operations.get(key).map(|operation| &operation.phase) {
            None | Some(Phase::Free) => OperationReply::Absent,
            Some(Phase::Claimed(_)) => OperationReply::Held,
            Some(Phase::Completed { answer, .. }) => OperationReply::Completed(answer.clone()),
        }
    }

    /// Operations not forgotten.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether no operation is held.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    fn claim(
        &mut self,
        log_time: u64,
        key: OperationKey,
        attempt: Attempt,
        minted_at: u64,
    ) -> OperationReply {
        if let Some(reply) = self.taken(&key, attempt) {
            self.note_mint_time(&key, minted_at);
            return reply;
        }
        let is_credible = minted_at <= log_time.saturating_add(MAX_MINT_AHEAD_MILLIS);
        if minted_at < self.horizon_unix_millis || !is_credible {
            return OperationReply::Expired;
        }
        self.entry(key, minted_at).phase = Phase::Claimed(attempt);
        OperationReply::Granted
    }

    /// Answer to a claim of an operation that is not free for this attempt.
    fn taken(&self, key: &OperationKey, attempt: Attempt) -> Option<OperationReply> {
        let operation = self.operations.get(key)?;
        match &operation.phase {
            Phase::Completed { answer, .. } => Some(OperationReply::Completed(answer.clone())),
            Phase::Claimed(holder) if *holder == attempt => Some(OperationReply::Granted),
            Phase::Claimed(_) => Some(OperationReply::Held),
            Phase::Free if operation.released.contains(&attempt) => Some(OperationReply::Absent),
            Phase::Free => None,
        }
    }

    fn complete(
        &mut self,
        key: &OperationKey,
        attempt: Attempt,
        mut answer: OperationAnswer,
    ) -> OperationReply {
        let Some(operation) = self.operations.get_mut(key) else {
            return OperationReply::Absent;
        };
        match &operation.phase {
            Phase::Free => OperationReply::Absent,
            Phase::Claimed(holder) if *holder == attempt => {
                answer.body = answer.body.filter(|body| body.len() <= MAX_ANSWER_BODY);
                let by = attempt;
                operation.phase = Phase::Completed { by, answer };
                OperationReply::Recorded
            }
            Phase::Claimed(_) => OperationReply::Held,
            // The first answer stands.
            Phase::Completed { by, .. } if *by == attempt => OperationReply::Recorded,
            Phase::Completed { answer, .. } => OperationReply::Completed(answer.clone()),
        }
    }

    /// A release may arrive before its claim, so it is noted also where nothing is held.
    fn release(&mut self, log_time: u64, key: OperationKey, attempt: Attempt) -> OperationReply {
        let operation = self.entry(key, log_time);
        let reply = match &operation.phase {
            Phase::Completed { answer, .. } => {
                return OperationReply::Completed(answer.clone());
            }
            Phase::Claimed(holder) if *holder != attempt => OperationReply::Held,
            Phase::Claimed(_) | Phase::Free => {
                operation.phase = Phase::Free;
                OperationReply::Recorded
            }
        };
        if !operation.released.contains(&attempt) {
            operation.released.push(attempt);
        }
        if operation.released.len() > MAX_RELEASED {
            operation.released.remove(0);
        }
        reply
    }

    /// The operation, made free if there is none, kept at least as long as `minted_at` asks.
    fn entry(&mut self, key: OperationKey, minted_at: u64) -> &mut Operation {
        let fresh = || Operation {
            minted_at,
            phase: Phase::Free,
            released: Vec::new(),
        };
        self.operations.entry(key.clone()).or_insert_with(fresh);
        self.note_mint_time(&key, minted_at);
        self.operations.get_mut(&key).expect("just made")
    }

    /// An operation is kept for the latest mint time that anyone stated for its key.
    fn note_mint_time(&mut self, key: &OperationKey, minted_at: u64) {
        let Some(operation) = self.operations.get_mut(key) else {
            return;
        };
        let latest = operation.minted_at.max(minted_at);
        self.by_mint_time
            .remove(&(operation.minted_at, key.clone()));
        operation.minted_at = latest;
        self.by_mint_time.insert((latest, key.clone()));
    }

    /// Moves the horizon forward and forgets operations before it.
    pub(super) fn forget_before(&mut self, horizon: u64) {
        self.horizon_unix_millis = self.horizon_unix_millis.max(horizon);
        for _ in 0..FORGET_BATCH {
            let oldest = self.by_mint_time.first();
            if oldest.is_none_or(|(minted_at, _)| *minted_at >= self.horizon_unix_millis) {
                return;
            }
            if let Some((_, key)) = self.by_mint_time.pop_first() {
                self.operations.remove(&key);
            }
        }
    }

    /// Rebuilds the index after the rest was read back.
    pub(super) fn restore(&mut self) {
        let operations = self.operations.iter();
        self.by_mint_time = operations
            .map(|(key, o)| (o.minted_at, key.clone()))
            .collect();
    }
}
