//! Slots of one backend server: who gets the next one, and when.
//!
//! Urgent work goes first, earliest deadline first within a class. Slow work leaves a reserve that
//! follows the urgent work seen lately, so an idle reserve is lent out. Slow work never starves:
//! after `URGENT_STREAK` urgent grants in a row while slow work waits, a slow one is granted.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::config::Class;
use crate::ids::Attempt;
use crate::time::Moment;

/// Urgent grants in a row, at most, while slow work waits.
pub const URGENT_STREAK: u32 = 4;
/// How long an urgent peak keeps its reserve.
pub const RESERVE_MEMORY: Duration = Duration::from_secs(10);
/// Share of the slots that the reserve may take, as a divisor.
const RESERVE_SHARE: u32 = 4;

/// When the first byte of work with a slot at `at` may be counted on: a moment further ahead is
/// known less well, and slow work has its prompt brought over after the slot came free.
pub fn first_at(now: Moment, at: Moment, class: Class) -> Moment {
    let margin = match class {
        Class::Urgent => Duration::from_millis(50),
        Class::Slow => Duration::from_millis(250),
    };
    at.after(at.since(now) / 10).after(margin)
}

/// What the machine needs to know of a piece of work.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Its class.
    pub class: Class,
    /// When its first byte is wanted.
    pub first_by: Moment,
    /// When its answer is of no use any more.
    pub deadline: Moment,
    /// How long it holds a slot, estimated.
    pub hold: Duration,
}

/// Answer to an admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// A slot is taken now.
    Now,
    /// It waits; a slot is expected at this moment.
    At(Moment),
    /// Too late or too many; worth asking again at this moment.
    Full(Moment),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    attempt: Attempt,
    hold: Duration,
}

/// The slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    total: u32,
    queue_limit: usize,
    running: HashMap<Attempt, (Class, Moment)>,
    urgent: BTreeMap<(Moment, u64), Waiting>,
    slow: BTreeMap<(Moment, u64), Waiting>,
    seq: u64,
    streak: u32,
    peaks: VecDeque<(Moment, u32)>,
}

impl Slots {
    /// `total` slots and at most `queue_limit` waiting pieces of work.
    pub fn new(total: u32, queue_limit: usize) -> Self {
        Slots {
            total,
            queue_limit,
            running: HashMap::new(),
            urgent: BTreeMap::new(),
            slow: BTreeMap::new(),
            seq: 0,
            streak: 0,
            peaks: VecDeque::new(),
        }
    }

    /// Slots in all.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Slots in use.
    pub fn used(&self) -> u32 {
        self.running.len() as u32
    }

    /// Pieces of work that wait.
    pub fn waiting(&self) -> usize {
        self.urgent.len() + self.slow.len()
    }

    /// Attempts that hold a slot.
    pub fn holders(&self) -> impl Iterator<Item = &Attempt> {
        self.running.keys()
    }

    /// Asks for a slot.
    pub fn admit(&mut self, now: Moment, attempt: Attempt, need: Need) -> Grant {
        let class_waits = match need.class {
            Class::Urgent => !self.urgent.is_empty(),
            Class::Slow => !self.slow.is_empty(),
        };
        if !class_waits && self.may_take(now, need.class) {
            self.take(now, attempt, need.class, need.hold);
            return Grant::Now;
        }
        let at = self.free_at(now, need.class);
        let hopeless =
            first_at(now, at, need.class) > need.first_by || at.after(need.hold) > need.deadline;
        if hopeless || self.waiting() >= self.queue_limit {
            return Grant::Full(at);
        }
        self.seq += 1;
        let queue = match need.class {
            Class::Urgent => &mut self.urgent,
            Class::Slow => &mut self.slow,
        };
        queue.insert(
            (need.deadline, self.seq),
            Waiting {
                attempt,
                hold: need.hold,
            },
        );
        Grant::At(at)
    }

    /// The work of a holder begins only now: its slot comes free later than was thought.
    pub fn begin(&mut self, now: Moment, attempt: &Attempt, hold: Duration) {
        if let Some((_, end)) = self.running.get_mut(attempt) {
            *end = now.after(hold);
        }
    }

    /// Gives a slot back, or leaves the queue.
    pub fn release(&mut self, attempt: &Attempt) {
        self.running.remove(attempt);
        self.urgent.retain(|_, w| w.attempt != *attempt);
        self.slow.retain(|_, w| w.attempt != *attempt);
    }

    /// Hands free slots to those that wait; returns who got one.
    pub fn grant(&mut self, now: Moment) -> Vec<Attempt> {
        let mut granted = Vec::new();
        while let Some((class, waiting)) = self.pop(now) {
            self.take(now, waiting.attempt, class, waiting.hold);
            granted.push(waiting.attempt);
        }
        granted
    }

    /// Removes waiting work that can't end in time any more.
    pub fn expire(&mut self, now: Moment) -> Vec<Attempt> {
        let mut late = Vec::new();
        for queue in [&mut self.urgent, &mut self.slow] {
            queue.retain(|(deadline, _), w| {
                let keep = now.after(w.hold) <= *deadline;
                if !keep {
                    late.push(w.attempt);
                }
                keep
            });
        }
        late
    }

    /// Those that wait, in the order in which they will get slots, with the moment of each as far as
    /// the ends of running work tell.
    pub fn expected(&self, now: Moment) -> Vec<(Attempt, Moment)> {
        let urgent = self
            .urgent
            .values()
            .map(|w| w.attempt)
            .zip(self.ends(now, Class::Urgent));
        let slow = self
            .slow
            .values()
            .map(|w| w.attempt)
            .zip(self.ends(now, Class::Slow));
        urgent.chain(slow).collect()
    }

    /// When the slots that work of this class may take come free, the earliest first.
    ///
    /// Urgent work may take any slot. Slow work gets none by an urgent end, which only refills the
    /// reserve: it gets those that are free beyond the reserve, and then those of slow work.
    fn ends(&self, now: Moment, class: Class) -> Vec<Moment> {
        let of = |c: Class| {
            self.running
                .values()
                .filter(move |(k, _)| *k == c)
                .map(move |(_, end)| (*end).max(now))
        };
        let urgent_held = of(Class::Urgent).count();
        let mut ends: Vec<Moment> = of(Class::Slow).collect();
        let slots = match class {
            Class::Urgent => {
                ends.extend(of(Class::Urgent));
                self.total as usize
            }
            Class::Slow => {
                let kept = urgent_held.max(self.reserve(now) as usize);
                (self.total as usize).saturating_sub(kept)
            }
        };
        ends.sort_unstable();
        match slots.checked_sub(ends.len()) {
            Some(free) => std::iter::repeat_n(now, free).chain(ends).collect(),
            // More slow work runs than may at present: its first ends free nothing.
            None => ends.split_off(ends.len() - slots.max(1)),
        }
    }

    /// When a new piece of work of this class would get a slot.
    pub fn free_at(&self, now: Moment, class: Class) -> Moment {
        if self.waiting() == 0 && self.may_take(now, class) {
            return now;
        }
        let ahead: Vec<Duration> = match class {
            Class::Urgent => self.urgent.values().map(|w| w.hold).collect(),
            Class::Slow => self.slow.values().map(|w| w.hold).collect(),
        };
        let mut heap: std::collections::BinaryHeap<std::cmp::Reverse<Moment>> = self
            .ends(now, class)
            .into_iter()
            .map(std::cmp::Reverse)
            .collect();
        for hold in ahead {
            if let Some(std::cmp::Reverse(end)) = heap.pop() {
                heap.push(std::cmp::Reverse(end.after(hold)));
            }
        }
        heap.pop().map_or(now, |r| r.0)
    }

    /// Slots kept from slow work now.
    pub fn reserve(&self, now: Moment) -> u32 {
        let recent = self
            .peaks
            .iter()
            .filter(|(at, _)| at.after(RESERVE_MEMORY) > now);
        let peak = recent.map(|(_, n)| *n).max();
        peak.map_or(0, |p| p + 1).min(self.total / RESERVE_SHARE)
    }

    fn may_take(&self, now: Moment, class: Class) -> bool {
        let free = self.total.saturating_sub(self.used());
        match class {
            Class::Urgent => free > 0,
            Class::Slow => {
                let held = self
                    .running
                    .values()
                    .filter(|(c, _)| *c == Class::Urgent)
                    .count();
                free > self.reserve(now).saturating_sub(held as u32)
            }
        }
    }

    fn pop(&mut self, now: Moment) -> Option<(Class, Waiting)> {
        let owed = self.streak >= URGENT_STREAK && !self.slow.is_empty();
        if owed && self.used() < self.total {
            return self.slow.pop_first().map(|(_, w)| (Class::Slow, w));
        }
        if !self.urgent.is_empty() && self.may_take(now, Class::Urgent) {
            return self.urgent.pop_first().map(|(_, w)| (Class::Urgent, w));
        }
        if !self.slow.is_empty() && self.may_take(now, Class::Slow) {
            return self.slow.pop_first().map(|(_, w)| (Class::Slow, w));
        }
        None
    }

    fn take(&mut self, now: Moment, attempt: Attempt, class: Class, hold: Duration) {
        self.running.insert(attempt, (class, now.after(hold)));
        match class {
            Class::Slow => self.streak = 0,
            Class::Urgent if self.slow.is_empty() => self.streak = 0,
            Class::Urgent => self.streak += 1,
        }
        if class == Class::Urgent {
            let count = self
                .running
                .values()
                .filter(|(c, _)| *c == Class::Urgent)
                .count();
            self.note_peak(now, count as u32);
        }
    }

    fn note_peak(&mut self, now: Moment, count: u32) {
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| at.after(RESERVE_MEMORY) <= now)
        {
            self.peaks.pop_front();
        }
        while self.peaks.back().is_some_and(|(_, n)| *n <= count) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, count));
    }
}
