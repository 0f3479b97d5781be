//! Termination of the process when an invariant is violated.

use std::sync::{Mutex, MutexGuard};

/// Makes a panic in any thread abort the process after the panic is reported. A panic is a violated
/// invariant, after which the process's state can't be trusted.
pub fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

/// Locks a mutex in a process that aborts on a panic.
///
/// # Panics
/// When the mutex is poisoned, which can't occur after [`abort_on_panic`].
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("mutex is poisoned, although a panic aborts the process")
}
