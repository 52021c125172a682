//! How many calls of a plain service are under way at once, and who waits for one to end.
//!
//! Answers the load of bursts beyond what a service's slots carry. Its backend servers queue four times
//! as many calls as they work on, so that each call there takes as long as the goal allows and nobody
//! is in time, though the service is busy with nothing but calls. Each entry keeps as many under way as
//! leave the queues short: one more for each round of calls that met short ones, a tenth less when one
//! met a long one. All entries see the same queues, so their shares add up to what the slots carry
//! without a message. The others wait here, the earliest goal first, or hear at once that they can't be
//! in time.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::outcome::{Fate, Load};
use crate::plain::{START_MS, STUCK};

/// Calls under way that an entry begins with; a calm entry has one or two, and a round of calls adds
/// one where that is not enough.
pub const FIRST: f64 = 4.0;
/// Fewest; an entry always finds out how the service fares.
const LEAST: f64 = 1.0;
/// Most, a guard only.
const MOST: f64 = 512.0;
/// Queue by slots from which on it is long: a call behind it takes half as long again.
pub const LONG: f64 = 0.5;
/// Part that is left of the calls under way after one met a long queue.
const LESS: f64 = 0.9;
/// The same after one was turned away.
const MUCH_LESS: f64 = 0.7;
/// Weight of a new call's time: about the last ten count.
const NEW_WEIGHT: f64 = 0.1;
/// Longest wait as a part of the goal: a call behind it is still in time. With 0.15 of 100 commits 13.7
/// were refused at twice what the slots carry, with this 11.5.
pub const WAIT_PART: f64 = 0.5;

/// Names a waiting call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// What to do with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Send it now.
    Go,
    /// Wait for a call to end, at most until this moment.
    Wait(Timestamp),
    /// It can't be in time.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    /// When its answer is in time.
    goal: Timestamp,
    /// When it is refused.
    until: Timestamp,
}

/// Calls of one service at this entry.
#[derive(Clone, Debug)]
pub struct Line {
    window: f64,
    open: Vec<Timestamp>,
    waiting: BTreeMap<Ticket, Waiter>,
    next: u64,
    /// Usual time of a call in seconds.
    took: f64,
    /// Calls sent before this moment have been judged by an earlier cut.
    cut_at: Timestamp,
}

impl Default for Line {
    fn default() -> Self {
        Line {
            window: FIRST,
            open: Vec::new(),
            waiting: BTreeMap::new(),
            next: 0,
            took: START_MS / 1e3,
            cut_at: Timestamp::default(),
        }
    }
}

impl Line {
    /// A call comes; it is in time until `goal`, which is `length` after its caller began.
    pub fn join(&mut self, now: Timestamp, goal: Timestamp, length: Duration) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let until = now.after(length.mul_f64(WAIT_PART));
        self.waiting.insert(ticket, Waiter { goal, until });
        ticket
    }

    /// A call was sent, refused, or its caller is gone.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// What a waiting call should do now.
    pub fn turn(&self, now: Timestamp, ticket: Ticket) -> Turn {
        let Some(waiter) = self.waiting.get(&ticket) else {
            return Turn::Refuse;
        };
        let rank = |t: Ticket, w: &Waiter| (w.goal, t);
        let mine = rank(ticket, waiter);
        let ahead = self.waiting.iter().filter(|(t, w)| rank(**t, w) < mine).count() as f64;
        let missing = ahead + 1.0 - self.free(now);
        if missing <= 0.0 {
            return Turn::Go;
        }
        // A round of calls ends in the usual time.
        let begins = now.after(Duration::from_secs_f64(missing * self.took / self.window));
        if now >= waiter.until || begins > waiter.until {
            return Turn::Refuse;
        }
        Turn::Wait(waiter.until)
    }

    /// Is there room for one more now, with nobody waiting for it?
    pub fn has_room(&self, now: Timestamp) -> bool {
        self.free(now) >= 1.0 && self.waiting.is_empty()
    }

    /// A call was sent.
    pub fn sent(&mut self, now: Timestamp) {
        self.open.push(now);
    }

    /// A call ended that was sent at `sent`.
    pub fn ended(&mut self, now: Timestamp, sent: Timestamp, fate: Fate, load: Option<Load>) {
        let full = self.free(now) < 1.0;
        self.dropped(sent);
        if let Fate::Answered(_) = fate {
            let took = now.since(sent).as_secs_f64();
            self.took += NEW_WEIGHT * (took.min(STUCK.as_secs_f64()) - self.took);
        }
        let queue = load.map_or(0.0, |l| f64::from(l.waiting) / f64::from(l.slots.max(1)));
        match fate {
            Fate::Rejected => self.cut(now, sent, MUCH_LESS),
            _ if queue > LONG => self.cut(now, sent, LESS),
            // A backend server with free slots says that there is room for one more at once.
            Fate::Answered(_) if load.is_some_and(|l| l.running < l.slots) && full => {
                self.grow(1.0)
            }
            Fate::Answered(_) if full => self.grow(1.0 / self.window),
            _ => {}
        }
    }

    /// A call was given up; nothing is learnt from it.
    pub fn dropped(&mut self, sent: Timestamp) {
        if let Some(i) = self.open.iter().position(|at| *at == sent) {
            self.open.swap_remove(i);
        }
    }

    /// Calls that may be under way at once.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn grow(&mut self, more: f64) {
        self.window = (self.window + more).min(MOST);
    }

    /// One cut for all calls that were under way together.
    fn cut(&mut self, now: Timestamp, sent: Timestamp, part: f64) {
        if sent >= self.cut_at {
            self.window = (self.window * part).max(LEAST);
            self.cut_at = now;
        }
    }

    /// Calls that may still be sent. Stuck ones don't count: they say something of one backend server,
    /// and would hold up the others.
    fn free(&self, now: Timestamp) -> f64 {
        let open = self.open.iter().filter(|at| now.since(**at) < STUCK).count();
        self.window - open as f64
    }
}
