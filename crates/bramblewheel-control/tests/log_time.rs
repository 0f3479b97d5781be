//! A wrong clock of one replica neither expires the keys of honest callers nor keeps them from
//! being claimed.

mod support;

use bramblewheel_protocol::control::{OperationReply, OperationRequest, ReplyBody, RequestBody};
use bramblewheel_replication::Role;
use std::time::Duration;
use support::cluster::Cluster;
use support::{RETENTION, claim};

const MANY: u64 = 1_000_000;
const HOUR: i64 = 3_600_000;
const YEAR: i64 = 365 * 24 * HOUR;

fn operate(cluster: &mut Cluster, request: OperationRequest) -> OperationReply {
    match cluster.ask_leader(&RequestBody::Operations(vec![request])) {
        ReplyBody::Operations(mut replies) => replies.remove(0),
        other => panic!("{other:?}"),
    }
}

fn log_time(cluster: &Cluster, machine: usize) -> u64 {
    cluster.node(machine).state().log_time_unix_millis()
}

/// The clock of the leader, then of a follower, is a year off. Leadership moves on, so that every
/// replica leads with and without the wrong clock in the group.
#[test]
fn one_wrong_clock_moves_the_log_time_neither_ahead_nor_holds_it_back() {
    for offset in [YEAR, -YEAR] {
        let mut cluster = Cluster::bootstrapped(51, MANY);
        let wrong = cluster.settle();
        cluster.set_clock(wrong, offset);
        for round in 0..4 {
            // Time passes for the right clocks: beyond what may be minted ahead of the log.
            cluster.pass_on_clocks(2 * HOUR);
            cluster.run(Duration::from_secs(2));
            let minted = cluster.true_time();
            let request = claim(&format!("key-{round}"), 1, minted);
            assert_eq!(
                operate(&mut cluster, request),
                OperationReply::Granted,
                "{round}"
            );
            let leader = cluster.settle();
            let logged = log_time(&cluster, leader);
            assert!(logged <= cluster.true_time(), "{round}: ahead: {logged}");
            assert!(logged + 5_000 >= minted, "{round}: behind: {logged}");
            cluster.restart(leader);
            cluster.settle();
        }
    }
}

/// Nothing tells a new leader how long all were down but the clocks of a quorum.
#[test]
fn a_group_that_was_down_for_days_claims_at_once() {
    let mut cluster = Cluster::bootstrapped(52, MANY);
    let old = cluster.true_time();
    let request = claim("key-old", 1, old);
    assert_eq!(operate(&mut cluster, request), OperationReply::Granted);
    for machine in 0..3 {
        cluster.crash(machine);
    }
    // What was on the way is lost.
    cluster.run(Duration::from_millis(100));
    cluster.pass_on_clocks(72 * HOUR);
    for machine in 0..3 {
        cluster.start(machine);
    }
    let request = claim("key-new", 2, cluster.true_time());
    assert_eq!(
        claimed_as_first(&mut cluster, request),
        OperationReply::Granted
    );
    // What is forgotten by then is refused, not granted again.
    cluster.run(Duration::from_secs(1));
    let request = claim("key-old", 3, old);
    assert_eq!(operate(&mut cluster, request), OperationReply::Expired);
    assert!(old + RETENTION < cluster.true_time());
}

/// The first claim of a group is sent before its leader has heard of any other clock.
#[test]
fn the_first_claim_of_a_group_waits_for_the_clocks() {
    let mut cluster = Cluster::new(3, 53, MANY);
    let request = cluster.bootstrap_request(3);
    for machine in 0..3 {
        let body = RequestBody::Bootstrap(request.clone());
        assert_eq!(cluster.ask(machine, body), ReplyBody::Done);
    }
    let request = claim("key-first", 1, cluster.true_time());
    assert_eq!(
        claimed_as_first(&mut cluster, request),
        OperationReply::Granted
    );
}

/// Claims at the very moment at which a replica begins to lead.
fn claimed_as_first(cluster: &mut Cluster, request: OperationRequest) -> OperationReply {
    for _ in 0..100_000 {
        cluster.run(Duration::from_micros(100));
        let leads = |machine: &usize| cluster.node(*machine).replica().role() == Role::Leader;
        let Some(leader) = (0..3).find(leads) else {
            continue;
        };
        let body = RequestBody::Operations(vec![request]);
        return match cluster.ask(leader, body) {
            ReplyBody::Operations(mut replies) => replies.remove(0),
            other => panic!("{other:?}"),
        };
    }
    panic!("no leader after ten seconds");
}

/// Two of three clocks are a year ahead: the log follows them, and nothing runs twice.
#[test]
fn wrong_clocks_of_a_quorum_expire_keys_but_grant_nothing_twice() {
    let mut cluster = Cluster::bootstrapped(54, MANY);
    let minted = cluster.true_time();
    let request = claim("key-1", 1, minted);
    assert_eq!(operate(&mut cluster, request), OperationReply::Granted);
    for offset in [YEAR, 0, -YEAR, 0] {
        for machine in 0..2 {
            cluster.set_clock(machine, offset);
        }
        cluster.run(Duration::from_secs(3));
        let request = claim("key-1", 2, minted);
        let reply = operate(&mut cluster, request);
        let is_safe = matches!(reply, OperationReply::Held | OperationReply::Expired);
        assert!(is_safe, "{reply:?}");
    }
}
