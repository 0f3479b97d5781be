//! A failed sync stops the replica with an error that names the file, a full disk makes it wait, and nothing
//! that is not synced is acknowledged.

mod support;

use bramblewheel_control::node::{Durable, NodeEvent};
use bramblewheel_control::settings::Overrides;
use bramblewheel_control::{ControlHandle, RunError, Settings, logging, start_on};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::control::{
    BootstrapRequest, GroupStatus, OperationAction, OperationReply, PublishReply, ReplyBody,
    RequestBody,
};
use bramblewheel_protocol::{ControlClient, request_any};
use bramblewheel_replication::ReplicaId;
use bramblewheel_storage::{MemoryFileSystem, StorageConfig};
use std::path::Path;
use std::time::Duration;
use support::cluster::{Cluster, EPOCH};
use support::{claim, operation, signed};
use tempfile::TempDir;
use tokio::time::timeout;

const NO_SNAPSHOTS: u64 = 1_000_000;
const TIMEOUT: Duration = Duration::from_secs(30);

/// A fault of one machine's disk.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The sync after this number of syncs fails.
    Sync(u64),
    /// The disk has this capacity, in bytes.
    Full(usize),
}

impl Fault {
    fn inject(self, files: &MemoryFileSystem) {
        match self {
            Self::Sync(count) => files.fail_sync_after(count),
            Self::Full(bytes) => files.set_capacity(Some(bytes)),
        }
    }

    /// Whether the fault has occurred and had its effect: a failed sync ends the replica, a full disk does not;
    /// in both cases the error names the file.
    fn has_occurred(self, cluster: &Cluster, victim: usize) -> bool {
        match (self, cluster.failure(victim)) {
            (Self::Sync(_), Some(error)) => {
                assert!(self.matches_error(error), "{self:?}: {error}");
                true
            }
            (Self::Sync(_), None) => false,
            (Self::Full(_), failure) => {
                assert_eq!(failure, None, "{self:?}");
                let of_victim = cluster.events.iter().filter(|(_, at, _)| *at == victim);
                for (_, _, event) in of_victim {
                    if let NodeEvent::DiskFull { error, .. } = event {
                        assert!(self.matches_error(error), "{self:?}: {error}");
                    }
                }
                cluster.metrics(victim).disk_full
            }
        }
    }

    /// Whether an error names the failed operation and its folder.
    fn matches_error(self, error: &str) -> bool {
        let operation = match self {
            Self::Sync(_) => "sync /data/",
            Self::Full(_) => "append to /data/",
        };
        error.starts_with(operation)
    }
}

/// Claims one key after the other. Returns the numbers of the granted ones.
fn claim_many(cluster: &mut Cluster, count: u64) -> Vec<u64> {
    let mut granted = Vec::new();
    for number in 0..count {
        let Some(leader) = cluster.leader() else {
            cluster.run(Duration::from_millis(200));
            continue;
        };
        let request = claim(&format!("key-{number}"), number + 1, EPOCH);
        let id = cluster.send(leader, RequestBody::Operations(vec![request]));
        cluster.run(Duration::from_millis(100));
        if cluster.reply(id) == Some(ReplyBody::Operations(vec![OperationReply::Granted])) {
            granted.push(number);
        }
    }
    granted
}

/// Checks that every granted claim is still held after all machines have lost power.
fn expect_all_kept(cluster: &mut Cluster, granted: &[u64], context: &str) {
    for machine in 0..3 {
        cluster.files(machine).set_capacity(None);
        cluster.crash(machine);
    }
    for machine in 0..3 {
        cluster.start(machine);
    }
    cluster.settle();
    for number in granted {
        let key = format!("key-{number}");
        let body = RequestBody::Operations(vec![operation(&key, 1, OperationAction::Status)]);
        let kept = ReplyBody::Operations(vec![OperationReply::Held]);
        assert_eq!(cluster.ask_leader(&body), kept, "{context}: {key}");
    }
}

/// One machine's disk fails at various times, with the other two machines running or one of them down.
#[test]
fn granted_claims_survive_disk_failures() {
    let syncs = (0..4).map(|step| Fault::Sync(3 * step));
    let sizes = (0..4).map(|step| Fault::Full(3_000 + 700 * step));
    let mut failed = 0;
    let mut grants = 0;
    for (case, fault) in syncs.chain(sizes).enumerate() {
        for has_spare in [true, false] {
            let context = format!("{fault:?}, spare: {has_spare}");
            let mut cluster = Cluster::bootstrapped(41, NO_SNAPSHOTS);
            let leader = cluster.settle();
            let victim = (leader + case) % 3;
            if !has_spare {
                cluster.crash((victim + 1) % 3);
            }
            fault.inject(cluster.files(victim));
            let granted = claim_many(&mut cluster, 10);
            if fault.has_occurred(&cluster, victim) {
                failed += 1;
            }
            grants += granted.len();
            expect_all_kept(&mut cluster, &granted, &context);
        }
    }
    assert!(failed >= 12, "{failed} of 16 disks failed in time");
    assert!(grants >= 40, "{grants} claims were granted");
}

/// Of the two remaining replicas one can't sync its vote, so no leader may be elected until it can.
#[test]
fn unsynced_vote_elects_no_leader() {
    for fault in [Fault::Sync(0), Fault::Full(0)] {
        let mut cluster = Cluster::bootstrapped(42, NO_SNAPSHOTS);
        let leader = cluster.settle();
        let [voter, other] = [(leader + 1) % 3, (leader + 2) % 3];
        cluster.crash(leader);
        fault.inject(cluster.files(voter));
        cluster.run(Duration::from_secs(5));
        assert!(fault.has_occurred(&cluster, voter), "{fault:?}");
        assert_eq!(cluster.leader(), None, "{fault:?}");
        let remaining = cluster.node(other).replica();
        assert_ne!(remaining.role(), bramblewheel_replication::Role::Leader);
        cluster.files(voter).set_capacity(None);
        if cluster.failure(voter).is_some() {
            cluster.restart(voter);
        }
        cluster.settle();
    }
}

/// While the disk is full the data folder is not opened, and the error names the file that can't be written.
#[test]
fn data_folder_on_a_full_disk_is_not_opened() {
    let mut cluster = Cluster::bootstrapped(43, NO_SNAPSHOTS);
    cluster.crash(0);
    let files = cluster.files(0).clone();
    files.set_capacity(Some(0));
    let config = StorageConfig::new("/data");
    let opened = Durable::open(files, config, "control", ReplicaId(1));
    let error = opened
        .map(|_| ())
        .expect_err("the disk is full")
        .to_string();
    assert!(Fault::Full(0).matches_error(&error), "{error}");
}

async fn start(files: &MemoryFileSystem, folder: &TempDir) -> ControlHandle {
    let text = format!(
        "name = \"control-1\"\nzone = \"hall-a\"\nregion = \"north\"\ndata_folder = \"{}\"\n\
         [listen]\npeer = \"127.0.0.1:0\"\nservice = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n",
        folder.path().display()
    );
    let settings = Settings::parse(Path::new("s.toml"), &text, Overrides::default());
    let log = logging::logger(slog::Level::Error);
    let started = start_on(files.clone(), settings.expect("valid"), log).await;
    started.expect("starts")
}

async fn ask(replica: &ControlHandle, body: RequestBody) -> ReplyBody {
    let reply = request_any(&[replica.addresses().service], &body, TIMEOUT).await;
    reply.expect("an answer in time")
}

async fn status(replica: &ControlHandle) -> GroupStatus {
    match ask(replica, RequestBody::GroupStatus).await {
        ReplyBody::GroupStatus(status) => status,
        other => panic!("{other:?}"),
    }
}

/// A group of one, so that every acknowledgement depends on its own disk, with bundle version 2.
async fn group_of_one(files: &MemoryFileSystem, folder: &TempDir) -> ControlHandle {
    let replica = start(files, folder).await;
    let request = BootstrapRequest {
        group: 7,
        voters: vec![status(&replica).await.replica],
        bundle: signed(1, 1),
    };
    let done = ask(&replica, RequestBody::Bootstrap(request)).await;
    assert_eq!(done, ReplyBody::Done);
    let reply = ask(&replica, RequestBody::Publish(signed(2, 1))).await;
    assert!(is_accepted(&reply), "{reply:?}");
    replica
}

/// The same fault on the driver of the process.
#[tokio::test(flavor = "multi_thread")]
async fn replica_stops_when_a_sync_fails() {
    let fault = Fault::Sync(0);
    let folder = TempDir::new().expect("a temporary folder");
    let files = MemoryFileSystem::new();
    let mut replica = group_of_one(&files, &folder).await;
    fault.inject(&files);
    let service = replica.addresses().service;
    let mut client = ControlClient::connect(service).await.expect("connects");
    let asked = client.request(RequestBody::Publish(signed(3, 1)), TIMEOUT);
    // `stopped` must run for the connections to be closed, as in the process.
    let (answer, ended) = tokio::join!(asked, timeout(TIMEOUT, replica.stopped()));
    assert!(answer.is_err(), "acknowledged: {answer:?}");
    let error = ended.expect("it ends").expect_err("by a failure");
    assert!(matches!(error, RunError::Storage(_)), "{error}");
    let text = error.to_string();
    let path = folder.path().display().to_string();
    assert!(text.contains(&path) && text.contains("/log-"), "{text}");
    files.crash(1);
    let restarted = start(&files, &folder).await;
    expect_version_2(&restarted).await;
}

/// On the driver of the process a full disk acknowledges nothing, does not end the replica, and is over once
/// there is space; the replica may also lose power meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn replica_waits_while_its_disk_is_full() {
    for loses_power in [false, true] {
        let folder = TempDir::new().expect("a temporary folder");
        let files = MemoryFileSystem::new();
        let mut replica = group_of_one(&files, &folder).await;
        Fault::Full(0).inject(&files);
        let service = replica.addresses().service;
        let mut client = ControlClient::connect(service).await.expect("connects");
        let asked = client.request(RequestBody::Publish(signed(3, 1)), TIMEOUT);
        let answer = asked.await.expect("an answer");
        assert!(matches!(answer, ReplyBody::Unavailable(_)), "{answer:?}");
        let ended = timeout(Duration::from_secs(1), replica.stopped()).await;
        assert!(ended.is_err(), "ended: {ended:?}");
        if loses_power {
            files.crash(1);
            files.set_capacity(None);
            // The folder's lock is released once the first replica has ended by its failed file.
            let ended = timeout(TIMEOUT, replica.stopped()).await;
            ended.expect("it ends").expect_err("its files are gone");
            replica = start(&files, &folder).await;
        } else {
            files.set_capacity(None);
        }
        expect_version_2(&replica).await;
    }
}

/// Checks that version 2 was kept: a later version is accepted, perhaps after an election.
async fn expect_version_2(replica: &ControlHandle) {
    let publishing = async {
        loop {
            let reply = ask(replica, RequestBody::Publish(signed(2, 1))).await;
            if !matches!(reply, ReplyBody::Unavailable(_)) {
                return reply;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let reply = timeout(TIMEOUT, publishing).await.expect("in time");
    assert!(
        is_accepted(&reply),
        "an accepted bundle was lost: {reply:?}"
    );
}

fn is_accepted(reply: &ReplyBody) -> bool {
    matches!(reply, ReplyBody::Publish(PublishReply::Accepted { .. }))
}
