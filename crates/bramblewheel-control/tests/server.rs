//! Three replicas with real sockets and disks in one process.

mod support;

use bramblewheel_control::settings::Overrides;
use bramblewheel_control::{ControlHandle, Settings, StartError, logging};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::codec::{LENGTH_PREFIX, MAX_CONTROL_FRAME, encode, read_frame};
use bramblewheel_protocol::control::{
    BootstrapRequest, BundleUpdate, ControlReply, ControlRequest, GroupStatus, OperationReply,
    OperationRequest, PollReply, PollRequest, PublishReply, ReplaceRequest, ReplyBody, RequestBody,
    Unavailable,
};
use bramblewheel_protocol::{ControlClient, request_any};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{claim, poll, registration, signed};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(60);

/// Metrics of a replica and their kinds, by name: dashboards and alerts of the users hold them.
const METRICS: [&str; 16] = [
    "bramblewheel_control_applied_index gauge",
    "bramblewheel_control_bundle_deltas_computed counter",
    "bramblewheel_control_bundle_deltas_sent counter",
    "bramblewheel_control_bundle_version gauge",
    "bramblewheel_control_daemons gauge",
    "bramblewheel_control_leader gauge",
    "bramblewheel_control_operations_decided counter",
    "bramblewheel_control_operations_kept gauge",
    "bramblewheel_control_polls_answered counter",
    "bramblewheel_control_polls_held gauge",
    "bramblewheel_control_proposals counter",
    "bramblewheel_control_quorum gauge",
    "bramblewheel_control_snapshot_index gauge",
    "bramblewheel_control_spares gauge",
    "bramblewheel_control_term gauge",
    "bramblewheel_control_whole_bundles_sent counter",
];

struct Group {
    folders: Vec<TempDir>,
    replicas: Vec<Option<ControlHandle>>,
}

async fn start(folder: &Path, number: usize) -> Result<ControlHandle, StartError> {
    start_with(folder, number, "").await
}

/// Starts with more settings at the end of the file.
async fn start_with(folder: &Path, number: usize, more: &str) -> Result<ControlHandle, StartError> {
    let text = format!(
        "name = \"control-{number}\"\nzone = \"hall-a\"\nregion = \"north\"\n\
         data_folder = \"{}\"\n[listen]\npeer = \"127.0.0.1:0\"\nservice = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\n[timing]\nheartbeat_ms = 50\nelection_ms = 400\n\
         daemon_lease_ms = 3000\n[storage]\nsnapshot_interval = 8\n{more}",
        folder.display()
    );
    let settings = Settings::parse(Path::new("s.toml"), &text, Overrides::default());
    bramblewheel_control::start(
        settings.expect("valid"),
        logging::logger(slog::Level::Debug),
    )
    .await
}

impl Group {
    async fn start() -> Self {
        let mut group = Self {
            folders: Vec::new(),
            replicas: Vec::new(),
        };
        for number in 0..3 {
            let folder = TempDir::new().expect("a temporary folder");
            let replica = start(folder.path(), number).await.expect("starts");
            group.folders.push(folder);
            group.replicas.push(Some(replica));
        }
        group
    }

    async fn bootstrapped() -> Self {
        let group = Self::start().await;
        let mut voters = Vec::new();
        for address in group.addresses() {
            voters.push(group_status(address).await.replica);
        }
        let request = BootstrapRequest {
            group: 7,
            voters,
            bundle: signed(1, 1),
        };
        for address in group.addresses() {
            let body = RequestBody::Bootstrap(request.clone());
            let reply = request_any(&[address], &body, PATIENCE).await;
            assert_eq!(reply.expect("an answer"), ReplyBody::Done);
        }
        group
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let running = self.replicas.iter().flatten();
        running.map(|replica| replica.addresses().service).collect()
    }

    async fn ask(&self, body: RequestBody) -> ReplyBody {
        let reply = request_any(&self.addresses(), &body, PATIENCE).await;
        reply.expect("an answer within the time")
    }

    /// Asks as daemons do: again while nothing is decided.
    async fn operate(&self, requests: &[OperationRequest]) -> Vec<OperationReply> {
        loop {
            match self.ask(RequestBody::Operations(requests.to_vec())).await {
                ReplyBody::Operations(replies) => {
                    if !replies.contains(&OperationReply::Undecided) {
                        return replies;
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }

    async fn publish(&self, version: u64, retry_tokens: u32) -> PublishReply {
        match self
            .ask(RequestBody::Publish(signed(version, retry_tokens)))
            .await
        {
            ReplyBody::Publish(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    async fn poll(&self, request: PollRequest) -> PollReply {
        match self.ask(RequestBody::Poll(Box::new(request))).await {
            ReplyBody::Poll(reply) => *reply,
            other => panic!("{other:?}"),
        }
    }

    async fn stop(&mut self, number: usize) {
        let mut replica = self.replicas[number].take().expect("runs");
        replica.stop();
        let ended = timeout(PATIENCE, replica.stopped()).await;
        ended.expect("stops").expect("by a planned stop");
    }

    async fn restart(&mut self, number: usize) {
        self.stop(number).await;
        let folder = self.folders[number].path();
        self.replicas[number] = Some(start(folder, number).await.expect("starts again"));
    }
}

async fn group_status(address: SocketAddr) -> GroupStatus {
    let reply = request_any(&[address], &RequestBody::GroupStatus, PATIENCE).await;
    match reply.expect("an answer") {
        ReplyBody::GroupStatus(status) => status,
        other => panic!("{other:?}"),
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.expect("after 1970").as_millis()).expect("in this age")
}

/// Bootstrap, publish, poll and claim, with every replica restarted on other ports in between.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_serves_through_planned_restarts() {
    let mut group = Group::bootstrapped().await;
    let accepted = group.publish(2, 5).await;
    assert!(
        matches!(accepted, PublishReply::Accepted { .. }),
        "{accepted:?}"
    );
    let minted = unix_millis();
    let claims = [claim("a", 1, minted), claim("a", 2, minted)];
    let expected = [OperationReply::Granted, OperationReply::Held];
    assert_eq!(group.operate(&claims).await, expected);
    for number in 0..3 {
        group.restart(number).await;
        assert_eq!(group.publish(2, 5).await, accepted);
        assert_eq!(group.operate(&claims).await, expected);
    }
    let winner = signed(2, 5).digest;
    assert_eq!(group.publish(2, 6).await, PublishReply::Conflict { winner });
    let kassa = poll(registration("k-1", "kassa", 1), 0, &["kassa"]);
    let first = group.poll(kassa.clone()).await;
    let whole = BundleUpdate::Whole(signed(2, 5));
    assert_eq!(first.bundle, Some(whole));
    let mut again = kassa;
    again.bundle_version = signed(2, 5).version;
    again.directory_revision = first.directory_revision;
    again.position = first.position;
    let second = group.poll(again).await;
    let live = first.live.iter().chain(&second.live);
    let live: Vec<&str> = live.map(|entry| entry.endpoint.name()).collect();
    assert_eq!(live, ["k-1"], "its own registration, told once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_replaced_and_the_folder_of_a_running_replica_is_locked() {
    let mut group = Group::bootstrapped().await;
    let folder = group.folders[2].path().to_owned();
    let second = start(&folder, 2).await;
    assert!(matches!(second, Err(StartError::Locked { .. })));
    assert!(matches!(
        group.publish(2, 1).await,
        PublishReply::Accepted { .. }
    ));
    let lost = group.replicas[2].as_ref().expect("runs").replica();
    group.stop(2).await;
    group.folders[2] = TempDir::new().expect("a temporary folder");
    let fresh = start(group.folders[2].path(), 2).await.expect("starts");
    let fresh_address = fresh.addresses().service;
    let replacement = group_status(fresh_address).await.replica;
    assert_ne!(replacement.replica, lost);
    let replace = RequestBody::Replace(ReplaceRequest { lost, replacement });
    let survivors = group.addresses();
    let reply = request_any(&survivors, &replace, PATIENCE).await;
    assert_eq!(reply.expect("an answer"), ReplyBody::Done);
    let status = group_status(fresh_address).await;
    assert_eq!(status.group, Some(7));
    assert_eq!((status.voters.len(), status.learners.len()), (3, 0));
    group.replicas[2] = Some(fresh);
    group.stop(0).await;
    assert!(matches!(
        group.publish(3, 1).await,
        PublishReply::Accepted { .. }
    ));
}

/// What is not a message is refused with a reason where one can be given, and the replica goes on.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_bytes_are_refused_and_change_nothing() {
    let group = Group::bootstrapped().await;
    let addresses = group.replicas[0].as_ref().expect("runs").addresses();
    let request = ControlRequest {
        id: 1,
        body: RequestBody::Publish(signed(2, 1)),
    };
    let whole = encode(&request, MAX_CONTROL_FRAME).expect("fits");
    let oversize = u32::try_from(MAX_CONTROL_FRAME + 1).expect("fits");
    let mut not_cbor = 16_u32.to_be_bytes().to_vec();
    not_cbor.extend([0xff; 16]);
    let mut other_type = encode(&"a text", 100).expect("fits");
    other_type.extend(&whole);
    let cases: [(Vec<u8>, &str); 5] = [
        (oversize.to_be_bytes().to_vec(), "over the limit"),
        (not_cbor, "not a valid message"),
        (other_type, "not a valid message"),
        (whole[..whole.len() / 2].to_vec(), "connection"),
        (whole[..LENGTH_PREFIX - 1].to_vec(), "connection"),
    ];
    for (bytes, expected) in &cases {
        let reason = refusal(addresses.service, bytes).await;
        assert!(reason.contains(expected), "{expected}: {reason}");
    }
    for bytes in cases.iter().map(|(bytes, _)| bytes).chain([&whole]) {
        let mut stream = TcpStream::connect(addresses.peer).await.expect("connects");
        stream.write_all(bytes).await.expect("sent");
        stream.shutdown().await.expect("closed");
        let mut rest = Vec::new();
        let ended = timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
        let _ = ended.expect("the replica ends the connection");
        assert_eq!(rest, b"", "a replica says nothing there");
    }
    assert_eq!(get(addresses.admin, "/healthz").await.0, 200);
    let accepted = group.publish(2, 1).await;
    assert!(
        matches!(accepted, PublishReply::Accepted { .. }),
        "{accepted:?}"
    );
}

async fn refusal(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(bytes).await.expect("sent");
    stream.shutdown().await.expect("closed");
    let reply = timeout(PATIENCE, read_frame(&mut stream, MAX_CONTROL_FRAME)).await;
    let reply: Option<ControlReply> = reply.expect("in time").expect("a valid reply");
    match reply.expect("a reply before the end").body {
        ReplyBody::Rejected(reason) => reason,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_admin_listener_tells_readiness_and_metrics() {
    let lone = Group::start().await;
    let admin = lone.replicas[0].as_ref().expect("runs").addresses().admin;
    assert_eq!(
        get(admin, "/readyz").await,
        (503, "not yet in a group\n".to_owned())
    );
    let mut group = Group::bootstrapped().await;
    group.publish(2, 1).await;
    let admin = group.replicas[1].as_ref().expect("runs").addresses().admin;
    until_ready(admin).await;
    // The leader has committed the bundle; this replica may hear of it a heartbeat later.
    let text = until_holds(admin, "/metrics", "bramblewheel_control_bundle_version 2\n").await;
    assert!(text.ends_with("# EOF\n"), "{text}");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut types: Vec<&str> = types.collect();
    types.sort_unstable();
    assert_eq!(types, METRICS);
    for number in [0, 2] {
        group.stop(number).await;
    }
    until(admin, "/readyz", (503, "no quorum\n")).await;
    let service = group.addresses()[0];
    let mut client = ControlClient::connect(service).await.expect("connects");
    let body = RequestBody::Poll(Box::new(poll(registration("k-1", "kassa", 1), 2, &[])));
    let reply = client.request(body, PATIENCE).await.expect("an answer");
    assert_eq!(reply, ReplyBody::Unavailable(Unavailable::NoQuorum));
}

/// A replica with an empty folder and the addresses of a group offers itself to the leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_spare_makes_itself_known_to_the_leader() {
    let group = Group::bootstrapped().await;
    let folder = TempDir::new().expect("a temporary folder");
    let addresses = group.addresses();
    let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    let more = format!("[spare]\noffer_to = [{}]\n", quoted.join(", "));
    let spare = start_with(folder.path(), 3, &more).await.expect("starts");
    let known = async {
        loop {
            for replica in group.replicas.iter().flatten() {
                let (_, text) = get(replica.addresses().admin, "/metrics").await;
                if text.contains("bramblewheel_control_spares 1\n") {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, known).await.expect("the leader knows it");
    let status = group_status(spare.addresses().service).await;
    assert_eq!(status.group, None, "it joins nothing by itself");
}

/// A client that never ends its message head, one that never begins it, and one that is idle after
/// an answer all lose their connections.
#[tokio::test(flavor = "multi_thread")]
async fn slow_clients_of_the_admin_listener_are_let_go() {
    let folder = TempDir::new().expect("a temporary folder");
    let more = "[admin]\nheader_timeout_ms = 300\n";
    let replica = start_with(folder.path(), 0, more).await.expect("starts");
    let admin = replica.addresses().admin;
    let whole = "GET /healthz HTTP/1.1\r\nhost: replica\r\n\r\n";
    for sent in ["GET /healthz HTTP/1.1\r\nhost: rep", "", whole] {
        let mut stream = TcpStream::connect(admin).await.expect("connects");
        stream.write_all(sent.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        let ended = timeout(PATIENCE / 6, stream.read_to_end(&mut answer)).await;
        assert!(ended.is_ok(), "still open after {sent:?}");
        let is_answered = answer.starts_with(b"HTTP/1.1 200");
        assert_eq!(is_answered, sent == whole, "{sent:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_admin_listener_are_capped() {
    let folder = TempDir::new().expect("a temporary folder");
    let more = "[admin]\nconnections = 2\n";
    let replica = start_with(folder.path(), 0, more).await.expect("starts");
    let admin = replica.addresses().admin;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(admin).await.expect("connects");
        let request = b"GET /healthz HTTP/1.1\r\nhost: replica\r\n\r\n";
        stream.write_all(request).await.expect("sent");
        let mut byte = [0];
        stream.read_exact(&mut byte).await.expect("an answer");
        open.push(stream);
    }
    let mut third = TcpStream::connect(admin).await.expect("connects");
    let mut answer = Vec::new();
    let ended = timeout(PATIENCE / 6, third.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "a third connection stays open");
    assert_eq!(answer, b"");
    drop(open);
    let served = async {
        loop {
            let mut stream = TcpStream::connect(admin).await.expect("connects");
            let request = b"GET /healthz HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n";
            // One that is closed at once may refuse the bytes.
            let _ = stream.write_all(request).await;
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            if answer.starts_with(b"HTTP/1.1 200") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, served).await.expect("room again");
}

async fn until_ready(admin: SocketAddr) {
    until(admin, "/readyz", (200, "ready\n")).await;
}

/// Asks until the answer is as expected.
async fn until(admin: SocketAddr, path: &str, expected: (u16, &str)) {
    let asking = async {
        loop {
            let (status, text) = get(admin, path).await;
            if (status, text.as_str()) == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, asking).await.expect("in time");
}

/// Asks until an answer of success holds a text; returns the answer.
async fn until_holds(admin: SocketAddr, path: &str, expected: &str) -> String {
    let asking = async {
        loop {
            let (status, text) = get(admin, path).await;
            assert_eq!(status, 200, "{text}");
            if text.contains(expected) {
                return text;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, asking).await.expect("in time")
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let request = format!("GET {path} HTTP/1.1\r\nhost: replica\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let read = timeout(PATIENCE, stream.read_to_string(&mut answer)).await;
    read.expect("in time").expect("text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("has a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    (status.expect("a status"), body.to_owned())
}
