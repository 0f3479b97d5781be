//! The runtime of the commands.

use crate::error::CommandError;

/// Runs a command's future on one thread: the processes that the lab starts are tied to the
/// thread that starts them, and there are many endpoints and callers on one machine.
///
/// # Errors
/// [`CommandError`] of the future, or when there is no runtime.
pub fn block_on<T>(
    future: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
