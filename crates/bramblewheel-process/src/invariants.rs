//! What a process does when an invariant is broken.

use std::sync::{Mutex, MutexGuard};

/// Makes a panic of any thread end the process, after its report: a panic is a broken invariant,
/// and the process ends rather than go on with state it can't trust.
pub fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

/// Locks a mutex of a process that ends on a panic.
///
/// # Panics
/// When it is poisoned, which [`abort_on_panic`] rules out.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("a panic under the lock ends the process, so the lock is never poisoned")
}
