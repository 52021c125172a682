//! Which engine's memory takes an answer, who waits for it, and who is told to come back.
//!
//! Answers the load of bursts in which the memory of all engines is taken: an answer stays some four
//! seconds, so a place must be known before a prompt is read, or the reading is in vain. A place is
//! reserved at the engine itself; what is known here only says where to ask, and whether waiting is
//! worth it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Engine, Server, ServerId};
use crate::forecast::{MARGIN, Profile};
use crate::share::{Work, compared};

/// Time from a prompt that was read to the first event: the transfer, the first step and the tokens
/// of one event, with a margin for the ways between. Measured over 2,168 prompts of 25
/// entries: 33 ms at the median, 64 at the ninth decile.
pub const FIRST_EVENT: Duration = Duration::from_millis(130);
/// How long an engine that refused a reservation is not asked again, unless one of this entry's
/// answers ends there.
pub const FULL_REST: Duration = Duration::from_millis(60);
/// How long an engine that could not be reached is passed over.
pub const FAULT_REST: Duration = Duration::from_millis(1_500);
/// How long an engine that turned away a request in spite of its reservation is not asked again;
/// doubled with each further one. Such an engine is about to change its stage, for six seconds.
pub const REJECT_REST: Duration = Duration::from_millis(400);
/// Doublings of that time at most.
const REJECT_DOUBLINGS: u32 = 4;
/// Over which time ends of answers are counted to foretell a wait.
pub const ENDS_SPAN: Duration = Duration::from_secs(2);
/// Ends kept at most; bounds the memory at any rate.
const ENDS_MAX: usize = 1_024;
/// Wait for a place of a request that is too late for its goal: it takes what those in time leave free
/// now. Its caller gives up on a gateway that holds it for long and serves it nothing.
pub const LATE_WAIT: Duration = Duration::from_millis(100);
/// Queue of prompts up to which a late request has its prompt read: a third of the usual goal, so
/// that those in time are not pushed behind theirs.
pub const LATE_READ: Duration = Duration::from_millis(300);
/// Part of a refused caller's time left after which it is asked to come back: as late as callers follow,
/// which is a third of it. A burst and the answers that it began have mostly ended by then; earlier
/// returns meet both and are refused again.
pub const RETRY_PART: f64 = 0.29;
/// Spread of that part, so that those sent away together don't return together.
pub const RETRY_SPREAD: f64 = 0.04;
/// Longest such wait: the longest answers that take the memory now have ended by then.
pub const RETRY_MAX: Duration = Duration::from_millis(6_000);

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Memory that it is expected to take.
    pub memory: Profile,
    /// When its first event is in time.
    pub first_by: Timestamp,
    /// When its caller stops waiting for it.
    pub ends_at: Timestamp,
    /// What it gives for its memory if it is in time, against the usual request.
    pub gives: f64,
    /// Its caller has a part of the answer already.
    pub begun: bool,
}

impl Need {
    /// Could the first event be in time with the prompt read at `read_at`?
    fn in_time(&self, read_at: Timestamp) -> bool {
        read_at.after(FIRST_EVENT) <= self.first_by
    }

    /// Did it come after its goal had passed, or too close to it?
    fn is_late(&self, now: Timestamp) -> bool {
        self.first_by < now.after(FIRST_EVENT)
    }

    /// What it gives for its memory, against the usual request.
    fn gives(&self, late: bool) -> f64 {
        if self.begun {
            return f64::INFINITY;
        }
        self.gives * if late { LATE_PART } else { 1.0 }
    }
}

/// Free part of all engines' memory below which it is kept for requests that give more for it: what
/// is left in pieces when engines of a dozen places take no further usual request.
pub const SCARCE: f64 = 0.05;
/// Free part at which the bar for a request is highest.
pub const TIGHT: f64 = 0.02;
/// Highest bar: what a request must give for its memory, against the usual one; nine in ten give
/// less. Played at 4.5 times the rate it serves 4 in 100 callers more in time, at 1.0 it is one.
pub const BAR_MAX: f64 = 2.0;
/// What a late answer gives, against one in time: a fifth of its worth, and it is not lost.
pub const LATE_PART: f64 = 0.4;

/// What a request must give for its memory, against the usual one, with so much of all memory free.
pub fn bar(free: f64) -> f64 {
    ((SCARCE - free) / (SCARCE - TIGHT)).clamp(0.0, 1.0) * BAR_MAX
}

/// When a refused caller that waits until `ends_at` is worth coming back; `draw` is uniform in 0..1.
pub fn come_back(now: Timestamp, ends_at: Timestamp, draw: f64) -> Timestamp {
    let wait = ends_at.since(now).mul_f64(RETRY_PART + RETRY_SPREAD * draw);
    now.after(wait.min(RETRY_MAX))
}

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    need: Need,
    /// It came after its goal had passed, or too close to it.
    late: bool,
    /// Its prompt could have been read in time when it came.
    readable: bool,
    /// When it is refused.
    until: Timestamp,
}

impl Waiter {
    /// What it gives for its memory, against the usual request.
    fn gives(&self) -> f64 {
        self.need.gives(self.late)
    }
}

/// What a decision about a place is made of, beside this entry's own work.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// What is known of the service's engines.
    pub engine: &'a Engine,
    /// When the request's prompt would be read if it had a place now.
    pub read_at: Timestamp,
    /// Live entries.
    pub entries: usize,
}

/// What to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Advice {
    /// Ask this engine for a reservation.
    Ask(ServerId),
    /// Wait; ask again when an answer ended, or at this moment.
    Wait(Timestamp),
    /// Tell the caller to come back after this moment; it lacked this.
    Refuse(Timestamp, Lack),
}

/// What a refused request lacked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// Time: it came too late for its goal, and nothing was free for it.
    Time,
    /// An engine that reads its prompt in time.
    Reader,
    /// Memory for its answer.
    Memory,
}

#[derive(Clone, Debug, Default)]
struct Record {
    own: Work,
    full_until: Timestamp,
    fault_until: Timestamp,
    rejects: u32,
}

/// This entry's work at all engines, and who waits for a place.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    records: HashMap<ServerId, Record>,
    waiting: BTreeMap<Ticket, Waiter>,
    ends: VecDeque<Timestamp>,
    next: u64,
}

/// Pause after which a waiting request asks again although nothing was heard: other entries'
/// answers end too.
pub const ASK_AGAIN: Duration = Duration::from_millis(25);

impl Engines {
    /// A request arrives and waits for a place, its prompt read at `read_at` if one is free now;
    /// what to do comes from `advise`.
    pub fn join(&mut self, now: Timestamp, need: Need, read_at: Timestamp) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let late = need.is_late(now);
        let until = match late {
            true => now.after(LATE_WAIT),
            false => need.first_by.before(FIRST_EVENT).before(read_at.since(now)).max(now),
        };
        let readable = need.in_time(read_at);
        self.waiting.insert(ticket, Waiter { need, late, readable, until });
        ticket
    }

    /// A request has its place, was refused, or its caller is gone.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// What a waiting request should do now; `work` is the peers' work at an engine, `draw` is uniform
    /// in 0..1.
    pub fn advise<'a>(
        &self,
        now: Timestamp,
        ticket: Ticket,
        view: &View<'_>,
        servers: impl Iterator<Item = &'a Server>,
        work: impl Fn(&ServerId) -> Work,
        mut draw: impl FnMut() -> f64,
    ) -> Advice {
        let Some(waiter) = self.waiting.get(&ticket) else {
            return Advice::Refuse(now, Lack::Time);
        };
        let worth = match waiter.late {
            true => view.read_at.since(now) <= LATE_READ,
            false => waiter.need.in_time(view.read_at),
        };
        let servers: Vec<&Server> = servers.collect();
        let bar = bar(self.free(now, &servers, view.engine, &work));
        let ahead = self.ahead(ticket, waiter, bar);
        let room = self.roomiest(now, &servers, view, &work, waiter.need.memory, &mut draw);
        if let (true, true, 0, Some(id)) = (worth, waiter.gives() >= bar, ahead, &room) {
            return Advice::Ask(id.clone());
        }
        // With room, those ahead only have to ask for it, which takes milliseconds.
        let late = room.is_none() && self.foretold(now, ahead) > waiter.until;
        if now >= waiter.until || !waiter.late && (!worth || late) {
            // Who waited for memory until no reader could be in time lacked memory.
            let lack = match (waiter.late, waiter.readable) {
                (true, _) => Lack::Time,
                (false, false) => Lack::Reader,
                (false, true) => Lack::Memory,
            };
            return Advice::Refuse(come_back(now, waiter.need.ends_at, draw()), lack);
        }
        Advice::Wait(now.after(ASK_AGAIN).min(waiter.until))
    }

    /// Can none of these engines take the request now, or is what they have left kept for others, or
    /// can its prompt not be read in time?
    pub fn is_short<'a>(
        &self,
        now: Timestamp,
        need: &Need,
        view: &View<'_>,
        servers: impl Iterator<Item = &'a Server>,
        work: impl Fn(&ServerId) -> Work,
    ) -> bool {
        let servers: Vec<&Server> = servers.collect();
        let late = need.is_late(now);
        let readable = late || need.in_time(view.read_at);
        let bar = bar(self.free(now, &servers, view.engine, &work));
        !readable
            || need.gives(late) < bar
            || self.roomiest(now, &servers, view, &work, need.memory, &mut || 0.0).is_none()
    }

    /// An engine for a request of another availability zone, which does not wait here: what is scarce
    /// or waited for is kept for those who come here.
    pub fn lend<'a>(
        &self,
        now: Timestamp,
        need: &Need,
        view: &View<'_>,
        servers: impl Iterator<Item = &'a Server>,
        work: impl Fn(&ServerId) -> Work,
        mut draw: impl FnMut() -> f64,
    ) -> Option<ServerId> {
        let servers: Vec<&Server> = servers.collect();
        let late = need.is_late(now);
        let readable = match late {
            true => view.read_at.since(now) <= LATE_READ,
            false => need.in_time(view.read_at),
        };
        let bar = bar(self.free(now, &servers, view.engine, &work));
        let over = self.waiting.values().filter(|w| w.gives() >= bar).count();
        if !readable || over > 0 || need.gives(late) < bar {
            return None;
        }
        self.roomiest(now, &servers, view, &work, need.memory, &mut draw)
    }

    /// An engine reserved a place.
    pub fn placed(&mut self, id: &ServerId, memory: Profile) {
        let record = self.records.entry(id.clone()).or_default();
        record.own.memory = record.own.memory.plus(memory);
        record.own.count += 1;
    }

    /// What is expected of an answer at an engine changed.
    pub fn grown(&mut self, id: &ServerId, before: Profile, after: Profile) {
        if let Some(record) = self.records.get_mut(id) {
            record.own.memory = record.own.memory.minus(before).plus(after);
        }
    }

    /// A place came free; `whole` when an answer ended there.
    pub fn freed(&mut self, now: Timestamp, id: &ServerId, memory: Profile, whole: bool) {
        if let Some(record) = self.records.get_mut(id) {
            record.own.memory = record.own.memory.minus(memory);
            record.own.count = record.own.count.saturating_sub(1);
            record.full_until = record.full_until.min(now);
        }
        if whole {
            self.ends.push_back(now);
            while self.ends.len() > ENDS_MAX {
                self.ends.pop_front();
            }
        }
    }

    /// A prompt was sent to be read.
    pub fn reading(&mut self, id: &ServerId, tokens: u64) {
        let own = &mut self.records.entry(id.clone()).or_default().own;
        own.unread += tokens;
        own.reads += 1;
    }

    /// A prompt was read, or will not be.
    pub fn read(&mut self, id: &ServerId, tokens: u64) {
        if let Some(record) = self.records.get_mut(id) {
            record.own.unread = record.own.unread.saturating_sub(tokens);
            record.own.reads = record.own.reads.saturating_sub(1);
        }
    }

    /// An engine refused a reservation.
    pub fn full(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().full_until = now.after(FULL_REST);
    }

    /// An engine turned away a request that had a reservation.
    pub fn rejected(&mut self, now: Timestamp, id: &ServerId) {
        let record = self.records.entry(id.clone()).or_default();
        let rest = REJECT_REST * 2_u32.pow(record.rejects.min(REJECT_DOUBLINGS));
        record.rejects += 1;
        record.fault_until = record.fault_until.max(now.after(rest));
    }

    /// An engine took a request.
    pub fn took(&mut self, id: &ServerId) {
        if let Some(record) = self.records.get_mut(id) {
            record.rejects = 0;
        }
    }

    /// An engine takes nothing until then.
    pub fn rest(&mut self, id: &ServerId, until: Timestamp) {
        let record = self.records.entry(id.clone()).or_default();
        record.fault_until = record.fault_until.max(until);
    }

    /// An engine could not be reached or failed.
    pub fn fault(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().fault_until = now.after(FAULT_REST);
    }

    /// Is an engine passed over because it failed lately?
    pub fn faulty(&self, now: Timestamp, id: &ServerId) -> bool {
        self.records.get(id).is_some_and(|r| r.fault_until > now)
    }

    /// May an engine be asked to take something now?
    pub fn may_take(&self, now: Timestamp, id: &ServerId) -> bool {
        let rests = |r: &Record| r.full_until > now || r.fault_until > now;
        !self.records.get(id).is_some_and(rests)
    }

    /// This entry's work at an engine.
    pub fn own(&self, id: &ServerId) -> Work {
        self.records.get(id).map_or_else(Work::default, |r| r.own)
    }

    /// This entry's work at all engines where it has any, by their short numbers.
    pub fn work(&self) -> BTreeMap<u32, Work> {
        self.records
            .iter()
            .filter(|(_, r)| r.own != Work::default())
            .map(|(id, r)| (id.short_number(), r.own))
            .collect()
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.records.retain(|id, r| alive(id) || r.own != Work::default());
    }

    /// Requests over the bar that go before this one: those that can be in time, earliest goal
    /// first.
    fn ahead(&self, ticket: Ticket, waiter: &Waiter, bar: f64) -> usize {
        let rank = |t: Ticket, w: &Waiter| (w.late, w.need.first_by, t);
        let mine = rank(ticket, waiter);
        self.waiting.iter().filter(|(t, w)| w.gives() >= bar && rank(**t, w) < mine).count()
    }

    /// Part of the memory of all engines that can be used and that answers may still be placed in.
    pub fn free(
        &self,
        now: Timestamp,
        servers: &[&Server],
        engine: &Engine,
        work: impl Fn(&ServerId) -> Work,
    ) -> f64 {
        let (mut free, mut all) = (0, 0);
        for s in servers.iter().filter(|s| !self.faulty(now, &s.id)) {
            let used = self.own(&s.id).plus(work(&s.id)).memory;
            free += used.room(engine.tokens, MARGIN).max(0) as u64;
            all += engine.tokens;
        }
        free as f64 / (all as f64).max(1.0)
    }

    /// How many more answers that take `usual` these engines can have now.
    pub fn places(
        &self,
        now: Timestamp,
        servers: &[&Server],
        engine: &Engine,
        usual: Profile,
        work: impl Fn(&ServerId) -> Work,
    ) -> u32 {
        let places = |s: &&&Server| {
            let all = self.own(&s.id).plus(work(&s.id));
            let room = all.memory.room(engine.tokens, MARGIN).max(0) as u64;
            let slots = engine.slots.saturating_sub(all.count);
            slots.min((room / usual.peak().max(1)) as u32)
        };
        servers.iter().filter(|s| self.may_take(now, &s.id)).map(|s| places(&s)).sum()
    }

    /// When a request with so many ahead of it gets a place, by the pace of the last ends.
    fn foretold(&self, now: Timestamp, ahead: usize) -> Timestamp {
        let since = now.before(ENDS_SPAN);
        let ends = self.ends.iter().rev().take_while(|at| **at >= since).count();
        let gap = ENDS_SPAN.as_secs_f64() / (ends as f64).max(1.0);
        now.after(Duration::from_secs_f64(gap * ahead as f64))
    }

    /// The engine with the most memory free, of a few drawn from those whose memory is expected to
    /// suffice.
    fn roomiest(
        &self,
        now: Timestamp,
        servers: &[&Server],
        view: &View<'_>,
        work: &impl Fn(&ServerId) -> Work,
        memory: Profile,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<ServerId> {
        let room = |s: &Server| {
            let all = self.own(&s.id).plus(work(&s.id));
            let room = all.memory.plus(memory).room(view.engine.tokens, MARGIN);
            // An engine with nothing to do takes what it can hold, however long it may become.
            let alone = all.count == 0 && memory.reserved() <= view.engine.tokens;
            ((room >= 0 || alone) && all.count < view.engine.slots).then_some(room)
        };
        let servers = servers.iter().filter(|s| self.may_take(now, &s.id));
        let mut fit: Vec<(f64, i64, &Server)> =
            servers.filter_map(|s| Some((draw(), room(s)?, *s))).collect();
        fit.sort_by(|a, b| a.0.total_cmp(&b.0));
        let few = compared(fit.len(), view.entries).min(fit.len());
        fit[..few].iter().max_by_key(|(_, free, _)| *free).map(|(_, _, s)| s.id.clone())
    }
}
