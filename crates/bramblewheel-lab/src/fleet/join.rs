//! Concurrent execution of futures that may fail.

use super::error::FleetError;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// Runs futures concurrently until all have completed or the first one fails.
///
/// # Errors
/// The first error; the other futures are dropped.
pub async fn join_all<F>(futures: impl Iterator<Item = F>) -> Result<(), FleetError>
where
    F: Future<Output = Result<(), FleetError>>,
{
    let mut running: Vec<Pin<Box<F>>> = futures.map(Box::pin).collect();
    poll_fn(|context| {
        let mut index = 0;
        while index < running.len() {
            match running[index].as_mut().poll(context) {
                Poll::Pending => index += 1,
                Poll::Ready(Ok(())) => drop(running.swap_remove(index)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            }
        }
        if running.is_empty() {
            Poll::Ready(Ok(()))
        } else {
            Poll::Pending
        }
    })
    .await
}
