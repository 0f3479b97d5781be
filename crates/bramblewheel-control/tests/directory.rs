//! Directory of daemons in the replicated state.

mod support;

use support::log::Log;
use support::{registration, service};

#[test]
fn deltas_match_the_complete_list() {
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
    // The endpoint moves to another service that the daemon polls for, then to one that it does not poll for.
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
        "an unknown revision must get the complete list"
    );
}

#[test]
fn expiry_removes_only_the_expired_incarnation() {
    let mut log = Log::new();
    let first = registration("k-1", "kassa", 1);
    let second = registration("k-1", "kassa", 2);
    log.register(vec![first.clone()]);
    log.register(vec![second.clone()]);
    log.expire(&first);
    assert_eq!(log.live(0).1, ["k-1"]);
    // Another daemon registers the endpoint; the expiry of the old daemon must not remove it.
    let mut successor = registration("k-1b", "kassa", 1);
    successor.endpoint = second.endpoint.clone();
    log.register(vec![successor.clone()]);
    log.expire(&second);
    assert_eq!(log.live(0).1, ["k-1"]);
    log.expire(&successor);
    assert_eq!(log.live(0).1, Vec::<String>::new());
}
