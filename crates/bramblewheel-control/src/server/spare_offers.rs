//! Offers a replica as a spare to the members of a group.

use super::input::{Input, Inputs};
use bramblewheel_protocol::control::{ReplicaAddress, ReplyBody, RequestBody};
use bramblewheel_protocol::request_any;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Time between offers. A leader forgets one after 30 s.
const OFFER_INTERVAL: Duration = Duration::from_secs(5);
/// Time in which one of the members must say who belongs to the group.
const ASK_TIMEOUT: Duration = Duration::from_secs(4);

pub(super) fn spawn_spare_offers(
    tasks: &mut JoinSet<()>,
    members: Vec<SocketAddr>,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
) {
    if members.is_empty() {
        return;
    }
    let inputs = inputs.clone();
    let mut stop = stop.subscribe();
    tasks.spawn(async move {
        tokio::select! {
            () = offer(members, inputs) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    });
}

/// Offers until the node has ended. Once the replica is in a group, its node makes no offer of it.
async fn offer(members: Vec<SocketAddr>, inputs: Inputs) {
    loop {
        let known = known_members(&members).await;
        if !known.is_empty() && inputs.send(Input::OfferSpare(known)).is_err() {
            return;
        }
        tokio::time::sleep(OFFER_INTERVAL).await;
    }
}

/// Voters of the group, as one of the addresses says.
async fn known_members(members: &[SocketAddr]) -> Vec<ReplicaAddress> {
    let reply = request_any(members, &RequestBody::GroupStatus, ASK_TIMEOUT).await;
    match reply {
        Ok(ReplyBody::GroupStatus(status)) => status.voters,
        // Asked again for the next offer.
        Ok(_) | Err(_) => Vec::new(),
    }
}
