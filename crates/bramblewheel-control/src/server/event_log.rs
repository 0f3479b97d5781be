//! Log lines for the events of a node.

use crate::node::NodeEvent;
use bramblewheel_replication::ReplicaId;
use slog::Logger;

/// Writes one line for an event.
pub(super) fn write(log: &Logger, event: &NodeEvent) {
    match event {
        NodeEvent::MemberChanged {
            replica,
            change,
            term,
            index,
        } => slog::info!(log, "member changed"; "index" => index.0, "term" => term.0,
            "change" => %change, "replica" => hex(*replica)),
        NodeEvent::ReplacementBegun {
            lost,
            new,
            instead_of,
            index,
        } => slog::info!(log, "replacement begun"; "index" => index.0,
            "instead_of" => instead_of.map(hex), "name" => &new.name, "new" => hex(ReplicaId(new.replica)),
            "lost" => lost.iter().copied().map(hex).collect::<Vec<_>>().join(",")),
        NodeEvent::ReplacementEnded { new, index } => {
            slog::info!(log, "replacement ended"; "index" => index.0, "new" => hex(*new));
        }
        NodeEvent::ReplacementProposed { lost, new, reason } => {
            slog::info!(log, "replacement proposed"; "name" => &new.name,
                "new" => hex(ReplicaId(new.replica)), "lost" => lost.map(hex), "reason" => %reason);
        }
        NodeEvent::ReplacementWaits { new, reason } => {
            slog::info!(log, "replacement waits"; "new" => hex(*new), "reason" => %reason);
        }
        NodeEvent::OfferIgnored { replica, reason } => {
            slog::info!(log, "offer ignored"; "replica" => hex(*replica), "reason" => %reason);
        }
    }
}

fn hex(replica: ReplicaId) -> String {
    format!("{:016x}", replica.0)
}
