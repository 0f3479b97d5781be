//! Offers this replica as a spare to the members of a group.

use super::input::{Input, Inputs};
use bramblewheel_protocol::control::{GroupStatus, ReplyBody, RequestBody};
use bramblewheel_protocol::request_any;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Time-out for a member's reply with the group's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn spawn_spare_offers(
    tasks: &mut JoinSet<()>,
    members: watch::Receiver<Vec<SocketAddr>>,
    interval: Duration,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
) {
    let inputs = inputs.clone();
    let mut stop = stop.subscribe();
    tasks.spawn(async move {
        tokio::select! {
            () = offer(members, interval, inputs) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    });
}

/// Offers the replica until the node has ended. A node that is a member of the group sends no offers.
async fn offer(members: watch::Receiver<Vec<SocketAddr>>, interval: Duration, inputs: Inputs) {
    loop {
        let members = members.borrow().clone();
        if let Some(group) = group_status(&members).await
            && inputs.send(Input::OfferSpare(Box::new(group))).is_err()
        {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Status of the group, from the first reply of a member that has contact with a quorum.
async fn group_status(members: &[SocketAddr]) -> Option<GroupStatus> {
    let (replies, mut first_reply) = mpsc::channel(members.len().max(1));
    let mut requests = JoinSet::new();
    for member in members.iter().copied() {
        let replies = replies.clone();
        requests.spawn(async move {
            let reply = request_any(&[member], &RequestBody::GroupStatus, STATUS_TIMEOUT).await;
            if let Ok(ReplyBody::GroupStatus(status)) = reply
                && status.has_quorum
            {
                let _ = replies.send(status).await;
            }
        });
    }
    drop(replies);
    let first = first_reply.recv().await;
    // A connection that is dropped before its reply is read is reset, which looks like a fault at the member.
    requests.detach_all();
    first
}
