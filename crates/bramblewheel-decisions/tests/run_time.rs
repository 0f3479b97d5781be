//! Usual run times of a class of requests.

use bramblewheel_decisions::run_time::RunTimes;
use bramblewheel_types::Timestamp;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs of these times in milliseconds that ended one after the other, from 1,000 ms on, 1 ms apart.
fn runs(times: &[u64]) -> RunTimes {
    let mut runs = RunTimes::default();
    for (number, time) in (1_000..).zip(times) {
        runs.record(at(number), millis(*time));
    }
    runs
}

#[test]
fn usual_time_is_the_middle_of_the_recent_runs() {
    let recent = runs(&[10, 400, 30, 20, 25]);
    assert_eq!(recent.usual(at(1_100)), Some(millis(25)));
}

#[test]
fn few_runs_show_no_usual_time() {
    assert_eq!(RunTimes::default().usual(at(1_100)), None);
    assert_eq!(runs(&[10, 20, 30]).usual(at(1_100)), None);
}

#[test]
fn only_the_last_runs_count() {
    let mut times = vec![500; 40];
    times.extend([20; 16]);
    assert_eq!(runs(&times).usual(at(1_100)), Some(millis(20)));
}

/// Guards against refusing a class for good: while all its requests are refused, nothing is learned of it.
#[test]
fn usual_time_is_forgotten_without_new_runs() {
    let slow = runs(&[900; 16]);
    assert_eq!(slow.usual(at(3_900)), Some(millis(900)));
    assert_eq!(slow.usual(at(4_100)), None);
}
