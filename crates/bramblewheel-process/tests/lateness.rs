//! Lateness of a process's timers.

use bramblewheel_process::clock::{Clock, TimedOut};
use bramblewheel_process::lateness::{Lateness, PERIOD, TOLERANCE};
use bramblewheel_types::Timestamp;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SUSPENSION: Duration = Duration::from_millis(700);
/// Longer than the resolution of timers, shorter than any suspension of these tests.
const SHORT: Duration = Duration::from_millis(150);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn wakeups_in_time_lose_no_time() {
    let lateness = Lateness::default();
    for number in 0..10 {
        let now = at(1_000 + 50 * number);
        assert_eq!(lateness.wake_up(now), Duration::ZERO);
        assert_eq!(lateness.running_time(now), now);
    }
}

#[test]
fn without_wakeups_no_time_is_lost() {
    let lateness = Lateness::default();
    assert_eq!(lateness.total(at(60_000)), Duration::ZERO);
}

#[test]
fn lost_time_counts_before_and_after_the_late_wakeup() {
    let lateness = Lateness::default();
    lateness.wake_up(at(1_000));
    let resumed = at(1_000) + PERIOD + TOLERANCE + SUSPENSION;
    assert_eq!(lateness.total(resumed), SUSPENSION);
    assert_eq!(lateness.latest(resumed), SUSPENSION);
    assert_eq!(lateness.wake_up(resumed), SUSPENSION);
    assert_eq!(lateness.total(resumed), SUSPENSION);
    assert_eq!(lateness.latest(resumed + PERIOD), SUSPENSION);
    assert_eq!(
        lateness.latest(resumed + PERIOD + PERIOD),
        PERIOD - TOLERANCE,
        "only the wake-up that is due now is late"
    );
}

/// What is read right after a suspension may have waited for all of it, and a little longer.
#[test]
fn longest_unread_time_covers_the_suspension_until_the_process_has_caught_up() {
    let lateness = Lateness::default();
    lateness.wake_up(at(1_000));
    let resumed = at(1_000) + SUSPENSION;
    assert_eq!(lateness.longest_unread(resumed), SUSPENSION);
    lateness.wake_up(resumed);
    assert_eq!(lateness.longest_unread(resumed), SUSPENSION);
    assert_eq!(lateness.longest_unread(resumed + PERIOD), SUSPENSION);
    lateness.wake_up(resumed + PERIOD);
    let caught_up = resumed + PERIOD + TOLERANCE;
    assert_eq!(lateness.longest_unread(caught_up), Duration::ZERO);
}

/// A process that is busy with what waited for it wakes up late again.
#[test]
fn suspension_counts_while_the_process_is_still_late_but_not_for_long() {
    let lateness = Lateness::default();
    lateness.wake_up(at(1_000));
    let mut now = at(1_000) + SUSPENSION;
    lateness.wake_up(now);
    for _ in 0..5 {
        now = now + PERIOD + TOLERANCE + Duration::from_millis(30);
        lateness.wake_up(now);
        assert_eq!(lateness.longest_unread(now), SUSPENSION);
    }
    for _ in 0..5 {
        now = now + PERIOD + TOLERANCE + Duration::from_millis(30);
        lateness.wake_up(now);
    }
    assert_eq!(lateness.longest_unread(now), Duration::ZERO);
}

#[test]
fn usual_scheduling_does_not_count_as_unread_time() {
    let lateness = Lateness::default();
    lateness.wake_up(at(1_000));
    let late = at(1_000) + PERIOD + TOLERANCE + Duration::from_millis(99);
    assert_eq!(lateness.longest_unread(late), Duration::ZERO);
}

#[test]
fn running_time_never_goes_back() {
    let lateness = Lateness::default();
    let mut previous = Timestamp::ZERO;
    let mut due = 0;
    for millis in 0..5_000 {
        let now = at(millis);
        let is_suspended = (millis / 300) % 3 == 1;
        if !is_suspended && millis >= due {
            lateness.wake_up(now);
            due = millis + 50;
        }
        let running = lateness.running_time(now);
        assert!(running >= previous, "{running:?} after {previous:?}");
        previous = running;
    }
}

#[tokio::test]
async fn suspension_of_the_process_is_not_part_of_a_time_out() {
    let (clock, lateness) = (Clock::start(), Arc::new(Lateness::default()));
    let measured = Arc::clone(&lateness);
    let log = bramblewheel_process::logging::silent();
    tokio::spawn(async move { measured.run(clock, log, |_| ()).await });
    tokio::task::yield_now().await;
    // Ready only after a further turn of the runtime, as an answer that another task reads.
    let (answer, answered) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        tokio::time::sleep(SHORT / 2).await;
        thread::sleep(SUSPENSION);
        tokio::time::sleep(SHORT / 10).await;
        let _ = answer.send(());
    });
    let waited = lateness.timeout(clock, SHORT, answered).await;
    assert!(matches!(waited, Ok(Ok(()))), "{waited:?}");
}

#[tokio::test]
async fn time_out_ends_a_wait_of_a_running_process() {
    let (clock, lateness) = (Clock::start(), Lateness::default());
    let waited = lateness.timeout(clock, SHORT, std::future::pending::<()>());
    assert_eq!(waited.await, Err(TimedOut));
}
