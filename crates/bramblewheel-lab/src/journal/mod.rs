//! Journals in which endpoints, callers and the fleet runner record the events of a run, one line of JSON each.
//! They are the only input of the checkers.

mod read;
mod record;
#[cfg(test)]
mod tests;
mod text;
mod write;

pub use read::{JournalError, read_folder};
pub use record::{
    CallContext, CallerOutcome, Event, Failure, FaultKind, Record, ReplyFromDaemon, RootSend,
    SubCallEnd,
};
pub use write::{Journal, now_us};
