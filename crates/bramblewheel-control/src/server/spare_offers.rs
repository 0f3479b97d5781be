//! Offers a replica as a spare to the members of a group.

use super::input::{Input, Inputs};
use bramblewheel_protocol::control::{ReplicaAddress, ReplyBody, RequestBody};
use bramblewheel_protocol::request_any;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Time in which one of the members must answer with the members of the group; chosen, not measured.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

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

/// Offers until the node has ended. Once the replica is in a group, its node makes no offer of it.
async fn offer(members: watch::Receiver<Vec<SocketAddr>>, interval: Duration, inputs: Inputs) {
    loop {
        let members = members.borrow().clone();
        let known = known_members(&members).await;
        if !known.is_empty() && inputs.send(Input::OfferSpare(known)).is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Voters of the group, by the first answer of a member in contact with a quorum.
async fn known_members(members: &[SocketAddr]) -> Vec<ReplicaAddress> {
    let (answers, mut answered) = mpsc::channel(members.len().max(1));
    let mut asking = JoinSet::new();
    for member in members.iter().copied() {
        let answers = answers.clone();
        asking.spawn(async move {
            let reply = request_any(&[member], &RequestBody::GroupStatus, ASK_TIMEOUT).await;
            if let Ok(ReplyBody::GroupStatus(status)) = reply
                && status.has_quorum
            {
                let _ = answers.send(status.voters).await;
            }
        });
    }
    drop(answers);
    answered.recv().await.unwrap_or_default()
}
