//! Slots of an endpoint and the short queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Requests that may wait, for each slot. Endpoints queue a little, so that a slot that becomes
/// free is used at once; the long queue is the daemon's.
const WAITING_PER_SLOT: u32 = 1;

/// Slots of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    free: Arc<Semaphore>,
    count: u32,
    waiting: Arc<AtomicU32>,
}

/// A slot in use; free again when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// No slot is free and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// A queue position.
struct Waiting(Arc<AtomicU32>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    pub(super) fn new(count: u32) -> Self {
        Self {
            free: Arc::new(Semaphore::new(count as usize)),
            count,
            waiting: Arc::default(),
        }
    }

    /// Takes a slot, or waits for one in the queue.
    pub(super) async fn take(&self) -> Result<Slot, Full> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let queue_position = Waiting(Arc::clone(&self.waiting));
        if waiting >= self.count * WAITING_PER_SLOT {
            return Err(Full);
        }
        let permit = Arc::clone(&self.free).acquire_owned().await;
        drop(queue_position);
        let permit = permit.expect("the semaphore is never closed");
        Ok(Slot { _permit: permit })
    }

    /// Slots in use.
    pub(super) fn busy(&self) -> u32 {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(self.count);
        self.count.saturating_sub(free)
    }

    /// All slots.
    pub(super) fn count(&self) -> u32 {
        self.count
    }
}
