//! What a process does when an invariant is broken.

/// Makes a panic of any thread end the process, after its report: a panic is a broken invariant,
/// and the process ends rather than go on with state it can't trust.
pub fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}
