//! What endpoints, callers and the fleet runner write down while a run goes on, one line of JSON
//! for each event. The checkers read nothing else.

mod read;
mod record;
mod text;
mod write;

pub use read::{JournalError, read_folder};
pub use record::{
    CallContext, Event, Failure, FaultKind, Record, ReplyFromDaemon, RootSend, SubCallEnd, Told,
};
pub use write::{Journal, now_us};
