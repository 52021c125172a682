//! Attempts at their executor, the sidecar beside a backend server.
//!
//! The executor is the only path to its backend server, so it alone decides what runs: it seals what
//! it refuses, keeps the answer so that it can be sent again from any offset, and gives the slot back
//! when nobody waits any more. It trusts no message of an earlier life of this process.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::config::Class;
use crate::ids::{Attempt, Incarnation, Peer, prefix_digest};
use crate::lease::Leases;
use crate::message::{Admission, Answer, Ask, Begin, KvHandle, LoadReport, Repeat, Row, Work};
use crate::slots::{Grant, Need, Slots};
use crate::stats::ExecutorStats;
use crate::time::Moment;
use crate::verdict::Reason;

/// How long a seal is kept; longer than any message can be under way.
pub const SEAL_KEPT: Duration = Duration::from_secs(600);
/// How long an answer is kept for repeats.
pub const ANSWER_KEPT: Duration = Duration::from_secs(300);
/// How long an attach waits for an admission that is still under way.
pub const PARK: Duration = Duration::from_millis(300);
/// How long slow work goes on without a caller, so that it can be reattached.
pub const REATTACH_WINDOW: Duration = Duration::from_secs(4);
/// How long an admitted attempt waits with a slot for its KV cache; only a lost message lets it pass.
pub const KV_WAIT: Duration = Duration::from_secs(15);

/// How far ahead a waiting attempt is told of its slot. The ends of running work are known well so
/// shortly before; a promise made earlier was wrong by more than an exported KV cache lives.
pub const NOTICE: Duration = Duration::from_millis(600);
/// Weight of a new observation in the token time.
const PACE_WEIGHT: f64 = 0.02;

/// What the executor knows of its backend server's speed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time an output token takes.
    pub token: Duration,
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Time a plain call takes.
    pub call: Duration,
}

/// What the daemon must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send an answer to the question `id` of `to`.
    Answer { to: Peer, id: u64, answer: Answer },
    /// Start the attempt at the backend server.
    Run { attempt: Attempt, kv: Option<KvHandle> },
    /// Stop it there and free its memory.
    Stop { attempt: Attempt },
    /// Close the link to this peer: its lease lapsed, and its streams here have ended.
    Hang { peer: Peer },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Waiting,
    AwaitingKv { until: Moment },
    Running,
    Ended { status: u16, mime: String },
    Failed { reason: Reason, ran: bool },
}

/// A request that waits for an attempt.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Owner {
    peer: Peer,
    waiter: u64,
}

/// An owner's open stream.
#[derive(Clone, Debug)]
struct Watcher {
    owner: Owner,
    id: u64,
}

#[derive(Clone, Debug)]
struct Task {
    admission: Admission,
    state: State,
    text: String,
    kv: Option<KvHandle>,
    watchers: Vec<Watcher>,
    owners: BTreeSet<Owner>,
    orphan_at: Moment,
    forget_at: Moment,
    /// Output tokens so far, and when the last one came.
    tokens: u32,
    token_at: Moment,
    /// Who was told to have the prompt read.
    reader: Option<Owner>,
}

impl Task {
    /// Waits for its KV cache to be computed elsewhere?
    fn wants_kv(&self) -> bool {
        let waits = matches!(self.state, State::Waiting | State::AwaitingKv { .. });
        waits && self.admission.begin == Begin::AwaitKv && self.kv.is_none()
    }

    fn open(&self) -> bool {
        !matches!(self.state, State::Ended { .. } | State::Failed { .. })
    }

    fn ran(&self) -> bool {
        match &self.state {
            State::Waiting | State::AwaitingKv { .. } => false,
            State::Running | State::Ended { .. } => true,
            State::Failed { ran, .. } => *ran,
        }
    }
}

struct Parked {
    peer: Peer,
    id: u64,
    ask: Ask,
    until: Moment,
}

/// The attempts of one backend server.
pub struct Executor {
    life: Incarnation,
    slots: Slots,
    pace: Pace,
    tasks: HashMap<Attempt, Task>,
    open: BTreeSet<Attempt>,
    sealed: HashMap<Attempt, Moment>,
    leases: Leases,
    parked: Vec<Parked>,
    leaving: bool,
    stats: ExecutorStats,
}

impl Executor {
    /// An executor in its `life`, with these slots.
    pub fn new(life: Incarnation, slots: Slots, pace: Pace) -> Self {
        Executor {
            life,
            slots,
            pace,
            tasks: HashMap::new(),
            open: BTreeSet::new(),
            sealed: HashMap::new(),
            leases: Leases::default(),
            parked: Vec::new(),
            leaving: false,
            stats: ExecutorStats::default(),
        }
    }

    /// Counters.
    pub fn stats(&self) -> ExecutorStats {
        self.stats
    }

    /// Attempts that hold memory of the backend server now.
    pub fn running(&self) -> usize {
        self.open_tasks().filter(|(_, t)| t.state == State::Running).count()
    }

    /// Attempts that have not ended.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    fn open_tasks(&self) -> impl Iterator<Item = (&Attempt, &Task)> {
        self.open.iter().filter_map(|a| self.tasks.get_key_value(a))
    }

    /// The work of an attempt, for the daemon that starts it.
    pub fn admission(&self, attempt: &Attempt) -> Option<&Admission> {
        self.tasks.get(attempt).map(|t| &t.admission)
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Load for heartbeats.
    pub fn load(&self, now: Moment) -> LoadReport {
        LoadReport {
            used: self.slots.used(),
            slots: self.slots.total(),
            waiting: self.slots.waiting() as u32,
            free_at: self.slots.free_at(now, Class::Slow),
            urgent_at: self.slots.free_at(now, Class::Urgent),
            leaving: self.leaving,
            ..LoadReport::default()
        }
    }

    /// Open attempts, for operators.
    pub fn rows(&self, limit: usize) -> Vec<Row> {
        self.open_tasks().take(limit).map(|(a, t)| row(a, t)).collect()
    }

    /// A sign of life of a peer.
    pub fn on_alive(&mut self, now: Moment, peer: &Peer) {
        self.leases.renew(now, peer);
    }

    /// The link to a peer broke: its streams end, its lease goes on.
    pub fn on_link_down(&mut self, peer: &Peer) {
        for task in self.tasks.values_mut() {
            task.watchers.retain(|w| w.owner.peer != *peer);
        }
        self.parked.retain(|p| p.peer != *peer);
    }

    /// A question of an entry.
    pub fn on_ask(&mut self, now: Moment, peer: &Peer, id: u64, ask: Ask) -> Vec<Effect> {
        self.leases.renew(now, peer);
        let mut out = Vec::new();
        match ask {
            Ask::Admit(admission) => self.admit(now, peer, id, admission, &mut out),
            Ask::Start { attempt, kv } => self.start(now, peer, id, attempt, kv, &mut out),
            Ask::Attach { life, .. } if life != self.life => {
                answer(&mut out, peer, id, Answer::OtherLife { life: self.life });
            }
            ask @ Ask::Attach { .. } => self.attach(now, peer, id, ask, &mut out),
            Ask::Detach { attempt, waiter, cancel } => {
                let owner = Owner { peer: peer.clone(), waiter };
                self.detach(now, &owner, attempt, cancel, &mut out);
            }
            Ask::Cancel { attempt } => {
                let ran = self.cancel(now, attempt, &mut out);
                answer(&mut out, peer, id, Answer::Sealed { ran });
            }
            Ask::Revoke { attempt } => {
                let ran = self.revoke(now, attempt, &mut out);
                answer(&mut out, peer, id, Answer::Sealed { ran });
            }
            _ => {}
        }
        self.settle_slots(now, &mut out);
        out
    }

    /// Output of the backend server, of so many tokens.
    pub fn on_output(
        &mut self,
        now: Moment,
        attempt: Attempt,
        bytes: &str,
        tokens: u32,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return out;
        };
        if task.state != State::Running {
            return out;
        }
        if let Work::Completion(c) = &task.admission.work {
            if task.tokens > 0 {
                let took = now.since(task.token_at).as_secs_f64() / f64::from(tokens.max(1));
                let pace = self.pace.token.as_secs_f64();
                let pace = pace + (took - pace) * PACE_WEIGHT;
                self.pace.token = Duration::from_secs_f64(pace);
            }
            task.tokens += tokens;
            task.token_at = now;
            let left = c.max_tokens.saturating_sub(task.tokens);
            self.slots.begin(now, &attempt, self.pace.token * left);
        }
        let offset = task.text.len() as u64;
        task.text.push_str(bytes);
        for Watcher { owner, id } in &task.watchers {
            let chunk = Answer::Chunk { attempt, offset, bytes: bytes.to_owned() };
            answer(&mut out, &owner.peer, *id, chunk);
        }
        out
    }

    /// The backend server ended the run with a whole answer.
    pub fn on_end(
        &mut self,
        now: Moment,
        attempt: Attempt,
        status: u16,
        mime: &str,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        let running = self.tasks.get(&attempt).is_some_and(|t| t.state == State::Running);
        if running {
            self.stats.ended += 1;
            self.close(now, attempt, State::Ended { status, mime: mime.to_owned() }, &mut out);
        }
        self.settle_slots(now, &mut out);
        out
    }

    /// The backend server failed the run; `ran` says that it may have taken effect.
    pub fn on_failed(&mut self, now: Moment, attempt: Attempt, ran: bool) -> Vec<Effect> {
        let mut out = Vec::new();
        if self.tasks.get(&attempt).is_some_and(Task::open) {
            self.close(now, attempt, State::Failed { reason: Reason::Upstream, ran }, &mut out);
        }
        self.settle_slots(now, &mut out);
        out
    }

    /// Time passes: leases lapse, deadlines pass, old answers are forgotten.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut out = Vec::new();
        for peer in self.leases.lapsed(now) {
            self.on_link_down(&peer);
            self.disown(now, &peer);
            // A peer that only slept must learn that its streams have ended, and attach again.
            out.push(Effect::Hang { peer });
        }
        for attempt in self.slots.expire(now) {
            self.refuse_open(now, attempt, Reason::Deadline, &mut out);
        }
        self.close_late(now, &mut out);
        self.answer_parked(now, &mut out);
        self.sealed.retain(|_, until| *until > now);
        self.tasks.retain(|_, t| t.forget_at > now);
        self.settle_slots(now, &mut out);
        self.call_readers(now, &mut out);
        self.call_holders(now, &mut out);
        self.check();
        out
    }

    fn admit(&mut self, now: Moment, peer: &Peer, id: u64, adm: Admission, out: &mut Vec<Effect>) {
        let attempt = adm.attempt;
        if adm.life != self.life {
            return answer(out, peer, id, Answer::OtherLife { life: self.life });
        }
        if self.sealed.contains_key(&attempt) {
            return answer(out, peer, id, Answer::Sealed { ran: false });
        }
        if self.tasks.contains_key(&attempt) {
            let prefix = prefix_digest(b"");
            let ask =
                Ask::Attach { attempt, waiter: adm.waiter, life: self.life, offset: 0, prefix };
            return self.attach(now, peer, id, ask, out);
        }
        let need = self.need(&adm);
        let grant = match self.leaving {
            true => Grant::Full(now),
            false => self.slots.admit(now, attempt, need),
        };
        let slot_at = match grant {
            Grant::Now => now,
            Grant::At(at) => at,
            Grant::Full(at) => {
                let reason = if self.leaving { Reason::Leaving } else { Reason::Overload };
                self.seal(now, attempt);
                self.stats.refused += 1;
                return answer(out, peer, id, Answer::Refused { reason, retry_at: Some(at) });
            }
        };
        self.stats.admitted += 1;
        let text = adm.prefix.clone();
        let owner = Owner { peer: peer.clone(), waiter: adm.waiter };
        let task = Task {
            admission: adm,
            state: State::Waiting,
            text,
            kv: None,
            watchers: vec![Watcher { owner: owner.clone(), id }],
            owners: BTreeSet::from([owner]),
            orphan_at: Moment::NEVER,
            forget_at: Moment::NEVER,
            tokens: 0,
            token_at: now,
            reader: None,
        };
        self.tasks.insert(attempt, task);
        self.open.insert(attempt);
        if slot_at <= now.after(NOTICE)
            && let Some(task) = self.tasks.get_mut(&attempt)
        {
            task.reader = task.watchers.first().map(|w| w.owner.clone());
        }
        answer(out, peer, id, Answer::Admitted { slot_at });
        if grant == Grant::Now {
            self.on_slot(now, attempt, out);
        }
        self.answer_parked_for(now, attempt, out);
    }

    /// An attempt got its slot.
    fn on_slot(&mut self, now: Moment, attempt: Attempt, out: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        let ready = task.admission.begin == Begin::AtOnce || task.kv.is_some();
        if ready {
            self.run(now, attempt, out);
        } else {
            task.state = State::AwaitingKv { until: now.after(KV_WAIT) };
        }
    }

    /// Tells one of those that wait to have the prompt read by the moment of the slot.
    fn call_reader(
        &mut self,
        now: Moment,
        attempt: Attempt,
        slot_at: Moment,
        out: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        let told = task.reader.as_ref().is_some_and(|r| task.owners.contains(r));
        if told || !task.wants_kv() || slot_at > now.after(NOTICE) {
            return;
        }
        if let Some(Watcher { owner, id }) = task.watchers.first().cloned() {
            task.reader = Some(owner.clone());
            answer(out, &owner.peer, id, Answer::Admitted { slot_at });
        }
    }

    /// Tells those that hold a slot and whose reader is gone.
    fn call_holders(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let holds: Vec<(Attempt, Duration)> = self
            .open_tasks()
            .filter(|(_, t)| matches!(t.state, State::AwaitingKv { .. }) && t.wants_kv())
            .map(|(a, t)| (*a, hold_of(&self.pace, &t.admission)))
            .collect();
        for (attempt, hold) in holds {
            // What has not begun does not end sooner for having waited.
            self.slots.begin(now, &attempt, hold);
            self.call_reader(now, attempt, now, out);
        }
    }

    /// Tells those whose slots come free soon.
    fn call_readers(&mut self, now: Moment, out: &mut Vec<Effect>) {
        for (attempt, slot_at) in self.slots.expected(now) {
            self.call_reader(now, attempt, slot_at, out);
        }
    }

    fn run(&mut self, now: Moment, attempt: Attempt, out: &mut Vec<Effect>) {
        if self.sealed.contains_key(&attempt) {
            self.stats.double_starts += 1;
            return;
        }
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        if task.ran() {
            self.stats.double_starts += 1;
            return;
        }
        task.state = State::Running;
        let hold = hold_of(&self.pace, &task.admission);
        self.slots.begin(now, &attempt, hold);
        self.stats.started += 1;
        // An evicted export is useless: the engine computes the prompt itself.
        let kv = task.kv.take().filter(|kv| !kv.source.is_empty() && kv.evicted_at > now);
        out.push(Effect::Run { attempt, kv });
    }

    fn start(
        &mut self,
        now: Moment,
        peer: &Peer,
        id: u64,
        attempt: Attempt,
        kv: KvHandle,
        out: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return answer(out, peer, id, Answer::Sealed { ran: false });
        };
        task.kv = Some(kv);
        if matches!(task.state, State::AwaitingKv { .. }) {
            self.run(now, attempt, out);
        }
    }

    fn attach(&mut self, now: Moment, peer: &Peer, id: u64, ask: Ask, out: &mut Vec<Effect>) {
        let Ask::Attach { attempt, waiter, offset, prefix, .. } = ask else {
            return;
        };
        if self.sealed.contains_key(&attempt) {
            return answer(out, peer, id, Answer::Sealed { ran: false });
        }
        let Some(task) = self.tasks.get_mut(&attempt) else {
            self.parked.push(Parked { peer: peer.clone(), id, ask, until: now.after(PARK) });
            return;
        };
        let same =
            task.text.get(..offset as usize).is_some_and(|t| prefix_digest(t.as_bytes()) == prefix);
        if !same {
            return answer(out, peer, id, Answer::PrefixDiffers);
        }
        let rest = &task.text[offset as usize..];
        if !rest.is_empty() {
            answer(out, peer, id, Answer::Chunk { attempt, offset, bytes: rest.to_owned() });
        }
        match final_answer(attempt, task) {
            Some(last) => answer(out, peer, id, last),
            None => {
                let owner = Owner { peer: peer.clone(), waiter };
                task.watchers.retain(|w| w.owner != owner);
                task.watchers.push(Watcher { owner: owner.clone(), id });
                task.owners.insert(owner);
                task.orphan_at = Moment::NEVER;
            }
        }
    }

    fn detach(
        &mut self,
        now: Moment,
        owner: &Owner,
        attempt: Attempt,
        cancel: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        task.watchers.retain(|w| w.owner != *owner);
        task.owners.remove(owner);
        if task.open() && task.owners.is_empty() {
            task.orphan_at = if cancel { now } else { orphan_at(now, task) };
        }
        self.close_late(now, out);
    }

    /// Seals an attempt that has not run; true when it may have run.
    fn revoke(&mut self, now: Moment, attempt: Attempt, out: &mut Vec<Effect>) -> bool {
        match self.tasks.get(&attempt) {
            None => {
                self.seal(now, attempt);
                false
            }
            Some(task) if task.open() && !task.ran() => {
                self.refuse_open(now, attempt, Reason::Cancelled, out);
                false
            }
            Some(task) => task.ran(),
        }
    }

    /// Stops an attempt for everybody; a call that runs once goes on.
    fn cancel(&mut self, now: Moment, attempt: Attempt, out: &mut Vec<Effect>) -> bool {
        match self.tasks.get(&attempt) {
            Some(task) if task.open() && may_stop(task) => {
                let ran = task.ran();
                self.refuse_open(now, attempt, Reason::Cancelled, out);
                ran
            }
            Some(_) => true,
            None => self.revoke(now, attempt, out),
        }
    }

    fn disown(&mut self, now: Moment, peer: &Peer) {
        for attempt in &self.open {
            let Some(task) = self.tasks.get_mut(attempt) else {
                continue;
            };
            let before = task.owners.len();
            task.owners.retain(|o| o.peer != *peer);
            if task.owners.len() < before && task.owners.is_empty() {
                task.orphan_at = orphan_at(now, task);
            }
        }
    }

    /// Closes what is orphaned, past its deadline, or without its KV cache.
    fn close_late(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let mut late: Vec<(Attempt, Reason)> = Vec::new();
        for (attempt, task) in self.open_tasks() {
            if task.orphan_at <= now && may_stop(task) {
                late.push((*attempt, Reason::Orphaned));
            } else if overdue(now, task) {
                late.push((*attempt, Reason::Deadline));
            }
        }
        late.sort_unstable_by_key(|(a, _)| *a);
        for (attempt, reason) in late {
            if reason == Reason::Orphaned {
                self.stats.orphaned += 1;
            }
            self.refuse_open(now, attempt, reason, out);
        }
        let waits: Vec<Attempt> = self
            .open_tasks()
            .filter(|(_, t)| matches!(t.state, State::AwaitingKv { until } if until <= now))
            .map(|(a, _)| *a)
            .collect();
        for attempt in waits {
            self.run(now, attempt, out);
        }
    }

    /// Ends an open attempt without a whole answer; seals it if it never ran.
    fn refuse_open(
        &mut self,
        now: Moment,
        attempt: Attempt,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get(&attempt) else {
            return;
        };
        let ran = task.ran();
        if ran {
            out.push(Effect::Stop { attempt });
        }
        self.close(now, attempt, State::Failed { reason, ran }, out);
        if !ran {
            self.tasks.remove(&attempt);
            self.seal(now, attempt);
        }
    }

    fn close(&mut self, now: Moment, attempt: Attempt, state: State, out: &mut Vec<Effect>) {
        self.slots.release(&attempt);
        self.open.remove(&attempt);
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        task.state = state;
        task.forget_at = now.after(ANSWER_KEPT);
        // The answer is kept for repeats; what was asked is not needed any more.
        task.admission.work.clear();
        let Some(last) = final_answer(attempt, task) else {
            return;
        };
        for Watcher { owner, id } in task.watchers.drain(..) {
            answer(out, &owner.peer, id, last.clone());
        }
    }

    fn seal(&mut self, now: Moment, attempt: Attempt) {
        self.sealed.insert(attempt, now.after(SEAL_KEPT));
    }

    fn settle_slots(&mut self, now: Moment, out: &mut Vec<Effect>) {
        for attempt in self.slots.grant(now) {
            self.on_slot(now, attempt, out);
        }
    }

    fn check(&mut self) {
        let held = self.slots.holders().filter(|a| !self.open.contains(a)).count();
        self.stats.held_slots += held as u64;
    }

    fn answer_parked(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let (late, rest) =
            std::mem::take(&mut self.parked).into_iter().partition(|p| p.until <= now);
        self.parked = rest;
        for Parked { peer, id, ask, .. } in late {
            if let Ask::Attach { attempt, .. } = ask
                && !self.tasks.contains_key(&attempt)
            {
                self.seal(now, attempt);
                answer(out, &peer, id, Answer::Sealed { ran: false });
            }
        }
    }

    fn answer_parked_for(&mut self, now: Moment, wanted: Attempt, out: &mut Vec<Effect>) {
        let is_it = |p: &Parked| matches!(p.ask, Ask::Attach { attempt, .. } if attempt == wanted);
        let (due, rest) = std::mem::take(&mut self.parked).into_iter().partition(is_it);
        self.parked = rest;
        for Parked { peer, id, ask, .. } in due {
            self.attach(now, &peer, id, ask, out);
        }
    }

    fn need(&self, adm: &Admission) -> Need {
        Need {
            class: adm.class,
            first_by: adm.first_by,
            deadline: adm.deadline,
            hold: hold_of(&self.pace, adm),
        }
    }
}

/// How long an admitted attempt holds its slot once it runs, estimated.
fn hold_of(pace: &Pace, adm: &Admission) -> Duration {
    match &adm.work {
        Work::Plain(_) => pace.call,
        Work::Completion(c) => {
            let read = match adm.begin {
                Begin::AtOnce => f64::from(c.prompt_tokens) / pace.prefill_rate,
                Begin::AwaitKv => 0.0,
            };
            pace.token * c.max_tokens + Duration::from_secs_f64(read)
        }
    }
}

fn row(attempt: &Attempt, task: &Task) -> Row {
    let state = match task.state {
        State::Waiting => "waiting",
        State::AwaitingKv { .. } => "awaiting-kv",
        State::Running => "running",
        State::Ended { .. } => "ended",
        State::Failed { .. } => "failed",
    };
    Row {
        attempt: attempt.to_string(),
        class: task.admission.class,
        state: state.to_owned(),
        length: task.text.len() as u64,
        deadline: task.admission.deadline,
    }
}

fn orphan_at(now: Moment, task: &Task) -> Moment {
    match task.admission.class {
        Class::Urgent => now,
        Class::Slow => now.after(REATTACH_WINDOW),
    }
}

/// A call that runs once is never cut: its answer is kept for the caller's repeat.
fn may_stop(task: &Task) -> bool {
    !(task.admission.repeat == Repeat::Once && task.state == State::Running)
}

/// Urgent idempotent work past its deadline helps nobody; slow work that runs goes on.
fn overdue(now: Moment, task: &Task) -> bool {
    if task.admission.deadline > now {
        return false;
    }
    match task.state {
        State::Running => task.admission.class == Class::Urgent && may_stop(task),
        _ => true,
    }
}

fn final_answer(attempt: Attempt, task: &Task) -> Option<Answer> {
    match &task.state {
        State::Ended { status, mime } => Some(Answer::End {
            attempt,
            length: task.text.len() as u64,
            status: *status,
            mime: mime.clone(),
        }),
        State::Failed { reason, ran } => {
            Some(Answer::Failed { attempt, reason: *reason, ran: *ran })
        }
        _ => None,
    }
}

fn answer(out: &mut Vec<Effect>, to: &Peer, id: u64, answer: Answer) {
    out.push(Effect::Answer { to: to.clone(), id, answer });
}
