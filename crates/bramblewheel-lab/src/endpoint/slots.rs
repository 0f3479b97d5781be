//! Slots of an endpoint and its short queue.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Requests that may wait per slot. A short queue lets a slot that becomes free be used at once; longer queueing is
/// done in the daemon.
const WAITING_PER_SLOT: u32 = 1;

/// Slots of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    free: Arc<Semaphore>,
    count: u32,
    waiting: Arc<AtomicU32>,
}

/// A slot in use; released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// No slot is free and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// A place in the queue; released when dropped.
struct QueuePlace(Arc<AtomicU32>);

impl Drop for QueuePlace {
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

    /// Takes a slot, or waits in the queue for one.
    pub(super) async fn take(&self) -> Result<Slot, Full> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let queue_place = QueuePlace(Arc::clone(&self.waiting));
        if waiting >= self.count * WAITING_PER_SLOT {
            return Err(Full);
        }
        let permit = Arc::clone(&self.free).acquire_owned().await;
        drop(queue_place);
        let permit = permit.expect("the semaphore is never closed");
        Ok(Slot { _permit: permit })
    }

    /// Number of slots in use.
    pub(super) fn busy(&self) -> u32 {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(self.count);
        self.count.saturating_sub(free)
    }

    /// Total number of slots.
    pub(super) fn count(&self) -> u32 {
        self.count
    }
}
