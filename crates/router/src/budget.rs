//! Extra arrivals that one entry may cause at a service.
//!
//! The bound holds for all entries together over any window: a share of the requests, and a fixed
//! number. An entry spends the share of its own requests and its part of the fixed number, by the
//! count of live entries, so that the sum keeps the bound without a message.
//!
//! What a send turns out to be is known only afterwards: a prompt that an engine accepts is no extra
//! arrival, one that is lost makes the run behind it one. So each request holds what its next send may
//! cost (`Arrivals`), and gives back what it did not.

use std::collections::VecDeque;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::node::Bounds;

/// Part of the bound that is used. The rest covers arrivals that are under way when a window is
/// counted, and callers that spread unevenly over the entries.
pub const USED_PART: f64 = 0.8;

/// Part of the fixed number that a process has at its start. With its predecessor's full use, which
/// it can't know, the sum is still the bound: 0.8 and a quarter of 0.8.
pub const START_PART: f64 = 0.25;

/// Window of one service at one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    /// When the process started; the fixed part grows to its full size within one window.
    born_at: Timestamp,
    requests: VecDeque<Timestamp>,
    extras: VecDeque<Timestamp>,
    /// Extra arrivals that requests hold and have not caused.
    held: usize,
}

impl Budget {
    /// A window of a process that started at `born_at`.
    pub fn new(born_at: Timestamp) -> Self {
        Budget { born_at, requests: VecDeque::new(), extras: VecDeque::new(), held: 0 }
    }

    /// A caller's request for the service came in.
    pub fn earn(&mut self, now: Timestamp, bounds: &Bounds) {
        self.expire(now, bounds.budget_window);
        self.requests.push_back(now);
    }

    /// Holds extra arrivals for a request, if there is what that asks for; `entries` is the count of live
    /// entries.
    pub fn hold(&mut self, now: Timestamp, bounds: &Bounds, entries: usize, lack: Lack) -> bool {
        let left = self.left(now, bounds, entries);
        let count = match lack {
            Lack::Sure(count) if left >= f64::from(count) => count,
            Lack::Unlikely if left > 0.0 => 1,
            Lack::Sure(_) | Lack::Unlikely => return false,
        };
        self.held += count as usize;
        true
    }

    /// A held one takes place.
    pub fn spend(&mut self, now: Timestamp) {
        self.held = self.held.saturating_sub(1);
        self.extras.push_back(now);
    }

    /// The latest one did not take place; it is held again.
    pub fn take_back(&mut self) {
        if self.extras.pop_back().is_some() {
            self.held += 1;
        }
    }

    /// So many are not held any more.
    pub fn release(&mut self, count: u32) {
        self.held = self.held.saturating_sub(count as usize);
    }

    /// Extra arrivals left in the present window.
    pub fn left(&mut self, now: Timestamp, bounds: &Bounds, entries: usize) -> f64 {
        self.expire(now, bounds.budget_window);
        let window = bounds.budget_window.as_secs_f64().max(1e-3);
        let age = now.since(self.born_at).as_secs_f64();
        let grown = (START_PART + age / window).min(1.0);
        let fixed = grown * bounds.budget_extra / entries.max(1) as f64;
        let share = bounds.budget_ratio * self.requests.len() as f64;
        (fixed + share) * USED_PART - (self.extras.len() + self.held) as f64
    }

    /// Requests, extra arrivals and held ones in the present window, as of the last look.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.extras.len(), self.held)
    }

    fn expire(&mut self, now: Timestamp, window: Duration) {
        let start = now.before(window);
        for queue in [&mut self.requests, &mut self.extras] {
            while queue.front().is_some_and(|at| *at < start) {
                queue.pop_front();
            }
        }
    }
}

/// What a request sends next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Its prompt, to be read only; a run follows.
    Prompt,
    /// Itself.
    Run,
}

/// Extra arrivals that a request must hold for its next send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// So many will take place.
    Sure(u32),
    /// One, only if the prompt is not accepted: whatever is left suffices, since an entry among many has
    /// less than a whole one for its first requests.
    Unlikely,
}

impl Lack {
    /// Extra arrivals that are held for it.
    pub fn count(self) -> u32 {
        match self {
            Lack::Sure(count) => count,
            Lack::Unlikely => 1,
        }
    }
}

/// Arrivals of one request, and the extra ones that it holds or has caused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Arrivals {
    /// All but the first prompt that was accepted.
    count: u32,
    /// Taken from the budget.
    taken: u32,
    /// A prompt was accepted.
    read: bool,
}

impl Arrivals {
    /// Arrivals so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// What to hold before the next send, so that a run can follow whatever becomes of it.
    pub fn lacks(&self, next: Next) -> Option<Lack> {
        let needs = self.count + u32::from(next == Next::Prompt);
        match needs.saturating_sub(self.taken) {
            0 => None,
            1 if self.count == 0 => Some(Lack::Unlikely),
            count => Some(Lack::Sure(count)),
        }
    }

    /// It was held.
    pub fn take(&mut self, lack: Lack) {
        self.taken += lack.count();
    }

    /// It is sent; true when that is an extra arrival.
    pub fn send(&mut self) -> bool {
        self.count += 1;
        self.count > 1
    }

    /// The latest send reached nobody; true when it was counted as an extra arrival.
    pub fn unsend(&mut self) -> bool {
        self.count = self.count.saturating_sub(1);
        self.count > 0
    }

    /// The latest prompt was accepted; true when it was counted as an extra arrival and is none.
    pub fn accept(&mut self) -> bool {
        !std::mem::replace(&mut self.read, true) && self.unsend()
    }

    /// Gives up what a run would not need.
    pub fn spare(&mut self) -> u32 {
        let spare = self.taken.saturating_sub(self.count);
        self.taken -= spare;
        spare
    }

    /// The request is over; gives up what it holds.
    pub fn close(self) -> u32 {
        self.taken.saturating_sub(self.count.saturating_sub(1))
    }
}
