//! The rate of log lines for events that another program can trigger is limited, and each line gives the number of
//! events not logged before it.

use bramblewheel_proxy::control::line_limit::LineLimit;
use bramblewheel_types::Timestamp;

/// 10,000 events per second for ten seconds, of two kinds.
#[test]
fn event_flood_is_logged_once_per_second_for_each_kind() {
    let limit = LineLimit::default();
    for kind in ["one", "other"] {
        let mut lines = 0;
        let mut without_line = 0;
        for event in 0..100_000_u64 {
            let now = Timestamp::from_millis(event / 10);
            if let Some(suppressed) = limit.count(now, kind) {
                lines += 1;
                without_line += suppressed;
            }
        }
        assert_eq!(lines, 10);
        assert_eq!(
            without_line, 89_991,
            "all events except those logged and those of the last second"
        );
    }
}

#[test]
fn first_event_after_a_pause_is_logged_at_once() {
    let limit = LineLimit::default();
    assert_eq!(limit.count(Timestamp::from_millis(0), "one"), Some(0));
    assert_eq!(limit.count(Timestamp::from_millis(1), "one"), None);
    assert_eq!(limit.count(Timestamp::from_millis(1_500), "one"), Some(1));
}
