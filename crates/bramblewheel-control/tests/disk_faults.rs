//! A failed sync or a full disk stops the replica with an error that names the file, and nothing that is not
//! synced is acknowledged.

mod support;

use bramblewheel_control::node::Durable;
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
    let mut stopped = 0;
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
            if let Some(error) = cluster.failure(victim) {
                assert!(fault.matches_error(error), "{context}: {error}");
                stopped += 1;
            }
            grants += granted.len();
            expect_all_kept(&mut cluster, &granted, &context);
        }
    }
    assert!(stopped >= 12, "{stopped} of 16 disks failed in time");
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
        let error = cluster.failure(voter).expect("its disk has failed");
        assert!(fault.matches_error(error), "{error}");
        assert_eq!(cluster.leader(), None, "{fault:?}");
        let remaining = cluster.node(other).replica();
        assert_ne!(remaining.role(), bramblewheel_replication::Role::Leader);
        cluster.files(voter).set_capacity(None);
        cluster.restart(voter);
        cluster.settle();
    }
}

/// While the disk is full the replica does not start, and the error names the file that can't be written.
#[test]
fn replica_does_not_start_on_a_full_disk() {
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

/// Uses the driver of the process with a group of one, so that every acknowledgement depends on its own disk.
#[tokio::test(flavor = "multi_thread")]
async fn replica_stops_when_its_disk_fails() {
    for fault in [Fault::Sync(0), Fault::Full(0)] {
        let folder = TempDir::new().expect("a temporary folder");
        let files = MemoryFileSystem::new();
        let mut replica = start(&files, &folder).await;
        let request = BootstrapRequest {
            group: 7,
            voters: vec![status(&replica).await.replica],
            bundle: signed(1, 1),
        };
        let done = ask(&replica, RequestBody::Bootstrap(request)).await;
        assert_eq!(done, ReplyBody::Done);
        let reply = ask(&replica, RequestBody::Publish(signed(2, 1))).await;
        assert!(is_accepted(&reply), "{reply:?}");
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
        files.set_capacity(None);
        let restarted = start(&files, &folder).await;
        let reply = ask(&restarted, RequestBody::Publish(signed(2, 1))).await;
        assert!(
            is_accepted(&reply),
            "an accepted bundle was lost: {reply:?}"
        );
    }
}

fn is_accepted(reply: &ReplyBody) -> bool {
    matches!(reply, ReplyBody::Publish(PublishReply::Accepted { .. }))
}
