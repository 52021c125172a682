//! Admission of requests to model engines: which engine to ask for memory, which requests wait, and
//! which are refused with a retry-after time.
//!
//! In a burst the memory of all engines is taken, and an answer keeps its memory for some four
//! seconds. Memory must therefore be reserved before the prompt is processed, or that work is
//! wasted. The engine itself makes the reservation; the estimates here only say which engine to ask
//! and whether waiting is worthwhile.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Engine, Server, ServerId};
use crate::forecast::{MARGIN_SIGMAS, MemoryForecast};
use crate::load_report::{EngineLoad, sample_size};

/// Time from the end of prefill to the first event: the transfer, the first step and the tokens of
/// one event, with a margin for the network (median 33 ms, ninth decile 64 ms).
pub const FIRST_EVENT: Duration = Duration::from_millis(130);
/// Back-off after an engine refused a reservation; it ends early when an answer of this gateway
/// ends there.
pub const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Back-off after an engine could not be reached.
pub const FAULT_BACKOFF: Duration = Duration::from_millis(1_500);
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
/// Time after its arrival by which a request whose prompt is too long to be in time has its first
/// event: callers give up after two seconds without any.
pub const FIRST_EVENT_MAX: Duration = Duration::from_millis(1_900);
/// Longest prefill queue behind which a late request is processed, its own prompt not counted: a
/// third of the usual goal, so that it does not make requests in time miss theirs.
pub const LATE_PREFILL_MAX: Duration = Duration::from_millis(300);
/// Fraction of the caller's remaining time after which a refused caller should retry: the latest
/// time that callers follow, a third of it. By then a burst and the answers that it began have
/// mostly ended; earlier retries meet both and are refused again.
pub const RETRY_FRACTION: f64 = 0.29;
/// Jitter of that fraction, so that callers refused together do not return together.
pub const RETRY_JITTER: f64 = 0.04;
/// Longest retry-after time: by then the longest answers that hold the memory now have ended.
pub const RETRY_MAX: Duration = Duration::from_millis(6_000);

/// What a request needs from an engine.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Memory that it is expected to take.
    pub memory: MemoryForecast,
    /// How long an idle engine processes its prompt.
    pub read_time: Duration,
    /// Latest time at which its first event is in time.
    pub first_by: Timestamp,
    /// Deadline of its caller.
    pub ends_at: Timestamp,
    /// Value per memory if it is in time, relative to the typical request.
    pub value: f64,
    /// Whether its caller has received a part of the answer already.
    pub begun: bool,
}

impl Demand {
    /// Can the first event be in time when prefill ends at `read_at`?
    fn in_time(&self, read_at: Timestamp) -> bool {
        read_at.after(FIRST_EVENT) <= self.first_by
    }

    /// Is the goal past, or too close to be met?
    fn is_late(&self, now: Timestamp) -> bool {
        self.first_by < now.after(FIRST_EVENT)
    }

    /// Is its prompt too long to be processed in time even by an idle engine?
    fn is_too_long(&self, now: Timestamp) -> bool {
        !self.is_late(now) && !self.in_time(now.after(self.read_time))
    }

    /// How long other prompts delay its own, when its prefill would end at `read_at`.
    fn queue(&self, now: Timestamp, read_at: Timestamp) -> Duration {
        read_at.since(now).saturating_sub(self.read_time)
    }

    /// Returns the value per memory, relative to the typical request.
    fn relative_value(&self, late: bool) -> f64 {
        if self.begun {
            return f64::INFINITY;
        }
        self.value * if late { LATE_VALUE } else { 1.0 }
    }
}

/// Free fraction of all engines' memory below which memory is kept for requests of higher value.
/// With this much left in fragments, engines of a dozen reservations admit no further typical
/// request.
pub const FREE_SCARCE: f64 = 0.05;
/// Free fraction at which the value threshold is highest.
pub const FREE_TIGHT: f64 = 0.02;
/// Highest value threshold, relative to the typical request; nine requests in ten are below it. At
/// 4.5 times the usual rate, 4 in 100 callers more get their answer in time than without a threshold.
pub const THRESHOLD_MAX: f64 = 2.0;
/// Value of a late answer relative to one in time: a late answer counts a fifth, and refusing it is
/// not a full loss.
pub const LATE_VALUE: f64 = 0.4;

/// Returns the lowest value, relative to the typical request, that is admitted at this free
/// fraction of memory.
pub fn value_threshold(free: f64) -> f64 {
    ((FREE_SCARCE - free) / (FREE_SCARCE - FREE_TIGHT)).clamp(0.0, 1.0) * THRESHOLD_MAX
}

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
        self.waiting.insert(ticket, Waiter { demand, late, too_long, prefill_in_time, until });
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
        let threshold =
            value_threshold(self.free_fraction(now, &servers, context.engine, &peer_load));
        let ahead = self.requests_ahead(ticket, waiter, !prefill_in_time, threshold);
        let engine =
            self.most_free(now, &servers, context, &peer_load, waiter.demand.memory, &mut draw);
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
        let threshold =
            value_threshold(self.free_fraction(now, &servers, context.engine, &peer_load));
        !prefill_fits
            || demand.relative_value(late) < threshold
            || self
                .most_free(now, &servers, context, &peer_load, demand.memory, &mut || 0.0)
                .is_none()
    }

    /// Picks an engine for a request that overflows from another availability zone. It never waits
    /// here, and memory that is scarce or that local requests wait for is not granted.
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
        let threshold =
            value_threshold(self.free_fraction(now, &servers, context.engine, &peer_load));
        let above = self.waiting.values().filter(|w| w.relative_value() >= threshold).count();
        if !prefill_fits || above > 0 || demand.relative_value(late) < threshold {
            return None;
        }
        self.most_free(now, &servers, context, &peer_load, demand.memory, &mut draw)
    }

    /// Records that an engine reserved memory for a request.
    pub fn on_reserved(&mut self, id: &ServerId, memory: MemoryForecast) {
        let record = self.records.entry(id.clone()).or_default();
        record.load.memory = record.load.memory.plus(memory);
        record.load.count += 1;
    }

    /// Replaces the memory forecast of an answer at an engine.
    pub fn update_forecast(
        &mut self,
        id: &ServerId,
        before: MemoryForecast,
        after: MemoryForecast,
    ) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.memory = record.load.memory.minus(before).plus(after);
        }
    }

    /// Releases the memory of an answer; `completed` when the answer ended there.
    pub fn on_released(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        memory: MemoryForecast,
        completed: bool,
    ) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.memory = record.load.memory.minus(memory);
            record.load.count = record.load.count.saturating_sub(1);
            record.full_until = record.full_until.min(now);
        }
        if completed {
            self.completions.push_back(now);
            while self.completions.len() > COMPLETIONS_MAX {
                self.completions.pop_front();
            }
        }
    }

    /// Records that a prompt was sent to an engine for prefill.
    pub fn on_prefill_sent(&mut self, id: &ServerId, tokens: u64) {
        let load = &mut self.records.entry(id.clone()).or_default().load;
        load.unread += tokens;
        load.reads += 1;
    }

    /// Records that an engine finished prefill of a prompt, or will not do it.
    pub fn on_prefill_ended(&mut self, id: &ServerId, tokens: u64) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.unread = record.load.unread.saturating_sub(tokens);
            record.load.reads = record.load.reads.saturating_sub(1);
        }
    }

    /// Records that an engine refused a reservation.
    pub fn on_full(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().full_until = now.after(FULL_BACKOFF);
    }

    /// Records that an engine rejected a request that had a reservation.
    pub fn rejected(&mut self, now: Timestamp, id: &ServerId) {
        let record = self.records.entry(id.clone()).or_default();
        let backoff = REJECT_BACKOFF * 2_u32.pow(record.rejects.min(REJECT_DOUBLINGS));
        record.rejects += 1;
        record.fault_until = record.fault_until.max(now.after(backoff));
    }

    /// Records that an engine accepted a request.
    pub fn on_accepted(&mut self, id: &ServerId) {
        if let Some(record) = self.records.get_mut(id) {
            record.rejects = 0;
        }
    }

    /// Backs off from an engine until the given time.
    pub fn back_off(&mut self, id: &ServerId, until: Timestamp) {
        let record = self.records.entry(id.clone()).or_default();
        record.fault_until = record.fault_until.max(until);
    }

    /// Records that an engine could not be reached or failed.
    pub fn on_fault(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().fault_until = now.after(FAULT_BACKOFF);
    }

    /// Is an engine in back-off because of a failure?
    pub fn faulty(&self, now: Timestamp, id: &ServerId) -> bool {
        self.records.get(id).is_some_and(|r| r.fault_until > now)
    }

    /// May an engine be asked for a reservation now?
    pub fn may_take(&self, now: Timestamp, id: &ServerId) -> bool {
        let backing_off = |r: &EngineState| r.full_until > now || r.fault_until > now;
        !self.records.get(id).is_some_and(backing_off)
    }

    /// Returns this gateway's load at an engine.
    pub fn own_load(&self, id: &ServerId) -> EngineLoad {
        self.records.get(id).map_or_else(EngineLoad::default, |r| r.load)
    }

    /// Returns this gateway's load at all engines where it has any, by short hash of the engine's
    /// id.
    pub fn engine_loads(&self) -> BTreeMap<u32, EngineLoad> {
        self.records
            .iter()
            .filter(|(_, r)| r.load != EngineLoad::default())
            .map(|(id, r)| (id.short_hash(), r.load))
            .collect()
    }

    /// Returns the number of requests that wait for admission.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.records.retain(|id, r| alive(id) || r.load != EngineLoad::default());
    }

    /// Counts the requests above the value threshold that come before this one, which is `late` or
    /// not: requests in time first, by earliest goal.
    fn requests_ahead(&self, ticket: Ticket, waiter: &Waiter, late: bool, threshold: f64) -> usize {
        let mine = (late, waiter.demand.first_by, ticket);
        let others = self.waiting.iter().filter(|(t, _)| **t != ticket);
        others
            .filter(|(_, w)| w.relative_value() >= threshold)
            .filter(|(t, w)| (w.late, w.demand.first_by, **t) < mine)
            .count()
    }

    /// Returns the free fraction of the memory of all engines that are not failing.
    pub fn free_fraction(
        &self,
        now: Timestamp,
        servers: &[&Server],
        engine: &Engine,
        peer_load: impl Fn(&ServerId) -> EngineLoad,
    ) -> f64 {
        let (mut free, mut all) = (0, 0);
        for s in servers.iter().filter(|s| !self.faulty(now, &s.id)) {
            let used = self.own_load(&s.id).plus(peer_load(&s.id)).memory;
            free += used.free_tokens(engine.tokens, MARGIN_SIGMAS).max(0) as u64;
            all += engine.tokens;
        }
        free as f64 / (all as f64).max(1.0)
    }

    /// Returns how many more answers with the forecast `typical` the engines can take now.
    pub fn free_capacity(
        &self,
        now: Timestamp,
        servers: &[&Server],
        engine: &Engine,
        typical: MemoryForecast,
        peer_load: impl Fn(&ServerId) -> EngineLoad,
    ) -> u32 {
        let slots_left = |s: &&&Server| {
            let all = self.own_load(&s.id).plus(peer_load(&s.id));
            let free = all.memory.free_tokens(engine.tokens, MARGIN_SIGMAS).max(0) as u64;
            let slots = engine.slots.saturating_sub(all.count);
            slots.min((free / typical.peak().max(1)) as u32)
        };
        servers.iter().filter(|s| self.may_take(now, &s.id)).map(|s| slots_left(&s)).sum()
    }

    /// Predicts when a request with `ahead` requests before it is admitted, from the rate of
    /// recently ended answers.
    fn predicted_admission(&self, now: Timestamp, ahead: usize) -> Timestamp {
        let since = now.before(COMPLETION_WINDOW);
        let completions = self.completions.iter().rev().take_while(|at| **at >= since).count();
        let gap = COMPLETION_WINDOW.as_secs_f64() / (completions as f64).max(1.0);
        now.after(Duration::from_secs_f64(gap * ahead as f64))
    }

    /// Returns the engine with the most free memory among a random sample of those that are
    /// expected to have enough.
    fn most_free(
        &self,
        now: Timestamp,
        servers: &[&Server],
        context: &AdmissionContext<'_>,
        peer_load: &impl Fn(&ServerId) -> EngineLoad,
        memory: MemoryForecast,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<ServerId> {
        let free = |s: &Server| {
            let all = self.own_load(&s.id).plus(peer_load(&s.id));
            let free = all.memory.plus(memory).free_tokens(context.engine.tokens, MARGIN_SIGMAS);
            // An idle engine takes an answer that fits its memory now, even if it may outgrow it.
            let idle_fit = all.count == 0 && memory.reserved() <= context.engine.tokens;
            ((free >= 0 || idle_fit) && all.count < context.engine.slots).then_some(free)
        };
        let servers = servers.iter().filter(|s| self.may_take(now, &s.id));
        let mut candidates: Vec<(f64, i64, &Server)> =
            servers.filter_map(|s| Some((draw(), free(s)?, *s))).collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let sample_len = sample_size(candidates.len(), context.gateways).min(candidates.len());
        candidates[..sample_len]
            .iter()
            .max_by_key(|(_, free, _)| *free)
            .map(|(_, _, s)| s.id.clone())
    }
}
