//! Decides whether a connection of another replica is accepted, and logs refusals.

use crate::node::Hello;
use crate::report_limit::ReportLimit;
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Timestamp;
use slog::Logger;
use std::fmt;

/// Why a connection of a replica is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PeerRefusal {
    /// The replica has connected to itself.
    Itself,
    /// It is meant for another identity, usually an earlier one of this machine.
    OtherIdentity,
    /// The replica is in another group.
    OtherGroup,
}

impl fmt::Display for PeerRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Itself => "connects_to_itself",
            Self::OtherIdentity => "meant_for_other_identity",
            Self::OtherGroup => "other_group",
        })
    }
}

/// Why a connection that begins with `hello` is refused by a replica; `None` if it is accepted. A replica
/// without a group accepts all groups, and one without a group is accepted by all.
pub(super) fn refusal(
    hello: &Hello,
    own: ReplicaId,
    own_group: Option<u64>,
) -> Option<PeerRefusal> {
    if hello.from.replica == own.0 {
        return Some(PeerRefusal::Itself);
    }
    if hello.to != own.0 {
        return Some(PeerRefusal::OtherIdentity);
    }
    let groups = own_group.zip(hello.group);
    let is_other = groups.is_some_and(|(own, other)| own != other);
    is_other.then_some(PeerRefusal::OtherGroup)
}

/// Logs refusals, at most one a second per sender and reason.
#[derive(Debug, Default)]
pub(super) struct PeerRefusals(ReportLimit<(u64, PeerRefusal)>);

impl PeerRefusals {
    pub(super) fn log(&mut self, log: &Logger, now: Timestamp, hello: &Hello, reason: PeerRefusal) {
        let sender = hello.from.replica;
        let Some(without_line) = self.0.admit((sender, reason), now) else {
            return;
        };
        slog::warn!(log, "replica refused"; "without_line" => without_line,
            "name" => &hello.from.name,
            "group" => hello.group.map(hex), "meant" => hex(hello.to), "replica" => hex(sender),
            "reason" => %reason);
    }
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}
