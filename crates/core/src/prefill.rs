//! Prefill work at its runner: started just in time, never for nobody.
//!
//! A job starts so that it ends, transfer included, when its decode slot is free. It is not started
//! while the link is so busy that its result would be evicted first, nor when it can't help any more.

use std::collections::HashMap;
use std::time::Duration;

use crate::affinity::{Hints, head_of};
use crate::config::Class;
use crate::ids::{Attempt, Peer};
use crate::message::{Answer, Completion, KvHandle};
use crate::time::Moment;
use crate::transfer::LinkLedger;
use crate::verdict::Reason;

/// Prompt tokens queued at most.
pub const BACKLOG_LIMIT: u64 = 200_000;
/// How much later than asked a job may start; beyond, another runner or the decode engine is better.
pub const LATE: Duration = Duration::from_secs(2);
/// How long a result stays exported.
pub const EVICTION: Duration = Duration::from_millis(800);

/// What the runner's engine can do.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens computed a second.
    pub rate: f64,
    /// KV cache bytes a token.
    pub token_bytes: u64,
    /// Jobs computed at once.
    pub lanes: usize,
    /// Tokens of a cached head.
    pub head_tokens: u32,
}

/// What the daemon must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send an answer to the question `id` of `to`.
    Answer { to: Peer, id: u64, answer: Answer },
    /// Compute and export.
    Compute { attempt: Attempt, work: Completion },
    /// Stop computing, or drop the export.
    Drop { attempt: Attempt },
}

#[derive(Clone, Debug)]
struct Job {
    peer: Peer,
    id: u64,
    class: Class,
    start_at: Moment,
    deadline: Moment,
    work: Completion,
    running: bool,
}

/// The prefill work of one runner.
pub struct Prefills {
    speed: Speed,
    link: LinkLedger,
    jobs: HashMap<Attempt, Job>,
    hints: Hints,
    leaving: bool,
}

impl Prefills {
    /// An idle runner.
    pub fn new(speed: Speed, link: LinkLedger) -> Self {
        let hints = Hints::default();
        Prefills { speed, link, jobs: HashMap::new(), hints, leaving: false }
    }

    /// Cached heads, for load reports.
    pub fn heads(&self) -> Vec<u64> {
        self.hints.heads()
    }

    /// A cache event of the engine.
    pub fn on_event(&mut self, seq: u64, head: u64, stored: bool) {
        self.hints.on_event(seq, head, stored);
    }

    /// Prompt tokens queued or computing.
    pub fn backlog(&self) -> u64 {
        self.jobs.values().map(|j| u64::from(j.work.prompt_tokens)).sum()
    }

    /// Jobs queued or computing.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Has no job?
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// A job arrives.
    #[allow(clippy::too_many_arguments)]
    pub fn on_job(
        &mut self,
        now: Moment,
        peer: &Peer,
        id: u64,
        attempt: Attempt,
        class: Class,
        start_at: Moment,
        deadline: Moment,
        work: Completion,
    ) -> Vec<Effect> {
        let ready = self.predict(now, &work);
        let late = ready.before(self.compute_time(&work)) > start_at.max(now).after(LATE);
        let full = self.backlog() >= BACKLOG_LIMIT || late || ready > deadline;
        if self.leaving || full {
            let reason = if self.leaving { Reason::Leaving } else { Reason::Overload };
            let answer = Answer::Refused { reason, retry_at: Some(ready) };
            return vec![Effect::Answer { to: peer.clone(), id, answer }];
        }
        let job = Job { peer: peer.clone(), id, class, start_at, deadline, work, running: false };
        self.jobs.insert(attempt, job);
        self.on_tick(now)
    }

    /// The result is not wanted any more.
    pub fn on_forget(&mut self, now: Moment, attempt: &Attempt) -> Vec<Effect> {
        let mut out = Vec::new();
        if self.jobs.remove(attempt).is_some_and(|j| j.running) {
            out.push(Effect::Drop { attempt: *attempt });
        }
        out.extend(self.on_tick(now));
        out
    }

    /// All jobs of a peer whose lease lapsed.
    pub fn on_lapsed(&mut self, now: Moment, peer: &Peer) -> Vec<Effect> {
        let mut gone: Vec<Attempt> =
            self.jobs.iter().filter(|(_, j)| j.peer == *peer).map(|(a, _)| *a).collect();
        gone.sort_unstable();
        gone.iter().flat_map(|a| self.on_forget(now, a)).collect()
    }

    /// The engine exported a result, or failed.
    pub fn on_computed(
        &mut self,
        now: Moment,
        attempt: Attempt,
        kv: Option<KvHandle>,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        if let Some(job) = self.jobs.remove(&attempt) {
            let answer = match kv {
                Some(kv) => {
                    self.link.reserve(now, kv.bytes, Moment::NEVER);
                    Answer::Prefilled { kv }
                }
                None => Answer::Refused { reason: Reason::Upstream, retry_at: None },
            };
            out.push(Effect::Answer { to: job.peer, id: job.id, answer });
        }
        out.extend(self.on_tick(now));
        out
    }

    /// Starts what is due; refuses what can't help any more.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut out = Vec::new();
        self.refuse_late(now, &mut out);
        while self.running() < self.speed.lanes {
            let Some(attempt) = self.next_due(now) else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&attempt) else {
                break;
            };
            job.running = true;
            out.push(Effect::Compute { attempt, work: job.work.clone() });
        }
        out
    }

    /// When the next job is due to start, for the daemon's timer.
    pub fn next_at(&self) -> Option<Moment> {
        self.jobs.values().filter(|j| !j.running).map(|j| j.start_at).min()
    }

    /// How long the engine computes this prompt.
    pub fn compute_time(&self, work: &Completion) -> Duration {
        Duration::from_secs_f64(f64::from(self.uncached(work)) / self.speed.rate.max(1.0))
    }

    fn uncached(&self, work: &Completion) -> u32 {
        let cached = match self.hints.holds(head_of(&work.prompt)) {
            true => self.speed.head_tokens.min(work.prompt_tokens),
            false => 0,
        };
        work.prompt_tokens - cached
    }

    fn running(&self) -> usize {
        self.jobs.values().filter(|j| j.running).count()
    }

    fn predict(&self, now: Moment, work: &Completion) -> Moment {
        let queued: f64 =
            self.jobs.values().map(|j| self.compute_time(&j.work).as_secs_f64()).sum();
        let wait = Duration::from_secs_f64(queued / self.speed.lanes.max(1) as f64);
        now.after(wait).after(self.compute_time(work))
    }

    fn next_due(&self, now: Moment) -> Option<Attempt> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.running && j.start_at <= now && self.link_fits(now, &j.work))
            .min_by_key(|(a, j)| (j.class, j.start_at, **a))
            .map(|(a, _)| *a)
    }

    /// Would the transfer end before the result is evicted?
    fn link_fits(&self, now: Moment, work: &Completion) -> bool {
        let ready = now.after(self.compute_time(work));
        let bytes = u64::from(work.prompt_tokens) * self.speed.token_bytes;
        let alone = self.link.duration(bytes) >= EVICTION;
        alone || self.link.end(ready, bytes) <= ready.after(EVICTION)
    }

    fn refuse_late(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let mut late: Vec<Attempt> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.running && now.after(self.compute_time(&j.work)) > j.deadline)
            .map(|(a, _)| *a)
            .collect();
        late.sort_unstable();
        for attempt in late {
            if let Some(job) = self.jobs.remove(&attempt) {
                let answer = Answer::Refused { reason: Reason::Deadline, retry_at: None };
                out.push(Effect::Answer { to: job.peer, id: job.id, answer });
            }
        }
    }
}
