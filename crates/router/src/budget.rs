//! Retry budget of one service at one gateway.
//!
//! A retry is an arrival at a service beyond the first of each request. Over any window, retries of all
//! gateways together are bounded by a ratio of the requests plus a fixed number. Each gateway uses the ratio
//! of its own requests and, divided by the count of live gateways, its share of the fixed number, so the sum
//! keeps the bound without messages between gateways.
//!
//! A process that starts again knows nothing of its predecessor's retries, which may still be in the window.
//! Peers tell it (`predecessors`). Until its knowledge covers a whole window it uses only what the
//! predecessors left unused for certain.
//!
//! Whether a send was a retry is known only later: a prompt that an engine accepts is none, but a lost prompt
//! makes the run that follows it one. Each request therefore reserves what its next send may cost
//! (`Arrivals`) and releases what it did not use.

pub mod predecessors;

use std::collections::VecDeque;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::node::Bounds;
use predecessors::{PastUse, WindowUse};

/// Fraction of the bound that is used. The rest covers retries in flight when a window is counted, and
/// callers that are spread unevenly over the gateways.
pub const USED_FRACTION: f64 = 0.8;

/// Fraction that is used while retries of predecessors may be in the window that nobody knows of. They are at
/// most `USED_FRACTION` of the bound, and all processes that started since share the rest: each adds only what
/// its own requests and its own time allow.
pub const UNKNOWN_FRACTION: f64 = 1.0 - USED_FRACTION;

/// Sliding window of requests and retries of one service at one gateway.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Time from which on all requests and retries of this VM are known.
    known_from: Timestamp,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    /// Retries that are reserved and not committed.
    reserved: usize,
    /// What predecessors on this VM have used.
    past: Vec<PastUse>,
}

impl Budget {
    /// An empty window of a process that started at `started_at`.
    pub fn new(started_at: Timestamp) -> Self {
        Budget {
            known_from: started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            reserved: 0,
            past: Vec::new(),
        }
    }

    /// Replaces what is known of predecessors: all that they have used since `known_from`.
    pub fn inherit(&mut self, known_from: Timestamp, past: Vec<PastUse>) {
        self.known_from = self.known_from.min(known_from);
        self.past = past;
    }

    /// Counts a caller's request for the service.
    pub fn on_request(&mut self, now: Timestamp, bounds: &Bounds) {
        self.expire(now, bounds.budget_window);
        self.requests.push_back(now);
    }

    /// Reserves the retries in `required` if enough are available; `gateways` is the count of live gateways.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        bounds: &Bounds,
        gateways: usize,
        required: RequiredRetries,
    ) -> bool {
        let left = self.available(now, bounds, gateways);
        let count = match required {
            RequiredRetries::Sure(count) if left >= f64::from(count) => count,
            RequiredRetries::Unlikely if left > 0.0 => 1,
            RequiredRetries::Sure(_) | RequiredRetries::Unlikely => return false,
        };
        self.reserved += count as usize;
        true
    }

    /// Commits one reserved retry: it was sent.
    pub fn commit(&mut self, now: Timestamp) {
        self.reserved = self.reserved.saturating_sub(1);
        self.retries.push_back(now);
    }

    /// Turns the latest committed retry back into a reservation, since it did not take place.
    pub fn uncommit(&mut self) {
        if self.retries.pop_back().is_some() {
            self.reserved += 1;
        }
    }

    /// Releases reserved retries.
    pub fn release(&mut self, count: u32) {
        self.reserved = self.reserved.saturating_sub(count as usize);
    }

    /// Retries still available in the current window.
    pub fn available(&mut self, now: Timestamp, bounds: &Bounds, gateways: usize) -> f64 {
        self.expire(now, bounds.budget_window);
        let window = bounds.budget_window.as_secs_f64().max(1e-3);
        let known = (now.since(self.known_from).as_secs_f64() / window).min(1.0);
        let fraction = if known < 1.0 { UNKNOWN_FRACTION } else { USED_FRACTION };
        let (mut requests, mut retries) = (self.requests.len() as f64, self.retries.len() as f64);
        for past in &self.past {
            let (earned, spent) = past.in_window(now, bounds.budget_window);
            requests += earned;
            retries += spent;
        }
        let fixed = known * bounds.budget_extra / gateways.max(1) as f64;
        (fixed + bounds.budget_ratio * requests) * fraction - retries - self.reserved as f64
    }

    /// The own requests and committed retries in the window, to be reported to peers; `None` without retries.
    pub fn window_use(&mut self, now: Timestamp, window: Duration) -> Option<WindowUse> {
        self.expire(now, window);
        let retries = self.retries.len() as u32;
        (retries > 0).then_some(WindowUse { requests: self.requests.len() as u32, retries })
    }

    /// Requests, committed retries and reserved retries in the window, as of the last expiry.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.retries.len(), self.reserved)
    }

    fn expire(&mut self, now: Timestamp, window: Duration) {
        let start = now.before(window);
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| *at < start) {
                queue.pop_front();
            }
        }
    }
}

/// Kind of the next send of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextSend {
    /// Only the prompt, for prefill; a run follows.
    Prompt,
    /// The request itself.
    Run,
}

/// Retries that a request must reserve before its next send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequiredRetries {
    /// This many will take place.
    Sure(u32),
    /// One takes place only if the prompt is not accepted. Any remaining fraction is enough, since one of
    /// many gateways has less than one whole retry available for its first requests.
    Unlikely,
}

impl RequiredRetries {
    /// Number of retries to reserve.
    pub fn count(self) -> u32 {
        match self {
            RequiredRetries::Sure(count) => count,
            RequiredRetries::Unlikely => 1,
        }
    }
}

/// Arrivals of one request at its service, and the retries that it has reserved or committed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Arrivals {
    /// All arrivals except the first accepted prompt.
    count: u32,
    /// Retries reserved in the budget, committed ones included.
    reserved: u32,
    /// A prompt was accepted.
    prompt_accepted: bool,
}

impl Arrivals {
    /// Arrivals so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Retries to reserve before the next send, so that a run can follow however the send ends.
    pub fn required_retries(&self, next: NextSend) -> Option<RequiredRetries> {
        let needs = self.count + u32::from(next == NextSend::Prompt);
        match needs.saturating_sub(self.reserved) {
            0 => None,
            1 if self.count == 0 => Some(RequiredRetries::Unlikely),
            count => Some(RequiredRetries::Sure(count)),
        }
    }

    /// Records that `required` was reserved.
    pub fn on_reserved(&mut self, required: RequiredRetries) {
        self.reserved += required.count();
    }

    /// Records a send; true if it is a retry.
    pub fn send(&mut self) -> bool {
        self.count += 1;
        self.count > 1
    }

    /// Undoes the latest send, which reached no backend server; true if it was counted as a retry.
    pub fn on_undelivered(&mut self) -> bool {
        self.count = self.count.saturating_sub(1);
        self.count > 0
    }

    /// Records that the latest prompt was accepted; true if it was counted as a retry and is none.
    pub fn on_prompt_accepted(&mut self) -> bool {
        !std::mem::replace(&mut self.prompt_accepted, true) && self.on_undelivered()
    }

    /// Drops reservations that a run does not need, and returns their number.
    pub fn drop_unneeded(&mut self) -> u32 {
        let unneeded = self.reserved.saturating_sub(self.count);
        self.reserved -= unneeded;
        unneeded
    }

    /// Drops reservations that no send has used, and returns their number.
    pub fn drop_unused(&mut self) -> u32 {
        let unused = self.finish();
        self.reserved -= unused;
        unused
    }

    /// Ends the request, and returns the number of unused reservations.
    pub fn finish(self) -> u32 {
        self.reserved.saturating_sub(self.count.saturating_sub(1))
    }
}
