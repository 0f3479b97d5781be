//! Lateness of the processes under test, read from their logs, and the flag for suspensions.

use bramblewheel_soak::lateness::late_lines;
use bramblewheel_soak::suspensions::Suspensions;
use std::ops::RangeInclusive;
use std::time::Duration;

#[test]
fn late_processes_are_read_from_a_log() {
    let log = "level=INFO msg=stopping at=1000 in_progress=3\n\
               level=WARN msg=\"process was late\" at=2500 without_line=0 late_ms=626\n\
               level=WARN msg=\"process was late\" at=cut\n\
               level=WARN msg=\"process was late\" at=4000 without_line=1 late_ms=100\n";
    let found: Vec<_> = late_lines(log).collect();
    let expected = [
        (2_500, Duration::from_millis(626)),
        (4_000, Duration::from_millis(100)),
    ];
    assert_eq!(found, expected);
}

fn suspensions(millis: RangeInclusive<u64>) -> Suspensions {
    Suspensions {
        millis,
        group: None,
        is_past_last_fault: false,
    }
}

#[test]
fn ranges_of_suspensions_are_read() {
    let read = |stated| Suspensions::read(Some(stated), None, false);
    assert_eq!(read("50-900"), Ok(Some(suspensions(50..=900))));
    assert_eq!(read("300-300"), Ok(Some(suspensions(300..=300))));
    let of_groups = Suspensions {
        group: Some(20..=40),
        is_past_last_fault: true,
        ..suspensions(900..=2_900)
    };
    let read = Suspensions::read(Some("900-2900"), Some("20-40"), true);
    assert_eq!(read, Ok(Some(of_groups)));
    assert_eq!(Suspensions::read(None, None, false), Ok(None));
}

#[test]
fn invalid_ranges_of_suspensions_are_refused() {
    for stated in ["", "300", "0-900", "900-300", "-5-10", "1.5-3", "a-b"] {
        let of_times = Suspensions::read(Some(stated), None, false);
        let error = of_times.expect_err(stated).to_string();
        assert!(error.contains(&format!("--suspend-ms {stated}")), "{error}");
        let of_groups = Suspensions::read(Some("50-900"), Some(stated), false);
        let error = of_groups.expect_err(stated).to_string();
        assert!(
            error.contains(&format!("--suspend-groups {stated}")),
            "{error}"
        );
    }
}

#[test]
fn flags_for_groups_need_a_time() {
    let without_time = [
        (Some("2-3"), false, "--suspend-groups"),
        (None, true, "--suspend-past-last-fault"),
    ];
    for (groups, is_past_last_fault, flag) in without_time {
        let read = Suspensions::read(None, groups, is_past_last_fault);
        let error = read.expect_err(flag).to_string();
        assert_eq!(error, format!("{flag} needs --suspend-ms"));
    }
}
