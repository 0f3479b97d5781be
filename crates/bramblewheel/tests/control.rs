//! Commands that send requests to control replicas, run against fake replicas.

mod support;

use bramblewheel_protocol::control::{
    BootstrapRequest, DaemonStatus, GroupStatus, LogPosition, PublishReply, Registration,
    ReplicaAddress, ReplyBody, RequestBody, SignedBundle, Unavailable,
};
use bramblewheel_types::{BundleDigest, BundleVersion, DaemonId, Millis, RegionName, ZoneName};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use support::{Run, fake_replica, run_in, runtime, signed_example};
use tokio::runtime::Runtime;

fn publish(control: &str, timeout: &str) -> Run {
    let folder = signed_example();
    let arguments = ["bundle", "publish", "torgnett.signed", "--control", control];
    run_in(
        folder.path(),
        &[&arguments[..], &["--timeout", timeout]].concat(),
    )
}

fn replica_with_publish_reply(runtime: &Runtime, reply: PublishReply) -> SocketAddr {
    fake_replica(runtime, move |body| {
        assert!(matches!(body, RequestBody::Publish(_)));
        Some(ReplyBody::Publish(reply.clone()))
    })
}

fn accepted() -> PublishReply {
    PublishReply::Accepted {
        position: LogPosition { index: 9, term: 2 },
    }
}

#[test]
fn publish_goes_to_the_leader_and_is_sent_again_after_a_lost_reply() {
    let runtime = runtime();
    let received: Arc<Mutex<Vec<SignedBundle>>> = Arc::default();
    let seen = Arc::clone(&received);
    let leader = fake_replica(&runtime, move |body| {
        let RequestBody::Publish(signed) = body else {
            return None;
        };
        let mut seen = seen.lock().expect("not poisoned");
        seen.push(signed);
        // The first reply is lost.
        (seen.len() > 1).then(|| ReplyBody::Publish(accepted()))
    });
    let follower = fake_replica(&runtime, move |_| {
        let reason = Unavailable::NotLeader(Some(leader));
        Some(ReplyBody::Unavailable(reason))
    });
    let run = publish(&follower.to_string(), "30");
    assert_eq!(run.status, 0, "{}", run.err);
    assert!(
        run.out.contains("result=accepted index=9 term=2"),
        "{}",
        run.out
    );
    let received = received.lock().expect("not poisoned");
    assert_eq!(received.len(), 2);
    assert_eq!(received[0], received[1]);
    assert_eq!(received[0].signatures.len(), 2);
}

#[test]
fn a_refused_publish_exits_with_status_1_and_prints_the_reason() {
    let winner = BundleDigest([7; 32]);
    let current = BundleVersion(5);
    let cases = [
        (
            PublishReply::Conflict { winner },
            format!("result=conflict winner={winner}"),
        ),
        (
            PublishReply::Outdated { current },
            "result=outdated current=5".to_owned(),
        ),
        (
            PublishReply::ParentMismatch {
                current,
                digest: None,
            },
            "result=parent-mismatch current=5 current_digest=-".to_owned(),
        ),
        (
            PublishReply::BadSignatures("1 of 2".to_owned()),
            "result=bad-signatures reason=\"1 of 2\"".to_owned(),
        ),
    ];
    let runtime = runtime();
    for (reply, expected) in cases {
        let address = replica_with_publish_reply(&runtime, reply);
        let run = publish(&address.to_string(), "30");
        assert_eq!(run.status, 1, "{}", run.err);
        assert!(run.out.trim_end().ends_with(&expected), "{}", run.out);
    }
}

#[test]
fn publish_exits_with_status_3_without_a_quorum_and_4_after_lost_replies() {
    let runtime = runtime();
    let closes_connections = fake_replica(&runtime, |_| None);
    let undecided = publish(&closes_connections.to_string(), "1");
    assert_eq!(undecided.status, 4, "{}", undecided.err);
    assert!(undecided.out.contains("result=undecided"));
    let no_quorum = fake_replica(&runtime, |_| {
        Some(ReplyBody::Unavailable(Unavailable::NoQuorum))
    });
    let unreachable = publish(&no_quorum.to_string(), "1");
    assert_eq!((unreachable.status, &*unreachable.out), (3, ""));
    assert!(unreachable.err.contains("no quorum"), "{}", unreachable.err);
}

#[test]
fn status_commands_print_one_line_per_item() {
    let runtime = runtime();
    let daemon = |name: &str| DaemonStatus {
        registration: Registration {
            daemon: DaemonId::new(name).expect("valid name"),
            incarnation: 0xab,
            zone: ZoneName::new("bergen-hall").expect("valid name"),
            region: RegionName::new("vestkyst").expect("valid name"),
            endpoint: None,
        },
        bundle_version: BundleVersion(4),
        silent_for: Millis(120),
    };
    let daemons = vec![daemon("b"), daemon("a")];
    let address = fake_replica(&runtime, move |body| match body {
        RequestBody::FleetStatus => Some(ReplyBody::FleetStatus(daemons.clone())),
        RequestBody::BundleStatus => Some(ReplyBody::BundleStatus(None)),
        RequestBody::GroupStatus => Some(ReplyBody::GroupStatus(status_of(1, None))),
        _ => None,
    });
    let folder = signed_example();
    let control = address.to_string();
    let status = |group: &str| run_in(folder.path(), &[group, "status", "--control", &control]);
    let line = |name: &str| {
        format!(
            "daemon={name} incarnation=00000000000000ab region=vestkyst zone=bergen-hall \
             endpoint=- service=- address=- draining=- bundle_version=4 silent_ms=120\n"
        )
    };
    let fleet = status("fleet");
    assert_eq!((fleet.status, fleet.out), (0, line("a") + &line("b")));
    assert_eq!(status("bundle").out, "version=-\n");
    let group = status("control").out;
    assert!(
        group.contains(" replica=0000000000000001 group=- role=uninitialized "),
        "{group}"
    );
}

fn status_of(id: u64, group: Option<u64>) -> GroupStatus {
    let port = u16::try_from(id).expect("the id fits in a port number");
    GroupStatus {
        replica: ReplicaAddress {
            replica: id,
            name: format!("control-{id}"),
            peer: SocketAddr::from(([127, 0, 0, 1], port)),
            service: SocketAddr::from(([127, 0, 0, 1], port)),
        },
        group,
        term: 0,
        leader: None,
        position: LogPosition::default(),
        voters: Vec::new(),
        learners: Vec::new(),
        has_quorum: false,
    }
}

/// A fake replica that can be bootstrapped, and the bootstrap requests that it received.
fn bootstrappable_replica(
    runtime: &Runtime,
    id: u64,
    group: Option<u64>,
) -> (SocketAddr, Arc<Mutex<Vec<BootstrapRequest>>>) {
    let sent: Arc<Mutex<Vec<BootstrapRequest>>> = Arc::default();
    let seen = Arc::clone(&sent);
    let address = fake_replica(runtime, move |body| match body {
        RequestBody::GroupStatus => {
            let joined = seen.lock().expect("not poisoned").first().map(|r| r.group);
            Some(ReplyBody::GroupStatus(status_of(id, joined.or(group))))
        }
        RequestBody::Bootstrap(request) => {
            seen.lock().expect("not poisoned").push(request);
            Some(ReplyBody::Done)
        }
        _ => None,
    });
    (address, sent)
}

fn bootstrap(replicas: &[SocketAddr], bundle: &str) -> Run {
    let folder = signed_example();
    let mut arguments = vec!["control".to_owned(), "bootstrap".to_owned()];
    for replica in replicas {
        arguments.extend(["--replica".to_owned(), replica.to_string()]);
    }
    arguments.extend(["--bundle".to_owned(), bundle.to_owned()]);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    run_in(folder.path(), &arguments)
}

#[test]
fn bootstrap_sends_the_same_request_to_all_replicas_and_can_be_repeated() {
    let runtime = runtime();
    let replicas = [1, 2, 3].map(|id| bootstrappable_replica(&runtime, id, None));
    let mut addresses: Vec<SocketAddr> = replicas.iter().map(|(address, _)| *address).collect();
    for _ in 0..2 {
        let run = bootstrap(&addresses, "torgnett.signed");
        assert_eq!(run.status, 0, "{}", run.err);
        let expected = "voters=control-1,control-2,control-3 version=1";
        assert!(run.out.contains(expected), "{}", run.out);
        addresses.reverse();
    }
    let requests: Vec<BootstrapRequest> = replicas
        .iter()
        .flat_map(|(_, sent)| sent.lock().expect("not poisoned").clone())
        .collect();
    assert_eq!(requests.len(), 6);
    assert!(requests.iter().all(|request| *request == requests[0]));
}

#[test]
fn bootstrap_refuses_members_of_other_groups_duplicate_replicas_and_unsigned_bundles() {
    let runtime = runtime();
    let (fresh, sent) = bootstrappable_replica(&runtime, 1, None);
    let (in_other_group, _) = bootstrappable_replica(&runtime, 2, Some(77));
    let (duplicate, _) = bootstrappable_replica(&runtime, 1, None);
    assert_eq!(
        bootstrap(&[fresh, in_other_group], "torgnett.signed").status,
        1
    );
    assert_eq!(bootstrap(&[fresh, duplicate], "torgnett.signed").status, 1);
    assert_eq!(bootstrap(&[], "torgnett.signed").status, 2);
    assert_eq!(bootstrap(&[fresh], "torgnett.toml").status, 2);
    assert!(sent.lock().expect("not poisoned").is_empty());
}

#[test]
fn replace_prints_the_lost_and_the_new_replica_and_refuses_wrong_ids() {
    let runtime = runtime();
    let (spare, _) = bootstrappable_replica(&runtime, 4, None);
    let leader = fake_replica(&runtime, |body| match body {
        RequestBody::Replace(request) if request.lost != 2 => {
            Some(ReplyBody::Rejected("not a member".to_owned()))
        }
        RequestBody::Replace(request) => {
            assert_eq!(request.replacement, status_of(4, None).replica);
            Some(ReplyBody::Done)
        }
        _ => None,
    });
    let folder = signed_example();
    let (control, with) = (leader.to_string(), spare.to_string());
    let replace = |lost: &str| {
        let arguments = ["control", "replace", "--control", &control, "--lost", lost];
        run_in(
            folder.path(),
            &[&arguments[..], &["--with", &with]].concat(),
        )
    };
    let run = replace("0000000000000002");
    assert_eq!(run.status, 0, "{}", run.err);
    assert!(
        run.out
            .contains("lost=0000000000000002 replacement=0000000000000004")
    );
    assert_eq!(replace("0000000000000003").status, 1);
    assert_eq!(replace("0000000000000004").status, 1);
    assert_eq!(replace("2").status, 2);
}
