//! When a refused caller may come back, and with which status it is refused.

use bramblewheel_decisions::retry_after::RefusalReason;
use bramblewheel_protocol::routing::QUARANTINE_TIME;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Draws of each case.
const DRAWS: u32 = 200;

/// The least and the longest time that are drawn for a refusal.
fn drawn(reason: &RefusalReason) -> (Duration, Duration) {
    let mut random = Pcg64Mcg::new(1);
    let drawn = (0..DRAWS).map(|_| reason.retry_after(&mut random));
    drawn.fold((Duration::MAX, Duration::ZERO), |(least, longest), time| {
        (least.min(time), longest.max(time))
    })
}

fn no_capacity(objective_ms: u64, refused_part: f64) -> RefusalReason {
    RefusalReason::NoCapacity {
        objective: Duration::from_millis(objective_ms),
        refused_part,
    }
}

fn no_configuration(since_start_ms: u64) -> RefusalReason {
    RefusalReason::NoConfiguration {
        since_start: Duration::from_millis(since_start_ms),
    }
}

#[test]
fn each_refusal_has_its_bounds_and_its_status() {
    let cases = [
        (no_configuration(0), 980, 1_250, 503),
        (no_configuration(600), 380, 650, 503),
        (no_configuration(9_000), 80, 350, 503),
        (RefusalReason::NoLease, 400, 1_200, 503),
        (
            RefusalReason::OverQuota { admitted_part: 1.0 },
            150,
            500,
            429,
        ),
        (
            RefusalReason::OverQuota { admitted_part: 0.0 },
            1_650,
            2_000,
            429,
        ),
        (no_capacity(1_000, 0.0), 100, 330, 503),
        (no_capacity(1_000, 0.9), 1_000, 1_230, 503),
        (RefusalReason::Stopping, 10, 60, 503),
    ];
    for (reason, least, longest, status) in cases {
        let (shortest_drawn, longest_drawn) = drawn(&reason);
        assert!(shortest_drawn >= Duration::from_millis(least), "{reason:?}");
        assert!(
            longest_drawn <= Duration::from_millis(longest),
            "{reason:?}"
        );
        assert!(
            longest_drawn > shortest_drawn,
            "they don't come back together: {reason:?}"
        );
        assert_eq!(reason.status().as_u16(), status, "{reason:?}");
    }
}

#[test]
fn a_quarantine_ends_for_all_alike() {
    let reason = RefusalReason::Quarantined;
    assert_eq!(drawn(&reason), (QUARANTINE_TIME, QUARANTINE_TIME));
    assert_eq!(reason.status().as_u16(), 503);
}
