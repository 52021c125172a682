//! One request at its entry, from the claim of its key to the last byte of its answer.
//!
//! The machine asks one sidecar at a time and numbers its questions, so that a late answer to an
//! earlier question is recognised and dropped. It joins bytes of one attempt only; a later attempt
//! goes on behind the bytes held. `not-run` is said only after the attempt was sealed at its
//! executor and the home confirmed that no attempt of the key ran.

mod ending;

use std::time::Duration;

use crate::config::Class;
use crate::executor::NOTICE;
use crate::ids::{Attempt, Key, Peer, prefix_digest};
use crate::message::{Admission, Answer, Ask, Begin, Ended, KvHandle, Recorded, Repeat, Work};
use crate::time::Moment;
use crate::verdict::{Reason, Refusal, Verdict};

/// How long an answer of a home may take.
pub const HOME_WAIT: Duration = Duration::from_millis(1_500);
/// How long an executor may stay unreachable before the request moves on.
pub const EXECUTOR_WAIT: Duration = Duration::from_millis(2_500);
/// How long the seal of an attempt past its deadline may take.
pub const REVOKE_WAIT: Duration = Duration::from_millis(500);
/// Pause between looks for the home that follows a lost one.
const RECLAIM_PAUSE: Duration = Duration::from_millis(300);
/// Executors tried in one request, at most.
pub const TRY_LIMIT: u32 = 6;
/// Prefill runners tried in one attempt, at most.
pub const PREFILL_TRIES: u32 = 3;
/// How long a caller is told to wait when nothing better is known.
pub const COME_BACK: Duration = Duration::from_secs(1);

/// Who can be asked; implemented over the entry's views.
pub trait Fleet {
    /// The home of a key, and the placement epoch it is taken from.
    fn home(&self, key: &Key) -> Option<(Peer, u64)>;
    /// An executor for this work, or when one may be free.
    fn executor(&mut self, now: Moment, spec: &Spec) -> Result<Peer, Option<Moment>>;
    /// A prefill runner and the moment to start at, so that it ends when the slot is free.
    fn prefill(&mut self, now: Moment, spec: &Spec, slot_at: Moment) -> Option<(Peer, Moment)>;
    /// May the request be tried once more after a refusal or a fault?
    fn may_retry(&mut self, now: Moment) -> bool;
}

/// What a caller wants of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Run it, or join the run that there is.
    Run,
    /// Join the run that there is; run nothing.
    Find,
    /// Stop the run that there is.
    Cancel,
}

/// What a request is, fixed when its route was resolved.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of the request, unique in its entry's life.
    pub waiter: u64,
    /// What the caller wants.
    pub intent: Intent,
    /// Its key.
    pub key: Key,
    /// No earlier submission of the key exists.
    pub first: bool,
    /// Class of its route.
    pub class: Class,
    /// When its first byte is wanted.
    pub first_by: Moment,
    /// When its answer is of no use any more.
    pub deadline: Moment,
    /// May it run again?
    pub repeat: Repeat,
    /// Its prompt is read by a prefill runner.
    pub split: bool,
    /// The work.
    pub work: Work,
    /// Executors that refused or failed it.
    pub avoid: Vec<Peer>,
}

/// What the daemon must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask a sidecar; its answers come back with `seq`.
    Ask { to: Peer, seq: u64, ask: Ask },
    /// Tell a sidecar; no answer is awaited.
    Tell { to: Peer, ask: Ask },
    /// Hand answer bytes to the caller.
    Deliver { bytes: String },
    /// The answer is whole.
    Complete { status: u16, mime: String },
    /// The final refusal.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Claiming,
    Admitting,
    Streaming,
    Attaching,
    Revoking(Reason),
    Moving(Ended),
    Settling(Reason),
    Reclaiming,
    Closed,
}

/// The machine of one request.
pub struct Request {
    spec: Spec,
    phase: Phase,
    seq: u64,
    main: u64,
    home: Option<Peer>,
    attempt: Option<Attempt>,
    executor: Option<Peer>,
    /// Bytes received, from the first on.
    held: String,
    wait_until: Moment,
    tries: u32,
    prefill_seq: u64,
    prefill_peer: Option<Peer>,
    prefill_tries: u32,
    slot_at: Moment,
    computed: u32,
    /// The last question to the home, asked again when its link breaks.
    home_ask: Option<Ask>,
}

impl Request {
    /// A request not begun.
    pub fn new(spec: Spec) -> Self {
        Request {
            spec,
            phase: Phase::Idle,
            seq: 0,
            main: 0,
            home: None,
            attempt: None,
            executor: None,
            held: String::new(),
            wait_until: Moment::NEVER,
            tries: 0,
            prefill_seq: 0,
            prefill_peer: None,
            prefill_tries: 0,
            slot_at: Moment(0),
            computed: 0,
            home_ask: None,
        }
    }

    /// What the request is.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Has it ended?
    pub fn closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// What it is doing, for operators and traces.
    pub fn state(&self) -> String {
        format!("{:?} at {:?}, waits until {:?}", self.phase, self.executor, self.wait_until)
    }

    /// The attempt in force.
    pub fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// Answer bytes received so far.
    pub fn held(&self) -> &str {
        &self.held
    }

    /// When `on_tick` is due.
    pub fn wake_at(&self) -> Moment {
        self.wait_until
    }

    /// Begins: claims the key.
    pub fn begin(&mut self, now: Moment, fleet: &mut dyn Fleet) -> Vec<Step> {
        let mut out = Vec::new();
        let Some((home, epoch)) = fleet.home(&self.spec.key) else {
            self.refuse_unsent(now, Reason::NoHome, None, &mut out);
            return out;
        };
        if self.spec.intent != Intent::Run {
            self.home = Some(home);
            self.phase = Phase::Claiming;
            let ask = Ask::Find { key: self.spec.key.clone() };
            self.ask_home(ask, now.after(HOME_WAIT), &mut out);
            return out;
        }
        match fleet.executor(now, &self.spec) {
            Ok(executor) => {
                self.home = Some(home);
                self.executor = Some(executor.clone());
                let key = self.spec.key.clone();
                let digest = self.spec.work.digest();
                let ask = Ask::Claim { key, digest, repeat: self.spec.repeat, executor, epoch };
                self.phase = Phase::Claiming;
                self.ask_home(ask, now.after(HOME_WAIT), &mut out);
            }
            Err(at) => {
                let reason = if at.is_some() { Reason::Overload } else { Reason::NoServer };
                self.refuse_unsent(now, reason, at, &mut out);
            }
        }
        out
    }

    /// An answer to the question `seq`.
    pub fn on_answer(
        &mut self,
        now: Moment,
        fleet: &mut dyn Fleet,
        seq: u64,
        answer: Answer,
    ) -> Vec<Step> {
        let mut out = Vec::new();
        if self.closed() {
            return out;
        }
        if seq == self.prefill_seq && seq != 0 {
            self.on_prefill(now, fleet, answer, &mut out);
        } else if seq == self.main {
            self.on_main(now, fleet, answer, &mut out);
        }
        out
    }

    /// The question `seq` gets no answer on its link any more; `gone` says that the peer's life
    /// has ended for certain.
    pub fn on_lost(
        &mut self,
        now: Moment,
        fleet: &mut dyn Fleet,
        seq: u64,
        gone: bool,
    ) -> Vec<Step> {
        let mut out = Vec::new();
        if self.closed() {
            return out;
        }
        if seq == self.prefill_seq && seq != 0 {
            self.prefill_again(now, fleet, &mut out);
        } else if seq == self.main {
            self.main_lost(now, fleet, gone, &mut out);
        }
        out
    }

    /// A wait ran out.
    pub fn on_tick(&mut self, now: Moment, fleet: &mut dyn Fleet) -> Vec<Step> {
        let mut out = Vec::new();
        if self.closed() || now < self.wait_until {
            return out;
        }
        match self.phase {
            Phase::Claiming if self.resumes() => self.reclaim(now, fleet, &mut out),
            Phase::Claiming => self.finish_claimless(now, &mut out),
            Phase::Attaching => self.executor_lost(now, fleet, &mut out),
            Phase::Admitting if now >= self.spec.deadline => self.revoke(now, &mut out),
            Phase::Admitting => self.attach(now, &mut out),
            Phase::Revoking(_) => self.revoke_failed(now, &mut out),
            Phase::Moving(Ended::Lost) | Phase::Reclaiming => self.reclaim(now, fleet, &mut out),
            Phase::Moving(_) => self.finish_unsettled(now, true, &mut out),
            Phase::Settling(_) => self.finish_unsettled(now, true, &mut out),
            _ => self.wait_until = Moment::NEVER,
        }
        out
    }

    /// The caller hung up (`cancel` false) or asked to cancel.
    pub fn on_caller_gone(&mut self, cancel: bool) -> Vec<Step> {
        let mut out = Vec::new();
        if self.closed() {
            return out;
        }
        self.forget_prefill(&mut out);
        let waiter = self.spec.waiter;
        if let (Some(attempt), Some(to)) = (self.attempt, self.executor.clone()) {
            out.push(Step::Tell { to, ask: Ask::Detach { attempt, waiter, cancel } });
        }
        if cancel {
            let refusal = Refusal { retry_at: None, ..Refusal::unknown(Reason::Cancelled) };
            out.push(Step::Refuse(refusal));
        }
        self.phase = Phase::Closed;
        out
    }

    fn on_main(&mut self, now: Moment, fleet: &mut dyn Fleet, answer: Answer, out: &mut Vec<Step>) {
        match answer {
            Answer::Granted { attempt } => self.granted(now, attempt, out),
            Answer::Existing { attempt, executor, state } => {
                self.existing(now, attempt, executor, state, out);
            }
            Answer::NotOwner { .. } => self.not_owner(now, fleet, out),
            Answer::Void => self.finish(Refusal::unknown(Reason::RecordLost), out),
            Answer::Absent => {
                self.finish(Refusal::unsent(Reason::NoRecord, false, None), out);
            }
            Answer::Conflict => {
                self.finish(Refusal::unsent(Reason::KeyReused, false, None), out);
            }
            Answer::Settled { clean } => self.settled(clean, out),
            Answer::Admitted { slot_at } => self.admitted(now, fleet, slot_at, out),
            Answer::Refused { reason, retry_at } => self.refused(now, fleet, reason, retry_at, out),
            Answer::Sealed { ran: false } => self.sealed(now, fleet, out),
            Answer::Sealed { ran: true } => self.revoke_ran(now, fleet, out),
            Answer::OtherLife { .. } => self.executor_lost(now, fleet, out),
            Answer::PrefixDiffers => self.finish(Refusal::unknown(Reason::AnswerChanged), out),
            Answer::Chunk { attempt, offset, bytes } => {
                self.chunk(now, attempt, offset, &bytes, out);
            }
            Answer::End { attempt, length, status, mime } => {
                self.end(now, attempt, length, status, mime, out);
            }
            Answer::Failed { reason, ran, .. } => self.failed(now, fleet, reason, ran, out),
            Answer::Prefilled { .. } => {}
        }
    }

    fn granted(&mut self, now: Moment, attempt: Attempt, out: &mut Vec<Step>) {
        let Some(executor) = self.executor.clone() else {
            return;
        };
        self.attempt = Some(attempt);
        self.tries += 1;
        self.prefill_tries = 0;
        self.phase = Phase::Admitting;
        let begin = if self.spec.split { Begin::AwaitKv } else { Begin::AtOnce };
        let admission = Admission {
            waiter: self.spec.waiter,
            attempt,
            life: executor.life,
            class: self.spec.class,
            first_by: self.spec.first_by,
            deadline: self.spec.deadline,
            repeat: self.spec.repeat,
            begin,
            work: self.spec.work.clone(),
            prefix: self.held.clone(),
        };
        let wait = now.after(EXECUTOR_WAIT).min(self.spec.deadline.max(now));
        self.ask(executor, Ask::Admit(admission), wait, out);
    }

    fn existing(
        &mut self,
        now: Moment,
        attempt: Attempt,
        executor: Peer,
        state: Recorded,
        out: &mut Vec<Step>,
    ) {
        if state == Recorded::Lost {
            return self.finish(Refusal::unknown(Reason::Unknown), out);
        }
        self.attempt = Some(attempt);
        self.executor = Some(executor.clone());
        if self.spec.intent == Intent::Cancel {
            self.phase = Phase::Revoking(Reason::Cancelled);
            return self.ask(executor, Ask::Cancel { attempt }, now.after(EXECUTOR_WAIT), out);
        }
        self.attach(now, out);
    }

    fn attach(&mut self, now: Moment, out: &mut Vec<Step>) {
        let (Some(attempt), Some(executor)) = (self.attempt, self.executor.clone()) else {
            return;
        };
        let wait = match self.phase {
            // One wait covers all redials of the executor.
            Phase::Attaching => self.wait_until,
            _ => now.after(EXECUTOR_WAIT),
        };
        self.phase = Phase::Attaching;
        let ask = Ask::Attach {
            attempt,
            waiter: self.spec.waiter,
            life: executor.life,
            offset: self.held.len() as u64,
            prefix: prefix_digest(self.held.as_bytes()),
        };
        self.ask(executor, ask, wait, out);
    }

    fn not_owner(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        match self.phase {
            Phase::Claiming | Phase::Moving(Ended::Lost) if self.resumes() => {
                self.reclaim(now, fleet, out);
            }
            Phase::Claiming => {
                let back = Some(now.after(COME_BACK));
                self.refuse_unsent(now, Reason::NoHome, back, out);
            }
            Phase::Settling(_) | Phase::Moving(Ended::Sealed) => {
                self.finish_unsettled(now, true, out);
            }
            _ => self.finish_unsettled(now, false, out),
        }
    }

    fn admitted(
        &mut self,
        now: Moment,
        fleet: &mut dyn Fleet,
        slot_at: Moment,
        out: &mut Vec<Step>,
    ) {
        self.phase = Phase::Streaming;
        self.wait_until = Moment::NEVER;
        self.slot_at = slot_at;
        // A slot too far ahead is told again when it comes near.
        let soon = slot_at <= now.after(NOTICE);
        if self.spec.split && soon && self.prefill_seq == 0 {
            self.prefill(now, fleet, out);
        }
    }

    fn prefill(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        let Some(attempt) = self.attempt else { return };
        let Work::Completion(work) = self.spec.work.clone() else {
            return;
        };
        let choice = match self.prefill_tries < PREFILL_TRIES {
            true => fleet.prefill(now, &self.spec, self.slot_at),
            false => None,
        };
        let Some((runner, start_at)) = choice else {
            self.prefill_seq = 0;
            return self.start(KvHandle::default(), out);
        };
        self.prefill_tries += 1;
        self.seq += 1;
        self.prefill_seq = self.seq;
        self.prefill_peer = Some(runner.clone());
        let (class, deadline) = (self.spec.class, self.spec.deadline);
        let ask = Ask::Prefill { attempt, class, start_at, deadline, work };
        out.push(Step::Ask { to: runner, seq: self.seq, ask });
    }

    fn on_prefill(
        &mut self,
        now: Moment,
        fleet: &mut dyn Fleet,
        answer: Answer,
        out: &mut Vec<Step>,
    ) {
        match answer {
            Answer::Prefilled { kv } => {
                self.prefill_seq = 0;
                self.prefill_peer = None;
                self.computed += kv.computed;
                self.start(kv, out);
            }
            _ => self.prefill_again(now, fleet, out),
        }
    }

    fn prefill_again(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        self.prefill_peer = None;
        self.prefill(now, fleet, out);
    }

    fn start(&mut self, kv: KvHandle, out: &mut Vec<Step>) {
        let (Some(attempt), Some(to)) = (self.attempt, self.executor.clone()) else {
            return;
        };
        out.push(Step::Tell { to, ask: Ask::Start { attempt, kv } });
    }

    fn forget_prefill(&mut self, out: &mut Vec<Step>) {
        self.prefill_seq = 0;
        if let (Some(to), Some(attempt)) = (self.prefill_peer.take(), self.attempt) {
            out.push(Step::Tell { to, ask: Ask::Forget { attempt } });
        }
    }

    fn chunk(
        &mut self,
        now: Moment,
        attempt: Attempt,
        offset: u64,
        bytes: &str,
        out: &mut Vec<Step>,
    ) {
        if Some(attempt) != self.attempt {
            return;
        }
        let held = self.held.len() as u64;
        if offset > held {
            return self.attach(now, out);
        }
        self.phase = Phase::Streaming;
        self.wait_until = Moment::NEVER;
        let Some(fresh) = bytes.get((held - offset) as usize..) else {
            return;
        };
        if !fresh.is_empty() {
            self.held.push_str(fresh);
            out.push(Step::Deliver { bytes: fresh.to_owned() });
        }
    }

    fn end(
        &mut self,
        now: Moment,
        attempt: Attempt,
        length: u64,
        status: u16,
        mime: String,
        out: &mut Vec<Step>,
    ) {
        if Some(attempt) != self.attempt {
            return;
        }
        if length > self.held.len() as u64 {
            return self.attach(now, out);
        }
        self.tell_home(Ended::Done, out);
        self.phase = Phase::Closed;
        out.push(Step::Complete { status, mime });
    }

    /// The executor refused and sealed the attempt.
    fn refused(
        &mut self,
        now: Moment,
        fleet: &mut dyn Fleet,
        reason: Reason,
        retry_at: Option<Moment>,
        out: &mut Vec<Step>,
    ) {
        if matches!(self.phase, Phase::Claiming | Phase::Moving(_)) {
            return self.refuse_unsent(now, reason, retry_at, out);
        }
        self.avoid_executor();
        if self.spec.intent == Intent::Run && self.tries < TRY_LIMIT && fleet.may_retry(now) {
            match fleet.executor(now, &self.spec) {
                Ok(next) => return self.reassign(now, Ended::Sealed, next, out),
                Err(at) => return self.settle(now, reason, at.or(retry_at), out),
            }
        }
        self.settle(now, reason, retry_at, out);
    }

    /// The attempt never ran and never will.
    fn sealed(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        if let Phase::Revoking(reason) = self.phase {
            return self.settle(now, reason, None, out);
        }
        self.refused(now, fleet, Reason::Overload, None, out);
    }

    fn failed(
        &mut self,
        now: Moment,
        fleet: &mut dyn Fleet,
        reason: Reason,
        ran: bool,
        out: &mut Vec<Step>,
    ) {
        self.forget_prefill(out);
        match (ran, reason) {
            (_, Reason::Cancelled) => self.finish(Refusal::unknown(reason), out),
            (false, Reason::Deadline) => self.settle(now, reason, None, out),
            (false, _) => self.refused(now, fleet, reason, None, out),
            (true, Reason::Deadline) => {
                self.tell_home(Ended::Lost, out);
                self.finish(Refusal::unknown(reason), out);
            }
            (true, Reason::Orphaned) => self.move_on(now, fleet, false, out),
            (true, _) => self.move_on(now, fleet, true, out),
        }
    }

    /// The deadline passed without a word of the executor: seal the attempt or learn that it ran.
    fn revoke(&mut self, now: Moment, out: &mut Vec<Step>) {
        let (Some(attempt), Some(executor)) = (self.attempt, self.executor.clone()) else {
            return;
        };
        self.phase = Phase::Revoking(Reason::Deadline);
        self.ask(executor, Ask::Revoke { attempt }, now.after(REVOKE_WAIT), out);
    }

    fn revoke_ran(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        if self.spec.intent == Intent::Cancel {
            if self.spec.repeat == Repeat::Idempotent {
                self.tell_home(Ended::Lost, out);
            }
            return self.finish(Refusal::unknown(Reason::Cancelled), out);
        }
        self.executor_lost(now, fleet, out);
    }

    fn main_lost(&mut self, now: Moment, fleet: &mut dyn Fleet, gone: bool, out: &mut Vec<Step>) {
        if !gone
            && matches!(self.phase, Phase::Claiming | Phase::Moving(_) | Phase::Settling(_))
            && let Some(ask) = self.home_ask.clone()
        {
            let wait = self.wait_until;
            return self.ask_home(ask, wait, out);
        }
        match self.phase {
            Phase::Claiming if self.resumes() => self.reclaim(now, fleet, out),
            Phase::Claiming => self.finish_claimless(now, out),
            Phase::Moving(Ended::Lost) => self.reclaim(now, fleet, out),
            Phase::Moving(_) => self.finish_unsettled(now, true, out),
            Phase::Settling(_) => self.finish_unsettled(now, true, out),
            Phase::Revoking(_) => self.revoke_failed(now, out),
            _ if gone => self.executor_lost(now, fleet, out),
            _ => self.attach(now, out),
        }
    }

    /// The executor's life ended, or it can't be reached for too long.
    fn executor_lost(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        self.forget_prefill(out);
        self.move_on(now, fleet, true, out);
    }

    fn move_on(&mut self, now: Moment, fleet: &mut dyn Fleet, avoid: bool, out: &mut Vec<Step>) {
        if avoid {
            self.avoid_executor();
        }
        if self.spec.intent != Intent::Run {
            // Only the caller has the work to run it again.
            return self.finish_unknown_unsettled(now, out);
        }
        if self.spec.repeat == Repeat::Once {
            return self.finish_unknown(now, out);
        }
        // The target for the first byte is for work that has not begun; this must be completed.
        self.spec.first_by = self.spec.deadline;
        let next = fleet.executor(now, &self.spec);
        match next {
            Ok(next) if self.tries < TRY_LIMIT && fleet.may_retry(now) => {
                self.reassign(now, Ended::Lost, next, out);
            }
            _ => self.finish_unknown(now, out),
        }
    }

    /// Work that runs again goes on behind the bytes held, whatever home records it then.
    fn resumes(&self) -> bool {
        let again = self.spec.intent == Intent::Run && self.spec.repeat == Repeat::Idempotent;
        again && !self.held.is_empty()
    }

    /// The home is lost as well: claim the key at the home that follows it, once there is one.
    fn reclaim(&mut self, now: Moment, fleet: &mut dyn Fleet, out: &mut Vec<Step>) {
        if !self.resumes() || now >= self.spec.deadline {
            return self.finish_unsettled(now, false, out);
        }
        let next = fleet.home(&self.spec.key).filter(|(home, _)| Some(home) != self.home.as_ref());
        let executor = fleet.executor(now, &self.spec);
        let (Some((home, epoch)), Ok(executor)) = (next, executor) else {
            self.phase = Phase::Reclaiming;
            self.main = 0;
            self.wait_until = now.after(RECLAIM_PAUSE);
            return;
        };
        self.home = Some(home);
        self.executor = Some(executor.clone());
        self.phase = Phase::Claiming;
        let (key, digest) = (self.spec.key.clone(), self.spec.work.digest());
        let ask = Ask::Claim { key, digest, repeat: self.spec.repeat, executor, epoch };
        self.ask_home(ask, now.after(HOME_WAIT), out);
    }

    fn reassign(&mut self, now: Moment, ended: Ended, next: Peer, out: &mut Vec<Step>) {
        let Some(attempt) = self.attempt else { return };
        self.phase = Phase::Moving(ended);
        self.executor = Some(next.clone());
        let key = self.spec.key.clone();
        let ask = Ask::Reassign { key, attempt, ended, executor: next };
        self.ask_home(ask, now.after(HOME_WAIT), out);
    }

    fn avoid_executor(&mut self) {
        if let Some(peer) = self.executor.take() {
            self.spec.avoid.push(peer);
        }
    }

    fn ask_home(&mut self, ask: Ask, wait: Moment, out: &mut Vec<Step>) {
        let Some(home) = self.home.clone() else {
            return;
        };
        self.home_ask = Some(ask.clone());
        self.ask(home, ask, wait, out);
    }

    fn ask(&mut self, to: Peer, ask: Ask, wait: Moment, out: &mut Vec<Step>) {
        self.seq += 1;
        self.main = self.seq;
        self.wait_until = wait;
        out.push(Step::Ask { to, seq: self.seq, ask });
    }
}
