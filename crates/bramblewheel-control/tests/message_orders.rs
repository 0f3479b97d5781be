//! The living identity of a machine becomes a voter in whichever order the messages of its identities arrive.

mod support;

use bramblewheel_control::node::PeerMessage;
use bramblewheel_control::node::message::{OfferBasis, SpareOffer};
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::ReplicaId;
use std::collections::BTreeSet;
use std::time::Duration;
use support::cluster::{Cluster, GROUP};
use support::founded::{FAST, expect_accepted, founded, replace};

/// Offer intervals, alternating over the orders.
const OFFER_INTERVALS: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(5)];
/// Time between two messages that are delivered by hand.
const SPACING: Duration = Duration::from_millis(20);
/// Time within which the group must be whole.
const RECOVERY: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(50);
/// How long the voters must stay as they are after old messages were delivered again.
const STABLE: Duration = Duration::from_secs(5);
/// Messages of all identities together.
const MESSAGES: usize = 6;
/// Messages of the first two identities together.
const EARLIER_MESSAGES: usize = 4;

/// A message and the identity that sent it.
struct Sent {
    sender: ReplicaAddress,
    message: PeerMessage,
}

/// The announcement and the offer of the present identity of a machine.
fn messages(cluster: &mut Cluster, machine: usize) -> [Sent; 2] {
    let leader = cluster.settle();
    let sender = cluster.address(machine);
    let basis = OfferBasis {
        group: Some(GROUP),
        applied_index: cluster.node(leader).state().position().index,
    };
    let offer = SpareOffer::new(sender.clone(), basis);
    [PeerMessage::Announcement, PeerMessage::SpareOffer(offer)].map(|message| Sent {
        sender: sender.clone(),
        message,
    })
}

fn orders(count: usize) -> Vec<Vec<usize>> {
    let Some(last) = count.checked_sub(1) else {
        return vec![Vec::new()];
    };
    let mut longer = Vec::new();
    for shorter in orders(last) {
        for place in 0..count {
            let mut order = shorter.clone();
            order.insert(place, last);
            longer.push(order);
        }
    }
    longer
}

fn deliver(cluster: &mut Cluster, sent: &[Sent], order: &[usize]) {
    for message in order {
        let Sent { sender, message } = &sent[*message];
        let leader = cluster.settle();
        cluster.deliver_from(sender, leader, message.clone());
        cluster.run(SPACING);
    }
}

/// Whether the voters are the present identities of all machines, and nothing is in progress.
fn is_whole(cluster: &mut Cluster) -> bool {
    let leader = cluster.settle();
    let node = cluster.node(leader);
    let membership = node.replica().membership();
    let identity = |machine| ReplicaId(cluster.address(machine).replica);
    membership.voters == (0..3).map(identity).collect::<BTreeSet<_>>()
        && membership.learners.is_empty()
        && node.state().replacement().is_none()
}

/// Two losses of a machine's disk, `life` apart. Of the messages in `order`, the first `early` arrive before
/// the second loss, the others after it, and all of them again after the last identity is a voter.
fn run(life: Duration, number: usize, order: &[usize], early: usize) -> Result<(), String> {
    let mut cluster = founded(0, 900 + number as u64);
    cluster.offer_interval = OFFER_INTERVALS[number % OFFER_INTERVALS.len()];
    cluster.set_spares(FAST, (0..3).collect());
    expect_accepted(&mut cluster, &replace(0, 3, "first"));
    let machine = (cluster.settle() + 1) % 3;
    let mut sent = Vec::from(messages(&mut cluster, machine));
    cluster.restart_wiped_with_messages_in_flight(machine);
    sent.extend(messages(&mut cluster, machine));
    let (before, after) = order.split_at(early);
    deliver(&mut cluster, &sent, before);
    cluster.run(life);
    cluster.restart_wiped_with_messages_in_flight(machine);
    sent.extend(messages(&mut cluster, machine));
    deliver(&mut cluster, &sent, after);
    let end = cluster.now + RECOVERY;
    while !is_whole(&mut cluster) {
        if cluster.now >= end {
            return Err("not whole".to_owned());
        }
        cluster.run(POLL);
    }
    deliver(&mut cluster, &sent, order);
    let end = cluster.now + STABLE;
    while cluster.now < end {
        if !is_whole(&mut cluster) {
            return Err("changed by a message that was delivered again".to_owned());
        }
        cluster.run(POLL);
    }
    Ok(())
}

fn expect_living_identity_in_all_orders(life: Duration) {
    let mut failures = Vec::new();
    let mut total = 0;
    for (number, order) in orders(MESSAGES).iter().enumerate() {
        let is_earlier = |message: &&usize| **message < EARLIER_MESSAGES;
        let most = order.iter().take_while(is_earlier).count();
        for early in BTreeSet::from([0, most]) {
            total += 1;
            if let Err(reason) = run(life, number, order, early) {
                failures.push(format!("{number}: {order:?}, {early} early: {reason}"));
            }
        }
    }
    let first = &failures[..failures.len().min(10)];
    assert!(
        failures.is_empty(),
        "{} of {total} orders: {first:#?}",
        failures.len()
    );
}

#[test]
fn voter_is_the_living_identity_if_the_one_before_was_lost_at_once() {
    expect_living_identity_in_all_orders(Duration::from_millis(1));
}

#[test]
fn voter_is_the_living_identity_if_the_one_before_was_lost_after_its_offer() {
    expect_living_identity_in_all_orders(Duration::from_millis(300));
}

#[test]
fn voter_is_the_living_identity_if_the_one_before_was_lost_after_its_promotion() {
    expect_living_identity_in_all_orders(Duration::from_secs(6));
}
