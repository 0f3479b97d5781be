//! Functions of the benchmark that need no processes.

use super::report::{largest, median};
use super::{parse_rates, schedule, usage};
use std::time::Duration;

#[test]
fn arrivals_are_in_order_within_the_window_and_at_the_mean_rate() {
    let window = Duration::from_secs(10);
    let due = schedule::arrivals(7, 1000, window);
    assert!(due.is_sorted());
    assert!(due.last().is_some_and(|last| *last < window));
    // 10,000 arrivals are expected; five standard deviations are 500.
    assert!((9_500..=10_500).contains(&due.len()), "{}", due.len());
    assert_eq!(due, schedule::arrivals(7, 1000, window));
    assert_ne!(due, schedule::arrivals(8, 1000, window));
}

#[test]
fn processor_time_is_parsed_after_a_name_with_parentheses() {
    let stat = "42 (a) (b c) S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 3";
    assert_eq!(usage::parse_stat(stat), Some(Duration::from_millis(1750)));
    assert_eq!(usage::parse_stat("42 (a) S 1 2"), None);
    assert_eq!(usage::parse_stat(""), None);
    let status = "Threads:\t1\nvoluntary_ctxt_switches:\t17\nnonvoluntary_ctxt_switches:\t4\n";
    assert_eq!(usage::parse_sleeps(status), Some(17));
}

#[test]
fn busy_time_excludes_idle_time_and_io_wait() {
    let earlier = usage::Machine::parse("cpu  0 0 0 0 0 0 0 0 0 0\ncpu0 1").expect("valid");
    let later = usage::Machine::parse("cpu  10 5 10 40 10 5 10 10 99 99\n").expect("valid");
    assert_eq!(later.busy_percent_since(earlier), 50.0);
    assert_eq!(usage::Machine::parse("intr 1"), None);
}

#[test]
fn median_and_largest_of_a_list() {
    assert_eq!(median(&[3.0, 1.0, 2.0]), 2.0);
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), 2.5);
    assert_eq!(largest(&[1.0, 3.0, 2.0]), 3.0);
}

#[test]
fn only_positive_rates_are_accepted() {
    assert_eq!(parse_rates("1000, 5000").ok(), Some(vec![1000, 5000]));
    for text in ["", "0", "1000,", "fast", "-1"] {
        assert!(parse_rates(text).is_err(), "{text}");
    }
}
