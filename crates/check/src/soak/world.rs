//! The world of a randomised run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use ebonyloft_core::config::Class;
use ebonyloft_core::executor::{Effect, Executor, Pace};
use ebonyloft_core::ids::{Account, Attempt, Incarnation, Key, MemberId, Peer};
use ebonyloft_core::ledger::Ledger;
use ebonyloft_core::message::{Answer, Ask, Completion, Ended, PlainCall, Repeat, Work};
use ebonyloft_core::placement::Placement;
use ebonyloft_core::request::{Fleet, Intent, Request, Spec, Step};
use ebonyloft_core::slots::Slots;
use ebonyloft_core::time::Moment;
use ebonyloft_core::verdict::Verdict;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Tally;
use super::net::{LinkKey, Net, Parcel};
use crate::tokens::{self, Writer};

const SIDECARS: usize = 4;
const ENTRIES: usize = 3;
const KEYS: u64 = 14;
const SLOT_COUNT: u16 = 8;
const TICK: Duration = Duration::from_millis(40);
const TOKEN: Duration = Duration::from_millis(20);
const CALL: Duration = Duration::from_millis(30);
const TOKENS: u32 = 40;
const SILENCE: Duration = Duration::from_millis(2_500);
/// When faults and new submissions end.
const CALM: Moment = Moment(START.0 + 25_000_000);
/// When everything must have ended.
const END: Moment = Moment(CALM.0 + 60_000_000);
const START: Moment = Moment(1_800_000_000_000_000);
const TRACE: usize = 60;

#[derive(Clone, Debug)]
enum Event {
    Parcel { key: LinkKey, generation: u64, to_sidecar: bool, parcel: Parcel },
    TickSidecar { at: usize, life: Incarnation },
    TickEntry { at: usize, life: Incarnation },
    Lost { entry: usize, life: Incarnation, ask: u64, gone: bool },
    Token { at: usize, life: Incarnation, attempt: Attempt },
    CallEnds { at: usize, life: Incarnation, attempt: Attempt },
    Submit { key: u64 },
    HangUp { entry: usize, life: Incarnation, id: u64, cancel: bool },
    Fault,
    Learn { at: usize, epoch: u64 },
    LearnEntry { at: usize, epoch: u64 },
    TakeOver { to: usize, life: Incarnation, from: Peer, epoch: u64, slots: Vec<u16> },
    Restart { sidecar: bool, at: usize },
    ConfirmGone { peer: Peer },
    Leave { at: usize },
}

struct Run {
    writer: Option<Writer>,
}

struct Sidecar {
    peer: Peer,
    alive: bool,
    leaving: bool,
    paused_until: Moment,
    ledger: Ledger,
    executor: Executor,
    runs: HashMap<Attempt, Run>,
}

struct Live {
    request: Request,
    key: u64,
    delivered: String,
    attempts: HashSet<Attempt>,
}

struct EntryNode {
    peer: Peer,
    alive: bool,
    paused_until: Moment,
    placement: Placement,
    live: BTreeMap<u64, Live>,
    asks: BTreeMap<u64, (u64, u64, Peer)>,
    known: Vec<Peer>,
}

/// The world.
pub struct World {
    rng: ChaCha8Rng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    seq: u64,
    net: Net,
    sidecars: Vec<Sidecar>,
    entries: Vec<EntryNode>,
    placements: Vec<Placement>,
    ended: HashSet<Peer>,
    runs_by_key: HashMap<u64, u64>,
    key_of: HashMap<Attempt, u64>,
    issued: HashMap<u64, Moment>,
    next_id: u64,
    next_run: u64,
    tally: Tally,
    trace: VecDeque<String>,
    broken: Option<String>,
}

struct View<'a> {
    placement: &'a Placement,
    known: &'a [Peer],
    rng: &'a mut ChaCha8Rng,
}

impl Fleet for View<'_> {
    fn home(&self, key: &Key) -> Option<(Peer, u64)> {
        let slot = key.slot(SLOT_COUNT);
        self.placement.home(slot).map(|p| (p.clone(), self.placement.epoch))
    }

    fn executor(&mut self, _: Moment, spec: &Spec) -> Result<Peer, Option<Moment>> {
        let able: Vec<&Peer> = self.known.iter().filter(|p| !spec.avoid.contains(p)).collect();
        match able.is_empty() {
            true => Err(None),
            false => Ok(able[self.rng.random_range(0..able.len())].clone()),
        }
    }

    fn prefill(&mut self, _: Moment, _: &Spec, _: Moment) -> Option<(Peer, Moment)> {
        None
    }

    fn may_retry(&mut self, _: Moment) -> bool {
        self.rng.random_bool(0.95)
    }
}

fn is_once(key: u64) -> bool {
    key.is_multiple_of(2)
}

fn prompt(key: u64) -> String {
    format!("prompt of key {key}")
}

impl World {
    /// A world with nothing under way.
    pub fn new(seed: u64) -> Self {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            seq: 0,
            net: Net::default(),
            sidecars: Vec::new(),
            entries: Vec::new(),
            placements: Vec::new(),
            ended: HashSet::new(),
            runs_by_key: HashMap::new(),
            key_of: HashMap::new(),
            issued: HashMap::new(),
            next_id: 0,
            next_run: 0,
            tally: Tally::default(),
            trace: VecDeque::new(),
            broken: None,
        };
        world.build();
        world
    }

    fn build(&mut self) {
        for i in 0..SIDECARS {
            let sidecar = self.new_sidecar(i, Incarnation(self.now.0));
            self.sidecars.push(sidecar);
        }
        let homes: Vec<Peer> = self.sidecars.iter().map(|s| s.peer.clone()).collect();
        let placement = Placement::found(&homes, SLOT_COUNT).expect("homes");
        for s in &mut self.sidecars {
            s.ledger.adopt(&placement);
        }
        for i in 0..ENTRIES {
            let entry = self.new_entry(i, Incarnation(self.now.0), &placement);
            self.entries.push(entry);
        }
        self.placements.push(placement);
        for i in 0..SIDECARS {
            let life = self.sidecars[i].peer.life;
            self.after(TICK, Event::TickSidecar { at: i, life });
        }
        for i in 0..ENTRIES {
            let life = self.entries[i].peer.life;
            self.after(TICK, Event::TickEntry { at: i, life });
        }
        for key in 0..KEYS {
            let repeats = self.rng.random_range(1..=4);
            let first = self.rng.random_range(0..20_000);
            // Callers' clocks differ from those here by a second at most.
            let skew = self.rng.random_range(0..2_000);
            let issued = START.after(Duration::from_millis(first + skew));
            self.issued.insert(key, issued.before(Duration::from_secs(1)));
            for r in 0..repeats {
                let gap = self.rng.random_range(0..3_000) * r;
                self.after(Duration::from_millis(first + gap), Event::Submit { key });
            }
        }
        for _ in 0..self.rng.random_range(0..9) {
            let at = self.rng.random_range(0..24_000);
            self.after(Duration::from_millis(at), Event::Fault);
        }
    }

    fn new_sidecar(&mut self, i: usize, life: Incarnation) -> Sidecar {
        let peer = Peer { id: MemberId(format!("sidecar-{i}")), life };
        let pace = Pace { token: TOKEN, prefill_rate: 1e6, call: CALL };
        Sidecar {
            ledger: Ledger::new(peer.clone()),
            executor: Executor::new(life, Slots::new(3, 6), pace),
            peer,
            alive: true,
            leaving: false,
            paused_until: Moment(0),
            runs: HashMap::new(),
        }
    }

    fn new_entry(&mut self, i: usize, life: Incarnation, placement: &Placement) -> EntryNode {
        EntryNode {
            peer: Peer { id: MemberId(format!("entry-{i}")), life },
            alive: true,
            paused_until: Moment(0),
            placement: placement.clone(),
            live: BTreeMap::new(),
            asks: BTreeMap::new(),
            known: self.sidecars.iter().map(|s| s.peer.clone()).collect(),
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now.after(wait), event);
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn break_rule(&mut self, rule: String) {
        self.broken.get_or_insert(rule);
    }

    /// Runs to the end.
    pub fn run(&mut self) -> Result<Tally, String> {
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            let Some(event) = self.events.remove(&seq) else {
                continue;
            };
            self.now = at;
            let dull = matches!(
                event,
                Event::TickEntry { .. }
                    | Event::TickSidecar { .. }
                    | Event::Token { .. }
                    | Event::Parcel {
                        parcel: Parcel::Ping | Parcel::Answer { answer: Answer::Chunk { .. }, .. },
                        ..
                    }
            );
            if !dull {
                self.note(format!("{} {event:?}", (at.0 - START.0) / 1_000));
            }
            self.handle(event);
            self.check_owners();
            if let Some(rule) = self.broken.take() {
                return Err(self.report(&rule));
            }
            if at >= END {
                break;
            }
        }
        self.check_end().map_err(|rule| self.report(&rule))?;
        Ok(self.tally)
    }

    fn note(&mut self, line: String) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        self.trace.push_back(line);
    }

    fn report(&self, rule: &str) -> String {
        let trace: Vec<&str> = self.trace.iter().map(String::as_str).collect();
        format!("{rule}\n{}", trace.join("\n"))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Parcel { key, generation, to_sidecar, parcel } => {
                self.on_parcel(&key, generation, to_sidecar, parcel);
            }
            Event::TickSidecar { at, life } => self.tick_sidecar(at, life),
            Event::TickEntry { at, life } => self.tick_entry(at, life),
            Event::Lost { entry, life, ask, gone } => self.on_lost(entry, life, ask, gone),
            Event::Token { at, life, attempt } => self.on_token(at, life, attempt),
            Event::CallEnds { at, life, attempt } => self.on_call_end(at, life, attempt),
            Event::Submit { key } => self.submit(key),
            Event::HangUp { entry, life, id, cancel } => self.hang_up(entry, life, id, cancel),
            Event::Fault => self.fault(),
            Event::Learn { at, epoch } => self.learn(at, epoch),
            Event::LearnEntry { at, epoch } => {
                let placement = self.placements[epoch as usize - 1].clone();
                let entry = &mut self.entries[at];
                if placement.epoch > entry.placement.epoch {
                    entry.placement = placement;
                }
            }
            Event::TakeOver { to, life, from, epoch, slots } => {
                self.take_over(to, life, &from, epoch, &slots);
            }
            Event::Restart { sidecar, at } => self.restart(sidecar, at),
            Event::ConfirmGone { peer } => self.confirm_gone(&peer),
            Event::Leave { at } => self.try_end(at),
        }
    }

    // Requests.

    fn submit(&mut self, key: u64) {
        let alive: Vec<usize> = (0..ENTRIES).filter(|i| self.entries[*i].alive).collect();
        if alive.is_empty() || self.now >= CALM {
            return;
        }
        let e = alive[self.rng.random_range(0..alive.len())];
        self.next_id += 1;
        self.tally.sent += 1;
        let id = self.next_id;
        let spec = self.spec(key);
        let live = Live {
            request: Request::new(spec),
            key,
            delivered: String::new(),
            attempts: HashSet::new(),
        };
        self.entries[e].live.insert(id, live);
        if self.rng.random_bool(0.15) {
            let wait = Duration::from_millis(self.rng.random_range(0..1_500));
            let life = self.entries[e].peer.life;
            let cancel = self.rng.random_bool(0.3);
            self.after(wait, Event::HangUp { entry: e, life, id, cancel });
        }
        self.drive(e, id, |request, now, fleet| request.begin(now, fleet));
    }

    fn spec(&mut self, key: u64) -> Spec {
        let once = is_once(key);
        // The key's time is fixed by its number: repeats carry the same key.
        let mut tail = [0_u8; 10];
        tail[..8].copy_from_slice(&key.to_be_bytes());
        let ms = self.issued.get(&key).map_or(0, |at| at.as_millis());
        let text = uuid::Builder::from_unix_timestamp_millis(ms, &tail).into_uuid().to_string();
        let work = match once {
            true => Work::Plain(PlainCall {
                method: "POST".to_owned(),
                path: format!("key {key}"),
                mime: String::new(),
                body: Vec::new(),
            }),
            false => Work::Completion(Completion {
                model: "m".to_owned(),
                prompt: prompt(key),
                max_tokens: TOKENS,
                prompt_tokens: 4,
            }),
        };
        Spec {
            intent: Intent::Run,
            waiter: self.next_id,
            key: Key { account: Account::from("a"), text },
            first: false,
            class: if key.is_multiple_of(4) { Class::Urgent } else { Class::Slow },
            first_by: self.now.after(Duration::from_secs(4)),
            deadline: self.now.after(Duration::from_secs(8)),
            repeat: if once { Repeat::Once } else { Repeat::Idempotent },
            split: false,
            work,
            avoid: Vec::new(),
        }
    }

    fn hang_up(&mut self, e: usize, life: Incarnation, id: u64, cancel: bool) {
        if self.entries[e].peer.life != life || !self.entries[e].alive {
            return;
        }
        let Some(live) = self.entries[e].live.get_mut(&id) else {
            return;
        };
        self.tally.gone += 1;
        let steps = live.request.on_caller_gone(cancel);
        self.steps(e, id, steps);
        self.finish(e, id);
    }

    fn drive(
        &mut self,
        e: usize,
        id: u64,
        call: impl FnOnce(&mut Request, Moment, &mut dyn Fleet) -> Vec<Step>,
    ) {
        let entry = &mut self.entries[e];
        let Some(live) = entry.live.get_mut(&id) else {
            return;
        };
        let mut view =
            View { placement: &entry.placement, known: &entry.known, rng: &mut self.rng };
        let steps = call(&mut live.request, self.now, &mut view);
        let (attempt, key) = (live.request.attempt(), live.key);
        if let Some(attempt) = attempt {
            self.key_of.insert(attempt, key);
        }
        self.steps(e, id, steps);
        if self.entries[e].live.get(&id).is_some_and(|l| l.request.closed()) {
            self.finish(e, id);
        }
    }

    fn finish(&mut self, e: usize, id: u64) {
        self.entries[e].live.remove(&id);
        self.entries[e].asks.retain(|_, (r, ..)| *r != id);
    }

    fn steps(&mut self, e: usize, id: u64, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Ask { to, seq, ask } => self.ask(e, id, seq, &to, ask),
                Step::Tell { to, ask } => self.send(e, &to, Parcel::Ask { id: 0, ask }),
                Step::Deliver { bytes } => {
                    if let Some(live) = self.entries[e].live.get_mut(&id) {
                        live.delivered.push_str(&bytes);
                    }
                }
                Step::Complete { .. } => self.completed(e, id),
                Step::Refuse(refusal) => {
                    match refusal.verdict {
                        Verdict::NotRun => self.tally.not_run += 1,
                        Verdict::MayHaveRun => self.tally.may_have_run += 1,
                    }
                    self.check_refusal(e, id, refusal.submission);
                }
            }
        }
    }

    fn completed(&mut self, e: usize, id: u64) {
        self.tally.whole += 1;
        let Some(live) = self.entries[e].live.get(&id) else {
            return;
        };
        if is_once(live.key) {
            return;
        }
        let runs: HashSet<&str> =
            live.delivered.split_ascii_whitespace().filter_map(|t| t.split('.').nth(1)).collect();
        self.tally.resumed += u64::from(runs.len() > 1);
        if let Err(flaw) = tokens::check(&prompt(live.key), &live.delivered, TOKENS) {
            let rule = format!("key {}: the answer is {flaw:?}: {}", live.key, live.delivered);
            self.break_rule(rule);
        }
    }

    /// A submission that was told it did not run must have run under none of its attempts.
    fn check_refusal(&mut self, e: usize, id: u64, submission: Verdict) {
        let Some(live) = self.entries[e].live.get(&id) else {
            return;
        };
        if submission == Verdict::NotRun && !live.delivered.is_empty() {
            let rule = format!("key {}: not-run was said of an answer that had begun", live.key);
            self.break_rule(rule);
        }
    }

    fn ask(&mut self, e: usize, id: u64, seq: u64, to: &Peer, ask: Ask) {
        self.next_id += 1;
        let number = self.next_id;
        if let Ask::Admit(admission) = &ask
            && let Some(live) = self.entries[e].live.get_mut(&id)
        {
            live.attempts.insert(admission.attempt);
        }
        let gone = self.ended.contains(to);
        let known = self.sidecar_at(to).is_some_and(|i| self.sidecars[i].alive);
        self.entries[e].asks.insert(number, (id, seq, to.clone()));
        let life = self.entries[e].peer.life;
        if gone || !known {
            let wait = Duration::from_millis(if gone { 1 } else { 200 });
            return self.after(wait, Event::Lost { entry: e, life, ask: number, gone });
        }
        self.send(e, to, Parcel::Ask { id: number, ask });
    }

    fn send(&mut self, e: usize, to: &Peer, parcel: Parcel) {
        let key = LinkKey { entry: self.entries[e].peer.clone(), sidecar: to.clone() };
        let delay = Duration::from_micros(self.rng.random_range(200..8_000));
        let now = self.now;
        let link = self.net.link(&key, now);
        let at = now.after(delay).max(link.last_out.after(Duration::from_micros(1)));
        link.last_out = at;
        let generation = link.generation;
        if !link.mute_out {
            self.at(at, Event::Parcel { key, generation, to_sidecar: true, parcel });
        }
    }

    fn answer(&mut self, s: usize, to: &Peer, id: u64, answer: Answer) {
        if id == 0 {
            return;
        }
        let key = LinkKey { entry: to.clone(), sidecar: self.sidecars[s].peer.clone() };
        let delay = Duration::from_micros(self.rng.random_range(200..8_000));
        let now = self.now;
        let link = self.net.link(&key, now);
        let at = now.after(delay).max(link.last_back.after(Duration::from_micros(1)));
        link.last_back = at;
        let generation = link.generation;
        if !link.mute_back {
            let parcel = Parcel::Answer { id, answer };
            self.at(at, Event::Parcel { key, generation, to_sidecar: false, parcel });
        }
    }

    fn sidecar_at(&self, peer: &Peer) -> Option<usize> {
        self.sidecars.iter().position(|s| s.peer == *peer)
    }

    fn entry_at(&self, peer: &Peer) -> Option<usize> {
        self.entries.iter().position(|e| e.peer == *peer)
    }

    fn on_parcel(&mut self, key: &LinkKey, generation: u64, to_sidecar: bool, parcel: Parcel) {
        let now = self.now;
        if self.net.link(key, now).generation != generation {
            return;
        }
        if to_sidecar {
            let Some(s) = self.sidecar_at(&key.sidecar).filter(|s| self.sidecars[*s].alive) else {
                return;
            };
            if self.sidecars[s].paused_until > now {
                let at = self.sidecars[s].paused_until;
                return self
                    .at(at, Event::Parcel { key: key.clone(), generation, to_sidecar, parcel });
            }
            self.at_sidecar(s, &key.entry, parcel);
        } else {
            let Some(e) = self.entry_at(&key.entry).filter(|e| self.entries[*e].alive) else {
                return;
            };
            if self.entries[e].paused_until > now {
                let at = self.entries[e].paused_until;
                return self
                    .at(at, Event::Parcel { key: key.clone(), generation, to_sidecar, parcel });
            }
            self.net.link(key, now).heard_at = now;
            let Parcel::Answer { id, answer } = parcel else {
                return;
            };
            let Some((request, seq, _)) = self.entries[e].asks.get(&id).cloned() else {
                return;
            };
            self.drive(e, request, |r, now, fleet| r.on_answer(now, fleet, seq, answer));
        }
    }

    fn at_sidecar(&mut self, s: usize, from: &Peer, parcel: Parcel) {
        let now = self.now;
        let Parcel::Ask { id, ask } = parcel else {
            self.sidecars[s].executor.on_alive(now, from);
            return;
        };
        let ledger = &mut self.sidecars[s].ledger;
        let answer = match ask {
            Ask::Claim { key, digest, repeat, executor, .. } => {
                ledger.claim(now, &key, digest, repeat, &executor)
            }
            Ask::Reassign { key, attempt, ended, executor } => {
                ledger.reassign(now, &key, attempt, ended, &executor)
            }
            Ask::Settle { key, attempt, ended } => {
                let answer = ledger.settle(now, &key, attempt, ended);
                self.check_settled(attempt, ended, &answer);
                answer
            }
            Ask::Find { key } => ledger.find(now, &key),
            ask => {
                let effects = self.sidecars[s].executor.on_ask(now, from, id, ask);
                return self.effects(s, effects);
            }
        };
        self.answer(s, from, id, answer);
    }

    /// The home's word that a key is clean is what `not-run` rests on.
    fn check_settled(&mut self, attempt: Attempt, ended: Ended, answer: &Answer) {
        let clean = matches!(answer, Answer::Settled { clean: true });
        let Some(key) = self.key_of.get(&attempt).copied() else {
            return;
        };
        let ran = self.runs_by_key.get(&key).copied().unwrap_or(0);
        if ended == Ended::Sealed && clean && ran > 0 {
            self.break_rule(format!("key {key} is called clean and ran {ran} time(s)"));
        }
    }

    fn effects(&mut self, s: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer { to, id, answer } => self.answer(s, &to, id, answer),
                Effect::Run { attempt, .. } => self.begin_run(s, attempt),
                Effect::Stop { attempt } => {
                    self.sidecars[s].runs.remove(&attempt);
                }
                Effect::Hang { peer } => {
                    if let Some(e) = self.entry_at(&peer) {
                        self.cut(e, s);
                    }
                }
            }
        }
    }

    fn begin_run(&mut self, s: usize, attempt: Attempt) {
        let life = self.sidecars[s].peer.life;
        let Some(admission) = self.sidecars[s].executor.admission(&attempt).cloned() else {
            return;
        };
        self.tally.runs += 1;
        let key = self.key_of.get(&attempt).copied();
        if let Some(key) = key {
            let runs = self.runs_by_key.entry(key).or_default();
            *runs += 1;
            if is_once(key) && *runs > 1 {
                self.break_rule(format!("key {key} runs once and ran again"));
            }
        }
        match &admission.work {
            Work::Plain(_) => {
                self.sidecars[s].runs.insert(attempt, Run { writer: None });
                self.after(CALL, Event::CallEnds { at: s, life, attempt });
            }
            Work::Completion(work) => {
                self.next_run += 1;
                let writer = Writer::new(&work.prompt, &admission.prefix, self.next_run);
                self.sidecars[s].runs.insert(attempt, Run { writer: Some(writer) });
                self.after(TOKEN, Event::Token { at: s, life, attempt });
            }
        }
    }

    fn on_token(&mut self, s: usize, life: Incarnation, attempt: Attempt) {
        if self.sidecars[s].peer.life != life || !self.sidecars[s].alive {
            return;
        }
        if self.sidecars[s].paused_until > self.now {
            let at = self.sidecars[s].paused_until;
            return self.at(at, Event::Token { at: s, life, attempt });
        }
        let now = self.now;
        let Some(run) = self.sidecars[s].runs.get_mut(&attempt) else {
            return;
        };
        let Some(writer) = run.writer.as_mut() else {
            return;
        };
        if self.rng.random_bool(0.001) && now < CALM {
            self.sidecars[s].runs.remove(&attempt);
            let effects = self.sidecars[s].executor.on_failed(now, attempt, true);
            return self.effects(s, effects);
        }
        if writer.place() < TOKENS {
            let text = writer.write();
            let effects = self.sidecars[s].executor.on_output(now, attempt, &text, 1);
            self.effects(s, effects);
            self.after(TOKEN, Event::Token { at: s, life, attempt });
        } else {
            self.sidecars[s].runs.remove(&attempt);
            let effects = self.sidecars[s].executor.on_end(now, attempt, 200, "text/plain");
            self.effects(s, effects);
        }
    }

    fn on_call_end(&mut self, s: usize, life: Incarnation, attempt: Attempt) {
        if self.sidecars[s].peer.life != life || !self.sidecars[s].alive {
            return;
        }
        let now = self.now;
        if self.sidecars[s].runs.remove(&attempt).is_none() {
            return;
        }
        let mut effects = self.sidecars[s].executor.on_output(now, attempt, "done ", 1);
        effects.extend(self.sidecars[s].executor.on_end(now, attempt, 200, "text/plain"));
        self.effects(s, effects);
    }

    fn on_lost(&mut self, e: usize, life: Incarnation, ask: u64, gone: bool) {
        if self.entries[e].peer.life != life || !self.entries[e].alive {
            return;
        }
        let Some((id, seq, _)) = self.entries[e].asks.remove(&ask) else {
            return;
        };
        self.drive(e, id, |r, now, fleet| r.on_lost(now, fleet, seq, gone));
    }

    // Time.

    fn tick_sidecar(&mut self, s: usize, life: Incarnation) {
        if self.sidecars[s].peer.life != life || !self.sidecars[s].alive {
            return;
        }
        let now = self.now;
        if self.sidecars[s].paused_until <= now {
            let effects = self.sidecars[s].executor.on_tick(now);
            self.effects(s, effects);
            self.ask_handovers(s);
            self.clean_placement(s);
        }
        self.after(TICK, Event::TickSidecar { at: s, life });
    }

    fn tick_entry(&mut self, e: usize, life: Incarnation) {
        if self.entries[e].peer.life != life || !self.entries[e].alive {
            return;
        }
        let now = self.now;
        if self.entries[e].paused_until <= now {
            let ids: Vec<u64> = self.entries[e].live.keys().copied().collect();
            for id in ids {
                self.drive(e, id, |r, now, fleet| r.on_tick(now, fleet));
            }
            self.tend_links(e);
        }
        self.after(TICK, Event::TickEntry { at: e, life });
    }

    /// Sends signs of life, and gives up links that went silent.
    fn tend_links(&mut self, e: usize) {
        let now = self.now;
        let mut by_peer: BTreeMap<Peer, Vec<u64>> = BTreeMap::new();
        for (ask, (_, _, to)) in &self.entries[e].asks {
            by_peer.entry(to.clone()).or_default().push(*ask);
        }
        let me = self.entries[e].peer.clone();
        let life = me.life;
        for (to, asks) in by_peer {
            let key = LinkKey { entry: me.clone(), sidecar: to.clone() };
            let dead = self.sidecar_at(&to).is_none_or(|s| !self.sidecars[s].alive);
            let silent = self.net.link(&key, now).heard_at.after(SILENCE) <= now;
            if dead || silent {
                self.net.renew(&key, now);
                if let Some(s) = self.sidecar_at(&to) {
                    self.sidecars[s].executor.on_link_down(&me);
                }
                let gone = self.ended.contains(&to);
                for ask in asks {
                    let wait = Duration::from_millis(if gone { 1 } else { 150 });
                    self.after(wait, Event::Lost { entry: e, life, ask, gone });
                }
            } else {
                self.send(e, &to, Parcel::Ping);
                self.answer_ping(e, &to);
            }
        }
    }

    /// A living, unpaused sidecar answers a probe unless the link back is silent.
    fn answer_ping(&mut self, e: usize, to: &Peer) {
        let now = self.now;
        let key = LinkKey { entry: self.entries[e].peer.clone(), sidecar: to.clone() };
        let Some(s) = self.sidecar_at(to) else { return };
        let answers = self.sidecars[s].alive && self.sidecars[s].paused_until <= now;
        let link = self.net.link(&key, now);
        if answers && !link.mute_out && !link.mute_back {
            link.heard_at = now;
        }
    }

    // Placement.

    fn put_placement(&mut self, next: Option<Placement>) {
        let Some(next) = next else { return };
        let epoch = next.epoch;
        assert_eq!(epoch as usize, self.placements.len() + 1, "one change an epoch");
        self.placements.push(next);
        for at in 0..SIDECARS {
            let wait = Duration::from_millis(self.rng.random_range(1..1_500));
            self.after(wait, Event::Learn { at, epoch });
        }
        for at in 0..ENTRIES {
            let wait = Duration::from_millis(self.rng.random_range(1..3_000));
            self.after(wait, Event::LearnEntry { at, epoch });
        }
    }

    fn current(&self) -> &Placement {
        &self.placements[self.placements.len() - 1]
    }

    fn able(&self) -> Vec<Peer> {
        let able = self.sidecars.iter().filter(|s| s.alive && !s.leaving);
        able.map(|s| s.peer.clone()).collect()
    }

    fn learn(&mut self, at: usize, epoch: u64) {
        if !self.sidecars[at].alive {
            return;
        }
        let placement = self.placements[epoch as usize - 1].clone();
        self.sidecars[at].ledger.adopt(&placement);
        self.ask_handovers(at);
    }

    fn ask_handovers(&mut self, at: usize) {
        if self.rng.random_bool(0.6) {
            return;
        }
        let epoch = self.sidecars[at].ledger.placement().epoch;
        let life = self.sidecars[at].peer.life;
        for wanted in self.sidecars[at].ledger.wanted() {
            let wait = Duration::from_millis(self.rng.random_range(1..300));
            let (from, slots) = (wanted.from, wanted.slots);
            self.after(wait, Event::TakeOver { to: at, life, from, epoch, slots });
        }
    }

    fn take_over(&mut self, to: usize, life: Incarnation, from: &Peer, epoch: u64, slots: &[u16]) {
        let Some(old) = self.sidecar_at(from) else {
            return;
        };
        let able = self.sidecars[old].alive && self.sidecars[old].paused_until <= self.now;
        if !able || self.sidecars[to].peer.life != life || !self.sidecars[to].alive {
            return;
        }
        let Some(records) = self.sidecars[old].ledger.hand_over(epoch, slots) else {
            return;
        };
        // The answer may be lost: the old home has released the slots all the same.
        if self.rng.random_bool(0.2) {
            return;
        }
        self.sidecars[to].ledger.take_over(epoch, slots, records);
    }

    fn clean_placement(&mut self, s: usize) {
        let taken = self.sidecars[s].ledger.taken();
        let current = self.current().epoch == self.sidecars[s].ledger.placement().epoch;
        if taken.is_empty() || !current || self.rng.random_bool(0.9) {
            return;
        }
        let me = self.sidecars[s].peer.clone();
        let next = self.current().taken(&me, &taken);
        self.put_placement(next);
    }

    fn confirm_gone(&mut self, peer: &Peer) {
        self.ended.insert(peer.clone());
        for entry in &mut self.entries {
            entry.known.retain(|p| p != peer);
        }
        let homes = self.able();
        if self.current().mentions(peer) && !homes.is_empty() {
            let next = self.current().gone(peer, &homes, self.now);
            self.put_placement(next);
        }
    }

    // Faults.

    fn fault(&mut self) {
        if self.now >= CALM {
            return;
        }
        self.tally.faults += 1;
        let s = self.rng.random_range(0..SIDECARS);
        let e = self.rng.random_range(0..ENTRIES);
        match self.rng.random_range(0..9) {
            0 | 1 => self.crash_sidecar(s),
            2 => self.crash_entry(e),
            3 => {
                let ms = self.rng.random_range(100..7_000);
                self.sidecars[s].paused_until = self.now.after(Duration::from_millis(ms));
            }
            4 => {
                let ms = self.rng.random_range(100..7_000);
                self.entries[e].paused_until = self.now.after(Duration::from_millis(ms));
            }
            5 | 6 => self.mute(e, s),
            7 => self.cut(e, s),
            _ => self.leave(s),
        }
    }

    fn crash_sidecar(&mut self, s: usize) {
        if !self.sidecars[s].alive {
            return;
        }
        self.sidecars[s].alive = false;
        let peer = self.sidecars[s].peer.clone();
        let back = Duration::from_millis(self.rng.random_range(100..6_000));
        self.after(back, Event::Restart { sidecar: true, at: s });
        let told = Duration::from_millis(self.rng.random_range(500..8_000));
        self.after(told, Event::ConfirmGone { peer });
    }

    fn crash_entry(&mut self, e: usize) {
        if !self.entries[e].alive {
            return;
        }
        self.entries[e].alive = false;
        self.tally.gone += self.entries[e].live.len() as u64;
        let me = self.entries[e].peer.clone();
        for s in &mut self.sidecars {
            s.executor.on_link_down(&me);
        }
        let back = Duration::from_millis(self.rng.random_range(100..4_000));
        self.after(back, Event::Restart { sidecar: false, at: e });
    }

    fn restart(&mut self, sidecar: bool, at: usize) {
        let life = Incarnation(self.now.0);
        if !sidecar {
            let placement = self.current().clone();
            let entry = self.new_entry(at, life, &placement);
            self.entries[at] = entry;
            let alive: Vec<Peer> = self.able();
            self.entries[at].known = alive;
            return self.after(TICK, Event::TickEntry { at, life });
        }
        if self.sidecars[at].alive {
            return;
        }
        let old = self.sidecars[at].peer.clone();
        let fresh = self.new_sidecar(at, life);
        self.sidecars[at] = fresh;
        // A new life proves that the old one ended.
        self.confirm_gone(&old);
        let peer = self.sidecars[at].peer.clone();
        let placement = self.current().clone();
        self.sidecars[at].ledger.adopt(&placement);
        for entry in &mut self.entries {
            entry.known.push(peer.clone());
        }
        let next = self.current().join(&peer);
        if self.rng.random_bool(0.7) {
            self.put_placement(next);
        }
        self.after(TICK, Event::TickSidecar { at, life });
    }

    fn mute(&mut self, e: usize, s: usize) {
        let key = self.key(e, s);
        let (out, back) = match self.rng.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        let now = self.now;
        let link = self.net.link(&key, now);
        link.mute_out |= out;
        link.mute_back |= back;
    }

    fn cut(&mut self, e: usize, s: usize) {
        let key = self.key(e, s);
        let (now, life) = (self.now, key.entry.life);
        self.net.renew(&key, now);
        self.sidecars[s].executor.on_link_down(&key.entry);
        let asks: Vec<u64> = self.entries[e]
            .asks
            .iter()
            .filter(|(_, (_, _, to))| *to == key.sidecar)
            .map(|(ask, _)| *ask)
            .collect();
        for ask in asks {
            self.after(
                Duration::from_millis(150),
                Event::Lost { entry: e, life, ask, gone: false },
            );
        }
    }

    fn key(&self, e: usize, s: usize) -> LinkKey {
        LinkKey { entry: self.entries[e].peer.clone(), sidecar: self.sidecars[s].peer.clone() }
    }

    /// A sidecar leaves gracefully, unless it is the last.
    fn leave(&mut self, s: usize) {
        if !self.sidecars[s].alive || self.sidecars[s].leaving || self.able().len() < 2 {
            return;
        }
        self.sidecars[s].leaving = true;
        self.sidecars[s].executor.leave();
        let me = self.sidecars[s].peer.clone();
        let homes = self.able();
        if self.current().homes().contains(&me) {
            let next = self.current().leave(&me, &homes);
            self.put_placement(next);
        }
        self.after(Duration::from_millis(200), Event::Leave { at: s });
    }

    fn try_end(&mut self, s: usize) {
        if !self.sidecars[s].alive {
            return;
        }
        let placed = self.current().mentions(&self.sidecars[s].peer);
        if self.sidecars[s].executor.open() > 0 || placed {
            return self.after(Duration::from_millis(200), Event::Leave { at: s });
        }
        self.crash_sidecar(s);
    }

    // What must hold.

    fn check_owners(&mut self) {
        let mut owners = vec![0_u8; usize::from(SLOT_COUNT)];
        for sidecar in self.sidecars.iter().filter(|s| s.alive) {
            for slot in sidecar.ledger.owned_slots() {
                owners[usize::from(slot)] += 1;
            }
        }
        if owners.iter().any(|n| *n > 1) {
            self.break_rule("a slot has two owners".to_owned());
        }
    }

    fn check_end(&mut self) -> Result<(), String> {
        for sidecar in self.sidecars.iter().filter(|s| s.alive) {
            let stats = sidecar.executor.stats();
            if stats.violations() > 0 {
                return Err(format!("{} counted violations: {stats:?}", sidecar.peer.id));
            }
            if sidecar.executor.running() > 0 || !sidecar.runs.is_empty() {
                return Err(format!("{} still holds memory at the end", sidecar.peer.id));
            }
        }
        let open: usize = self.entries.iter().filter(|e| e.alive).map(|e| e.live.len()).sum();
        if open > 0 {
            let live = self.entries.iter().filter(|e| e.alive).flat_map(|e| e.live.values());
            let states: Vec<String> = live.map(|l| l.request.state()).collect();
            return Err(format!("{open} requests never ended: {states:?}"));
        }
        let owned: usize = self.sidecars.iter().filter(|s| s.alive).map(|s| s.ledger.owned()).sum();
        if owned != usize::from(SLOT_COUNT) {
            return Err(format!("{owned} of {SLOT_COUNT} slots have an owner at the end"));
        }
        Ok(())
    }
}
