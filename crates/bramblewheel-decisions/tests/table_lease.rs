//! The lease on the route table: a revoked key is out of use in time despite losses, delays and pauses.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_decisions::table_lease::TableLease;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::Timestamp;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);
const STEP_MILLIS: u64 = 50;
const STEPS: u64 = 600;
/// Seeds within which an unsafe lease must be detected.
const SEEDS: u64 = 20;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn lease_without_a_bound_never_expires() {
    let lease = TableLease::new(None);
    assert!(!lease.is_required());
    assert!(lease.is_valid(at(1_000_000)));
    assert_eq!(lease.remaining(at(0)), None);
}

#[test]
fn lease_starts_when_the_daemon_asks_and_ends_before_the_bound() {
    let mut lease = TableLease::new(Some(BOUND));
    assert!(!lease.is_valid(at(0)), "nothing is confirmed yet");
    lease.install(TableVersion(3));
    lease.confirm(at(1_000), TableVersion(3));
    assert!(lease.is_valid(at(1_000)));
    // Most of the bound can be used, so that a short loss of the control group is tolerated.
    assert!(lease.is_valid(at(1_000 + 4_700)));
    assert!(!lease.is_valid(at(1_000 + 5_000)));
    let left = lease.remaining(at(1_000)).expect("a lease is required");
    assert!(left > Duration::from_millis(4_700) && left < BOUND);
}

#[test]
fn confirmation_extends_the_lease_once_its_version_is_in_force() {
    let mut lease = TableLease::new(Some(BOUND));
    lease.install(TableVersion(3));
    lease.confirm(at(1_000), TableVersion(4));
    assert!(!lease.is_valid(at(1_100)));
    lease.install(TableVersion(4));
    assert!(lease.is_valid(at(1_100)));
    // A late confirmation of an older version does not shorten the lease.
    lease.confirm(at(500), TableVersion(3));
    assert!(lease.is_valid(at(5_500)));
}

#[test]
fn lease_has_expired_after_a_long_pause() {
    let mut lease = TableLease::new(Some(BOUND));
    lease.install(TableVersion(3));
    lease.confirm(at(1_000), TableVersion(3));
    assert!(!lease.is_valid(at(60_000)));
}

/// Fault of an unsafe implementation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The lease starts at the arrival of the answer.
    CountsFromAnswer,
    /// A replica confirms its version without asking a quorum.
    ConfirmsWithoutQuorum,
    /// A confirmation counts for the version in force, whichever version it names.
    IgnoresVersion,
}

/// Simulates one daemon and a control group that accepts new versions, with late or lost answers and delayed tables.
/// Returns the longest time for which the daemon still used a table after a newer version was accepted.
fn longest_use(u: &mut Unstructured<'_>, fault: Fault) -> Drawn<Duration> {
    let mut lease = TableLease::new(Some(BOUND));
    // When each version was accepted.
    let mut accepted: Vec<u64> = vec![0];
    let mut in_force = 0_usize;
    // Answers in transit: time of arrival, time of the question, and the replica's version, which is outdated while it
    // is partitioned.
    let mut answers: Vec<(u64, u64, usize)> = Vec::new();
    let mut longest = 0;
    let mut replica_version = 0;
    let mut is_partitioned = false;
    let mut paused_until = 0;
    lease.install(TableVersion(1));
    for step in 0..STEPS {
        let now = step * STEP_MILLIS;
        if u.ratio(1, 60)? {
            accepted.push(now);
        }
        if u.ratio(1, 40)? {
            is_partitioned = !is_partitioned;
        }
        if !is_partitioned {
            replica_version = accepted.len() - 1;
        }
        if u.ratio(1, 80)? {
            paused_until = now + u.int_in_range(0..=8_000)?;
        }
        if now < paused_until {
            continue;
        }
        if u.ratio(1, 5)? && (!is_partitioned || fault == Fault::ConfirmsWithoutQuorum) {
            let delay = u.int_in_range(0..=3_000)?;
            answers.push((now + delay, now, replica_version));
        }
        for (_, asked_at, version) in answers.extract_if(.., |answer| answer.0 <= now) {
            let lease_start = if fault == Fault::CountsFromAnswer {
                now
            } else {
                asked_at
            };
            let version = if fault == Fault::IgnoresVersion {
                in_force
            } else {
                version
            };
            lease.confirm(at(lease_start), TableVersion(version as u64 + 1));
        }
        // Tables reach the daemon independently of confirmations.
        if !is_partitioned && u.ratio(1, 30)? {
            in_force = accepted.len() - 1;
            lease.install(TableVersion(in_force as u64 + 1));
        }
        if lease.is_valid(at(now))
            && let Some(newer) = accepted.get(in_force + 1)
        {
            longest = longest.max(now - newer);
        }
    }
    Ok(Duration::from_millis(longest))
}

fn is_detected(fault: Fault) -> bool {
    (0..SEEDS).any(|seed| {
        let mut longest = Duration::ZERO;
        arbtest::arbtest(|u| {
            longest = longest_use(u, fault)?;
            Ok(())
        })
        .seed(seed << 32 | 16_384);
        longest > BOUND
    })
}

#[test]
fn revoked_key_is_out_of_use_in_time_despite_losses_delays_and_pauses() {
    arbtest::arbtest(|u| {
        let longest = longest_use(u, Fault::None)?;
        assert!(longest <= BOUND, "used for {longest:?}");
        Ok(())
    })
    .size_min(16_384);
    assert!(!is_detected(Fault::None));
}

#[test]
fn unsafe_leases_are_detected_within_a_few_seeds() {
    for fault in [
        Fault::CountsFromAnswer,
        Fault::ConfirmsWithoutQuorum,
        Fault::IgnoresVersion,
    ] {
        assert!(is_detected(fault), "{fault:?} is not detected");
    }
}
