//! Route tables in a self-founded group: order of versions, resends, loss of disks and power.

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
    FAST, NO_SNAPSHOTS, endpoint, expect_accepted, founded, in_force, register, replace, table,
};

#[test]
fn group_without_unsigned_tables_rejects_a_table() {
    let mut cluster = Cluster::bootstrapped(1, NO_SNAPSHOTS);
    let reply = cluster.ask_leader(&replace(0, 1, "first"));
    assert!(matches!(reply, ReplyBody::Rejected(_)), "{reply:?}");
}

#[test]
fn one_of_two_tables_with_the_same_parent_is_accepted_and_resends_are_accepted_again() {
    let mut cluster = founded(0, 2);
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    expect_accepted(&mut cluster, &replace(3, 7, "second"));
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
    // Resends of accepted tables, the newest and an older one.
    expect_accepted(&mut cluster, &replace(3, 7, "second"));
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    assert_eq!(in_force(&mut cluster), Some(table(7, "second")));
}

/// Digests of accepted tables and the draining state of an endpoint are kept in snapshots.
#[test]
fn accepted_tables_and_draining_endpoints_survive_snapshots_and_restarts() {
    let mut cluster = Cluster::founded(3, 3, 3, 8);
    for step in 0..30 {
        let text = format!("table {step}");
        expect_accepted(&mut cluster, &replace(step, step + 1, &text));
    }
    register(&mut cluster, endpoint("e-1", EndpointState::Draining, 5));
    for machine in 0..3 {
        cluster.restart(machine);
    }
    assert!(
        cluster.node(0).replica().snapshot_index().0 > 1,
        "no snapshot was made"
    );
    expect_accepted(&mut cluster, &replace(3, 4, "table 3"));
    assert_eq!(in_force(&mut cluster), Some(table(30, "table 29")));
    let state = register(&mut cluster, endpoint("e-1", EndpointState::Ready, 9));
    assert_eq!(state, EndpointState::Draining);
}

/// All machines lose power right after an acknowledgement, and one of them loses its disk.
#[test]
fn acknowledged_table_survives_power_loss_of_all_voters_with_one_disk_lost() {
    for seed in 0..40 {
        let mut cluster = founded(0, 100 + seed);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
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

/// Voters and the spare lose power and return in various orders. The acknowledged table and the acknowledged quarantine
/// must be kept.
#[test]
fn acknowledged_state_survives_power_loss_of_voters_and_spares_with_one_disk_lost() {
    for seed in 0..40 {
        let mut cluster = founded(1, 400 + seed);
        expect_accepted(&mut cluster, &replace(0, 3, "first"));
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
        let current = in_force(&mut cluster);
        assert_eq!(current, Some(table(3, "first")), "seed {seed}");
        let leader = cluster.settle();
        let list = cluster.node(leader).state().quarantine().list();
        assert!(list.contents[0].is_quarantined, "seed {seed}");
    }
}
