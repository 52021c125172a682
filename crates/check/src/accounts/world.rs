//! Gateways, callers, the store, the network and what goes wrong.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::quota::ownership::UnreachableGateways;
use ebonyloft_router::quota::{LeaseDecision, LeaseRequest, LimitKey};
use ebonyloft_router::staleness::VersionAge;
use ebonyloft_router::zones::{Scope, scope};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gate::Gate;
use super::{AccountsSpec, Mutant, OVER, REVOKE, Tally, Trouble, WINDOW};
use crate::queue::Queue;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);
/// How long a run is played, and until when nobody is counted as short of anything.
const PLAYED: Duration = Duration::from_secs(30);
const SETTLED: Duration = Duration::from_secs(4);
/// When the key is taken away, and when the bound is lowered.
const REVOKED: Duration = Duration::from_secs(6);
const LOWERED: Duration = Duration::from_secs(8);
/// Until when one account asks for nothing, so that it has its burst when trouble begins.
const RESTED: Duration = Duration::from_secs(5);
/// Behind a lowered bound, until windows are judged by it.
const BINDS: Duration = Duration::from_secs(3);
/// When trouble begins; it lasts some seconds.
const TROUBLE: Duration = Duration::from_millis(5_500);
/// How often gateways are killed, how far apart, and for how long a home.
const STRIKES: usize = 3;
const STRIKE_GAP: Duration = Duration::from_millis(1_700);
const HOME_LOST: Duration = Duration::from_secs(7);
/// Pauses between two calls of the store, two rounds of news, two looks at the age, and two of upkeep.
const POLL: Duration = Duration::from_millis(700);
const ROUND: Duration = Duration::from_millis(150);
const LOOK: Duration = Duration::from_millis(100);
const UPKEEP: Duration = Duration::from_millis(250);
/// Longest wait for a home, and how often it is asked for one request.
const ASK_WAIT: Duration = Duration::from_millis(40);
const ASKS: u32 = 3;
/// What lapses within this time is brought back.
const LAPSES: Duration = Duration::from_millis(300);
/// Part of the datagrams that are lost, and of the requests that do not run.
const LOSS: f64 = 0.01;
const NOT_RUN: f64 = 0.15;
/// Bytes of a question and an answer on the way, headers of the network included.
const ASK_BYTES: usize = 84;
const ANSWER_BYTES: usize = 60;
const AGE_BYTES: usize = 45;
const HELD_BYTES: usize = 62;
/// Followers of the store in each of four zones.
const DELEGATES: usize = 2;
const ZONES: usize = 4;
/// Most accounts that ask for something.
const ACTIVE: usize = 1_000;
/// The usual bound, in tokens a second, and what a request weighs.
const RATE: f64 = 50_000.0;
const WEIGHT: u64 = 1_000;

/// Accounts with a part in the run, by their numbers; the others ask for little.
const TAKEN: usize = 0;
const HOT: usize = 1;
const AT_ONE: usize = 2;
const LOWER: usize = 3;
const WITHIN: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Request {
    account: usize,
    gate: usize,
    life: u32,
    sent: Timestamp,
    asks: u32,
    /// Number of the question that is open.
    open: u64,
    asked: Timestamp,
}

enum Event {
    Call(usize),
    Arrive(Request),
    Asked { from: usize, to: usize, ask: LeaseRequest, request: u64 },
    Answered { number: u64, reply: LeaseDecision, request: u64 },
    Unanswered { number: u64, asks: u32, home: String },
    Send(Request),
    Unused { to: usize, key: LimitKey, tokens: u64 },
    Poll(usize, u32),
    Polled { gate: usize, life: u32, sent: Timestamp },
    Look(usize, u32),
    AgeAsked { from: usize, to: usize, number: u64 },
    AgeTold { to: usize, number: u64, held: VersionAge },
    Pulled { gate: usize, version: u64 },
    Round,
    Upkeep,
    Trouble,
    Back(usize),
}

struct Host {
    gate: Gate,
    life: u32,
    up: bool,
    resumes: Option<Timestamp>,
    /// Time that it stood still, for a mutant that doesn't count it.
    lag: Duration,
    store_cut: bool,
    cut: bool,
    bytes: usize,
}

/// A run.
pub struct World {
    spec: AccountsSpec,
    queue: Queue<Event>,
    rng: ChaCha8Rng,
    fleet: Fleet,
    names: Vec<String>,
    hosts: Vec<Host>,
    requests: BTreeMap<u64, Request>,
    next: u64,
    store_silent: bool,
    /// Times that trouble struck.
    strikes: usize,
    ran: Vec<Vec<(Timestamp, Timestamp)>>,
    asked: Vec<usize>,
    served: Vec<usize>,
}

impl World {
    /// All gateways are up and know the first configuration.
    pub fn new(spec: AccountsSpec) -> Self {
        let names: Vec<String> = (0..spec.gateways).map(|i| format!("front-{i}")).collect();
        let gateway = |i: usize| Gateway {
            addr: ([127, 0, 0, 1], i as u16).into(),
            zone: format!("z{}", i % ZONES),
            power: if i < spec.gateways / 4 { 500 } else { 90 },
        };
        let mut fleet = Fleet::default();
        let list = names.iter().enumerate().map(|(i, n)| (n.clone(), gateway(i))).collect();
        fleet.replace(START, list, 1);
        let hosts = names.iter().map(|name| Host {
            gate: Gate::new(START, name, spec.mutant),
            life: 0,
            up: true,
            resumes: None,
            lag: Duration::ZERO,
            store_cut: false,
            cut: false,
            bytes: 0,
        });
        let active = spec.accounts.clamp(WITHIN + 1, ACTIVE);
        World {
            spec,
            queue: Queue::new(START),
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            hosts: hosts.collect(),
            fleet,
            names,
            requests: BTreeMap::new(),
            next: 0,
            store_silent: false,
            strikes: 0,
            ran: vec![Vec::new(); active],
            asked: vec![0; active],
            served: vec![0; active],
        }
    }

    /// Plays it.
    pub fn play(mut self) -> Tally {
        for gate in 0..self.hosts.len() {
            self.begin(gate);
        }
        for account in 0..self.ran.len() {
            let rest = if account == HOT { RESTED } else { Duration::ZERO };
            let wait = rest + self.pause(account);
            self.queue.after(wait, Event::Call(account));
        }
        self.queue.after(ROUND, Event::Round);
        self.queue.after(UPKEEP, Event::Upkeep);
        self.queue.after(TROUBLE, Event::Trouble);
        while let Some(event) = self.queue.next(START.after(PLAYED)) {
            self.handle(event);
        }
        self.tally()
    }

    fn begin(&mut self, gate: usize) {
        let life = self.hosts[gate].life;
        let wait = Duration::from_millis(self.rng.random_range(1..150));
        self.queue.after(wait, Event::Poll(gate, life));
        self.queue.after(LOOK, Event::Look(gate, life));
    }

    fn now(&self) -> Timestamp {
        self.queue.now()
    }

    /// The present moment by a gateway's clock.
    fn clock(&self, gate: usize) -> Timestamp {
        self.now().before(self.hosts[gate].lag)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(account) => self.call(account),
            Event::Arrive(request) => self.arrive(request),
            Event::Asked { from, to, ask, request } => self.lend(from, to, &ask, request),
            Event::Answered { number, reply, request } => self.answered(number, reply, request),
            Event::Unanswered { number, asks, home } => self.unanswered(number, asks, &home),
            Event::Send(request) => self.send(request),
            Event::Unused { to, key, tokens } => self.take_back(to, &key, tokens),
            Event::Poll(gate, life) => self.poll(gate, life),
            Event::Polled { gate, life, sent } => self.polled(gate, life, sent),
            Event::Look(gate, life) => self.look(gate, life),
            Event::AgeAsked { from, to, number } => self.tell_age(from, to, number),
            Event::AgeTold { to, number, held } => self.hear_age(to, number, held),
            Event::Pulled { gate, version } => self.learn(gate, version),
            Event::Round => self.round(),
            Event::Upkeep => self.upkeep(),
            Event::Trouble => self.trouble(),
            Event::Back(gate) => self.back(gate),
        }
    }

    /// Time between two requests of an account.
    fn pause(&mut self, account: usize) -> Duration {
        let per_s = RATE / WEIGHT as f64;
        let rate = match account {
            HOT | AT_ONE => 3.0 * per_s,
            LOWER => 2.0 * per_s,
            TAKEN | WITHIN => 0.5 * per_s,
            _ => 1.0,
        };
        Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / rate)
    }

    fn bound(version: u64, account: usize) -> Rate {
        let rate = if account == LOWER && version >= 3 { RATE / 5.0 } else { RATE };
        let burst = if account == HOT { 3.0 * rate } else { rate };
        Rate { rate, burst }
    }

    /// Version that the store holds.
    fn newest(&self) -> u64 {
        let since = self.now().since(START);
        1 + u64::from(since >= REVOKED) + u64::from(since >= LOWERED)
    }

    fn call(&mut self, account: usize) {
        let wait = self.pause(account);
        self.queue.after(wait, Event::Call(account));
        let gates = self.hosts.len();
        let moved = self.now().since(START) >= PLAYED / 2;
        let gate = match account {
            AT_ONE => usize::from(moved) * (gates / 2),
            _ => self.rng.random_range(0..gates),
        };
        let (now, life) = (self.now(), self.hosts[gate].life);
        self.note_asked(account, now);
        let (asks, open) = (0, 0);
        self.arrive(Request { account, gate, life, sent: now, asks, open, asked: now });
    }

    fn note_asked(&mut self, account: usize, at: Timestamp) {
        if at.since(START) >= SETTLED {
            self.asked[account] += 1;
        }
    }

    fn key(account: usize) -> LimitKey {
        LimitKey::account(&format!("account-{account}"))
    }

    /// A request is read: at once, or when a gateway that stands still goes on.
    fn arrive(&mut self, request: Request) {
        let host = &self.hosts[request.gate];
        if !host.up {
            return;
        }
        if let Some(until) = host.resumes {
            return self.queue.after(until.since(self.now()), Event::Arrive(request));
        }
        if self.may_run(&request) {
            self.charge(request, true);
        }
    }

    fn may_run(&self, request: &Request) -> bool {
        let gate = &self.hosts[request.gate].gate;
        let taken = request.account == TAKEN && gate.version >= 2;
        gate.version > 0 && !taken && gate.recency.is_fresh(self.clock(request.gate), Some(REVOKE))
    }

    fn charge(&mut self, request: Request, first: bool) {
        let (now, key) = (self.clock(request.gate), Self::key(request.account));
        let gate = &mut self.hosts[request.gate].gate;
        let held = match first {
            true => gate.borrower.spend(now, &key, WEIGHT),
            false => gate.borrower.spend_granted(now, &key, WEIGHT),
        };
        if held {
            return self.queue_up(request);
        }
        if gate.borrower.exhausted(now, &key).is_some() || request.asks == ASKS {
            return;
        }
        let home = match self.spec.mutant {
            Some(Mutant::ByNumber) => Some(gate.name.clone()),
            _ => gate.home(now, &self.fleet, &key),
        };
        let Some(home) = home else {
            return;
        };
        // Asked again under the same number, a home whose answer was lost lends nothing more.
        let again = request.open > 0;
        self.next += u64::from(!again);
        let number = if again { request.open } else { self.next };
        let asked = if again { request.asked } else { now };
        let ask = LeaseRequest {
            number,
            key: key.clone(),
            need: WEIGHT,
            more: gate.borrower.prefetch(&key),
            limit: None,
        };
        let request = Request { asks: request.asks + 1, open: number, asked, ..request };
        self.requests.insert(number, request);
        let to = self.names.iter().position(|n| *n == home).expect("a gateway of the list");
        if to == request.gate {
            return self.lend(to, to, &ask, number);
        }
        self.hosts[request.gate].bytes += ASK_BYTES;
        let asks = request.asks;
        self.queue.after(ASK_WAIT, Event::Unanswered { number, asks, home });
        let from = request.gate;
        if self.passes(from, to) {
            let wait = self.way();
            self.queue.after(wait, Event::Asked { from, to, ask, request: number });
        }
    }

    /// Waits in line and for a connection.
    fn queue_up(&mut self, request: Request) {
        let long = self.rng.random_bool(0.1);
        let most = if long { 3_000 } else { 60 };
        let wait = Duration::from_millis(self.rng.random_range(0..most));
        self.queue.after(wait, Event::Send(request));
    }

    fn send(&mut self, request: Request) {
        let host = &self.hosts[request.gate];
        if !host.up || host.life != request.life {
            return;
        }
        if let Some(until) = host.resumes {
            return self.queue.after(until.since(self.now()), Event::Send(request));
        }
        let checked = self.spec.mutant == Some(Mutant::CheckedOnce) || self.may_run(&request);
        if checked && !self.rng.random_bool(NOT_RUN) {
            let now = self.now();
            self.ran[request.account].push((request.sent, now));
            self.served[request.account] += usize::from(request.sent.since(START) >= SETTLED);
            return;
        }
        let (now, key) = (self.clock(request.gate), Self::key(request.account));
        let times = match self.spec.mutant {
            Some(Mutant::Kept) => 0,
            Some(Mutant::GivenTwice) => 2,
            _ => 1,
        };
        for _ in 0..times {
            self.hosts[request.gate].gate.borrower.restore(now, &key, WEIGHT);
        }
        // Its caller does not miss it: it counts neither as asked nor as served.
        if request.sent.since(START) >= SETTLED {
            self.asked[request.account] = self.asked[request.account].saturating_sub(1);
        }
    }

    /// Does a datagram get through?
    fn passes(&mut self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        let open = a.up && b.up && !a.cut && !b.cut;
        open && !self.rng.random_bool(LOSS)
    }

    fn way(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(300..4_000))
    }

    fn lend(&mut self, from: usize, to: usize, ask: &LeaseRequest, request: u64) {
        let host = &self.hosts[to];
        if !host.up {
            return;
        }
        if let Some(until) = host.resumes {
            let (wait, ask) = (until.since(self.now()), ask.clone());
            return self.queue.after(wait, Event::Asked { from, to, ask, request });
        }
        let now = self.clock(to);
        let account = self.requests.get(&request).map_or(WITHIN, |r| r.account);
        let gate = &mut self.hosts[to].gate;
        let reply = match gate.version {
            0 => LeaseDecision::Elsewhere,
            version => gate.lend(now, &self.fleet, ask, &Self::bound(version, account)),
        };
        let number = ask.number;
        if from == to {
            return self.answered(number, reply, request);
        }
        self.hosts[to].bytes += ANSWER_BYTES;
        if self.passes(to, from) {
            let wait = self.way();
            self.queue.after(wait, Event::Answered { number, reply, request });
        }
    }

    fn answered(&mut self, number: u64, reply: LeaseDecision, request: u64) {
        let Some(request) = self.requests.get(&request).copied().filter(|r| r.open == number)
        else {
            return;
        };
        let host = &self.hosts[request.gate];
        if !host.up || host.life != request.life || host.resumes.is_some() {
            return;
        }
        self.requests.remove(&number);
        let (now, key) = (self.clock(request.gate), Self::key(request.account));
        let borrower = &mut self.hosts[request.gate].gate.borrower;
        match reply {
            LeaseDecision::Lent(tokens) => {
                borrower.on_granted(&key, request.asked, tokens);
                self.charge(request, false);
            }
            LeaseDecision::Over { room, back } => {
                let after = |ms: u32| now.after(Duration::from_millis(ms.into()));
                borrower.on_exhausted(&key, after(room), after(back));
            }
            LeaseDecision::Elsewhere => {}
        }
    }

    fn unanswered(&mut self, number: u64, asks: u32, home: &str) {
        let Some(request) = self.requests.get(&number).copied().filter(|r| r.asks == asks) else {
            return;
        };
        self.requests.remove(&number);
        let host = &self.hosts[request.gate];
        if !host.up || host.life != request.life || host.resumes.is_some() {
            return;
        }
        if request.asks == ASKS {
            let now = self.clock(request.gate);
            self.hosts[request.gate].gate.note_silent(now, home);
        }
        self.charge(request, false);
    }

    /// Does this gateway follow the store: is it one of the first of its zone that are up and reach it?
    fn follows(&self, gate: usize) -> bool {
        let zone = gate % ZONES;
        let ahead = (0..gate).filter(|i| i % ZONES == zone);
        ahead.filter(|i| self.hosts[*i].up && !self.hosts[*i].store_cut).count() < DELEGATES
    }

    fn poll(&mut self, gate: usize, life: u32) {
        if self.hosts[gate].life != life {
            return;
        }
        self.queue.after(POLL, Event::Poll(gate, life));
        let host = &self.hosts[gate];
        let reaches = host.up && host.resumes.is_none() && !host.store_cut && !self.store_silent;
        if reaches && (host.gate.version == 0 || self.follows(gate)) {
            let sent = self.clock(gate);
            let wait = Duration::from_millis(8);
            self.queue.after(wait, Event::Polled { gate, life, sent });
        }
    }

    fn polled(&mut self, gate: usize, life: u32, sent: Timestamp) {
        if self.hosts[gate].life != life || self.hosts[gate].resumes.is_some() {
            return;
        }
        let version = self.newest();
        self.learn(gate, version);
        self.hosts[gate].gate.recency.confirm(sent);
    }

    fn learn(&mut self, gate: usize, version: u64) {
        let gate = &mut self.hosts[gate].gate;
        if version > gate.version {
            gate.version = version;
            gate.recency.on_version(version);
        }
    }

    /// Looks how old the configuration is, and asks others.
    fn look(&mut self, gate: usize, life: u32) {
        if self.hosts[gate].life != life {
            return;
        }
        self.queue.after(LOOK, Event::Look(gate, life));
        if !self.hosts[gate].up || self.hosts[gate].resumes.is_some() {
            return;
        }
        self.next += 1;
        let (now, number) = (self.clock(gate), self.next);
        if !self.hosts[gate].gate.recency.ask(now, REVOKE, number) {
            return;
        }
        let gates = self.hosts.len();
        let near = (0..gates).filter(|i| *i != gate && i % ZONES == gate % ZONES);
        let near: Vec<usize> = near.filter(|i| self.follows(*i) && self.hosts[*i].up).collect();
        let to = match near.is_empty() || self.rng.random_bool(0.2) {
            true => self.rng.random_range(0..gates),
            false => near[self.rng.random_range(0..near.len())],
        };
        self.hosts[gate].bytes += AGE_BYTES;
        if to != gate && self.passes(gate, to) {
            let wait = self.way();
            self.queue.after(wait, Event::AgeAsked { from: gate, to, number });
        }
    }

    fn tell_age(&mut self, from: usize, to: usize, number: u64) {
        if let Some(until) = self.hosts[to].resumes {
            let wait = until.since(self.now());
            return self.queue.after(wait, Event::AgeAsked { from, to, number });
        }
        let now = self.clock(to);
        let gate = &self.hosts[to].gate;
        let mut held = VersionAge { version: gate.version, age: gate.recency.age(now) };
        if self.spec.mutant == Some(Mutant::AgeRestarts) {
            held.age = Duration::ZERO;
        }
        self.hosts[to].bytes += HELD_BYTES;
        if self.passes(to, from) {
            let wait = self.way();
            self.queue.after(wait, Event::AgeTold { to: from, number, held });
        }
    }

    fn hear_age(&mut self, to: usize, number: u64, held: VersionAge) {
        if let Some(until) = self.hosts[to].resumes {
            let wait = until.since(self.now());
            return self.queue.after(wait, Event::AgeTold { to, number, held });
        }
        let gate = &mut self.hosts[to].gate;
        let version = gate.version;
        gate.recency.on_answer(number, version, held);
        if held.version > version {
            let wait = Duration::from_millis(15);
            self.queue.after(wait, Event::Pulled { gate: to, version: held.version });
        }
    }

    /// Gateways tell each other whom they miss; one that stands still reads it when it goes on.
    fn round(&mut self) {
        self.queue.after(ROUND, Event::Round);
        if scope(&self.fleet, 0) == Scope::Zone {
            return;
        }
        let gates = self.hosts.len();
        let told: Vec<Option<UnreachableGateways>> = (0..gates)
            .map(|i| {
                let host = &self.hosts[i];
                let tells = host.up && host.resumes.is_none();
                tells.then(|| host.gate.missing(self.clock(i), &self.fleet))
            })
            .collect();
        for (from, missing) in told.iter().enumerate() {
            let Some(missing) = missing else {
                continue;
            };
            for to in 0..gates {
                if to != from && self.passes(from, to) {
                    let at = self.hosts[to].resumes.unwrap_or(self.now());
                    let at = at.before(self.hosts[to].lag);
                    let name = self.names[from].clone();
                    self.hosts[to].gate.hear(at, &name, missing.clone());
                }
            }
        }
    }

    fn upkeep(&mut self) {
        self.queue.after(UPKEEP, Event::Upkeep);
        for i in 0..self.hosts.len() {
            let now = self.clock(i);
            let host = &mut self.hosts[i];
            if host.up && host.resumes.is_none() {
                host.gate.tick(now, &self.fleet);
                self.bring_back(i, now);
            }
        }
    }

    /// What lapses unused goes back to its home; a mutant that keeps what did not run keeps this too.
    fn bring_back(&mut self, gate: usize, now: Timestamp) {
        if self.spec.mutant == Some(Mutant::Kept) {
            return;
        }
        let mut unused = self.hosts[gate].gate.borrower.take_expiring(now, LAPSES);
        unused.sort();
        for (key, tokens) in unused {
            let Some(home) = self.hosts[gate].gate.home(now, &self.fleet, &key) else {
                continue;
            };
            let to = self.names.iter().position(|n| *n == home).expect("a gateway of the list");
            self.hosts[gate].bytes += usize::from(to != gate) * ASK_BYTES;
            if to == gate || self.passes(gate, to) {
                let wait = self.way();
                self.queue.after(wait, Event::Unused { to, key, tokens });
            }
        }
    }

    fn take_back(&mut self, to: usize, key: &LimitKey, tokens: u64) {
        let LimitKey::Account(name) = key else {
            return;
        };
        let number = name.as_str().rsplit('-').next().and_then(|n| n.parse().ok());
        let host = &self.hosts[to];
        if !host.up || host.resumes.is_some() || host.gate.version == 0 {
            return;
        }
        let bound = Self::bound(host.gate.version, number.unwrap_or(WITHIN));
        let now = self.clock(to);
        self.hosts[to].gate.take_back(now, &self.fleet, key, tokens, &bound);
    }

    fn trouble(&mut self) {
        let gates = self.hosts.len();
        let third: Vec<usize> = (0..gates).filter(|_| self.rng.random_bool(1.0 / 3.0)).collect();
        let ms = |rng: &mut ChaCha8Rng, from, to| Duration::from_millis(rng.random_range(from..to));
        match self.spec.trouble() {
            Trouble::None => {}
            Trouble::StoreCut | Trouble::Cut => {
                let all = self.spec.trouble() == Trouble::Cut;
                for gate in third {
                    self.hosts[gate].store_cut = true;
                    self.hosts[gate].cut = all;
                    let wait = ms(&mut self.rng, 7_000, 10_000);
                    self.queue.after(wait, Event::Back(gate));
                }
            }
            Trouble::Pause => {
                for gate in third {
                    let wait = ms(&mut self.rng, 3_000, 7_000);
                    self.hosts[gate].resumes = Some(self.now().after(wait));
                    if self.spec.mutant == Some(Mutant::PauseUncounted) {
                        self.hosts[gate].lag = wait;
                    }
                    self.queue.after(wait, Event::Back(gate));
                }
            }
            Trouble::KillAll => {
                for gate in 0..gates {
                    let wait = ms(&mut self.rng, 100, 300);
                    self.kill(gate, wait);
                }
                self.strikes += 1;
                if self.strikes < STRIKES {
                    self.queue.after(STRIKE_GAP, Event::Trouble);
                }
            }
            Trouble::KillSome if self.strikes > 0 => self.kill_home(),
            Trouble::KillSome => {
                self.kill_home();
                self.store_silent = true;
                for gate in third {
                    let wait = ms(&mut self.rng, 4_000, 6_000);
                    self.kill(gate, wait);
                }
            }
        }
    }

    /// The next one of those that lend to one account.
    fn kill_home(&mut self) {
        let ranked = self.hosts[0].gate.ranked(&self.fleet, &Self::key(HOT));
        let home = ranked.get(self.strikes).and_then(|n| self.names.iter().position(|m| m == n));
        self.strikes += 1;
        if let Some(home) = home.filter(|home| self.hosts[*home].up) {
            self.kill(home, HOME_LOST);
        }
        if self.strikes < STRIKES {
            self.queue.after(STRIKE_GAP, Event::Trouble);
        }
    }

    fn kill(&mut self, gate: usize, wait: Duration) {
        self.hosts[gate].up = false;
        self.queue.after(wait, Event::Back(gate));
    }

    /// A gateway is itself again; the store, too, when the first one is.
    fn back(&mut self, gate: usize) {
        let (now, name, mutant) = (self.now(), self.names[gate].clone(), self.spec.mutant);
        self.store_silent = false;
        let host = &mut self.hosts[gate];
        (host.store_cut, host.cut, host.resumes) = (false, false, None);
        if !host.up {
            host.up = true;
            host.life += 1;
            host.gate = Gate::new(now, &name, mutant);
            self.begin(gate);
        }
    }

    fn tally(&self) -> Tally {
        let taken_at = START.after(REVOKED);
        let behind = self.ran[TAKEN].iter().filter(|(sent, _)| *sent > taken_at);
        let late = behind.clone().map(|(_, ran)| ran.since(taken_at.after(REVOKE)).as_millis());
        let calm = self.spec.trouble() == Trouble::None;
        let part = |account: usize| self.used(account);
        let served = self.served[WITHIN] as f64 / self.asked[WITHIN].max(1) as f64;
        let seconds = PLAYED.as_secs_f64();
        let sent = self.hosts.iter().map(|h| h.bytes as f64 / seconds);
        Tally {
            late: late.max().unwrap_or_default() as u64,
            ran: behind.count(),
            over: (0..=WITHIN).map(|account| self.over(account)).fold(0.0, f64::max),
            used: if calm { part(HOT).min(part(AT_ONE)).min(1.0) } else { 1.0 },
            served: if calm { served.min(1.0) } else { 1.0 },
            bytes: (sent.clone().sum::<f64>() / self.hosts.len() as f64, sent.fold(0.0, f64::max)),
        }
    }

    /// Part of a bound that ran, between the begin and the end.
    fn used(&self, account: usize) -> f64 {
        let (from, to) = (START.after(LOWERED), START.after(PLAYED).before(SETTLED));
        let within = self.ran[account].iter().filter(|(_, at)| *at >= from && *at < to);
        within.count() as f64 * WEIGHT as f64 / (RATE * to.since(from).as_secs_f64())
    }

    /// Most that was sent and ran in any window, as a part of what is tolerated.
    fn over(&self, account: usize) -> f64 {
        let calm = self.spec.trouble() == Trouble::None;
        let binds = START.after(LOWERED).after(BINDS);
        let tolerated = |begin: Timestamp| {
            let lower = calm && account == LOWER && begin >= binds;
            let rate = Self::bound(if lower { 3 } else { 1 }, account);
            let window = WINDOW.as_secs_f64();
            (rate.rate * window + rate.burst) * (1.0 + OVER)
        };
        let begins = self.ran[account].iter().map(|(sent, _)| *sent);
        let over = begins.map(|begin| {
            let end = begin.after(WINDOW);
            let within = self.ran[account].iter().filter(|(s, at)| *s >= begin && *at < end);
            within.count() as f64 * WEIGHT as f64 / tolerated(begin)
        });
        over.fold(0.0, f64::max)
    }
}
