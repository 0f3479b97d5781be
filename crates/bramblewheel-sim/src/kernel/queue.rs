//! Events in the order of their time; those of one time in the order they were put in.

use bramblewheel_types::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Orders the events: time, then order of entry; the last is the slot that holds the event.
type Key = (u64, u64, u32);

/// Events in the order of their time.
///
/// The heap holds small keys only; events rest in slots that are used again.
#[derive(Debug)]
pub(super) struct Queue<E> {
    heap: BinaryHeap<Reverse<Key>>,
    slots: Vec<Option<E>>,
    free: Vec<u32>,
    entered: u64,
}

impl<E> Queue<E> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            entered: 0,
        }
    }

    /// Puts an event in.
    pub(super) fn push(&mut self, at: Timestamp, event: E) {
        let slot = self.occupy(event);
        self.requeue(at, slot);
    }

    /// Puts a popped event in again; see [`pop_slot`](Self::pop_slot).
    pub(super) fn requeue(&mut self, at: Timestamp, slot: u32) {
        self.entered += 1;
        self.heap.push(Reverse((at.0, self.entered, slot)));
    }

    fn occupy(&mut self, event: E) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.slots[slot as usize] = Some(event);
            return slot;
        }
        let slot = u32::try_from(self.slots.len()).expect("under four billion events wait");
        self.slots.push(Some(event));
        slot
    }

    /// Time of the next event.
    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, _, _))| Timestamp(*at))
    }

    /// Takes the next event out of the order, but leaves it in its slot.
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

    /// Empties a slot.
    pub(super) fn take(&mut self, slot: u32) -> E {
        self.free.push(slot);
        self.slots[slot as usize]
            .take()
            .expect("the slot is occupied")
    }
}
