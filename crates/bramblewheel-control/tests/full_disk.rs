//! A replica whose disk is full stays up, stores and acknowledges nothing, and goes on once there is space.

mod support;

use bramblewheel_control::node::{Durable, NodeEvent};
use bramblewheel_control::settings::Overrides;
use bramblewheel_control::{Settings, start_on};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::control::{OperationAction, OperationReply, ReplyBody, RequestBody};
use bramblewheel_replication::{ReplicaId, Role};
use bramblewheel_storage::{MemoryFileSystem, StorageConfig};
use std::path::Path;
use std::time::Duration;
use support::captured_log::CapturedLog;
use support::cluster::{Cluster, EPOCH};
use support::{claim, operation};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const NO_SNAPSHOTS: u64 = 1_000_000;
/// Entries between snapshots, so that snapshots are made while the disk fills up.
const FREQUENT_SNAPSHOTS: u64 = 3;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Claims keys one after the other at whichever machine leads; returns the granted ones.
fn claim_keys(cluster: &mut Cluster, keys: std::ops::Range<u64>) -> Vec<u64> {
    let mut granted = Vec::new();
    for key in keys {
        let request = claim(&format!("key-{key}"), key + 1, EPOCH);
        let Some(leader) = cluster.leader() else {
            cluster.run(Duration::from_millis(200));
            continue;
        };
        let id = cluster.send(leader, RequestBody::Operations(vec![request]));
        cluster.run(Duration::from_millis(100));
        if cluster.reply(id) == Some(ReplyBody::Operations(vec![OperationReply::Granted])) {
            granted.push(key);
        }
    }
    granted
}

fn limit(cluster: &mut Cluster, machine: usize, free: usize) {
    let files = cluster.files(machine);
    files.set_capacity(Some(files.bytes_used() + free));
}

fn expect_caught_up(cluster: &mut Cluster, machine: usize, context: &str) {
    let leader = cluster.settle();
    cluster.run(Duration::from_secs(2));
    assert!(!cluster.metrics(machine).disk_full, "{context}");
    let position = cluster.node(leader).state().position();
    assert_eq!(
        cluster.node(machine).state().position(),
        position,
        "{context}"
    );
}

/// Checks that every granted claim is held after all machines have lost power.
fn expect_all_kept(cluster: &mut Cluster, granted: &[u64], context: &str) {
    for machine in 0..3 {
        cluster.files(machine).set_capacity(None);
        cluster.crash(machine);
    }
    for machine in 0..3 {
        cluster.start(machine);
    }
    cluster.settle();
    for key in granted {
        let status = operation(&format!("key-{key}"), 1, OperationAction::Status);
        let reply = cluster.ask_leader(&RequestBody::Operations(vec![status]));
        let kept = ReplyBody::Operations(vec![OperationReply::Held]);
        assert_eq!(reply, kept, "{context}: key {key}");
    }
}

/// Guards against the end of the process, against a leader that keeps its office without being able to
/// store, and against a follower that is left behind or loses entries after the disk has space again.
#[test]
fn group_goes_on_while_a_disk_is_full_and_the_replica_catches_up_without_a_restart() {
    for snapshots in [NO_SNAPSHOTS, FREQUENT_SNAPSHOTS] {
        for victim_offset in 0..3 {
            for free in [0, 1, 60, 200, 700] {
                let context = format!("offset {victim_offset}, {free} bytes, {snapshots}");
                let mut cluster = Cluster::bootstrapped(51, snapshots);
                let victim = (cluster.settle() + victim_offset) % 3;
                let mut granted = claim_keys(&mut cluster, 0..4);
                limit(&mut cluster, victim, free);
                let during = claim_keys(&mut cluster, 4..24);
                assert!(during.len() >= 10, "{context}: {} granted", during.len());
                assert_eq!(cluster.failure(victim), None, "{context}");
                assert!(cluster.metrics(victim).disk_full, "{context}");
                assert!(!cluster.metrics(victim).has_quorum, "{context}");
                let role = cluster.node(victim).replica().role();
                assert_eq!(role, Role::Follower, "{context}");
                granted.extend(during);
                cluster.files(victim).set_capacity(None);
                expect_caught_up(&mut cluster, victim, &context);
                granted.extend(claim_keys(&mut cluster, 24..28));
                expect_all_kept(&mut cluster, &granted, &context);
            }
        }
    }
}

/// A replica that loses power while its disk is full must come back with all that it has acknowledged. With
/// one other replica lost for the time, every acknowledgement depends on the one with the full disk.
#[test]
fn nothing_acknowledged_is_lost_when_a_replica_ends_while_its_disk_is_full() {
    for victim_offset in 0..2 {
        for free in (0..900).step_by(75) {
            let context = format!("offset {victim_offset}, {free} bytes");
            let mut cluster = Cluster::bootstrapped(52, FREQUENT_SNAPSHOTS);
            let leader = cluster.settle();
            cluster.crash((leader + 2) % 3);
            let victim = (leader + victim_offset) % 3;
            limit(&mut cluster, victim, free);
            let granted = claim_keys(&mut cluster, 0..10);
            assert!(cluster.metrics(victim).disk_full, "{context}");
            assert_eq!(cluster.leader(), None, "{context}: no quorum can sync");
            cluster.crash(victim);
            // A start on the full disk fails without a change of what is stored.
            for _ in 0..2 {
                let files = cluster.files(victim).clone();
                let config = StorageConfig::new("/data");
                if let Err(error) = Durable::open(files.clone(), config, "control", ReplicaId(1)) {
                    assert!(error.is_disk_full(), "{context}: {error}");
                }
                files.crash(free as u64);
            }
            expect_all_kept(&mut cluster, &granted, &context);
        }
    }
}

/// Guards against a vote or an election that counts a term which could not be stored.
#[test]
fn replica_with_a_full_disk_takes_no_part_in_votes_until_it_has_space() {
    let mut cluster = Cluster::bootstrapped(53, NO_SNAPSHOTS);
    let leader = cluster.settle();
    let [voter, other] = [(leader + 1) % 3, (leader + 2) % 3];
    cluster.crash(leader);
    limit(&mut cluster, voter, 0);
    cluster.run(Duration::from_secs(5));
    assert!(cluster.metrics(voter).disk_full);
    assert_eq!(cluster.leader(), None);
    assert_ne!(cluster.node(other).replica().role(), Role::Leader);
    cluster.files(voter).set_capacity(None);
    cluster.settle();
}

/// Clients of a leader whose disk fills up are told at once that the outcome is not known, and requests
/// that arrive later are refused, so that they turn to another replica.
#[test]
fn clients_of_a_replica_with_a_full_disk_are_answered() {
    let mut cluster = Cluster::bootstrapped(54, NO_SNAPSHOTS);
    let leader = cluster.settle();
    limit(&mut cluster, leader, 0);
    for key in 0..3 {
        let request = claim(&format!("key-{key}"), key + 1, EPOCH);
        let id = cluster.send(leader, RequestBody::Operations(vec![request]));
        cluster.run(Duration::from_millis(5));
        let reply = cluster.reply(id).expect("an answer at once");
        let granted = ReplyBody::Operations(vec![OperationReply::Granted]);
        assert_ne!(reply, granted);
    }
    let status = cluster.ask(leader, RequestBody::GroupStatus);
    let ReplyBody::GroupStatus(status) = status else {
        panic!("{status:?}");
    };
    assert!(!status.has_quorum);
}

/// Reports must not fill a log disk that may be the same one.
#[test]
fn reports_of_a_full_disk_are_bounded() {
    let mut cluster = Cluster::bootstrapped(55, NO_SNAPSHOTS);
    let leader = cluster.settle();
    limit(&mut cluster, leader, 0);
    claim_keys(&mut cluster, 0..2);
    cluster.run(Duration::from_secs(60));
    cluster.files(leader).set_capacity(None);
    cluster.run(Duration::from_secs(1));
    let of_leader = cluster.events.iter().filter(|(_, at, _)| *at == leader);
    let events: Vec<&NodeEvent> = of_leader.map(|(_, _, event)| event).collect();
    let count = |is: fn(&NodeEvent) -> bool| events.iter().filter(|event| is(event)).count();
    let full = count(|event| matches!(event, NodeEvent::DiskFull { .. }));
    assert!((6..=7).contains(&full), "{full} in about 60 s");
    assert_eq!(
        count(|event| matches!(event, NodeEvent::DiskHasSpace { .. })),
        1
    );
}

async fn get(admin: &str, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: admin\r\nconnection: close\r\n\r\n");
    let mut stream = TcpStream::connect(admin).await.expect("connects");
    stream.write_all(request.as_bytes()).await.expect("sends");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    let length = timeout(TIMEOUT, read).await.expect("in time");
    length.expect("text");
    answer
}

fn settings(folder: &TempDir) -> Settings {
    let text = format!(
        "name = \"control-1\"\nzone = \"hall-a\"\nregion = \"north\"\ndata_folder = \"{}\"\n\
         [listen]\npeer = \"127.0.0.1:0\"\nservice = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n",
        folder.path().display()
    );
    Settings::parse(Path::new("s.toml"), &text, Overrides::default()).expect("valid")
}

/// Guards against a process that ends, or reports itself as ready, while it can't open its data folder.
#[tokio::test(flavor = "multi_thread")]
async fn start_on_a_full_disk_waits_for_space() {
    for free in [0, 10, 30] {
        let folder = TempDir::new().expect("a temporary folder");
        let files = MemoryFileSystem::new();
        files.set_capacity(Some(free));
        let log = CapturedLog::default();
        let starting = start_on(files.clone(), settings(&folder), log.logger());
        let starting = tokio::spawn(starting);
        log.line_with(&["disk is full"]).await;
        let line = log.line_with(&["listening", "listener=admin"]).await;
        let address = line.split("address=").nth(1).expect("has an address");
        let admin = address.split(' ').next().expect("is not empty");
        let admin = admin.trim_matches('"').to_owned();
        let ready = get(&admin, "/readyz").await;
        assert!(ready.starts_with("HTTP/1.1 503 "), "{ready}");
        assert!(ready.ends_with("disk is full\n"), "{ready}");
        let metrics = get(&admin, "/metrics").await;
        assert!(
            metrics.contains("bramblewheel_control_disk_full 1\n"),
            "{metrics}"
        );
        // Other replicas can't reach it, so it can't vote.
        assert!(log.lines_with(&["listener=peer"]).is_empty());
        assert!(!starting.is_finished());
        files.set_capacity(None);
        let mut started = timeout(TIMEOUT, starting).await.expect("in time");
        let replica = started
            .as_mut()
            .expect("no panic")
            .as_mut()
            .expect("starts");
        log.line_with(&["disk has space again"]).await;
        log.line_with(&["replica opened"]).await;
        let metrics = get(&admin, "/metrics").await;
        assert!(
            metrics.contains("bramblewheel_control_disk_full 0\n"),
            "{metrics}"
        );
        replica.stop();
        replica.stopped().await.expect("a planned stop");
    }
}
