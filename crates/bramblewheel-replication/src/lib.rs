//! Replicated log as a pure state machine, based on Raft: election, replication, membership changes,
//! snapshots and linearizable reads.
//!
//! [`Replica`] takes inputs with the current time and returns [`Output`]s. It uses no clock, file, socket
//! or global random source, so that the control process and the simulator run the same code.

mod candidate;
mod commitment;
mod compaction;
pub mod config;
pub mod error;
pub mod events;
mod follower;
mod leader;
mod leadership;
mod log;
mod membership;
pub mod message;
pub mod output;
mod persistence;
mod progress;
mod quorum;
mod read;
mod reconfiguration;
mod replica;
mod role;
mod source;
mod status;
mod step;
mod transfer;
pub mod types;

pub use config::ReplicaConfig;
pub use error::{CompactError, MembershipError, NotLeader, TransferError};
pub use events::{Ballot, Event, FailedElection, LastEntry, RefusalReason, VoteRefusal};
pub use membership::MembershipChange;
pub use message::{AppendResult, Body, ContactToken, Message};
pub use output::{Abandoned, Output, ProposalResult, ReadResult};
pub use replica::Replica;
pub use role::Role;
pub use types::*;
