//! Async runtime of the commands.

use crate::error::CommandError;

/// Runs a command's future on a single thread: a child process receives its parent-death signal when the thread
/// that started it exits, and many endpoints and callers share one machine.
///
/// # Errors
/// [`CommandError`] of the future, or when the runtime can't be built.
pub fn block_on<T>(
    future: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
