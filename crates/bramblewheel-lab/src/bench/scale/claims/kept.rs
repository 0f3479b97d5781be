//! What it costs a replica to keep operations until their retention is over.

use crate::bench::scale::usage::Usage;
use crate::error::CommandError;
use bramblewheel_control::state::Ledger;
use bramblewheel_protocol::control::{
    OperationAction, OperationAnswer, OperationReply, OperationRequest,
};
use bramblewheel_types::OperationKey;
use std::time::{Duration, Instant};

/// Numbers of operations, one on top of the other.
const OPERATIONS: [usize; 3] = [100_000, 300_000, 1_000_000];
/// Body of each answer, in bytes. An assumption.
const ANSWER_BODY: usize = 64;

/// Cost of keeping so many operations.
#[derive(Clone, Copy, Debug)]
pub struct KeptFigures {
    /// Operations kept.
    pub operations: usize,
    /// Resident memory that they take, in bytes.
    pub resident: u64,
    /// Bytes in a snapshot.
    pub snapshot: usize,
    /// Time to write the snapshot's bytes, during which the replica does nothing else.
    pub encode: Duration,
    /// Time to read them back.
    pub decode: Duration,
}

/// Fills a ledger with ended operations.
///
/// # Errors
/// [`CommandError`] when the ledger refuses an operation or can't be written and read.
pub fn measure_kept() -> Result<Vec<KeptFigures>, CommandError> {
    let mut ledger = Ledger::default();
    let empty = Usage::of(std::process::id())?.resident;
    let mut figures = Vec::new();
    for operations in OPERATIONS {
        for number in ledger.len()..operations {
            keep(&mut ledger, number)?;
        }
        let resident = Usage::of(std::process::id())?.resident;
        figures.push(written(&ledger, resident.saturating_sub(empty))?);
    }
    Ok(figures)
}

fn keep(ledger: &mut Ledger, number: usize) -> Result<(), CommandError> {
    let key = OperationKey::new(&format!("{number:032x}")).expect("the pattern follows the rules");
    let request = |action| OperationRequest {
        key: key.clone(),
        incarnation: 1,
        attempt: number as u64,
        action,
    };
    let minted_at_unix_millis = number as u64;
    let claim = OperationAction::Claim {
        minted_at_unix_millis,
    };
    let answer = OperationAction::Complete(OperationAnswer {
        failed: false,
        status: 200,
        body: Some(vec![0x61; ANSWER_BODY].into()),
    });
    let now = minted_at_unix_millis;
    let granted = ledger.apply(now, request(claim));
    let recorded = ledger.apply(now, request(answer));
    if granted == OperationReply::Granted && recorded == OperationReply::Recorded {
        return Ok(());
    }
    let text = format!("operation {number}: {granted:?}, {recorded:?}");
    Err(CommandError::CheckFailed(text))
}

fn written(ledger: &Ledger, resident: u64) -> Result<KeptFigures, CommandError> {
    let broken = |error: &dyn std::fmt::Display| CommandError::Broken(format!("ledger: {error}"));
    let mut bytes = Vec::new();
    let start = Instant::now();
    ciborium::into_writer(ledger, &mut bytes).map_err(|error| broken(&error))?;
    let encode = start.elapsed();
    let start = Instant::now();
    let back: Ledger = ciborium::from_reader(&bytes[..]).map_err(|error| broken(&error))?;
    let decode = start.elapsed();
    if back.len() != ledger.len() {
        return Err(CommandError::CheckFailed("operations were lost".to_owned()));
    }
    Ok(KeptFigures {
        operations: ledger.len(),
        resident,
        snapshot: bytes.len(),
        encode,
        decode,
    })
}
