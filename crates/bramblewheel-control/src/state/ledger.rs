//! Ledger of run-once operations: which attempt may dispatch an operation, and its recorded answer.
//!
//! Claims and answers are kept until they are forgotten. The caller passes log time.

use bramblewheel_protocol::control::{
    OperationAction, OperationAnswer, OperationReply, OperationRequest,
};
use bramblewheel_types::OperationKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Longest answer body kept, in bytes. For a longer one only the status is kept.
pub const MAX_ANSWER_BODY: usize = 16 * 1024;
/// Attempts kept per operation that have released the claim.
pub const MAX_RELEASED: usize = 64;
/// How far a key's mint time may be ahead of log time, in milliseconds. A key minted further ahead
/// would be kept for that much longer.
pub const MAX_MINT_AHEAD_MILLIS: u64 = 60 * 60 * 1_000;
/// Operations forgotten per entry at most, to bound the time that applying an entry takes.
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
    /// The attempt may have dispatched the operation.
    Claimed(Attempt),
    /// The operation has ended.
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
    /// Attempts that released the claim; a late duplicate of one must not claim the operation again.
    released: Vec<Attempt>,
}

/// All run-once operations that have not been forgotten.
///
/// An operation is forgotten only when its key is older than the horizon, and a key older than the
/// horizon is never granted. The horizon never goes back, even if a new bundle sets a longer
/// retention.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    horizon_unix_millis: u64,
    operations: BTreeMap<OperationKey, Operation>,
    #[serde(skip)]
    by_mint_time: BTreeSet<(u64, OperationKey)>,
}

impl Ledger {
    /// Executes a request at `log_time`, in milliseconds since the Unix epoch.
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

    /// Current state of an operation.
    pub fn status(&self, key: &OperationKey) -> OperationReply {
        match self.operations.get(key).map(|operation| &operation.phase) {
            None | Some(Phase::Free) => OperationReply::Absent,
            Some(Phase::Claimed(_)) => OperationReply::Held,
            Some(Phase::Completed { answer, .. }) => OperationReply::Completed(answer.clone()),
        }
    }

    /// Number of operations kept.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether no operation is kept.
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
        if let Some(reply) = self.reply_if_not_free(&key, attempt) {
            self.extend_retention(&key, minted_at);
            return reply;
        }
        let is_plausible = minted_at <= log_time.saturating_add(MAX_MINT_AHEAD_MILLIS);
        if minted_at < self.horizon_unix_millis || !is_plausible {
            return OperationReply::Expired;
        }
        self.entry(key, minted_at).phase = Phase::Claimed(attempt);
        OperationReply::Granted
    }

    /// Reply to a claim if the operation is not free for this attempt, otherwise `None`.
    fn reply_if_not_free(&self, key: &OperationKey, attempt: Attempt) -> Option<OperationReply> {
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
            // The first recorded answer is final.
            Phase::Completed { by, .. } if *by == attempt => OperationReply::Recorded,
            Phase::Completed { answer, .. } => OperationReply::Completed(answer.clone()),
        }
    }

    /// Records the release even if there is no claim, since a release may arrive before its claim.
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

    /// The operation for a key, inserted as free if there is none, and kept at least as long as
    /// `minted_at` requires.
    fn entry(&mut self, key: OperationKey, minted_at: u64) -> &mut Operation {
        let new_operation = || Operation {
            minted_at,
            phase: Phase::Free,
            released: Vec::new(),
        };
        self.operations
            .entry(key.clone())
            .or_insert_with(new_operation);
        self.extend_retention(&key, minted_at);
        self.operations
            .get_mut(&key)
            .expect("the operation was inserted above")
    }

    /// Keeps an operation according to the latest mint time that any attempt has stated for its key.
    fn extend_retention(&mut self, key: &OperationKey, minted_at: u64) {
        let Some(operation) = self.operations.get_mut(key) else {
            return;
        };
        let latest = operation.minted_at.max(minted_at);
        self.by_mint_time
            .remove(&(operation.minted_at, key.clone()));
        operation.minted_at = latest;
        self.by_mint_time.insert((latest, key.clone()));
    }

    /// Advances the horizon and forgets operations with an earlier mint time.
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

    /// Rebuilds the index by mint time after the state was deserialized.
    pub(super) fn rebuild_index(&mut self) {
        let operations = self.operations.iter();
        self.by_mint_time = operations
            .map(|(key, o)| (o.minted_at, key.clone()))
            .collect();
    }
}
