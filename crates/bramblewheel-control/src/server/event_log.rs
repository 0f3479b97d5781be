//! Log lines for the events of a node.

use crate::node::{MemberContact, NodeEvent};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Millis;
use slog::Logger;
use std::time::Duration;

/// Writes the line that the disk is full.
pub(super) fn disk_full(log: &Logger, error: &str, since: Duration, attempts: u64) {
    slog::error!(log, "disk is full"; "attempts" => attempts,
        "since_ms" => Millis::of(since).0, "error" => error);
}

/// Writes the line that the disk has space again.
pub(super) fn disk_has_space(log: &Logger, after: Duration, attempts: u64) {
    slog::info!(log, "disk has space again"; "attempts" => attempts,
        "after_ms" => Millis::of(after).0);
}

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
        NodeEvent::ReplacementGivenUp { new } => {
            slog::info!(log, "replacement given up"; "new" => hex(*new));
        }
        NodeEvent::OfferIgnored { replica, reason } => {
            slog::info!(log, "offer ignored"; "replica" => hex(*replica), "reason" => %reason);
        }
        NodeEvent::VoteRefused {
            refusal,
            without_line,
        } => slog::info!(log, "vote refused"; "without_line" => without_line,
            "own_term" => refusal.own_term.0, "candidate_term" => refusal.candidate_term.0,
            "own_last" => %refusal.own_last, "candidate_last" => %refusal.candidate_last,
            "reason" => %refusal.reason, "ballot" => %refusal.ballot,
            "candidate" => hex(refusal.candidate)),
        NodeEvent::ElectionWithoutQuorum {
            election,
            without_line,
        } => slog::warn!(log, "election without quorum"; "without_line" => without_line,
            "silent" => list(&election.silent), "refused" => list(&election.refused),
            "granted" => list(&election.granted), "ballot" => %election.ballot,
            "term" => election.term.0),
        NodeEvent::DiskFull {
            error,
            since,
            attempts,
        } => disk_full(log, error, *since, *attempts),
        NodeEvent::DiskHasSpace { after, attempts } => disk_has_space(log, *after, *attempts),
        NodeEvent::QuorumLost {
            term,
            leader,
            members,
        } => slog::warn!(log, "quorum lost"; "members" => contacts(members),
            "leader" => leader.map(hex), "term" => term.0),
        NodeEvent::UsageIncomplete { missing, count } => {
            let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
            slog::warn!(log, "tenant usage incomplete"; "missing" => missing.join(","), "count" => count);
        }
        NodeEvent::UsageComplete { after } => {
            slog::info!(log, "tenant usage complete"; "after_ms" => Millis::of(*after).0);
        }
        NodeEvent::QuorumRegained {
            after,
            refused,
            term,
            leader,
        } => slog::info!(log, "quorum regained"; "leader" => leader.map(hex), "term" => term.0,
            "refused" => refused, "after_ms" => Millis::of(*after).0),
        NodeEvent::RequestsRefused {
            refused,
            term,
            leader,
            members,
        } => slog::warn!(log, "requests refused without a quorum"; "members" => contacts(members),
            "leader" => leader.map(hex), "term" => term.0, "refused" => refused),
    }
}

fn list(replicas: &[ReplicaId]) -> String {
    let replicas: Vec<String> = replicas.iter().copied().map(hex).collect();
    replicas.join(",")
}

fn contacts(members: &[MemberContact]) -> String {
    let members: Vec<String> = members.iter().map(ToString::to_string).collect();
    members.join(",")
}

fn hex(replica: ReplicaId) -> String {
    format!("{:016x}", replica.0)
}
