//! The lease on the table: whatever is lost, late or paused, a key is out of use in time.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_decisions::table_lease::TableLease;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::Timestamp;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);
const STEP_MILLIS: u64 = 50;
const STEPS: u64 = 600;
/// Seeds within which an unsafe lease must be caught.
const SEEDS: u64 = 20;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn without_a_bound_the_table_is_used_for_as_long_as_it_is_in_force() {
    let lease = TableLease::new(None);
    assert!(!lease.is_required());
    assert!(lease.is_valid(at(1_000_000)));
    assert_eq!(lease.remaining(at(0)), None);
}

#[test]
fn a_lease_counts_from_the_question_and_ends_before_the_bound() {
    let mut lease = TableLease::new(Some(BOUND));
    assert!(!lease.is_valid(at(0)), "nothing is confirmed yet");
    lease.install(TableVersion(3));
    lease.confirm(at(1_000), TableVersion(3));
    assert!(lease.is_valid(at(1_000)));
    // Most of the bound can be used, so that the loss of the control group is outlasted.
    assert!(lease.is_valid(at(1_000 + 4_700)));
    assert!(!lease.is_valid(at(1_000 + 5_000)));
    let left = lease.remaining(at(1_000)).expect("required");
    assert!(left > Duration::from_millis(4_700) && left < BOUND);
}

#[test]
fn a_version_that_is_not_in_force_here_extends_nothing_until_it_is() {
    let mut lease = TableLease::new(Some(BOUND));
    lease.install(TableVersion(3));
    lease.confirm(at(1_000), TableVersion(4));
    assert!(!lease.is_valid(at(1_100)));
    lease.install(TableVersion(4));
    assert!(lease.is_valid(at(1_100)));
    // A confirmation of an older version that comes late takes nothing away.
    lease.confirm(at(500), TableVersion(3));
    assert!(lease.is_valid(at(5_500)));
}

#[test]
fn a_pause_is_seen_when_the_process_wakes() {
    let mut lease = TableLease::new(Some(BOUND));
    lease.install(TableVersion(3));
    lease.confirm(at(1_000), TableVersion(3));
    assert!(!lease.is_valid(at(60_000)));
}

/// What goes wrong in an unsafe double.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The lease counts from the arrival of the answer.
    CountsFromAnswer,
    /// A replica confirms what it has without asking a quorum.
    ConfirmsWithoutQuorum,
    /// A version is taken as confirmed that is not in force here.
    IgnoresVersion,
}

/// One daemon, a control group whose versions rise, answers that are late or lost, and tables that
/// come when they come. Returns how long after the acceptance of a newer version the daemon still used
/// the table before it, at the longest.
fn longest_use(u: &mut Unstructured<'_>, fault: Fault) -> Drawn<Duration> {
    let mut lease = TableLease::new(Some(BOUND));
    // When each version was accepted; the first one long ago.
    let mut accepted: Vec<u64> = vec![0];
    let mut in_force = 0_usize;
    // The replica asked knows this version; behind the newest while it is cut off.
    let mut answers: Vec<(u64, u64, usize)> = Vec::new();
    let mut longest = 0;
    let mut replica_knows = 0;
    let mut is_cut = false;
    let mut paused_until = 0;
    lease.install(TableVersion(1));
    for step in 0..STEPS {
        let now = step * STEP_MILLIS;
        if u.ratio(1, 60)? {
            accepted.push(now);
        }
        if u.ratio(1, 40)? {
            is_cut = !is_cut;
        }
        if !is_cut {
            replica_knows = accepted.len() - 1;
        }
        if u.ratio(1, 80)? {
            paused_until = now + u.int_in_range(0..=8_000)?;
        }
        if now < paused_until {
            continue;
        }
        if u.ratio(1, 5)? && (!is_cut || fault == Fault::ConfirmsWithoutQuorum) {
            let delay = u.int_in_range(0..=3_000)?;
            answers.push((now + delay, now, replica_knows));
        }
        for (_, asked_at, version) in answers.extract_if(.., |answer| answer.0 <= now) {
            let counted = if fault == Fault::CountsFromAnswer {
                now
            } else {
                asked_at
            };
            let version = if fault == Fault::IgnoresVersion {
                in_force
            } else {
                version
            };
            lease.confirm(at(counted), TableVersion(version as u64 + 1));
        }
        // News of the table comes on its own way, sooner or later.
        if !is_cut && u.ratio(1, 30)? {
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

fn is_caught(fault: Fault) -> bool {
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
fn a_key_is_out_of_use_in_time_whatever_is_lost_late_or_paused() {
    arbtest::arbtest(|u| {
        let longest = longest_use(u, Fault::None)?;
        assert!(longest <= BOUND, "used for {longest:?}");
        Ok(())
    })
    .size_min(16_384);
    assert!(!is_caught(Fault::None));
}

#[test]
fn unsafe_leases_are_caught_within_a_few_seeds() {
    for fault in [
        Fault::CountsFromAnswer,
        Fault::ConfirmsWithoutQuorum,
        Fault::IgnoresVersion,
    ] {
        assert!(is_caught(fault), "{fault:?} is not caught");
    }
}
