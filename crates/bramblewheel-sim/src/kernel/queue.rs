//! Event queue ordered by time, then by insertion.

use bramblewheel_types::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time in microseconds, insertion number, and slot of the event.
type Key = (u64, u64, u32);

/// Event queue ordered by time, then by insertion.
///
/// The heap holds only small keys; the events stay in reusable slots.
#[derive(Debug)]
pub(super) struct Queue<E> {
    heap: BinaryHeap<Reverse<Key>>,
    slots: Vec<Option<E>>,
    free: Vec<u32>,
    inserted: u64,
}

impl<E> Queue<E> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            inserted: 0,
        }
    }

    /// Inserts an event.
    pub(super) fn push(&mut self, at: Timestamp, event: E) {
        let slot = self.occupy(event);
        self.requeue(at, slot);
    }

    /// Inserts an event again that was popped; see [`pop_slot`](Self::pop_slot).
    pub(super) fn requeue(&mut self, at: Timestamp, slot: u32) {
        self.inserted += 1;
        self.heap.push(Reverse((at.0, self.inserted, slot)));
    }

    fn occupy(&mut self, event: E) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.slots[slot as usize] = Some(event);
            return slot;
        }
        let slot = u32::try_from(self.slots.len()).expect("fewer than 2^32 events are queued");
        self.slots.push(Some(event));
        slot
    }

    /// Time of the next event.
    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, _, _))| Timestamp(*at))
    }

    /// Removes the next event from the heap, but leaves it in its slot.
    pub(super) fn pop_slot(&mut self) -> Option<(Timestamp, u32)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        Some((Timestamp(at), slot))
    }

    /// The event in a slot.
    pub(super) fn peek(&self, slot: u32) -> &E {
        self.slots[slot as usize]
            .as_ref()
            .expect("the slot is occupied")
    }

    /// Removes the event from a slot and frees the slot.
    pub(super) fn take(&mut self, slot: u32) -> E {
        self.free.push(slot);
        self.slots[slot as usize]
            .take()
            .expect("the slot is occupied")
    }
}
