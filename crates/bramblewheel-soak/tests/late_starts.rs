//! Runs that began after the end of their requests.

use bramblewheel_soak::history::{End, Events, Kind, NewRequest, Run};
use bramblewheel_soak::late_starts::late_starts;
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(id: &str, begun: u64) -> Run {
    Run {
        id: id.to_owned(),
        endpoint: "e-1".to_owned(),
        started: 1,
        daemon: 7,
        caller_service: None,
        at: at(begun),
        ended: None,
    }
}

/// A history with one request, which ended at 500 ms.
fn history(end: End) -> Events {
    let history = bramblewheel_soak::history::History::default();
    let request = NewRequest::short("r-1".to_owned(), Kind::Once, 3, at(3_000));
    history.record_request(request);
    let mut events = history.events().clone();
    events.requests[0].ended = Some((at(500), end));
    events
}

#[test]
fn run_after_the_end_of_its_request_is_counted() {
    let mut events = history(End::Unanswered);
    events.runs = vec![run("r-1", 499), run("r-1", 533), run("unknown", 700)];
    let found = late_starts(&events);
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].daemon, found[0].late), (7, at(33)));
}

#[test]
fn request_that_was_never_sent_has_no_end() {
    let mut events = history(End::NotSent);
    events.runs = vec![run("r-1", 533)];
    assert_eq!(late_starts(&events), []);
}
