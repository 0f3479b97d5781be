//! Watches of daemons: answered at the commit, refused by a replica without a quorum.

mod support;

use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use bramblewheel_protocol::routing::TableVersion;
use std::time::Duration;
use support::founded::{accepted, founded, news, replace, watch};

#[test]
fn a_held_watch_is_answered_at_the_commit() {
    let mut cluster = founded(0, 7);
    accepted(&mut cluster, &replace(0, 3, "first"));
    for machine in 0..3 {
        cluster.run(Duration::from_secs(1));
        let first = cluster.ask(machine, watch(0, 0, 0));
        let first = news(first);
        assert_eq!(
            first.table.expect("a table").version,
            TableVersion(3 + machine as u64)
        );
        let revision = first.registry_revision;
        let held = cluster.send(machine, watch(3 + machine as u64, revision, 0));
        let next = 4 + machine as u64;
        accepted(
            &mut cluster,
            &replace(next - 1, next, &format!("table {next}")),
        );
        cluster.run(Duration::from_millis(150));
        let reply = news(
            cluster
                .reply(held)
                .expect("pushed within a heartbeat or two"),
        );
        assert_eq!(reply.table.expect("a table").version, TableVersion(next));
    }
}

/// A replica that is cut off must not show what it has as if it were in force.
#[test]
fn a_replica_that_is_cut_off_sends_watchers_elsewhere() {
    let mut cluster = founded(0, 8);
    accepted(&mut cluster, &replace(0, 3, "first"));
    let leader = cluster.settle();
    let away = (leader + 1) % 3;
    cluster.run(Duration::from_secs(1));
    let held = cluster.send(away, watch(3, 0, 0));
    cluster.cut_off(away);
    accepted(&mut cluster, &replace(3, 4, "second"));
    cluster.run(Duration::from_secs(1));
    let reply = cluster.reply(held);
    assert_eq!(reply, Some(ReplyBody::Unavailable(Unavailable::NoQuorum)));
    let reply = cluster.ask(away, RequestBody::ReadTable);
    assert!(matches!(reply, ReplyBody::Unavailable(_)), "{reply:?}");
    // Nor one that is behind what the daemon has seen.
    let position = cluster.node(leader).state().position().index;
    let reply = cluster.ask(away, watch(4, 0, position));
    assert_eq!(reply, ReplyBody::Unavailable(Unavailable::NoQuorum));
}
