//! The simulated gateways, callers, store, network and faults.

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

use super::gateway::GatewayProcess;
use super::{AccountsSpec, EXCESS_MAX, Fault, Mutant, REVOKE_BOUND, Tally, WINDOW};
use crate::queue::EventQueue;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);
/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(30);
/// Time at the start and at the end of a run in which unserved demand is not counted.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// When the API key is revoked.
const REVOKED_AT: Duration = Duration::from_secs(6);
/// When the rate limit is lowered.
const LOWERED_AT: Duration = Duration::from_secs(8);
/// Until when one account sends nothing, so that its full burst is available when the fault begins.
const IDLE_UNTIL: Duration = Duration::from_secs(5);
/// Time from lowering the rate limit until windows are checked against the lower one.
const LOWERED_GRACE: Duration = Duration::from_secs(3);
/// When the fault begins; it lasts some seconds.
const FAULT_AT: Duration = Duration::from_millis(5_500);
/// How often gateways are killed, and the time between two kills.
const KILLS: usize = 3;
const KILL_GAP: Duration = Duration::from_millis(1_700);
/// How long a killed owner stays down.
const OWNER_DOWN: Duration = Duration::from_secs(7);
/// Interval of reading the store.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Interval of gossip between the gateways.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of checking how stale the configuration is.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of each gateway's upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for an answer of an owner, and how often it is asked for the sake of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
const ASKS_MAX: u32 = 3;
/// Unused tokens that expire within this time are returned to the owner.
const RETURN_BEFORE: Duration = Duration::from_millis(300);
/// Share of the datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.01;
/// Share of the admitted requests that do not run.
const NOT_RUN_SHARE: f64 = 0.15;
/// Bytes of a request for tokens and of its answer on the network, headers included.
const TOKEN_REQUEST_BYTES: usize = 84;
const TOKEN_ANSWER_BYTES: usize = 60;
/// Bytes of a request for the configuration's freshness and of its answer, headers included.
const FRESHNESS_REQUEST_BYTES: usize = 45;
const FRESHNESS_ANSWER_BYTES: usize = 62;
/// Zone leaders, which follow the store, in each of four zones.
const ZONE_LEADERS: usize = 2;
const ZONES: usize = 4;
/// Most accounts that send requests.
const ACTIVE_MAX: usize = 1_000;
/// The usual rate limit, in tokens a second.
const RATE_LIMIT: f64 = 50_000.0;
/// Cost of a request, in tokens.
const REQUEST_COST: u64 = 1_000;

/// The account whose API key is revoked. Accounts beyond those named here send few requests.
const REVOKED_KEY: usize = 0;
/// An account that demands three times its rate limit, at all gateways.
const OVER_LIMIT: usize = 1;
/// An account that demands three times its rate limit at a single gateway.
const ONE_GATEWAY: usize = 2;
/// The account whose rate limit is lowered.
const LOWERED_LIMIT: usize = 3;
/// An account that stays within its rate limit.
const WITHIN_LIMIT: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Request {
    account: usize,
    gateway: usize,
    incarnation: u32,
    sent: Timestamp,
    /// How often the owner was asked for tokens.
    asks: u32,
    /// Number of the request for tokens that is pending; zero for none.
    pending: u64,
    /// When the owner was first asked with this number.
    asked_at: Timestamp,
}

enum Event {
    NewRequest(usize),
    Arrive(Request),
    TokensAsked { from: usize, to: usize, ask: LeaseRequest, request: u64 },
    TokensAnswered { number: u64, reply: LeaseDecision, request: u64 },
    AnswerTimeout { number: u64, asks: u32, owner: String },
    Send(Request),
    TokensReturned { to: usize, key: LimitKey, tokens: u64 },
    PollStore(usize, u32),
    StoreAnswered { gateway: usize, incarnation: u32, sent: Timestamp },
    CheckFreshness(usize, u32),
    FreshnessAsked { from: usize, to: usize, number: u64 },
    FreshnessAnswered { to: usize, number: u64, confirmed: VersionAge },
    ConfigFetched { gateway: usize, version: u64 },
    Gossip,
    Upkeep,
    Fault,
    Recover(usize),
}

/// A VM with its gateway.
struct Host {
    process: GatewayProcess,
    incarnation: u32,
    up: bool,
    /// When it resumes, if it is paused.
    resumes_at: Option<Timestamp>,
    /// Time for which it was paused, for a mutant that does not count it.
    uncounted_pause: Duration,
    /// Whether it can't reach the store.
    store_cut: bool,
    /// Whether it can't reach other gateways.
    isolated: bool,
    /// Bytes sent.
    bytes: usize,
}

/// The state of a run.
pub struct Simulation {
    spec: AccountsSpec,
    queue: EventQueue<Event>,
    rng: ChaCha8Rng,
    fleet: Fleet,
    names: Vec<String>,
    hosts: Vec<Host>,
    requests: BTreeMap<u64, Request>,
    next_number: u64,
    store_down: bool,
    /// How often gateways have been killed.
    kills: usize,
    /// When each account's requests were sent and ran.
    ran: Vec<Vec<(Timestamp, Timestamp)>>,
    /// Requests of each account, without those that were chosen not to run.
    asked: Vec<usize>,
    /// Requests of each account that were served.
    served: Vec<usize>,
}

impl Simulation {
    /// A simulation whose gateways are all up and know each other.
    pub fn new(spec: AccountsSpec) -> Self {
        let names: Vec<String> = (0..spec.gateways).map(|i| format!("front-{i}")).collect();
        let member = |i: usize| Gateway {
            addr: ([127, 0, 0, 1], i as u16).into(),
            zone: format!("z{}", i % ZONES),
            power: if i < spec.gateways / 4 { 500 } else { 90 },
        };
        let mut fleet = Fleet::default();
        let list = names.iter().enumerate().map(|(i, n)| (n.clone(), member(i))).collect();
        fleet.replace(START, list, 1.into());
        let hosts = names.iter().map(|name| Host {
            process: GatewayProcess::new(START, name, spec.mutant),
            incarnation: 0,
            up: true,
            resumes_at: None,
            uncounted_pause: Duration::ZERO,
            store_cut: false,
            isolated: false,
            bytes: 0,
        });
        let active = spec.accounts.clamp(WITHIN_LIMIT + 1, ACTIVE_MAX);
        Simulation {
            spec,
            queue: EventQueue::new(START),
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            hosts: hosts.collect(),
            fleet,
            names,
            requests: BTreeMap::new(),
            next_number: 0,
            store_down: false,
            kills: 0,
            ran: vec![Vec::new(); active],
            asked: vec![0; active],
            served: vec![0; active],
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Tally {
        for gateway in 0..self.hosts.len() {
            self.start(gateway);
        }
        for account in 0..self.ran.len() {
            let idle = if account == OVER_LIMIT { IDLE_UNTIL } else { Duration::ZERO };
            let wait = idle + self.request_gap(account);
            self.queue.schedule(wait, Event::NewRequest(account));
        }
        self.queue.schedule(GOSSIP_INTERVAL, Event::Gossip);
        self.queue.schedule(UPKEEP_INTERVAL, Event::Upkeep);
        self.queue.schedule(FAULT_AT, Event::Fault);
        while let Some(event) = self.queue.pop_before(START.after(RUN_TIME)) {
            self.handle(event);
        }
        self.tally()
    }

    fn start(&mut self, gateway: usize) {
        let incarnation = self.hosts[gateway].incarnation;
        let wait = Duration::from_millis(self.rng.random_range(1..150));
        self.queue.schedule(wait, Event::PollStore(gateway, incarnation));
        self.queue.schedule(FRESHNESS_INTERVAL, Event::CheckFreshness(gateway, incarnation));
    }

    fn now(&self) -> Timestamp {
        self.queue.now()
    }

    /// Current time by the clock of a gateway.
    fn clock(&self, gateway: usize) -> Timestamp {
        self.now().before(self.hosts[gateway].uncounted_pause)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest(account) => self.new_request(account),
            Event::Arrive(request) => self.arrive(request),
            Event::TokensAsked { from, to, ask, request } => {
                self.on_token_request(from, to, &ask, request)
            }
            Event::TokensAnswered { number, reply, request } => {
                self.on_token_answer(number, reply, request)
            }
            Event::AnswerTimeout { number, asks, owner } => {
                self.on_answer_timeout(number, asks, &owner)
            }
            Event::Send(request) => self.send(request),
            Event::TokensReturned { to, key, tokens } => self.on_returned_tokens(to, &key, tokens),
            Event::PollStore(gateway, incarnation) => self.poll_store(gateway, incarnation),
            Event::StoreAnswered { gateway, incarnation, sent } => {
                self.on_store_answer(gateway, incarnation, sent)
            }
            Event::CheckFreshness(gateway, incarnation) => {
                self.check_freshness(gateway, incarnation)
            }
            Event::FreshnessAsked { from, to, number } => self.answer_freshness(from, to, number),
            Event::FreshnessAnswered { to, number, confirmed } => {
                self.on_freshness(to, number, confirmed)
            }
            Event::ConfigFetched { gateway, version } => self.apply_version(gateway, version),
            Event::Gossip => self.gossip(),
            Event::Upkeep => self.upkeep(),
            Event::Fault => self.inject_fault(),
            Event::Recover(gateway) => self.recover(gateway),
        }
    }

    /// Random time between two requests of an account.
    fn request_gap(&mut self, account: usize) -> Duration {
        let per_s = RATE_LIMIT / REQUEST_COST as f64;
        let rate = match account {
            OVER_LIMIT | ONE_GATEWAY => 3.0 * per_s,
            LOWERED_LIMIT => 2.0 * per_s,
            REVOKED_KEY | WITHIN_LIMIT => 0.5 * per_s,
            _ => 1.0,
        };
        Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / rate)
    }

    fn rate_limit(version: u64, account: usize) -> Rate {
        let rate =
            if account == LOWERED_LIMIT && version >= 3 { RATE_LIMIT / 5.0 } else { RATE_LIMIT };
        let burst = if account == OVER_LIMIT { 3.0 * rate } else { rate };
        Rate { rate, burst }
    }

    /// Version of the configuration in the store.
    fn stored_version(&self) -> u64 {
        let since = self.now().since(START);
        1 + u64::from(since >= REVOKED_AT) + u64::from(since >= LOWERED_AT)
    }

    fn new_request(&mut self, account: usize) {
        let wait = self.request_gap(account);
        self.queue.schedule(wait, Event::NewRequest(account));
        let gateways = self.hosts.len();
        let second_half = self.now().since(START) >= RUN_TIME / 2;
        let gateway = match account {
            ONE_GATEWAY => usize::from(second_half) * (gateways / 2),
            _ => self.rng.random_range(0..gateways),
        };
        let (now, incarnation) = (self.now(), self.hosts[gateway].incarnation);
        self.count_asked(account, now);
        let (asks, pending) = (0, 0);
        self.arrive(Request {
            account,
            gateway,
            incarnation,
            sent: now,
            asks,
            pending,
            asked_at: now,
        });
    }

    fn count_asked(&mut self, account: usize, at: Timestamp) {
        if at.since(START) >= SETTLE_TIME {
            self.asked[account] += 1;
        }
    }

    fn key(account: usize) -> LimitKey {
        LimitKey::account(&format!("account-{account}"))
    }

    /// A gateway reads a request: at once, or when it resumes after a pause.
    fn arrive(&mut self, request: Request) {
        let host = &self.hosts[request.gateway];
        if !host.up {
            return;
        }
        if let Some(until) = host.resumes_at {
            return self.queue.schedule(until.since(self.now()), Event::Arrive(request));
        }
        if self.may_run(&request) {
            self.acquire_tokens(request, true);
        }
    }

    fn may_run(&self, request: &Request) -> bool {
        let gateway = &self.hosts[request.gateway].process;
        let revoked = request.account == REVOKED_KEY && gateway.version >= 2;
        gateway.version > 0
            && !revoked
            && gateway.staleness.is_fresh(self.clock(request.gateway), Some(REVOKE_BOUND))
    }

    fn acquire_tokens(&mut self, request: Request, first: bool) {
        let (now, key) = (self.clock(request.gateway), Self::key(request.account));
        let gateway = &mut self.hosts[request.gateway].process;
        let acquired = match first {
            true => gateway.leases.spend(now, &key, REQUEST_COST),
            false => gateway.leases.spend_granted(now, &key, REQUEST_COST),
        };
        if acquired {
            return self.wait_in_queue(request);
        }
        if gateway.leases.exhausted(now, &key).is_some() || request.asks == ASKS_MAX {
            return;
        }
        let owner = match self.spec.mutant {
            Some(Mutant::ByNumber) => Some(gateway.name.clone()),
            _ => gateway.owner(now, &self.fleet, &key),
        };
        let Some(owner) = owner else {
            return;
        };
        // A repeat keeps its number, so that an owner whose answer was lost does not grant twice.
        let repeat = request.pending > 0;
        self.next_number += u64::from(!repeat);
        let number = if repeat { request.pending } else { self.next_number };
        let asked_at = if repeat { request.asked_at } else { now };
        let ask = LeaseRequest {
            number,
            key: key.clone(),
            need: REQUEST_COST,
            prefetch: gateway.leases.prefetch(&key),
            limit: None,
        };
        let request = Request { asks: request.asks + 1, pending: number, asked_at, ..request };
        self.requests.insert(number, request);
        let to = self
            .names
            .iter()
            .position(|n| *n == owner)
            .expect("the owner is in the list of gateways");
        if to == request.gateway {
            return self.on_token_request(to, to, &ask, number);
        }
        self.hosts[request.gateway].bytes += TOKEN_REQUEST_BYTES;
        let asks = request.asks;
        self.queue.schedule(ANSWER_TIMEOUT, Event::AnswerTimeout { number, asks, owner });
        let from = request.gateway;
        if self.is_delivered(from, to) {
            let wait = self.network_delay();
            self.queue.schedule(wait, Event::TokensAsked { from, to, ask, request: number });
        }
    }

    /// Waits in the admission queue and for a connection.
    fn wait_in_queue(&mut self, request: Request) {
        let long = self.rng.random_bool(0.1);
        let most_ms = if long { 3_000 } else { 60 };
        let wait = Duration::from_millis(self.rng.random_range(0..most_ms));
        self.queue.schedule(wait, Event::Send(request));
    }

    fn send(&mut self, request: Request) {
        let host = &self.hosts[request.gateway];
        if !host.up || host.incarnation != request.incarnation {
            return;
        }
        if let Some(until) = host.resumes_at {
            return self.queue.schedule(until.since(self.now()), Event::Send(request));
        }
        let checked = self.spec.mutant == Some(Mutant::CheckedOnce) || self.may_run(&request);
        if checked && !self.rng.random_bool(NOT_RUN_SHARE) {
            let now = self.now();
            self.ran[request.account].push((request.sent, now));
            self.served[request.account] += usize::from(request.sent.since(START) >= SETTLE_TIME);
            return;
        }
        let (now, key) = (self.clock(request.gateway), Self::key(request.account));
        let times = match self.spec.mutant {
            Some(Mutant::Kept) => 0,
            Some(Mutant::GivenTwice) => 2,
            _ => 1,
        };
        for _ in 0..times {
            self.hosts[request.gateway].process.leases.restore(now, &key, REQUEST_COST);
        }
        // A request chosen not to run counts neither as asked nor as served.
        if request.sent.since(START) >= SETTLE_TIME {
            self.asked[request.account] = self.asked[request.account].saturating_sub(1);
        }
    }

    /// Whether a datagram is delivered.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        let connected = a.up && b.up && !a.isolated && !b.isolated;
        connected && !self.rng.random_bool(DATAGRAM_LOSS)
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(300..4_000))
    }

    fn on_token_request(&mut self, from: usize, to: usize, ask: &LeaseRequest, request: u64) {
        let host = &self.hosts[to];
        if !host.up {
            return;
        }
        if let Some(until) = host.resumes_at {
            let (wait, ask) = (until.since(self.now()), ask.clone());
            return self.queue.schedule(wait, Event::TokensAsked { from, to, ask, request });
        }
        let now = self.clock(to);
        let account = self.requests.get(&request).map_or(WITHIN_LIMIT, |r| r.account);
        let gateway = &mut self.hosts[to].process;
        let reply = match gateway.version {
            0 => LeaseDecision::Elsewhere,
            version => gateway.grant(now, &self.fleet, ask, &Self::rate_limit(version, account)),
        };
        let number = ask.number;
        if from == to {
            return self.on_token_answer(number, reply, request);
        }
        self.hosts[to].bytes += TOKEN_ANSWER_BYTES;
        if self.is_delivered(to, from) {
            let wait = self.network_delay();
            self.queue.schedule(wait, Event::TokensAnswered { number, reply, request });
        }
    }

    fn on_token_answer(&mut self, number: u64, reply: LeaseDecision, request: u64) {
        let Some(request) = self.requests.get(&request).copied().filter(|r| r.pending == number)
        else {
            return;
        };
        let host = &self.hosts[request.gateway];
        if !host.up || host.incarnation != request.incarnation || host.resumes_at.is_some() {
            return;
        }
        self.requests.remove(&number);
        let (now, key) = (self.clock(request.gateway), Self::key(request.account));
        let leases = &mut self.hosts[request.gateway].process.leases;
        match reply {
            LeaseDecision::Lent(tokens) => {
                leases.on_granted(&key, request.asked_at, tokens);
                self.acquire_tokens(request, false);
            }
            LeaseDecision::Over { room, back } => {
                let after = |ms: u32| now.after(Duration::from_millis(ms.into()));
                leases.on_exhausted(&key, after(room), after(back));
            }
            LeaseDecision::Elsewhere => {}
        }
    }

    fn on_answer_timeout(&mut self, number: u64, asks: u32, owner: &str) {
        let Some(request) = self.requests.get(&number).copied().filter(|r| r.asks == asks) else {
            return;
        };
        self.requests.remove(&number);
        let host = &self.hosts[request.gateway];
        if !host.up || host.incarnation != request.incarnation || host.resumes_at.is_some() {
            return;
        }
        if request.asks == ASKS_MAX {
            let now = self.clock(request.gateway);
            self.hosts[request.gateway].process.on_owner_silent(now, owner);
        }
        self.acquire_tokens(request, false);
    }

    /// Whether this gateway is a zone leader: one of the first of its zone that are up and reach the store.
    fn is_zone_leader(&self, gateway: usize) -> bool {
        let zone = gateway % ZONES;
        let earlier = (0..gateway).filter(|i| i % ZONES == zone);
        earlier.filter(|i| self.hosts[*i].up && !self.hosts[*i].store_cut).count() < ZONE_LEADERS
    }

    fn poll_store(&mut self, gateway: usize, incarnation: u32) {
        if self.hosts[gateway].incarnation != incarnation {
            return;
        }
        self.queue.schedule(POLL_INTERVAL, Event::PollStore(gateway, incarnation));
        let host = &self.hosts[gateway];
        let reaches = host.up && host.resumes_at.is_none() && !host.store_cut && !self.store_down;
        if reaches && (host.process.version == 0 || self.is_zone_leader(gateway)) {
            let sent = self.clock(gateway);
            let wait = Duration::from_millis(8);
            self.queue.schedule(wait, Event::StoreAnswered { gateway, incarnation, sent });
        }
    }

    fn on_store_answer(&mut self, gateway: usize, incarnation: u32, sent: Timestamp) {
        if self.hosts[gateway].incarnation != incarnation
            || self.hosts[gateway].resumes_at.is_some()
        {
            return;
        }
        let version = self.stored_version();
        self.apply_version(gateway, version);
        self.hosts[gateway].process.staleness.confirm(sent);
    }

    fn apply_version(&mut self, gateway: usize, version: u64) {
        let gateway = &mut self.hosts[gateway].process;
        if version > gateway.version {
            gateway.version = version;
            gateway.staleness.on_version(version);
        }
    }

    /// Asks another gateway for a confirmation if the configuration has become too stale.
    fn check_freshness(&mut self, gateway: usize, incarnation: u32) {
        if self.hosts[gateway].incarnation != incarnation {
            return;
        }
        self.queue.schedule(FRESHNESS_INTERVAL, Event::CheckFreshness(gateway, incarnation));
        if !self.hosts[gateway].up || self.hosts[gateway].resumes_at.is_some() {
            return;
        }
        self.next_number += 1;
        let (now, number) = (self.clock(gateway), self.next_number);
        if !self.hosts[gateway].process.staleness.ask(now, REVOKE_BOUND, number) {
            return;
        }
        let gateways = self.hosts.len();
        let zone_leaders = (0..gateways).filter(|i| *i != gateway && i % ZONES == gateway % ZONES);
        let zone_leaders: Vec<usize> =
            zone_leaders.filter(|i| self.is_zone_leader(*i) && self.hosts[*i].up).collect();
        let to = match zone_leaders.is_empty() || self.rng.random_bool(0.2) {
            true => self.rng.random_range(0..gateways),
            false => zone_leaders[self.rng.random_range(0..zone_leaders.len())],
        };
        self.hosts[gateway].bytes += FRESHNESS_REQUEST_BYTES;
        if to != gateway && self.is_delivered(gateway, to) {
            let wait = self.network_delay();
            self.queue.schedule(wait, Event::FreshnessAsked { from: gateway, to, number });
        }
    }

    fn answer_freshness(&mut self, from: usize, to: usize, number: u64) {
        if let Some(until) = self.hosts[to].resumes_at {
            let wait = until.since(self.now());
            return self.queue.schedule(wait, Event::FreshnessAsked { from, to, number });
        }
        let now = self.clock(to);
        let gateway = &self.hosts[to].process;
        let mut confirmed =
            VersionAge { version: gateway.version, age: gateway.staleness.age(now) };
        if self.spec.mutant == Some(Mutant::AgeRestarts) {
            confirmed.age = Duration::ZERO;
        }
        self.hosts[to].bytes += FRESHNESS_ANSWER_BYTES;
        if self.is_delivered(to, from) {
            let wait = self.network_delay();
            self.queue.schedule(wait, Event::FreshnessAnswered { to: from, number, confirmed });
        }
    }

    fn on_freshness(&mut self, to: usize, number: u64, confirmed: VersionAge) {
        if let Some(until) = self.hosts[to].resumes_at {
            let wait = until.since(self.now());
            return self.queue.schedule(wait, Event::FreshnessAnswered { to, number, confirmed });
        }
        let gateway = &mut self.hosts[to].process;
        let version = gateway.version;
        gateway.staleness.on_answer(number, version, confirmed);
        if confirmed.version > version {
            let wait = Duration::from_millis(15);
            self.queue
                .schedule(wait, Event::ConfigFetched { gateway: to, version: confirmed.version });
        }
    }

    /// Gateways report to each other which gateways they can't reach; a paused one reads this when it resumes.
    fn gossip(&mut self) {
        self.queue.schedule(GOSSIP_INTERVAL, Event::Gossip);
        if scope(&self.fleet, 0) == Scope::Zone {
            return;
        }
        let gateways = self.hosts.len();
        let reports: Vec<Option<UnreachableGateways>> = (0..gateways)
            .map(|i| {
                let host = &self.hosts[i];
                let reporting = host.up && host.resumes_at.is_none();
                reporting.then(|| host.process.unreachable(self.clock(i), &self.fleet))
            })
            .collect();
        for (from, unreachable) in reports.iter().enumerate() {
            let Some(unreachable) = unreachable else {
                continue;
            };
            for to in 0..gateways {
                if to != from && self.is_delivered(from, to) {
                    let at = self.hosts[to].resumes_at.unwrap_or(self.now());
                    let at = at.before(self.hosts[to].uncounted_pause);
                    let name = self.names[from].clone();
                    self.hosts[to].process.on_gossip(at, &name, unreachable.clone());
                }
            }
        }
    }

    fn upkeep(&mut self) {
        self.queue.schedule(UPKEEP_INTERVAL, Event::Upkeep);
        for i in 0..self.hosts.len() {
            let now = self.clock(i);
            let host = &mut self.hosts[i];
            if host.up && host.resumes_at.is_none() {
                host.process.tick(now, &self.fleet);
                self.return_unused(i, now);
            }
        }
    }

    /// Returns expiring tokens to their owner. The mutant that keeps tokens of requests that did not run keeps
    /// these too.
    fn return_unused(&mut self, gateway: usize, now: Timestamp) {
        if self.spec.mutant == Some(Mutant::Kept) {
            return;
        }
        let mut unused = self.hosts[gateway].process.leases.take_expiring(now, RETURN_BEFORE);
        unused.sort();
        for (key, tokens) in unused {
            let Some(owner) = self.hosts[gateway].process.owner(now, &self.fleet, &key) else {
                continue;
            };
            let to = self
                .names
                .iter()
                .position(|n| *n == owner)
                .expect("the owner is in the list of gateways");
            self.hosts[gateway].bytes += usize::from(to != gateway) * TOKEN_REQUEST_BYTES;
            if to == gateway || self.is_delivered(gateway, to) {
                let wait = self.network_delay();
                self.queue.schedule(wait, Event::TokensReturned { to, key, tokens });
            }
        }
    }

    fn on_returned_tokens(&mut self, to: usize, key: &LimitKey, tokens: u64) {
        let LimitKey::Account(name) = key else {
            return;
        };
        let number = name.as_str().rsplit('-').next().and_then(|n| n.parse().ok());
        let host = &self.hosts[to];
        if !host.up || host.resumes_at.is_some() || host.process.version == 0 {
            return;
        }
        let rate_limit = Self::rate_limit(host.process.version, number.unwrap_or(WITHIN_LIMIT));
        let now = self.clock(to);
        self.hosts[to].process.accept_return(now, &self.fleet, key, tokens, &rate_limit);
    }

    fn inject_fault(&mut self) {
        let gateways = self.hosts.len();
        let affected: Vec<usize> =
            (0..gateways).filter(|_| self.rng.random_bool(1.0 / 3.0)).collect();
        let random_ms =
            |rng: &mut ChaCha8Rng, from, to| Duration::from_millis(rng.random_range(from..to));
        match self.spec.fault() {
            Fault::None => {}
            Fault::StoreCut | Fault::Cut => {
                let isolated = self.spec.fault() == Fault::Cut;
                for gateway in affected {
                    self.hosts[gateway].store_cut = true;
                    self.hosts[gateway].isolated = isolated;
                    let wait = random_ms(&mut self.rng, 7_000, 10_000);
                    self.queue.schedule(wait, Event::Recover(gateway));
                }
            }
            Fault::Pause => {
                for gateway in affected {
                    let wait = random_ms(&mut self.rng, 3_000, 7_000);
                    self.hosts[gateway].resumes_at = Some(self.now().after(wait));
                    if self.spec.mutant == Some(Mutant::PauseUncounted) {
                        self.hosts[gateway].uncounted_pause = wait;
                    }
                    self.queue.schedule(wait, Event::Recover(gateway));
                }
            }
            Fault::KillAll => {
                for gateway in 0..gateways {
                    let wait = random_ms(&mut self.rng, 100, 300);
                    self.kill(gateway, wait);
                }
                self.kills += 1;
                if self.kills < KILLS {
                    self.queue.schedule(KILL_GAP, Event::Fault);
                }
            }
            Fault::KillSome if self.kills > 0 => self.kill_owner(),
            Fault::KillSome => {
                self.kill_owner();
                self.store_down = true;
                for gateway in affected {
                    let wait = random_ms(&mut self.rng, 4_000, 6_000);
                    self.kill(gateway, wait);
                }
            }
        }
    }

    /// Kills the next gateway in the ranking of one account.
    fn kill_owner(&mut self) {
        let ranked = self.hosts[0].process.ranked(&self.fleet, &Self::key(OVER_LIMIT));
        let owner = ranked.get(self.kills).and_then(|n| self.names.iter().position(|m| m == n));
        self.kills += 1;
        if let Some(owner) = owner.filter(|owner| self.hosts[*owner].up) {
            self.kill(owner, OWNER_DOWN);
        }
        if self.kills < KILLS {
            self.queue.schedule(KILL_GAP, Event::Fault);
        }
    }

    fn kill(&mut self, gateway: usize, wait: Duration) {
        self.hosts[gateway].up = false;
        self.queue.schedule(wait, Event::Recover(gateway));
    }

    /// A gateway recovers; the store answers again once the first gateway has recovered.
    fn recover(&mut self, gateway: usize) {
        let (now, name, mutant) = (self.now(), self.names[gateway].clone(), self.spec.mutant);
        self.store_down = false;
        let host = &mut self.hosts[gateway];
        (host.store_cut, host.isolated, host.resumes_at) = (false, false, None);
        if !host.up {
            host.up = true;
            host.incarnation += 1;
            host.process = GatewayProcess::new(now, &name, mutant);
            self.start(gateway);
        }
    }

    fn tally(&self) -> Tally {
        let revoked_at = START.after(REVOKED_AT);
        let after = self.ran[REVOKED_KEY].iter().filter(|(sent, _)| *sent > revoked_at);
        let late =
            after.clone().map(|(_, ran)| ran.since(revoked_at.after(REVOKE_BOUND)).as_millis());
        let no_fault = self.spec.fault() == Fault::None;
        let used_share = |account: usize| self.used_share(account);
        let served = self.served[WITHIN_LIMIT] as f64 / self.asked[WITHIN_LIMIT].max(1) as f64;
        let seconds = RUN_TIME.as_secs_f64();
        let sent = self.hosts.iter().map(|h| h.bytes as f64 / seconds);
        Tally {
            late_ms: late.max().unwrap_or_default() as u64,
            ran_revoked: after.count(),
            window_peak: (0..=WITHIN_LIMIT)
                .map(|account| self.peak_window(account))
                .fold(0.0, f64::max),
            used_share: if no_fault {
                used_share(OVER_LIMIT).min(used_share(ONE_GATEWAY)).min(1.0)
            } else {
                1.0
            },
            served_share: if no_fault { served.min(1.0) } else { 1.0 },
            bytes: (sent.clone().sum::<f64>() / self.hosts.len() as f64, sent.fold(0.0, f64::max)),
        }
    }

    /// Share of the rate limit that was used from `LOWERED_AT` until `SETTLE_TIME` before the end.
    fn used_share(&self, account: usize) -> f64 {
        let (from, to) = (START.after(LOWERED_AT), START.after(RUN_TIME).before(SETTLE_TIME));
        let within = self.ran[account].iter().filter(|(_, at)| *at >= from && *at < to);
        within.count() as f64 * REQUEST_COST as f64 / (RATE_LIMIT * to.since(from).as_secs_f64())
    }

    /// Largest use of any window by requests that were sent and ran in it, as a share of what is tolerated.
    fn peak_window(&self, account: usize) -> f64 {
        let no_fault = self.spec.fault() == Fault::None;
        let lowered_in_force = START.after(LOWERED_AT).after(LOWERED_GRACE);
        let tolerated = |start: Timestamp| {
            let lower = no_fault && account == LOWERED_LIMIT && start >= lowered_in_force;
            let rate = Self::rate_limit(if lower { 3 } else { 1 }, account);
            let window = WINDOW.as_secs_f64();
            (rate.rate * window + rate.burst) * (1.0 + EXCESS_MAX)
        };
        let starts = self.ran[account].iter().map(|(sent, _)| *sent);
        let over = starts.map(|start| {
            let end = start.after(WINDOW);
            let within = self.ran[account].iter().filter(|(s, at)| *s >= start && *at < end);
            within.count() as f64 * REQUEST_COST as f64 / tolerated(start)
        });
        over.fold(0.0, f64::max)
    }
}
