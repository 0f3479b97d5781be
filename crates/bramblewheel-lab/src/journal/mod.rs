//! What endpoints, callers and the fleet runner write down while a run goes on, one line of JSON
//! for each event. The checkers read nothing else.

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
