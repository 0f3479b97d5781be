//! Traces: recorded sends of callers, random draws of endpoints and faults, with the expected outcomes; see
//! `docs/TRACES.md`.
//!
//! A trace is replayed through the real decision code in the request simulation. It holds every value that a run
//! would otherwise draw at random, so that its outcomes depend only on the decisions.

mod error;
mod expect;
mod fault;
mod file;
mod model;
mod outcome;
mod plan;
mod promises;
mod read;
mod record;
mod replay;
mod run_outcomes;
mod source;
mod write;

pub use error::{Difference, RecordError, TraceError};
pub use expect::{Completed, Expect, Recovery, Subject};
pub use fault::{Fault, FaultAction, Machine};
pub use model::{Embedded, Head, Request, Send, Trace};
pub use outcome::{StatedOutcome, UnknownOutcome};
pub use plan::Plan;
pub use read::{Files, parse, parse_plan};
pub use record::{record, state_outcomes};
pub use replay::{Replay, Verdict, play, replay, replay_with_double};
pub use run_outcomes::{RunOutcomes, SendOutcome};
pub use write::to_toml;
