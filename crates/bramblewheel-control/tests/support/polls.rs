//! Requests of daemons and operators to a group of nodes, and their replies.

use super::cluster::Cluster;
use super::{poll, registration, signed};
use bramblewheel_protocol::control::{
    OperationReply, OperationRequest, PollReply, PollRequest, PublishReply, ReplyBody, RequestBody,
};

pub const NO_SNAPSHOTS: u64 = 1_000_000;

pub fn publish(cluster: &mut Cluster, version: u64, retry_tokens: u32) -> PublishReply {
    let body = RequestBody::Publish(signed(version, retry_tokens));
    match cluster.ask_leader(&body) {
        ReplyBody::Publish(reply) => reply,
        other => panic!("{other:?}"),
    }
}

pub fn operate(cluster: &mut Cluster, request: OperationRequest) -> OperationReply {
    match cluster.ask_leader(&RequestBody::Operations(vec![request])) {
        ReplyBody::Operations(mut replies) => replies.remove(0),
        other => panic!("{other:?}"),
    }
}

pub fn poll_body(request: PollRequest) -> RequestBody {
    RequestBody::Poll(Box::new(request))
}

pub fn poll_reply(reply: ReplyBody) -> PollReply {
    match reply {
        ReplyBody::Poll(reply) => *reply,
        other => panic!("{other:?}"),
    }
}

pub fn endpoints(reply: &PollReply) -> Vec<&str> {
    reply.live.iter().map(|e| e.endpoint.name()).collect()
}

/// Poll of a daemon that holds bundle 1 and the directory of a replica.
pub fn up_to_date_poll(
    cluster: &Cluster,
    machine: usize,
    name: &str,
    of_service: &str,
) -> PollRequest {
    let mut request = poll(registration(name, of_service, 1), 1, &["kassa"]);
    request.directory_revision = cluster.node(machine).state().directory().revision();
    request
}

pub fn others(machine: usize) -> [usize; 2] {
    [(machine + 1) % 3, (machine + 2) % 3]
}
