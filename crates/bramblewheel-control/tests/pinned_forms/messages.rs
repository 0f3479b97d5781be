//! Messages between daemons or operators and replicas, except those on routing.

use crate::forms::Comparison;
use crate::support::{answer, claim, operation, poll, registration};
use bramblewheel_protocol::control::{
    BootstrapRequest, BundleSignature, BundleUpdate, ControlReply, ControlRequest, DaemonStatus,
    DirectoryEntry, GroupStatus, LogPosition, OperationAction, OperationAnswer, OperationReply,
    OperatorChange, PollReply, PublishReply, ReplaceRequest, ReplicaAddress, ReplyBody,
    RequestBody, SignedBundle, SignedBundleDelta, Unavailable,
};
use bramblewheel_types::{BundleDigest, BundleVersion, EndpointId, Millis, ServiceName, ZoneName};
use serde_bytes::ByteBuf;

pub const POSITION: LogPosition = LogPosition { index: 12, term: 3 };

pub fn bundle() -> SignedBundle {
    SignedBundle {
        version: BundleVersion(7),
        digest: BundleDigest([0xab; 32]),
        bytes: vec![1, 2, 3],
        signatures: vec![signature()],
        expected_parent: Some(BundleDigest([0xcd; 32])),
    }
}

fn signature() -> BundleSignature {
    BundleSignature {
        operator: "anna".to_owned(),
        signature: vec![9, 8, 7],
    }
}

pub fn address(replica: u64) -> ReplicaAddress {
    ReplicaAddress {
        replica,
        name: format!("control-{replica}"),
        peer: ([10, 0, 0, 1], 7000).into(),
        service: ([10, 0, 0, 1], 7001).into(),
    }
}

pub fn request(comparison: &mut Comparison, name: &str, body: RequestBody) {
    comparison.frame(&format!("request.{name}"), &ControlRequest { id: 5, body });
}

pub fn reply(comparison: &mut Comparison, name: &str, body: ReplyBody) {
    comparison.frame(&format!("reply.{name}"), &ControlReply { id: 5, body });
}

#[test]
fn requests_keep_their_form() {
    let mut comparison = Comparison::default();
    let with = &mut comparison;
    let full_poll = poll(registration("kassa-1", "kassa", 4), 7, &["kassa", "pris"]);
    request(with, "poll", RequestBody::Poll(Box::new(full_poll)));
    let mut gateway = registration("gateway-1", "kassa", 4);
    gateway.endpoint = None;
    let gateway_poll = poll(gateway, 0, &[]);
    request(
        with,
        "poll.gateway",
        RequestBody::Poll(Box::new(gateway_poll)),
    );
    request(
        with,
        "operations",
        RequestBody::Operations(vec![
            claim("K-1", 2, 1_000),
            operation("K-2", 3, OperationAction::Complete(kept_answer())),
            operation("K-3", 4, OperationAction::Release),
            operation("K-4", 5, OperationAction::Status),
        ]),
    );
    request(with, "publish", RequestBody::Publish(bundle()));
    request(with, "bundle-status", RequestBody::BundleStatus);
    request(with, "fleet-status", RequestBody::FleetStatus);
    request(with, "group-status", RequestBody::GroupStatus);
    let bootstrap = BootstrapRequest {
        group: 77,
        voters: vec![address(1), address(2)],
        bundle: bundle(),
    };
    request(with, "bootstrap", RequestBody::Bootstrap(bootstrap));
    request(with, "replace", RequestBody::Replace(replacement()));
    comparison.finish();
}

pub fn replacement() -> ReplaceRequest {
    ReplaceRequest {
        lost: 2,
        replacement: address(9),
    }
}

fn kept_answer() -> OperationAnswer {
    OperationAnswer {
        failed: true,
        status: 409,
        body: Some(ByteBuf::from(b"taken".to_vec())),
    }
}

fn poll_reply(bundle: Option<BundleUpdate>) -> PollReply {
    PollReply {
        position: POSITION,
        operator_changes: vec![OperatorChange {
            head: vec![4, 5],
            rest_digest: [0x11; 32],
            signatures: vec![signature()],
        }],
        bundle,
        directory_revision: 6,
        directory_is_complete: true,
        live: vec![DirectoryEntry {
            endpoint: EndpointId::new("kassa-1").expect("a name"),
            service: ServiceName::new("kassa").expect("a name"),
            zone: ZoneName::new("hall-a").expect("a name"),
            address: ([10, 0, 0, 2], 9000).into(),
            draining: true,
        }],
        removed: vec![EndpointId::new("kassa-2").expect("a name")],
    }
}

#[test]
fn replies_keep_their_form() {
    let mut comparison = Comparison::default();
    let with = &mut comparison;
    let whole = poll_reply(Some(BundleUpdate::Whole(bundle())));
    reply(with, "poll.whole", ReplyBody::Poll(Box::new(whole)));
    let delta = poll_reply(Some(BundleUpdate::Delta(SignedBundleDelta {
        from: BundleVersion(6),
        version: BundleVersion(7),
        digest: BundleDigest([0xab; 32]),
        delta: vec![6, 6],
        signatures: vec![signature()],
    })));
    reply(with, "poll.delta", ReplyBody::Poll(Box::new(delta)));
    reply(
        with,
        "poll.none",
        ReplyBody::Poll(Box::new(poll_reply(None))),
    );
    reply(
        with,
        "operations",
        ReplyBody::Operations(vec![
            OperationReply::Granted,
            OperationReply::Completed(answer(201)),
            OperationReply::Held,
            OperationReply::Expired,
            OperationReply::Recorded,
            OperationReply::Absent,
            OperationReply::Undecided,
        ]),
    );
    reply(
        with,
        "bundle-status",
        ReplyBody::BundleStatus(Some(bundle())),
    );
    let daemon = DaemonStatus {
        registration: registration("kassa-1", "kassa", 4),
        bundle_version: BundleVersion(7),
        silent_for: Millis(250),
    };
    reply(with, "fleet-status", ReplyBody::FleetStatus(vec![daemon]));
    let group = GroupStatus {
        replica: address(1),
        group: Some(77),
        term: 3,
        leader: Some(1),
        position: POSITION,
        voters: vec![address(1)],
        learners: vec![address(9)],
        has_quorum: true,
    };
    reply(with, "group-status", ReplyBody::GroupStatus(group));
    reply(with, "done", ReplyBody::Done);
    reply(with, "rejected", ReplyBody::Rejected("why".to_owned()));
    comparison.finish();
}

#[test]
fn answers_to_a_publish_keep_their_form() {
    let mut comparison = Comparison::default();
    let answers = [
        ("accepted", PublishReply::Accepted { position: POSITION }),
        (
            "conflict",
            PublishReply::Conflict {
                winner: BundleDigest([1; 32]),
            },
        ),
        (
            "outdated",
            PublishReply::Outdated {
                current: BundleVersion(8),
            },
        ),
        (
            "parent",
            PublishReply::ParentMismatch {
                current: BundleVersion(8),
                digest: Some(BundleDigest([2; 32])),
            },
        ),
        ("signatures", PublishReply::BadSignatures("none".to_owned())),
        ("invalid", PublishReply::Invalid("why".to_owned())),
    ];
    for (name, answer) in answers {
        let name = format!("publish.{name}");
        reply(&mut comparison, &name, ReplyBody::Publish(answer));
    }
    comparison.finish();
}

#[test]
fn reasons_of_replicas_that_cannot_answer_keep_their_form() {
    let mut comparison = Comparison::default();
    let leader = ([10, 0, 0, 1], 7001).into();
    let reasons = [
        ("no-quorum", Unavailable::NoQuorum),
        ("not-leader", Unavailable::NotLeader(Some(leader))),
        ("no-leader", Unavailable::NotLeader(None)),
        ("uninitialized", Unavailable::Uninitialized),
        ("stopping", Unavailable::Stopping),
        ("undecided", Unavailable::Undecided),
    ];
    for (name, reason) in reasons {
        let name = format!("unavailable.{name}");
        reply(&mut comparison, &name, ReplyBody::Unavailable(reason));
    }
    comparison.finish();
}
