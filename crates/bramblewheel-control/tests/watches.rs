//! Watches of daemons: answered when a change is committed, refused by a replica without a quorum.

mod support;

use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use bramblewheel_protocol::routing::TableVersion;
use std::time::Duration;
use support::founded::{expect_accepted, founded, replace, watch, watch_reply};

#[test]
fn held_watch_is_answered_when_a_change_is_committed() {
    let mut cluster = founded(0, 7);
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    for machine in 0..3 {
        cluster.run(Duration::from_secs(1));
        let first = cluster.ask(machine, watch(0, 0, 0));
        let first = watch_reply(first);
        assert_eq!(
            first.table.expect("a table").version,
            TableVersion(3 + machine as u64)
        );
        let revision = first.registry_revision;
        let held = cluster.send(machine, watch(3 + machine as u64, revision, 0));
        let next = 4 + machine as u64;
        expect_accepted(
            &mut cluster,
            &replace(next - 1, next, &format!("table {next}")),
        );
        cluster.run(Duration::from_millis(150));
        let reply = watch_reply(
            cluster
                .reply(held)
                .expect("the watch must be answered within two heartbeats"),
        );
        assert_eq!(reply.table.expect("a table").version, TableVersion(next));
    }
}

/// A replica that is cut off must not present its state as the one in force.
#[test]
fn replica_without_quorum_or_behind_the_daemon_refuses_watches() {
    let mut cluster = founded(0, 8);
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    let leader = cluster.settle();
    let isolated = (leader + 1) % 3;
    cluster.run(Duration::from_secs(1));
    let held = cluster.send(isolated, watch(3, 0, 0));
    cluster.cut_off(isolated);
    expect_accepted(&mut cluster, &replace(3, 4, "second"));
    cluster.run(Duration::from_secs(1));
    let reply = cluster.reply(held);
    assert_eq!(reply, Some(ReplyBody::Unavailable(Unavailable::NoQuorum)));
    let reply = cluster.ask(isolated, RequestBody::ReadTable);
    assert!(matches!(reply, ReplyBody::Unavailable(_)), "{reply:?}");
    // A replica that is behind the daemon's position must refuse as well.
    let position = cluster.node(leader).state().position().index;
    let reply = cluster.ask(isolated, watch(4, 0, position));
    assert_eq!(reply, ReplyBody::Unavailable(Unavailable::NoQuorum));
}
