//! A queue of simulated events, ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// Pending events; events of the same time come out in the order in which they were scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<(Reverse<Timestamp>, Reverse<u64>, usize)>,
    events: Vec<Option<E>>,
    free_slots: Vec<usize>,
    seq: u64,
    now: Timestamp,
}

impl<E> EventQueue<E> {
    /// An empty queue whose clock is at `now`.
    pub fn new(now: Timestamp) -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            seq: 0,
            now,
        }
    }

    /// Current simulated time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Schedules an event after a delay.
    pub fn schedule(&mut self, delay: Duration, event: E) {
        let at = self.now.after(delay);
        self.seq += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.heap.push((Reverse(at), Reverse(self.seq), slot));
    }

    /// Removes the next event due before `end`, and advances the clock to it.
    pub fn pop_before(&mut self, end: Timestamp) -> Option<E> {
        let (Reverse(at), ..) = self.heap.peek()?;
        if *at >= end {
            return None;
        }
        let (Reverse(at), _, slot) = self.heap.pop()?;
        self.now = at;
        self.free_slots.push(slot);
        self.events[slot].take()
    }
}
