//! Addresses of replicas that move.

mod support;

use bramblewheel_control::node::PeerMessage;
use std::time::Duration;
use support::cluster::Cluster;

const NO_SNAPSHOTS: u64 = 1_000_000;

#[test]
fn address_in_the_log_is_not_replaced_by_an_earlier_one_after_a_change_of_leader() {
    let mut led_by_informed = 0;
    for seed in 5..45 {
        let mut cluster = Cluster::bootstrapped(seed, NO_SNAPSHOTS);
        let leader = cluster.settle();
        let [informed, moved] = [(leader + 1) % 3, (leader + 2) % 3];
        let first = cluster.address(moved);
        let mut second = first.clone();
        second.peer = ([127, 0, 0, 1], 9_100).into();
        cluster.deliver_from(&first, informed, PeerMessage::Announcement);
        cluster.deliver_from(&second, leader, PeerMessage::Announcement);
        cluster.run(Duration::from_secs(2));
        cluster.cut_off(leader);
        cluster.run(Duration::from_secs(3));
        if cluster.settle() != informed {
            continue;
        }
        cluster.run(Duration::from_secs(3));
        let recorded = cluster.node(informed).state().address(second.replica);
        assert_eq!(recorded, Some(&second), "seed {seed}");
        led_by_informed += 1;
    }
    assert!(led_by_informed > 0, "the informed replica never led");
}
