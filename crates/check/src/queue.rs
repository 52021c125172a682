//! Events in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// Events to come.
pub struct Queue<E> {
    heap: BinaryHeap<(Reverse<Timestamp>, Reverse<u64>, usize)>,
    events: Vec<Option<E>>,
    free: Vec<usize>,
    seq: u64,
    now: Timestamp,
}

impl<E> Queue<E> {
    /// Nothing is to come; it is `now`.
    pub fn new(now: Timestamp) -> Self {
        Queue { heap: BinaryHeap::new(), events: Vec::new(), free: Vec::new(), seq: 0, now }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Something happens after a while.
    pub fn after(&mut self, wait: Duration, event: E) {
        let at = self.now.after(wait);
        self.seq += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.heap.push((Reverse(at), Reverse(self.seq), slot));
    }

    /// The next event, if it comes before `end`.
    pub fn next(&mut self, end: Timestamp) -> Option<E> {
        let (Reverse(at), ..) = self.heap.peek()?;
        if *at >= end {
            return None;
        }
        let (Reverse(at), _, slot) = self.heap.pop()?;
        self.now = at;
        self.free.push(slot);
        self.events[slot].take()
    }
}
