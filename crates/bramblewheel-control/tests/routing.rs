//! Route tables and registered endpoints in a group of replicas that founded itself, under the
//! losses that the group must bear.

mod support;

use bramblewheel_control::node::SparePolicy;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::{
    LogPosition, Registration, ReplyBody, RequestBody, Unavailable,
};
use bramblewheel_protocol::packed::PackedText;
use bramblewheel_protocol::routing::{
    ContentReport, EndpointRecord, EndpointState, ReplaceTable, ReplaceTableReply, StoredTable,
    TableDigest, TableVersion, WatchReply, WatchRequest,
};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{DaemonId, EndpointId, Millis, RegionName, ServiceName, ZoneName};
use std::time::Duration;
use support::cluster::Cluster;

const MANY: u64 = 1_000_000;
/// As on machines whose loss must be made up for within seconds.
const FAST: SparePolicy = SparePolicy {
    silence: Duration::from_secs(2),
    period: Duration::ZERO,
    voters: 3,
};

/// Three founders and `spares` machines that offer themselves.
fn founded(spares: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::founded(3, 3 + spares, seed, MANY);
    cluster.set_spares(FAST, (3..3 + spares).collect());
    cluster.settle();
    cluster
}

fn table(version: u64, text: &str) -> StoredTable {
    let mut digest = [0; 32];
    for (place, byte) in text.bytes().enumerate() {
        digest[place % 32] ^= byte.wrapping_add(1);
    }
    StoredTable {
        version: TableVersion(version),
        digest: TableDigest(digest),
        text: PackedText::pack(text.as_bytes()),
    }
}

fn replace(parent: u64, version: u64, text: &str) -> RequestBody {
    RequestBody::ReplaceTable(ReplaceTable {
        parent: TableVersion(parent),
        table: table(version, text),
    })
}

fn accepted(cluster: &mut Cluster, body: &RequestBody) {
    let reply = cluster.ask_leader(body);
    assert_eq!(reply, ReplyBody::TableReplaced(ReplaceTableReply::Accepted));
}

fn in_force(cluster: &mut Cluster) -> Option<StoredTable> {
    match cluster.ask_leader(&RequestBody::ReadTable) {
        ReplyBody::Table(table) => table,
        other => panic!("not a table: {other:?}"),
    }
}

fn endpoint(name: &str, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId::new(name).expect("a name"),
        service: ServiceName::new("kassa").expect("a name"),
        daemon: DaemonId::new("daemon-1").expect("a name"),
        address: ([127, 0, 0, 1], 9000).into(),
        endpoint_address: ([127, 0, 0, 1], 9001).into(),
        zone: ZoneName::new("north").expect("a name"),
        slots: 8,
        state,
        sequence,
        cold_for: Millis(0),
    }
}

fn register(cluster: &mut Cluster, record: EndpointRecord) -> EndpointState {
    match cluster.ask_leader(&RequestBody::RegisterEndpoint(Box::new(record))) {
        ReplyBody::EndpointRegistered(state) => state,
        other => panic!("not registered: {other:?}"),
    }
}

fn watch(table: u64, revision: u64, position: u64) -> RequestBody {
    RequestBody::Watch(Box::new(WatchRequest {
        registration: Registration {
            daemon: DaemonId::new("daemon-1").expect("a name"),
            incarnation: 1,
            zone: ZoneName::new("north").expect("a name"),
            region: RegionName::new("west").expect("a name"),
            endpoint: None,
        },
        table_version: TableVersion(table),
        registry_revision: revision,
        quarantine_revision: 0,
        position: LogPosition {
            index: position,
            term: 0,
        },
        wait: Millis(500),
    }))
}

fn news(reply: ReplyBody) -> WatchReply {
    match reply {
        ReplyBody::Watch(reply) => *reply,
        other => panic!("no news: {other:?}"),
    }
}

#[test]
fn founders_form_one_group_without_a_word_from_an_operator() {
    for seed in 1..20 {
        let mut cluster = founded(0, seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        let groups: Vec<_> = (0..3).map(|m| cluster.node(m).state().group()).collect();
        assert!(
            groups
                .iter()
                .all(|group| group.is_some() && *group == groups[0])
        );
    }
}

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

/// A voter that returns empty at its address takes its old place at once, so that the next loss
/// can be borne.
#[test]
fn a_voter_that_returns_empty_is_a_voter_again_within_seconds() {
    for seed in 0..20 {
        let mut cluster = founded(0, 200 + seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        let leader = cluster.settle();
        let lost = (leader + 1) % 3;
        let old = ReplicaId(cluster.address(lost).replica);
        cluster.restart_wiped(lost);
        cluster.set_spares(FAST, vec![lost]);
        cluster.run(Duration::from_millis(3_500));
        let leader = cluster.settle();
        let voters = &cluster.node(leader).replica().membership().voters;
        let new = ReplicaId(cluster.address(lost).replica);
        assert!(
            voters.contains(&new) && !voters.contains(&old),
            "seed {seed}"
        );
        let next = (0..3).find(|machine| *machine != lost).expect("another");
        cluster.crash(next);
        accepted(&mut cluster, &replace(3, 4, "second"));
    }
}

/// Two halves: the one behind and one that lost its disk must not form a quorum.
#[test]
fn one_behind_and_one_empty_decide_nothing() {
    for seed in 0..20 {
        let mut cluster = founded(0, 300 + seed);
        accepted(&mut cluster, &replace(0, 3, "first"));
        let leader = cluster.settle();
        let (behind, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.cut_off(behind);
        accepted(&mut cluster, &replace(3, 4, "second"));
        cluster.crash(leader);
        cluster.restart_wiped(wiped);
        cluster.heal();
        cluster.set_spares_of(FAST, vec![wiped]);
        cluster.run(Duration::from_secs(20));
        assert_eq!(cluster.leader(), None, "seed {seed}");
        cluster.start(leader);
        cluster.set_spares(FAST, vec![wiped]);
        assert_eq!(
            in_force(&mut cluster),
            Some(table(4, "second")),
            "seed {seed}"
        );
    }
}

/// The fourth machine takes the place of one that is gone for good, and the one that was only cut
/// off comes back as the next spare.
#[test]
fn a_replaced_voter_comes_back_as_a_spare() {
    let mut cluster = founded(1, 4);
    accepted(&mut cluster, &replace(0, 3, "first"));
    let leader = cluster.settle();
    let away = (leader + 1) % 3;
    cluster.cut_off(away);
    cluster.run(Duration::from_secs(12));
    let leader = cluster.settle();
    let voters = cluster.node(leader).replica().membership().voters.clone();
    assert!(!voters.contains(&ReplicaId(cluster.address(away).replica)));
    cluster.heal();
    cluster.set_spares(FAST, vec![away]);
    cluster.run(Duration::from_secs(8));
    let leader = cluster.settle();
    let lost = (0..3).find(|machine| *machine != leader && *machine != away);
    cluster.crash(lost.expect("a third"));
    cluster.run(Duration::from_secs(12));
    let leader = cluster.settle();
    let voters = cluster.node(leader).replica().membership().voters.clone();
    assert!(voters.contains(&ReplicaId(cluster.address(away).replica)));
    accepted(&mut cluster, &replace(3, 4, "second"));
}

#[test]
fn an_endpoint_that_leaves_is_never_brought_back() {
    let mut cluster = founded(0, 5);
    assert_eq!(
        register(&mut cluster, endpoint("e-1", EndpointState::Ready, 1)),
        EndpointState::Ready
    );
    register(&mut cluster, endpoint("e-1", EndpointState::Draining, 4));
    // A late word, one with a higher number, and the end.
    for (state, sequence) in [(EndpointState::Ready, 3), (EndpointState::Ready, 9)] {
        let recorded = register(&mut cluster, endpoint("e-1", state, sequence));
        assert_eq!(recorded, EndpointState::Draining);
    }
    let recorded = register(&mut cluster, endpoint("e-1", EndpointState::Gone, 0));
    assert_eq!(recorded, EndpointState::Gone);
    let recorded = register(&mut cluster, endpoint("e-1", EndpointState::Draining, 10));
    assert_eq!(recorded, EndpointState::Gone);
}

#[test]
fn an_endpoint_that_begins_takes_the_place_of_the_one_before_it() {
    let mut cluster = founded(0, 6);
    register(&mut cluster, endpoint("e-1", EndpointState::Ready, 1));
    register(&mut cluster, endpoint("e-2", EndpointState::Ready, 1));
    let leader = cluster.settle();
    let registry = cluster.node(leader).state().registry();
    let old = registry.endpoint(&EndpointId::new("e-1").expect("a name"));
    assert_eq!(old.map(|record| record.state), Some(EndpointState::Silent));
}

/// A start of an endpoint at a time.
fn start(name: &str, started: u64, state: EndpointState, sequence: u64) -> EndpointRecord {
    let record = endpoint(name, state, sequence);
    EndpointRecord {
        endpoint: record.endpoint.started_at(Some(started)),
        ..record
    }
}

/// What is known of an endpoint's starts: when they started, and their states.
fn starts(cluster: &mut Cluster, name: &str) -> Vec<(Option<u64>, EndpointState)> {
    let reply = cluster.ask_leader(&watch(0, 0, 0));
    let news = news(reply).endpoints.into_iter().map(|news| news.record);
    let own = news.filter(|record| record.endpoint.name() == name);
    let mut starts: Vec<_> = own
        .map(|record| (record.endpoint.started(), record.state))
        .collect();
    starts.sort_unstable();
    starts
}

/// An endpoint that starts again under its name takes work, also after it left; a report of the former start that is decided
/// late changes nothing.
#[test]
fn a_later_start_ends_the_earlier_one_and_is_not_bound_by_it() {
    for former in [
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Gone,
    ] {
        let mut cluster = founded(0, 61);
        register(&mut cluster, start("e", 1_000, EndpointState::Ready, 1));
        register(&mut cluster, start("e", 1_000, former, 2));
        let opened = register(&mut cluster, start("e", 2_000, EndpointState::Ready, 1));
        assert_eq!(opened, EndpointState::Ready);
        for state in [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ] {
            let late = register(&mut cluster, start("e", 1_000, state, 9));
            assert_eq!(late, EndpointState::Gone);
        }
        let expected = [
            (Some(1_000), EndpointState::Gone),
            (Some(2_000), EndpointState::Ready),
        ];
        assert_eq!(starts(&mut cluster, "e"), expected);
    }
}

#[test]
fn a_planned_end_that_names_no_start_is_that_of_the_latest() {
    let mut cluster = founded(0, 62);
    register(&mut cluster, start("e", 1_000, EndpointState::Ready, 1));
    register(&mut cluster, start("e", 2_000, EndpointState::Ready, 1));
    let ended = register(&mut cluster, endpoint("e", EndpointState::Gone, 0));
    assert_eq!(ended, EndpointState::Gone);
    let expected = [
        (Some(1_000), EndpointState::Gone),
        (Some(2_000), EndpointState::Gone),
    ];
    assert_eq!(starts(&mut cluster, "e"), expected);
    let nameless = register(&mut cluster, endpoint("e", EndpointState::Ready, 5));
    assert_eq!(nameless, EndpointState::Gone);
}

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

/// The endpoints of a daemon that says nothing any more are not sent work.
#[test]
fn the_endpoints_of_a_silent_daemon_are_silent() {
    let mut cluster = founded(0, 9);
    accepted(&mut cluster, &replace(0, 3, "first"));
    register(&mut cluster, endpoint("e-1", EndpointState::Ready, 1));
    let leader = cluster.settle();
    cluster.ask(leader, watch(3, 0, 0));
    cluster.run(Duration::from_secs(30));
    let leader = cluster.settle();
    let registry = cluster.node(leader).state().registry();
    let record = registry.endpoint(&EndpointId::new("e-1").expect("a name"));
    assert_eq!(
        record.map(|record| record.state),
        Some(EndpointState::Silent)
    );
    // It comes back with its next word.
    let state = register(&mut cluster, endpoint("e-1", EndpointState::Ready, 2));
    assert_eq!(state, EndpointState::Ready);
}

/// Three founders, five machines, and the loss of two to be borne.
#[test]
fn a_group_grows_until_it_bears_the_losses_that_it_must() {
    for seed in 0..10 {
        let mut cluster = Cluster::founded(3, 5, 400 + seed, MANY);
        let grown = SparePolicy { voters: 5, ..FAST };
        cluster.set_spares(grown, vec![3, 4]);
        accepted(&mut cluster, &replace(0, 3, "first"));
        cluster.run(Duration::from_secs(12));
        let leader = cluster.settle();
        let membership = cluster.node(leader).replica().membership().clone();
        assert_eq!(
            (membership.voters.len(), membership.learners.len()),
            (5, 0),
            "seed {seed}"
        );
        accepted(&mut cluster, &replace(3, 4, "second"));
        cluster.crash(leader);
        cluster.restart_wiped((leader + 1) % 5);
        assert_eq!(
            in_force(&mut cluster),
            Some(table(4, "second")),
            "seed {seed}"
        );
        accepted(&mut cluster, &replace(4, 5, "third"));
    }
}

/// Two of three founders are enough; the third, which never wrote anything, joins when it starts.
#[test]
fn a_group_forms_while_a_founder_is_missing() {
    for seed in 0..10 {
        let missing = usize::try_from(seed % 3).expect("small");
        let mut cluster = Cluster::founded_without(Some(missing), 3, 3, 500 + seed, MANY);
        accepted(&mut cluster, &replace(0, 3, "first"));
        cluster.start(missing);
        cluster.run(Duration::from_secs(2));
        let other = (missing + 1) % 3;
        cluster.crash(other);
        accepted(&mut cluster, &replace(3, 4, "second"));
    }
}
