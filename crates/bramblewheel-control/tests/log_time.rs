//! A wrong clock of one replica neither expires valid operation keys nor prevents them from being claimed.

mod support;

use bramblewheel_protocol::control::{OperationReply, OperationRequest, ReplyBody, RequestBody};
use bramblewheel_replication::Role;
use std::time::Duration;
use support::cluster::Cluster;
use support::{RETENTION, claim};

const NO_SNAPSHOTS: u64 = 1_000_000;
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

/// The clock of one replica is a year off. Each round restarts the leader, so that replicas with and
/// without the wrong clock lead.
#[test]
fn one_wrong_clock_does_not_shift_log_time() {
    for offset in [YEAR, -YEAR] {
        let mut cluster = Cluster::bootstrapped(51, NO_SNAPSHOTS);
        let wrong = cluster.settle();
        cluster.set_clock(wrong, offset);
        for round in 0..4 {
            // Advances by more than a key may be minted ahead of log time.
            cluster.advance_wall_clocks(2 * HOUR);
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

/// After downtime of the whole group, a new leader learns the time only from the clocks of a quorum.
#[test]
fn claim_is_granted_immediately_after_days_of_downtime() {
    let mut cluster = Cluster::bootstrapped(52, NO_SNAPSHOTS);
    let old = cluster.true_time();
    let request = claim("key-old", 1, old);
    assert_eq!(operate(&mut cluster, request), OperationReply::Granted);
    for machine in 0..3 {
        cluster.crash(machine);
    }
    // Messages in transit are lost.
    cluster.run(Duration::from_millis(100));
    cluster.advance_wall_clocks(72 * HOUR);
    for machine in 0..3 {
        cluster.start(machine);
    }
    let request = claim("key-new", 2, cluster.true_time());
    assert_eq!(
        claim_at_election(&mut cluster, request),
        OperationReply::Granted
    );
    // An operation that is forgotten by then is refused, not granted again.
    cluster.run(Duration::from_secs(1));
    let request = claim("key-old", 3, old);
    assert_eq!(operate(&mut cluster, request), OperationReply::Expired);
    assert!(old + RETENTION < cluster.true_time());
}

/// The first claim of a group arrives before its leader has received any other replica's clock.
#[test]
fn first_claim_of_a_group_waits_for_a_majority_of_clocks() {
    let mut cluster = Cluster::new(3, 53, NO_SNAPSHOTS);
    let request = cluster.bootstrap_request(3);
    for machine in 0..3 {
        let body = RequestBody::Bootstrap(request.clone());
        assert_eq!(cluster.ask(machine, body), ReplyBody::Done);
    }
    let request = claim("key-first", 1, cluster.true_time());
    assert_eq!(
        claim_at_election(&mut cluster, request),
        OperationReply::Granted
    );
}

/// Claims as soon as a replica becomes leader.
fn claim_at_election(cluster: &mut Cluster, request: OperationRequest) -> OperationReply {
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

/// Two of three clocks are wrong by a year. Log time follows them, but no claim is granted twice.
#[test]
fn wrong_clocks_of_a_majority_grant_no_claim_twice() {
    let mut cluster = Cluster::bootstrapped(54, NO_SNAPSHOTS);
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
