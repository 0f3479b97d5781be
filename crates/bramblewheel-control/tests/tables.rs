//! Route tables in a group that founded itself: order of versions, resends, losses of disks and power.

mod support;

use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::{
    ContentReport, EndpointState, ReplaceTableReply, TableVersion,
};
use bramblewheel_types::EndpointId;
use std::time::Duration;
use support::cluster::Cluster;
use support::founded::{
    FAST, MANY, accepted, endpoint, founded, in_force, register, replace, table,
};

#[test]
fn a_group_that_takes_only_bundles_refuses_tables() {
    let mut cluster = Cluster::bootstrapped(1, MANY);
    let reply = cluster.ask_leader(&replace(0, 1, "first"));
    assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
}

#[test]
fn of_two_tables_on_one_version_one_wins_and_resends_are_never_refused() {
    let mut cluster = founded(0, 2);
    accepted(&mut cluster, &replace(0, 3, "first"));
    accepted(&mut cluster, &replace(3, 7, "second"));
    let reply = cluster.ask_leader(&replace(3, 8, "rival"));
    let mismatch = ReplaceTableReply::ParentMismatch {
        current: TableVersion(7),
    };
    assert_eq!(reply, ReplyBody::TableReplaced(mismatch));
    let reply = cluster.ask_leader(&replace(7, 7, "same number"));
    let outdated = ReplaceTableReply::Outdated {
        current: TableVersion(7),
    };
    assert_eq!(reply, ReplyBody::TableReplaced(outdated));
    // Resends of what was taken, the newest and an older one.
    accepted(&mut cluster, &replace(3, 7, "second"));
    accepted(&mut cluster, &replace(0, 3, "first"));
    assert_eq!(in_force(&mut cluster), Some(table(7, "second")));
}

/// Both digests taken and the end of an endpoint outlast snapshots.
#[test]
fn what_was_taken_is_known_after_snapshots_and_restarts() {
    let mut cluster = Cluster::founded(3, 3, 3, 8);
    for step in 0..30 {
        let text = format!("table {step}");
        accepted(&mut cluster, &replace(step, step + 1, &text));
    }
    register(&mut cluster, endpoint("e-1", EndpointState::Draining, 5));
    for machine in 0..3 {
        cluster.restart(machine);
    }
    assert!(
        cluster.node(0).replica().snapshot_index().0 > 1,
        "no snapshot was made"
    );
    accepted(&mut cluster, &replace(3, 4, "table 3"));
    assert_eq!(in_force(&mut cluster), Some(table(30, "table 29")));
    let state = register(&mut cluster, endpoint("e-1", EndpointState::Ready, 9));
    assert_eq!(state, EndpointState::Draining);
}

/// Power is lost everywhere right after an acknowledgement, and one disk with it.
#[test]
fn an_acknowledged_table_outlasts_a_lost_disk_while_all_lose_power() {
    for seed in 0..40 {
        let mut cluster = founded(0, 100 + seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        let lost = usize::try_from(seed % 3).expect("small");
        for machine in 0..3 {
            cluster.crash(machine);
        }
        cluster.restart_wiped(lost);
        for machine in (0..3).filter(|machine| *machine != lost) {
            cluster.start(machine);
        }
        cluster.set_spares(FAST, vec![lost]);
        assert_eq!(
            in_force(&mut cluster),
            Some(table(3, "first")),
            "seed {seed}"
        );
    }
}

/// Also the machines that don't vote lose power, in whatever order they come back. What was acknowledged stays: a
/// table, and which contents are kept from endpoints.
#[test]
fn what_was_acknowledged_outlasts_a_lost_disk_while_voters_and_spares_lose_power() {
    for seed in 0..40 {
        let mut cluster = founded(1, 400 + seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        for number in 0..3 {
            let report = ContentReport::EndpointCrashed {
                endpoint: EndpointId::new(&format!("e-{number}")).expect("a name"),
                contents: vec![ContentDigest(7)],
            };
            let reply = cluster.ask_leader(&RequestBody::ReportContents(report));
            assert_eq!(reply, ReplyBody::Done);
        }
        let first = usize::try_from(seed % 4).expect("small");
        let lost = usize::try_from(seed % 3).expect("small");
        for machine in 0..4 {
            cluster.crash(machine);
        }
        for machine in (0..4).map(|number| (first + number) % 4) {
            if machine == lost {
                cluster.restart_wiped(machine);
            } else {
                cluster.start(machine);
            }
            cluster.run(Duration::from_millis(37 * seed));
        }
        cluster.set_spares(FAST, vec![lost, 3]);
        let shown = in_force(&mut cluster);
        assert_eq!(shown, Some(table(3, "first")), "seed {seed}");
        let leader = cluster.settle();
        let list = cluster.node(leader).state().quarantine().list();
        assert!(list.contents[0].is_quarantined, "seed {seed}");
    }
}
