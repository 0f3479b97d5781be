//! The limit of a class at an endpoint.

use bramblewheel_decisions::class_limit::{Answered, ClassLimit};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// The limit falls if answers take long, but not for a route that is always slow, and recovers.
#[test]
fn limit_follows_answer_time_and_failures() {
    const FAILURE_MILLIS: u64 = 7;
    let objective = Duration::from_millis(1_000);
    let mut now = Timestamp::ZERO;
    let mut limit = ClassLimit::new(now, 50);
    let mut serve = |limit: &mut ClassLimit, millis: u64, rounds: u32| {
        for _ in 0..rounds {
            let mut running = 0;
            while running < 60 && limit.begin(false) {
                running += 1;
            }
            for _ in 0..running {
                now += Duration::from_millis(20);
                let time = Duration::from_millis(millis);
                let has_failed = millis == FAILURE_MILLIS;
                let answered = Answered { time, has_failed };
                limit.end(now, Some(answered), objective);
            }
        }
    };
    serve(&mut limit, 300, 10);
    assert!(limit.limit() > 45.0);
    serve(&mut limit, 900, 6);
    let fallen = limit.limit();
    assert!(fallen < 25.0, "{fallen}");
    serve(&mut limit, 300, 60);
    assert!(limit.limit() > 45.0);
    // Failures are fast and show that a called service is overloaded.
    serve(&mut limit, FAILURE_MILLIS, 6);
    let fallen = limit.limit();
    assert!(fallen < 25.0, "{fallen}");
    let mut slow = ClassLimit::new(Timestamp::ZERO, 50);
    serve(&mut slow, 1_500, 20);
    assert!(slow.limit() > 45.0, "always slow: {}", slow.limit());
    // Exempt requests run regardless of the limit.
    let mut small = ClassLimit::new(Timestamp::ZERO, 1);
    assert!(small.begin(false) && !small.begin(false) && small.begin(true));
}

/// Refusing requests at the top saves calls downstream: the more requests fail, the faster the limit falls.
#[test]
fn limit_falls_by_the_share_of_failures() {
    let objective = Duration::from_millis(1_500);
    let after_one_window = |failing: u32| {
        let mut limit = ClassLimit::new(Timestamp::ZERO, 100);
        for _ in 0..60 {
            assert!(limit.begin(false));
        }
        for number in 0..10 {
            let answered = Answered {
                time: Duration::from_millis(50),
                has_failed: number < failing,
            };
            let now = Timestamp::from_millis(if number == 9 { 250 } else { 10 });
            limit.end(now, Some(answered), objective);
        }
        limit.whole_limit()
    };
    assert_eq!(after_one_window(0), 100);
    assert_eq!(after_one_window(2), 48);
    assert_eq!(after_one_window(4), 36);
    assert_eq!(after_one_window(9), 30);
}

/// A short slow-down at low load, for instance while endpoints deep in the tree restart, causes no refusal.
#[test]
fn short_slow_down_at_low_load_causes_no_refusal() {
    let objective = Duration::from_millis(1_000);
    let mut limit = ClassLimit::new(Timestamp::ZERO, 200);
    let mut now = Timestamp::ZERO;
    for window in 0..13 {
        let millis = if window < 10 { 250 } else { 700 };
        for _ in 0..12 {
            let running = (0..6).filter(|_| limit.begin(false)).count();
            assert_eq!(
                running,
                6,
                "refused in window {window} at {}",
                limit.limit()
            );
            for _ in 0..running {
                now += Duration::from_millis(3);
                let time = Duration::from_millis(millis);
                let answered = Answered {
                    time,
                    has_failed: false,
                };
                limit.end(now, Some(answered), objective);
            }
        }
    }
}
