//! Engines, callers and entries in made-up time, for playing a load against the decisions.
//!
//! Engines read prompts one after the other, or hold answers in limited memory for as long as their
//! tokens take. Entries hear of each other's work with a delay of one datagram round.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Engine, Server, ServerId, Stage};
use ebonyloft_router::engines::{Advice, Engines, FIRST_EVENT, Need, Ticket, View};
use ebonyloft_router::forecast::Profile;
use ebonyloft_router::growth::{FIXED_WORTH, Lengths, TOKEN_WORTH, Usual};
use ebonyloft_router::prefill::{self, Choice, Paces};
use ebonyloft_router::reading::{FIRST_RATE, Reading};
use ebonyloft_router::share::{Share, Shares};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{engine, server};

/// One step of the world.
const STEP: Duration = Duration::from_millis(5);
/// Delay with which entries hear of each other.
const ROUND: u64 = 20;
/// Time of one output token.
const TOKEN: f64 = 0.0043;
/// Goal of the first event.
const GOAL: Duration = Duration::from_millis(900);
/// Silence after which callers leave.
const PATIENCE: Duration = Duration::from_millis(3_600);
/// Longest output that callers allow, in tokens.
const OUTPUT_MAX: u64 = 2_040;

/// Memory counted for an answer of which nothing is known.
fn reserve(prompt: u64) -> Profile {
    Lengths::default().expect(OUTPUT_MAX, None).profile(prompt, 0)
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub readers: usize,
    pub writers: usize,
    /// Requests a second, and how many times more from second 4 to 10.
    pub rate: f64,
    pub burst: f64,
    /// A reader that is lost from second 5 on.
    pub lost: bool,
    /// Decide by what is foretold; else everyone waits in line and is read at once.
    pub foretell: bool,
    /// Keep scarce memory for requests that give most for it.
    pub bar: bool,
    pub seed: u64,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Got {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub left: u32,
    /// Prompts that were read for nobody.
    pub vain: u32,
    /// Longest wait before a refusal.
    pub held: Duration,
    /// What all answers and those that came are worth by their size; a late one a fifth.
    pub owed: f64,
    pub earned: f64,
    /// Asked for and in time among the longest tenth.
    pub long_asked: u32,
    pub long_in_time: u32,
}

impl Got {
    /// What the callers' answers are worth, as a share: a late one counts a fifth.
    pub fn worth(&self) -> f64 {
        (f64::from(self.in_time) + 0.2 * f64::from(self.late)) / f64::from(self.asked)
    }

    /// The same by the size of the answers.
    pub fn sized(&self) -> f64 {
        self.earned / self.owed
    }
}

/// Size of the usual request.
const USUAL_SIZE: f64 = 3_200.0 + TOKEN_WORTH * 864.0;
/// Output tokens that one in ten answers exceeds.
const LONG: u64 = 1_600;

/// What an answer is worth by its size.
fn size_worth(prompt: u64, output: u64) -> f64 {
    let size = (prompt as f64 + TOKEN_WORTH * output as f64) / USUAL_SIZE;
    FIXED_WORTH + (1.0 - FIXED_WORTH) * size
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Waiting(Ticket),
    Reading { engine: usize, until: Timestamp },
    Writing { until: Timestamp },
    Over,
}

struct Request {
    entry: usize,
    came: Timestamp,
    prompt: u64,
    output: u64,
    writer: usize,
    state: State,
}

struct Entry {
    engines: Engines,
    shares: Shares,
}

/// The world.
pub struct World {
    plan: Plan,
    /// Draws of the load, apart from those of decisions: plans with one seed have one load.
    load: ChaCha8Rng,
    rng: ChaCha8Rng,
    servers: Vec<Server>,
    spec: Engine,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    free_at: HashMap<usize, Timestamp>,
    now: Timestamp,
    steps: u64,
    got: Got,
}

/// Plays 20 s.
pub fn play(plan: Plan) -> Got {
    let mut world = World::new(plan);
    for _ in 0..4_000 {
        world.step();
    }
    world.got
}

impl World {
    fn new(plan: Plan) -> Self {
        let stage = |i| if i < plan.readers { Stage::Prefill } else { Stage::Decode };
        let server = |i| server(i, 24, Some(stage(i)));
        let entry = |_| Entry { engines: Engines::default(), shares: Shares::default() };
        World {
            plan,
            load: ChaCha8Rng::seed_from_u64(plan.seed),
            rng: ChaCha8Rng::seed_from_u64(plan.seed + 1_000),
            servers: (0..plan.readers + plan.writers).map(server).collect(),
            spec: engine(24, 42_606),
            entries: (0..4).map(entry).collect(),
            requests: Vec::new(),
            free_at: HashMap::new(),
            now: Timestamp::from_millis(10_000),
            steps: 0,
            got: Got::default(),
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        self.now = self.now.after(STEP);
        if self.steps.is_multiple_of(ROUND) {
            self.tell();
        }
        self.arrive();
        for i in 0..self.requests.len() {
            self.advance(i);
        }
        self.requests.retain(|r| r.state != State::Over);
    }

    fn seconds(&self) -> f64 {
        self.steps as f64 * STEP.as_secs_f64()
    }

    fn arrive(&mut self) {
        let burst = (4.0..10.0).contains(&self.seconds());
        let rate = self.plan.rate * if burst { self.plan.burst } else { 1.0 };
        if self.load.random::<f64>() >= rate * STEP.as_secs_f64() {
            return;
        }
        let normal: f64 = (0..12).map(|_| self.load.random::<f64>()).sum::<f64>() - 6.0;
        let prompt = (3_200.0 * (0.5 * normal - 0.125).exp()).clamp(200.0, 6_600.0) as u64;
        let normal: f64 = (0..12).map(|_| self.load.random::<f64>()).sum::<f64>() - 6.0;
        let output = (864.0 * (0.7 * normal - 0.245).exp()).clamp(12.0, 2_040.0) as u64;
        let entry = self.load.random_range(0..4);
        let gives = self.gives(prompt, output);
        let (_, read_at) = self.reader(entry, prompt);
        let first_by = self.now.after(GOAL);
        let ends_at = self.now.after(Duration::from_secs(14));
        let need = Need { memory: reserve(prompt), first_by, ends_at, gives, begun: false };
        let ticket = self.entries[entry].engines.join(self.now, need, read_at);
        let state = State::Waiting(ticket);
        self.got.asked += 1;
        self.got.owed += size_worth(prompt, output);
        self.got.long_asked += u32::from(output > LONG);
        self.requests.push(Request { entry, came: self.now, prompt, output, writer: 0, state });
    }

    /// What a request is expected to give for its memory, by its caller's estimate, whose logarithm
    /// is off by 0.5.
    fn gives(&mut self, prompt: u64, output: u64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.load.random::<f64>()).sum::<f64>() - 6.0;
        let hint = (output as f64 * (0.5 * normal).exp()) as u64;
        if !self.plan.bar {
            return f64::INFINITY;
        }
        Usual::default().gives(&Lengths::default().expect(OUTPUT_MAX, Some(hint)), prompt)
    }

    /// The reader that would be done first, and when, as this entry believes.
    fn reader(&mut self, entry: usize, prompt: u64) -> (usize, Timestamp) {
        let lost = self.plan.lost && self.seconds() > 5.0;
        let readers = &self.servers[usize::from(lost)..self.plan.readers];
        let e = &self.entries[entry];
        let work = |id: &ServerId| e.engines.own(id).plus(e.shares.work(self.now, id));
        let rng = &mut self.rng;
        let paces = Paces::default();
        let reading = Reading::default();
        let choice = Choice { paces: &paces, reading: &reading, prompt, zone: "z", entries: 4 };
        let picked = prefill::pick(self.now, readers.iter(), work, &choice, || rng.random());
        let (server, at) = picked.unwrap_or((&readers[0], self.now.after(PATIENCE)));
        (self.index(&server.id.clone()), at)
    }

    fn index(&self, id: &ServerId) -> usize {
        self.servers.iter().position(|s| s.id == *id).expect("it is of the list")
    }

    fn advance(&mut self, i: usize) {
        match self.requests[i].state {
            State::Waiting(ticket) => self.wait(i, ticket),
            State::Reading { engine, until } if until <= self.now => self.read(i, engine),
            State::Writing { until } if until <= self.now => self.end(i, true),
            _ => {}
        }
    }

    fn wait(&mut self, i: usize, ticket: Ticket) {
        let (entry, prompt, came) = {
            let r = &self.requests[i];
            (r.entry, r.prompt, r.came)
        };
        let (reader, mut read_at) = self.reader(entry, prompt);
        if !self.plan.foretell {
            read_at = self.now;
        }
        let draw = self.rng.random();
        let e = &self.entries[entry];
        let work = |id: &ServerId| e.shares.work(self.now, id);
        let writers = self.servers[self.plan.readers..].iter();
        let view = View { engine: &self.spec, read_at, entries: 4 };
        let advice = e.engines.advise(self.now, ticket, &view, writers, work, || draw);
        match advice {
            Advice::Ask(id) => {
                let writer = self.index(&id);
                self.take(i, ticket, writer, reader);
            }
            Advice::Wait(_) => {}
            Advice::Refuse(..) if self.plan.foretell => {
                self.entries[entry].engines.leave(ticket);
                self.got.refused += 1;
                self.got.held = self.got.held.max(self.now.since(came));
                self.requests[i].state = State::Over;
            }
            Advice::Refuse(..) if self.now.since(came) > PATIENCE => {
                self.entries[entry].engines.leave(ticket);
                self.got.left += 1;
                self.requests[i].state = State::Over;
            }
            Advice::Refuse(..) => {}
        }
    }

    /// Asks an engine for a place; it knows what is really used.
    fn take(&mut self, i: usize, ticket: Ticket, writer: usize, reader: usize) {
        let need = reserve(self.requests[i].prompt);
        let used: u64 = self
            .requests
            .iter()
            .filter(|r| r.writer == writer && !matches!(r.state, State::Waiting(_) | State::Over))
            .map(|r| reserve(r.prompt).reserved())
            .sum();
        let id = self.servers[writer].id.clone();
        let (entry, prompt) = (self.requests[i].entry, self.requests[i].prompt);
        let now = self.now;
        if used + need.reserved() > self.spec.tokens {
            self.entries[entry].engines.full(now, &id);
            return;
        }
        let begin = self.free_at.get(&reader).copied().unwrap_or(now).max(now);
        let until = begin.after(Duration::from_secs_f64(prompt as f64 / FIRST_RATE));
        self.free_at.insert(reader, until);
        let reader_id = self.servers[reader].id.clone();
        let e = &mut self.entries[entry].engines;
        e.leave(ticket);
        e.placed(&id, need);
        e.reading(&reader_id, prompt);
        self.requests[i].writer = writer;
        self.requests[i].state = State::Reading { engine: reader, until };
    }

    fn read(&mut self, i: usize, engine: usize) {
        let id = self.servers[engine].id.clone();
        let (entry, prompt, came, output) = {
            let r = &self.requests[i];
            (r.entry, r.prompt, r.came, r.output)
        };
        self.entries[entry].engines.read(&id, prompt);
        let first = self.now.after(FIRST_EVENT / 2).since(came);
        if first > PATIENCE {
            self.got.vain += 1;
            self.got.left += 1;
            return self.end(i, false);
        }
        let in_time = first <= GOAL;
        match in_time {
            true => self.got.in_time += 1,
            false => self.got.late += 1,
        }
        self.got.earned += size_worth(prompt, output) * if in_time { 1.0 } else { 0.2 };
        self.got.long_in_time += u32::from(in_time && output > LONG);
        let until = self.now.after(Duration::from_secs_f64(output as f64 * TOKEN));
        self.requests[i].state = State::Writing { until };
    }

    fn end(&mut self, i: usize, whole: bool) {
        let r = &mut self.requests[i];
        r.state = State::Over;
        let id = self.servers[r.writer].id.clone();
        let tokens = reserve(r.prompt);
        self.entries[r.entry].engines.freed(self.now, &id, tokens, whole);
    }

    fn tell(&mut self) {
        let shares: Vec<Share> = self
            .entries
            .iter()
            .enumerate()
            .map(|(i, e)| Share {
                name: format!("e{i}"),
                seq: self.steps,
                work: e.engines.work(),
                ..Share::default()
            })
            .collect();
        for (i, e) in self.entries.iter_mut().enumerate() {
            for share in shares.iter().filter(|s| s.name != format!("e{i}")) {
                e.shares.hear(self.now, share.clone());
            }
        }
    }
}
