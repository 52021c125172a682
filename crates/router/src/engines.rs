//! Admission of requests to model engines: which engine to ask for memory, which requests wait, and
//! which are refused with a retry-after time.
//!
//! In a burst the memory of all engines is taken, and an answer keeps its memory for some four
//! seconds. Memory must therefore be reserved before the prompt is processed, or that work is
//! wasted. The engine itself makes the reservation; the estimates here only say which engine to ask
//! and whether waiting is worthwhile.

mod account_shares;
mod records;
mod selection;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Engine, Server, ServerId};
use crate::demand::{Demand, FIRST_EVENT, FIRST_EVENT_MAX, LATE_PREFILL_MAX};
use crate::engine_load::EngineLoad;
use crate::fair_share::ShareKey;
use crate::memory_threshold::value_threshold;
use crate::precedence::Precedence;
use crate::urgency::UrgencyContext;

/// Back-off after an engine refused a reservation; it ends early when an answer of this gateway
/// ends there.
pub const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Back-off after an engine could not be reached.
pub const FAULT_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time after a failure for which an engine is not asked even by a stream that no other can continue.
pub const FAULT_PAUSE: Duration = Duration::from_millis(200);
/// First back-off after an engine rejected a request despite its reservation, doubled with each
/// further rejection. Such an engine is about to change its stage, which takes six seconds.
pub const REJECT_BACKOFF: Duration = Duration::from_millis(400);
/// Highest number of doublings of that back-off.
const REJECT_DOUBLINGS: u32 = 4;
/// Period over which ended answers are counted to predict a wait.
pub const COMPLETION_WINDOW: Duration = Duration::from_secs(2);
/// Highest number of ended answers remembered, which bounds the memory at any rate.
const COMPLETIONS_MAX: usize = 1_024;
/// How long a request that has missed its goal waits for memory. It takes only what requests in
/// time leave free, and its caller gives up on a gateway that holds it for long without an answer.
pub const LATE_WAIT: Duration = Duration::from_millis(100);
/// Fraction of the caller's remaining time after which a refused caller should retry: the latest
/// time that callers follow, a third of it. By then a burst and the answers that it began have
/// mostly ended; earlier retries meet both and are refused again.
pub const RETRY_FRACTION: f64 = 0.29;
/// Jitter of that fraction, so that callers refused together do not return together.
pub const RETRY_JITTER: f64 = 0.04;
/// Longest retry-after time: by then the longest answers that hold the memory now have ended.
pub const RETRY_MAX: Duration = Duration::from_millis(6_000);

/// Returns when a refused caller with the deadline `ends_at` should retry; `draw` is uniform in
/// 0..1.
pub fn retry_after(now: Timestamp, ends_at: Timestamp, draw: f64) -> Timestamp {
    let wait = ends_at.since(now).mul_f64(RETRY_FRACTION + RETRY_JITTER * draw);
    now.after(wait.min(RETRY_MAX))
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    demand: Demand,
    /// Its goal was past or too close to be met when it arrived, or its prompt was too long.
    late: bool,
    /// Its prompt was too long.
    too_long: bool,
    /// On arrival its prompt could still be processed in time.
    prefill_in_time: bool,
    /// When it is refused.
    until: Timestamp,
    /// Its account and its cost, if shares of accounts are enabled.
    claim: Option<(ShareKey, f64)>,
}

impl Waiter {
    /// Returns the value per memory, relative to the typical request.
    fn relative_value(&self) -> f64 {
        self.demand.relative_value(self.late)
    }
}

/// Inputs of an admission decision besides this gateway's own load.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext<'a> {
    /// Parameters of the service's engines.
    pub engine: &'a Engine,
    /// When prefill would end if the request were admitted now.
    pub read_at: Timestamp,
    /// Live gateways.
    pub gateways: usize,
    /// Demand by precedence.
    pub urgency: UrgencyContext<'a>,
}

/// What to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Ask this engine for a reservation.
    Ask(ServerId),
    /// Wait; ask again when an answer has ended, at this time at the latest.
    Wait(Timestamp),
    /// Refuse, with the time at which the caller should retry and the missing resource.
    Refuse(Timestamp, Shortage),
}

/// The resource that a refused request was missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Time: it arrived too late for its goal, and no memory was free for it.
    Time,
    /// A prefill engine that processes its prompt in time.
    Reader,
    /// Memory for its answer.
    Memory,
}

#[derive(Clone, Debug, Default)]
struct EngineState {
    load: EngineLoad,
    full_until: Timestamp,
    fault_until: Timestamp,
    rejects: u32,
}

/// This gateway's load at all engines, and the requests that wait for admission.
#[derive(Clone, Debug, Default)]
pub struct EngineAdmission {
    records: HashMap<ServerId, EngineState>,
    waiting: BTreeMap<Ticket, Waiter>,
    completions: VecDeque<Timestamp>,
    next_ticket: u64,
    /// Time of an output token at each engine, relative to its service's average; engines that are
    /// not listed count as average.
    decode_factors: HashMap<ServerId, f64>,
}

/// Interval at which a waiting request is checked again without any event, because answers of other
/// gateways end too.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

impl EngineAdmission {
    /// Adds a request to the admission queue; `read_at` is when prefill would end if it were
    /// admitted now. `decide` then says what to do with it.
    pub fn join(&mut self, now: Timestamp, demand: Demand, read_at: Timestamp) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let too_long = demand.is_too_long(now);
        let late = too_long || demand.is_late(now);
        let until = match (too_long, late) {
            (true, _) => now.after(FIRST_EVENT_MAX).before(FIRST_EVENT).before(demand.read_time),
            (false, true) => now.after(LATE_WAIT),
            _ => demand.first_by.before(FIRST_EVENT).before(read_at.since(now)),
        };
        let prefill_in_time = demand.in_time(read_at);
        let until = until.max(now);
        let claim = None;
        let waiter = Waiter { demand, late, too_long, prefill_in_time, until, claim };
        self.waiting.insert(ticket, waiter);
        ticket
    }

    /// Removes a request that was admitted or refused, or whose caller is gone.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Decides what a waiting request should do now; `peer_load` is the peers' load at an engine, `draw`
    /// is uniform in 0..1.
    pub fn decide<'a>(
        &self,
        now: Timestamp,
        ticket: Ticket,
        context: &AdmissionContext<'_>,
        servers: impl Iterator<Item = &'a Server>,
        peer_load: impl Fn(&ServerId) -> EngineLoad,
        mut draw: impl FnMut() -> f64,
    ) -> AdmissionDecision {
        let Some(waiter) = self.waiting.get(&ticket) else {
            return AdmissionDecision::Refuse(now, Shortage::Time);
        };
        let prefill_in_time = !waiter.late && waiter.demand.in_time(context.read_at);
        // A request that can't be in time any more, or never could, is still served where engines
        // have room: it would not be in time after a refusal either.
        let queue = waiter.demand.queue(now, context.read_at);
        let prefill_fits = prefill_in_time || queue <= LATE_PREFILL_MAX;
        let value = waiter.demand.relative_value(!prefill_in_time);
        let servers: Vec<&Server> = servers.collect();
        let thresholds = self.thresholds(now, &servers, context, &peer_load);
        let threshold = thresholds.of(waiter.demand.precedence);
        let by_goal = context.urgency.by_goal;
        let ahead = self.requests_ahead(ticket, waiter, !prefill_in_time, &thresholds, by_goal);
        let engine =
            self.choose_engine(now, &servers, context, &peer_load, &waiter.demand, &mut draw);
        if let (true, true, 0, Some(id)) = (prefill_fits, value >= threshold, ahead, &engine) {
            return AdmissionDecision::Ask(id.clone());
        }
        // With free memory, the requests ahead only have to ask for it, which takes milliseconds.
        let hopeless = engine.is_none() && self.predicted_admission(now, ahead) > waiter.until;
        let queue_ends = now.after(queue.saturating_sub(LATE_PREFILL_MAX));
        let hopeless = match waiter.too_long {
            true => value < threshold || engine.is_none() || queue_ends > waiter.until,
            false => !waiter.late && (!prefill_in_time || hopeless),
        };
        if now >= waiter.until || hopeless {
            // A request that waited for memory until prefill could no longer be in time was missing
            // memory.
            let shortage = match (waiter.late, waiter.prefill_in_time) {
                (true, _) if !waiter.too_long => Shortage::Time,
                (_, false) => Shortage::Reader,
                (_, true) => Shortage::Memory,
            };
            return AdmissionDecision::Refuse(
                retry_after(now, waiter.demand.ends_at, draw()),
                shortage,
            );
        }
        AdmissionDecision::Wait(now.after(RECHECK_INTERVAL).min(waiter.until))
    }

    /// Would a request have to wait here: no engine has room, the rest is kept for requests of
    /// higher value, or prefill would end too late?
    pub fn is_short<'a>(
        &self,
        now: Timestamp,
        demand: &Demand,
        context: &AdmissionContext<'_>,
        servers: impl Iterator<Item = &'a Server>,
        peer_load: impl Fn(&ServerId) -> EngineLoad,
    ) -> bool {
        let servers: Vec<&Server> = servers.collect();
        let too_long = demand.is_too_long(now);
        let late = too_long || demand.is_late(now);
        let prefill_fits = match too_long {
            true => demand.queue(now, context.read_at) <= LATE_PREFILL_MAX,
            false => late || demand.in_time(context.read_at),
        };
        let thresholds = self.thresholds(now, &servers, context, &peer_load);
        !prefill_fits
            || demand.relative_value(late) < thresholds.of(demand.precedence)
            || self.choose_engine(now, &servers, context, &peer_load, demand, &mut || 0.0).is_none()
    }

    /// Picks an engine for a request that overflows from another availability zone. It never waits
    /// here, and memory that is scarce, or that local requests of its precedence or of a higher one
    /// wait for, is not granted.
    pub fn grant<'a>(
        &self,
        now: Timestamp,
        demand: &Demand,
        context: &AdmissionContext<'_>,
        servers: impl Iterator<Item = &'a Server>,
        peer_load: impl Fn(&ServerId) -> EngineLoad,
        mut draw: impl FnMut() -> f64,
    ) -> Option<ServerId> {
        let servers: Vec<&Server> = servers.collect();
        let late = demand.is_too_long(now) || demand.is_late(now);
        let prefill_fits = match late {
            true => demand.queue(now, context.read_at) <= LATE_PREFILL_MAX,
            false => demand.in_time(context.read_at),
        };
        let thresholds = self.thresholds(now, &servers, context, &peer_load);
        let mine = (late, demand.precedence);
        let is_before = |w: &&Waiter| {
            let theirs = (w.late, w.demand.precedence);
            context.urgency.by_goal || theirs < mine || theirs.1 == mine.1
        };
        let before = self.waiting.values().filter(is_before).filter(|w| thresholds.admits(w));
        if !prefill_fits
            || before.count() > 0
            || demand.relative_value(late) < thresholds.of(demand.precedence)
        {
            return None;
        }
        self.choose_engine(now, &servers, context, &peer_load, demand, &mut draw)
    }

    /// Does a request of this urgency level wait for admission?
    pub fn is_waiting_at(&self, level: u8) -> bool {
        self.waiting.values().any(|w| w.demand.precedence.level == level)
    }

    /// Returns the number of requests that wait for admission.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the value thresholds in force.
    fn thresholds(
        &self,
        now: Timestamp,
        servers: &[&Server],
        context: &AdmissionContext<'_>,
        peer_load: &impl Fn(&ServerId) -> EngineLoad,
    ) -> Thresholds {
        let free = self.free_fraction(now, servers, context.engine, peer_load);
        let waiting = self.waiting.values().map(|w| w.demand.precedence);
        let (lowest, highest) = context.urgency.present(waiting).unwrap_or_default();
        let exempt = (lowest < highest).then_some(lowest);
        let common = if context.urgency.by_goal { 0.0 } else { value_threshold(free) };
        Thresholds { common, exempt }
    }

    /// Counts the requests above their value threshold that come before this one, which is `late`
    /// or not: requests in time first, by precedence unless `by_goal`, by earliest goal.
    fn requests_ahead(
        &self,
        ticket: Ticket,
        waiter: &Waiter,
        late: bool,
        thresholds: &Thresholds,
        by_goal: bool,
    ) -> usize {
        let order = |late: bool, w: &Waiter, ticket: Ticket| {
            let precedence = if by_goal { Precedence::default() } else { w.demand.precedence };
            (late, precedence, w.demand.first_by, ticket)
        };
        let mine = order(late, waiter, ticket);
        let others = self.waiting.iter().filter(|(t, _)| **t != ticket);
        others
            .filter(|(_, w)| thresholds.admits(w))
            .filter(|(t, w)| order(w.late, w, **t) < mine)
            .count()
    }

    /// Predicts when a request with `ahead` requests before it is admitted, from the rate of
    /// recently ended answers.
    fn predicted_admission(&self, now: Timestamp, ahead: usize) -> Timestamp {
        let since = now.before(COMPLETION_WINDOW);
        let completions = self.completions.iter().rev().take_while(|at| **at >= since).count();
        let gap = COMPLETION_WINDOW.as_secs_f64() / (completions as f64).max(1.0);
        now.after(Duration::from_secs_f64(gap * ahead as f64))
    }
}

/// Lowest values that are admitted, relative to the typical request.
struct Thresholds {
    common: f64,
    /// The most urgent precedence present, for which nothing needs to be kept, if others are
    /// present as well. Requests of a single precedence compete by their values.
    exempt: Option<Precedence>,
}

impl Thresholds {
    /// Returns the threshold for requests of this precedence.
    fn of(&self, precedence: Precedence) -> f64 {
        match self.exempt {
            Some(exempt) if precedence <= exempt => 0.0,
            _ => self.common,
        }
    }

    /// Is the value of a waiting request high enough?
    fn admits(&self, waiter: &Waiter) -> bool {
        waiter.relative_value() >= self.of(waiter.demand.precedence)
    }
}
