//! Rules of the replicated state on the directory of daemons.

mod support;

use support::log::Log;
use support::{registration, service};

#[test]
fn deltas_tell_what_a_complete_list_would() {
    let mut log = Log::new();
    assert_eq!(log.live(0), (true, vec![], vec![]));
    let mut first = registration("k-1", "kassa", 1);
    log.register(vec![first.clone(), registration("l-1", "lager", 1)]);
    log.register(vec![registration("x-1", "other", 1)]);
    let after_start = log.state.directory().revision();
    assert_eq!(log.live(0).1, ["k-1", "l-1"]);
    assert_eq!(log.live(after_start), (false, vec![], vec![]));
    assert!(
        !log.state
            .directory()
            .has_update(&[service("kassa")], after_start)
    );
    first.endpoint.as_mut().expect("has one").draining = true;
    log.register(vec![first.clone()]);
    assert!(
        !log.state
            .directory()
            .has_update(&[service("lager")], after_start)
    );
    assert!(
        log.state
            .directory()
            .has_update(&[service("kassa")], after_start)
    );
    assert_eq!(
        log.live(after_start),
        (false, vec!["k-1".to_owned()], vec![])
    );
    // It moves to another service that the daemon asks for, then one that it does not.
    first.endpoint.as_mut().expect("has one").service = service("lager");
    log.register(vec![first.clone()]);
    assert_eq!(
        log.live(after_start),
        (false, vec!["k-1".to_owned()], vec![])
    );
    first.endpoint.as_mut().expect("has one").service = service("other");
    log.register(vec![first.clone()]);
    assert_eq!(
        log.live(after_start),
        (false, vec![], vec!["k-1".to_owned()])
    );
    let unknown = log.state.directory().revision() + 1;
    assert!(
        log.live(unknown).0,
        "a revision from nowhere gets everything"
    );
}

#[test]
fn only_the_incarnation_that_fell_silent_expires() {
    let mut log = Log::new();
    let first = registration("k-1", "kassa", 1);
    let second = registration("k-1", "kassa", 2);
    log.register(vec![first.clone()]);
    log.register(vec![second.clone()]);
    log.expire(&first);
    assert_eq!(log.live(0).1, ["k-1"]);
    // Another daemon takes the endpoint over; the old one's end does not touch it.
    let mut heir = registration("k-1b", "kassa", 1);
    heir.endpoint = second.endpoint.clone();
    log.register(vec![heir.clone()]);
    log.expire(&second);
    assert_eq!(log.live(0).1, ["k-1"]);
    log.expire(&heir);
    assert_eq!(log.live(0).1, Vec::<String>::new());
}
