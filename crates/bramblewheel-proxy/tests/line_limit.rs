//! Log lines of events that others cause stay bounded, and the lines give the number of the others.

use bramblewheel_proxy::control::line_limit::LineLimit;
use bramblewheel_types::Timestamp;

/// 10,000 events a second for ten seconds, of two kinds.
#[test]
fn a_flood_gets_one_line_a_second_for_each_kind() {
    let limit = LineLimit::default();
    for kind in ["one", "other"] {
        let mut lines = 0;
        let mut without_line = 0;
        for event in 0..100_000_u64 {
            let now = Timestamp::from_millis(event / 10);
            if let Some(left_out) = limit.count(now, kind) {
                lines += 1;
                without_line += left_out;
            }
        }
        assert_eq!(lines, 10);
        assert_eq!(
            without_line, 89_991,
            "all but the lines and the last second's"
        );
    }
}

#[test]
fn the_first_event_after_a_pause_is_logged_at_once() {
    let limit = LineLimit::default();
    assert_eq!(limit.count(Timestamp::from_millis(0), "one"), Some(0));
    assert_eq!(limit.count(Timestamp::from_millis(1), "one"), None);
    assert_eq!(limit.count(Timestamp::from_millis(1_500), "one"), Some(1));
}
