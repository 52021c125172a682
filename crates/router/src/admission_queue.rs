//! Admission queue for the calls of one plain service at one gateway, with an adaptive concurrency limit.
//!
//! In bursts beyond the capacity of a service, its backend servers queue four times as many calls as they
//! have slots, so every call takes longer than its latency goal although the servers are fully used. Each
//! gateway therefore limits its calls in flight so that the queues stay short: the limit grows by one per
//! round of calls that met short queues, and shrinks by a tenth when a call met a long one. All gateways
//! observe the same queues, so their limits add up to the capacity without messages. Other calls wait here,
//! the most urgent level and the earliest goal first, or are refused at once if they can't be in time.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::outcome::{AttemptOutcome, Load};
use crate::plain_servers::{INITIAL_MS, STUCK_AFTER};

/// Initial concurrency limit. A gateway under normal load has one or two calls in flight, and the limit grows
/// by one per round of calls where that is not enough.
pub const INITIAL_LIMIT: f64 = 4.0;
/// Smallest limit; a gateway must always be able to observe the service.
const LIMIT_MIN: f64 = 1.0;
/// Largest limit, a safeguard only.
const LIMIT_MAX: f64 = 512.0;
/// Queue length per slot above which a queue is long: a call behind it takes half as long again.
pub const LONG_QUEUE: f64 = 0.5;
/// Factor of the limit after a call met a long queue.
const LONG_QUEUE_FACTOR: f64 = 0.9;
/// Factor of the limit after a call was rejected.
const REJECTED_FACTOR: f64 = 0.7;
/// Weight of a new call duration in the average: about the last ten calls count.
const NEW_WEIGHT: f64 = 0.1;
/// Longest wait as a fraction of the goal, so that the call can still be in time. Shorter waits refuse
/// more calls at overload: at twice the capacity, 0.15 refuses 13.7 in 100 commits, 0.5 refuses 11.5.
pub const WAIT_FRACTION: f64 = 0.5;

/// Identifies a waiting call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Admission decision for a waiting call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// Send it now.
    Go,
    /// Wait for another call to end, at most until this time.
    Wait(Timestamp),
    /// Refuse: the call can't be in time.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    /// Urgency level; 0 is the most urgent.
    level: u8,
    /// Latest time of an answer that is in time.
    goal: Timestamp,
    /// Time at which the call is refused.
    refuse_at: Timestamp,
}

/// Calls of one service at this gateway.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limit: f64,
    in_flight: Vec<Timestamp>,
    waiting: BTreeMap<Ticket, Waiter>,
    last_ticket: u64,
    /// Average duration of a call in seconds.
    mean_secs: f64,
    /// Calls sent before this time were covered by an earlier decrease of the limit.
    decreased_at: Timestamp,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        AdmissionQueue {
            limit: INITIAL_LIMIT,
            in_flight: Vec::new(),
            waiting: BTreeMap::new(),
            last_ticket: 0,
            mean_secs: INITIAL_MS / 1e3,
            decreased_at: Timestamp::default(),
        }
    }
}

impl AdmissionQueue {
    /// Adds a call of an urgency level. It is in time until `goal`, which is `length` after its caller
    /// started.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        level: u8,
        goal: Timestamp,
        length: Duration,
    ) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let refuse_at = now.after(length.mul_f64(WAIT_FRACTION));
        self.waiting.insert(ticket, Waiter { level, goal, refuse_at });
        ticket
    }

    /// Removes a call that was sent, refused or abandoned by its caller.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Decides what a waiting call does now.
    pub fn decide(&self, now: Timestamp, ticket: Ticket) -> QueueDecision {
        let Some(waiter) = self.waiting.get(&ticket) else {
            return QueueDecision::Refuse;
        };
        let rank = |t: Ticket, w: &Waiter| (w.level, w.goal, t);
        let own_rank = rank(ticket, waiter);
        let ahead = self.waiting.iter().filter(|(t, w)| rank(**t, w) < own_rank).count() as f64;
        let shortfall = ahead + 1.0 - self.free_slots(now);
        if shortfall <= 0.0 {
            return QueueDecision::Go;
        }
        // One round of calls ends within the average duration.
        let starts_at = now.after(Duration::from_secs_f64(shortfall * self.mean_secs / self.limit));
        if now >= waiter.refuse_at || starts_at > waiter.refuse_at {
            return QueueDecision::Refuse;
        }
        QueueDecision::Wait(waiter.refuse_at)
    }

    /// Whether one more call can be sent now and no other one waits.
    pub fn has_room(&self, now: Timestamp) -> bool {
        self.free_slots(now) >= 1.0 && self.waiting.is_empty()
    }

    /// Records that a call was sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.in_flight.push(now);
    }

    /// Records the end of a call that was sent at `sent`, and adapts the limit.
    pub fn on_ended(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        outcome: AttemptOutcome,
        load: Option<Load>,
    ) {
        let full = self.free_slots(now) < 1.0;
        self.on_abandoned(sent);
        if let AttemptOutcome::Answered(_) = outcome {
            let took = now.since(sent).as_secs_f64();
            self.mean_secs += NEW_WEIGHT * (took.min(STUCK_AFTER.as_secs_f64()) - self.mean_secs);
        }
        let queue = load.map_or(0.0, |l| f64::from(l.waiting) / f64::from(l.slots.max(1)));
        match outcome {
            AttemptOutcome::Rejected => self.decrease(now, sent, REJECTED_FACTOR),
            _ if queue > LONG_QUEUE => self.decrease(now, sent, LONG_QUEUE_FACTOR),
            // A backend server with free slots can take one more call at once.
            AttemptOutcome::Answered(_) if load.is_some_and(|l| l.running < l.slots) && full => {
                self.increase(1.0)
            }
            AttemptOutcome::Answered(_) if full => self.increase(1.0 / self.limit),
            _ => {}
        }
    }

    /// Records that a call was abandoned; the limit stays as it is.
    pub fn on_abandoned(&mut self, sent: Timestamp) {
        if let Some(i) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(i);
        }
    }

    /// Current concurrency limit.
    pub fn concurrency_limit(&self) -> f64 {
        self.limit
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn increase(&mut self, step: f64) {
        self.limit = (self.limit + step).min(LIMIT_MAX);
    }

    /// Decreases the limit once for all calls that were in flight together.
    fn decrease(&mut self, now: Timestamp, sent: Timestamp, factor: f64) {
        if sent >= self.decreased_at {
            self.limit = (self.limit * factor).max(LIMIT_MIN);
            self.decreased_at = now;
        }
    }

    /// Calls that may still be sent. Stuck calls don't count: they are a fault of one backend server, and
    /// must not block calls to the others.
    fn free_slots(&self, now: Timestamp) -> f64 {
        let in_flight = self.in_flight.iter().filter(|at| now.since(**at) < STUCK_AFTER).count();
        self.limit - in_flight as f64
    }
}
