//! Three replicas with real sockets and disks in one process.

mod support;

use bramblewheel_control::StartError;
use bramblewheel_protocol::codec::{LENGTH_PREFIX, MAX_CONTROL_FRAME, encode, read_frame};
use bramblewheel_protocol::control::{
    BundleUpdate, ControlReply, ControlRequest, OperationReply, PublishReply, ReplaceRequest,
    ReplyBody, RequestBody,
};
use bramblewheel_protocol::request_any;
use std::net::SocketAddr;
use std::time::Duration;
use support::processes::{Group, TIMEOUT, get, group_status, start, start_with, unix_millis};
use support::{claim, poll, registration, signed};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bootstraps, publishes, polls and claims, with every replica restarted on other ports in between.
#[tokio::test(flavor = "multi_thread")]
async fn group_keeps_its_state_through_planned_restarts() {
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
    assert_eq!(live, ["k-1"], "its own registration must be sent once");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_is_replaced_and_folder_of_a_running_replica_is_locked() {
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
    let new_replica = start(group.folders[2].path(), 2).await.expect("starts");
    let new_address = new_replica.addresses().service;
    let replacement = group_status(new_address).await.replica;
    assert_ne!(replacement.replica, lost);
    let replace = RequestBody::Replace(ReplaceRequest { lost, replacement });
    let survivors = group.addresses();
    let reply = request_any(&survivors, &replace, TIMEOUT).await;
    assert_eq!(reply.expect("an answer"), ReplyBody::Done);
    let status = group_status(new_address).await;
    assert_eq!(status.group, Some(7));
    assert_eq!((status.voters.len(), status.learners.len()), (3, 0));
    group.replicas[2] = Some(new_replica);
    group.stop(0).await;
    assert!(matches!(
        group.publish(3, 1).await,
        PublishReply::Accepted { .. }
    ));
}

/// Bytes that are not a message are refused, with a reason on the service listener, and the replica goes on.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_are_refused_and_change_nothing() {
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
        let ended = timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;
        let _ = ended.expect("the replica ends the connection");
        assert_eq!(
            rest, b"",
            "a replica must send nothing to its peer listener's clients"
        );
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
    let reply = timeout(TIMEOUT, read_frame(&mut stream, MAX_CONTROL_FRAME)).await;
    let reply: Option<ControlReply> = reply.expect("in time").expect("a valid reply");
    match reply.expect("a reply before the end").body {
        ReplyBody::Rejected(reason) => reason,
        other => panic!("{other:?}"),
    }
}

/// A replica with an empty folder and the addresses of a group offers itself to the leader.
#[tokio::test(flavor = "multi_thread")]
async fn spare_offers_itself_to_the_leader() {
    let group = Group::bootstrapped().await;
    let folder = TempDir::new().expect("a temporary folder");
    let addresses = group.addresses();
    let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    let extra_settings = format!("[spare]\noffer_to = [{}]\n", quoted.join(", "));
    let spare = start_with(folder.path(), 3, &extra_settings)
        .await
        .expect("starts");
    let offered = async {
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
    timeout(TIMEOUT, offered)
        .await
        .expect("the leader must record the offer in time");
    let status = group_status(spare.addresses().service).await;
    assert_eq!(
        status.group, None,
        "a spare must not join a group by itself"
    );
}
