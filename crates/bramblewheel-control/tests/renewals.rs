//! Leases of daemons on the route table, and the sums of what tenants were let in, in a group of
//! replicas that loses some.

mod support;

use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::packed::PackedText;
use bramblewheel_protocol::routing::{
    RenewReply, RenewRequest, ReplaceTable, ReplaceTableReply, StoredTable, TableDigest,
    TableVersion, TenantUsage,
};
use bramblewheel_types::DaemonId;
use std::time::Duration;
use support::cluster::Cluster;

const MANY: u64 = 1_000_000;
/// Time in which replicas that are in touch answer a renewal.
const SOON: Duration = Duration::from_millis(250);

fn founded(seed: u64) -> Cluster {
    let mut cluster = Cluster::founded(3, 3, seed, MANY);
    cluster.settle();
    cluster
}

fn accept(cluster: &mut Cluster, parent: u64, version: u64) {
    let text = format!("table {version}");
    let request = ReplaceTable {
        parent: TableVersion(parent),
        table: StoredTable {
            version: TableVersion(version),
            digest: TableDigest([u8::try_from(version).expect("small"); 32]),
            text: PackedText::pack(text.as_bytes()),
        },
    };
    let reply = cluster.ask_leader(&RequestBody::ReplaceTable(request));
    assert_eq!(reply, ReplyBody::TableReplaced(ReplaceTableReply::Accepted));
}

fn usage(tenant: u64, asked: u32, admitted: u32) -> TenantUsage {
    TenantUsage {
        tenant,
        asked,
        admitted,
    }
}

fn renew(daemon: &str, usage: Vec<TenantUsage>) -> RequestBody {
    RequestBody::Renew(Box::new(RenewRequest {
        daemon: DaemonId::new(daemon).expect("a name"),
        incarnation: 1,
        usage,
    }))
}

fn renewed(reply: ReplyBody) -> RenewReply {
    match reply {
        ReplyBody::Renewed(reply) => *reply,
        other => panic!("not renewed: {other:?}"),
    }
}

#[test]
fn every_replica_confirms_the_newest_version() {
    let mut cluster = founded(1);
    accept(&mut cluster, 0, 3);
    for machine in 0..3 {
        let reply = cluster.ask(machine, renew("daemon-1", Vec::new()));
        assert_eq!(renewed(reply).table_version, TableVersion(3));
    }
    // At once after a change, whichever replica is asked.
    for version in 4..10 {
        accept(&mut cluster, version - 1, version);
        let machine = usize::try_from(version % 3).expect("small");
        let reply = cluster.ask(machine, renew("daemon-1", Vec::new()));
        assert_eq!(renewed(reply).table_version, TableVersion(version));
    }
}

#[test]
fn a_replica_that_is_cut_off_confirms_nothing() {
    for seed in 0..20 {
        let mut cluster = founded(100 + seed);
        accept(&mut cluster, 0, 3);
        let leader = cluster.settle();
        // The leader in every other run.
        let away = (leader + usize::try_from(seed % 2).expect("small")) % 3;
        cluster.cut_off(away);
        let asked = cluster.send(away, renew("daemon-1", Vec::new()));
        accept(&mut cluster, 3, 4);
        cluster.run(Duration::from_secs(3));
        let reply = cluster.reply(asked);
        assert!(
            matches!(reply, Some(ReplyBody::Unavailable(_))),
            "{reply:?}, seed {seed}"
        );
    }
}

/// A leader stands still while it confirms, is deposed meanwhile, and wakes.
#[test]
fn a_leader_that_was_paused_does_not_confirm_an_old_version() {
    for seed in 0..20 {
        let mut cluster = founded(200 + seed);
        accept(&mut cluster, 0, 3);
        let leader = cluster.settle();
        let asked = cluster.send(leader, renew("daemon-1", Vec::new()));
        cluster.run(Duration::from_millis(seed % 10));
        cluster.freeze(leader);
        cluster.run(Duration::from_secs(2));
        let now_leading = cluster.settle();
        assert_ne!(now_leading, leader);
        accept(&mut cluster, 3, 4);
        let late = cluster.send(leader, renew("daemon-2", Vec::new()));
        cluster.thaw(leader);
        cluster.run(Duration::from_secs(3));
        // What was asked before the pause may be answered by what was true then: the daemon counts
        // from its question.
        if let Some(ReplyBody::Renewed(reply)) = cluster.reply(asked) {
            assert!(reply.table_version >= TableVersion(3), "seed {seed}");
        }
        if let Some(ReplyBody::Renewed(reply)) = cluster.reply(late) {
            assert_eq!(reply.table_version, TableVersion(4), "seed {seed}");
        }
    }
}

/// What replicas exchange for leases does not grow with the daemons.
#[test]
fn renewals_that_come_together_share_one_read() {
    let mut cluster = founded(2);
    accept(&mut cluster, 0, 3);
    let leader = cluster.settle();
    let many = |cluster: &mut Cluster, count: usize| {
        let names = (0..count).map(|number| format!("daemon-{number}"));
        let bodies = names.map(|name| renew(&name, Vec::new())).collect();
        let (ids, messages) = cluster.send_together(leader, bodies);
        assert_eq!(messages, 0, "they wait for the next read");
        cluster.run(SOON);
        for id in ids {
            let reply = cluster.reply(id).expect("an answer soon");
            assert_eq!(renewed(reply).table_version, TableVersion(3));
        }
    };
    many(&mut cluster, 3);
    many(&mut cluster, 300);
}

/// Daemons report to different replicas, and each is told the sums over all.
#[test]
fn every_replica_knows_the_sums_over_all_daemons() {
    let mut cluster = founded(3);
    accept(&mut cluster, 0, 3);
    let own = |machine: usize| usage(7, 1 + u32::try_from(machine).expect("small"), 10);
    for _ in 0..6 {
        for machine in 0..3 {
            let name = format!("daemon-{machine}");
            cluster.ask(machine, renew(&name, vec![own(machine)]));
        }
        cluster.run(Duration::from_millis(200));
    }
    for machine in 0..3 {
        let name = format!("daemon-{machine}");
        let reply = renewed(cluster.ask(machine, renew(&name, vec![own(machine)])));
        assert_eq!(reply.sums, Some(vec![usage(7, 6, 30)]), "machine {machine}");
    }
    // Tenants that the daemon did not name are not told.
    let reply = renewed(cluster.ask(0, renew("daemon-0", vec![own(0), usage(8, 1, 1)])));
    let mut sums = reply.sums.expect("known");
    sums.sort_by_key(|sum| sum.tenant);
    assert_eq!(sums, vec![usage(7, 6, 30), usage(8, 1, 1)]);
}

/// A replica that has just started must not tell that little was let in.
#[test]
fn a_replica_that_does_not_know_the_sums_yet_tells_none() {
    let mut cluster = founded(4);
    accept(&mut cluster, 0, 3);
    let leader = cluster.settle();
    let reply = renewed(cluster.ask(leader, renew("daemon-1", vec![usage(7, 1, 1)])));
    assert_eq!(reply.sums, None);
    cluster.run(Duration::from_secs(1));
    let leader = cluster.settle();
    let reply = renewed(cluster.ask(leader, renew("daemon-1", vec![usage(7, 1, 1)])));
    assert_eq!(reply.sums, Some(vec![usage(7, 1, 1)]));
}
