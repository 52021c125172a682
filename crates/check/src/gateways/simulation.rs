//! The events of a run: starts, calls, datagrams and timers of all gateways.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, SoftwareVersion};
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::fetches::{FetchKind, Fetches, Versions};
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::load_report::{LoadReport, LoadReports, Pauses, pauses};
use ebonyloft_router::membership::{self, JoinStep, Joining, SilenceTracker};
use ebonyloft_router::node::{Bounds, DEFAULT_HEARTBEAT, Excess};
use ebonyloft_router::registry::{Change, Registration};
use ebonyloft_router::revision::Revision;
use ebonyloft_router::zone_leader::{LEADER_TIMEOUT, LeaderState, StoreLink};
use ebonyloft_router::zones::{self, Scope};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::store::{ITEM_BYTES, PAGE_ITEMS, Store};
use super::{FleetReport, FleetSpec, Kind, Phase, Row, ZONE_DELAY};
use crate::fleet::{addr as address, member_index as index};

const START: Timestamp = Timestamp(1_800_000_000_000_000);
/// Time from the start of the fleet to the measured window of all phases but `Start`.
const SETTLE: Duration = Duration::from_secs(20);
/// Length of the measured window.
const WINDOW: Duration = Duration::from_secs(20);
/// How long the store is unreachable.
const OUTAGE: Duration = Duration::from_secs(12);
/// VMs of a fleet start within this time.
const START_SPREAD: f64 = 0.3;
/// Time from the end of a process to the start of the next one.
const RESTART: Duration = Duration::from_millis(500);
const UPKEEP: Duration = Duration::from_millis(250);
/// Upkeep rounds between two checks of registrations.
const CHECK_ROUNDS: u64 = 4;
/// Time of a call to a peer, without its transfer.
const PEER_CALL: Duration = Duration::from_millis(2);
/// Bytes a second of a weak VM's link.
const LINK_RATE: f64 = 2.5e6;
/// Pause between two calls to a store that does not answer.
const STORE_RETRY: Duration = Duration::from_millis(400);
/// Fraction of the rounds in which a gateway has load to report, at half a request a second.
const BUSY: f64 = 0.4;
/// Tokens that an engine's memory holds.
const ENGINE_TOKENS: u64 = 27_000;
/// Bytes of the headers of a datagram.
const HEADER_BYTES: u64 = 28;

enum Event {
    Boot(usize),
    Join(Id),
    Listed {
        to: Id,
        list: BTreeMap<String, Gateway>,
        revision: Revision,
    },
    Registered {
        to: Id,
        revision: Revision,
    },
    Upkeep(Id, u64),
    Report(Id, u64),
    Arrive {
        to: usize,
        from: usize,
        report: Rc<LoadReport>,
    },
    Fetched {
        to: Id,
        part: FetchKind,
        update: Option<Update>,
    },
    Follow(Id),
    Followed {
        to: Id,
        list: BTreeMap<String, Gateway>,
        revision: Revision,
        servers: Revision,
        fleet: Revision,
    },
    WatchEnd(Id, u64),
    Window,
    StoreBack,
}

/// A gateway process: its VM, and which of its processes.
#[derive(Clone, Copy, Eq, PartialEq)]
struct Id(usize, u32);

/// What a peer answers to a fetch.
struct Update {
    servers: Option<Revision>,
    fleet: Option<(BTreeMap<String, Gateway>, Revision)>,
}

struct Host {
    name: String,
    own: Gateway,
    incarnation: u32,
    up: bool,
    joining: Joining,
    joined_at: Option<Timestamp>,
    role: LeaderState,
    fleet: Fleet,
    complete_at: Option<Timestamp>,
    /// Revision of the known list of backend servers.
    servers: Revision,
    reports: LoadReports,
    fetches: Fetches,
    silence: SilenceTracker,
    seen_at: Option<Revision>,
    /// Following the store: a call or watch is under way.
    following: bool,
    /// Revision to watch from; none before a list was read.
    from: Option<Revision>,
    watch: u64,
    is_waiting: bool,
    store_away: bool,
    seq: u64,
    requested: bool,
    earliest: Timestamp,
    timer: u64,
    ahead: (u64, Rc<[String]>),
    counts: BTreeMap<Kind, (u64, u64)>,
    known_at: Option<Timestamp>,
}

struct Simulation {
    spec: FleetSpec,
    rng: ChaCha8Rng,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    seq: u64,
    hosts: Vec<Host>,
    store: Store,
    bounds: Bounds,
    server_bytes: u64,
    gateway_bytes: u64,
    window_at: Timestamp,
    is_measuring: bool,
    followers: usize,
    target: Revision,
}

/// Runs one plan.
pub fn simulate(spec: FleetSpec) -> FleetReport {
    let mut simulation = Simulation::new(spec);
    let end = simulation.window_at.after(WINDOW);
    while let Some(Reverse((at, seq))) = simulation.queue.pop() {
        if at >= end {
            break;
        }
        simulation.now = at;
        let event = simulation.events.remove(&seq).expect("a queued event is stored");
        simulation.handle(event);
    }
    simulation.report()
}

fn encoded_size(value: &impl serde::Serialize) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain values encode");
    bytes.len() as u64
}

fn example_change() -> Change {
    let server = Server {
        id: ServerId::new("i-74b1fca28e", 1_769_651_659_640),
        service: "digest-llm".to_owned(),
        addr: address(77),
        zone: "palermo-fiera".to_owned(),
        slots: 12,
        draining: false,
        stage: None,
        version: SoftwareVersion::new("v1.1"),
    };
    let name = server.id.name.clone();
    Change { name, entry: Registration::Server(server), revision: Revision::new(0, 1_218) }
}

impl Host {
    fn new(i: usize, spec: &FleetSpec) -> Host {
        let zone = format!("zone-{}", i % spec.zones);
        let power = if i / spec.zones < spec.gateways / spec.zones / 6 + 1 { 500 } else { 90 };
        Host {
            name: format!("front-{zone}-{}", i / spec.zones),
            own: Gateway { addr: address(i), zone, power },
            incarnation: 0,
            up: false,
            joining: Joining::new(START),
            joined_at: None,
            role: LeaderState::unranked(),
            fleet: Fleet::default(),
            complete_at: None,
            servers: Revision::default(),
            reports: LoadReports::default(),
            fetches: Fetches::default(),
            silence: SilenceTracker::default(),
            seen_at: None,
            following: false,
            from: None,
            watch: 0,
            is_waiting: false,
            store_away: false,
            seq: 0,
            requested: false,
            earliest: START,
            timer: 0,
            ahead: (u64::MAX, Rc::from([])),
            counts: BTreeMap::new(),
            known_at: None,
        }
    }

    fn versions(&self) -> Versions {
        Versions { config: 1, roster: self.servers, fleet: self.fleet.revision() }
    }
}

impl Simulation {
    fn new(spec: FleetSpec) -> Self {
        let seconds = Duration::from_secs;
        let window_at = match spec.phase {
            Phase::Start => START,
            _ => START.after(SETTLE),
        };
        let mut simulation = Simulation {
            spec,
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            seq: 0,
            hosts: (0..spec.gateways).map(|i| Host::new(i, &spec)).collect(),
            store: Store::default(),
            bounds: Bounds {
                budget_ratio: 0.2,
                budget_extra: 1_000.0,
                budget_window: seconds(10),
                grace: seconds(8),
                order_gap: seconds(3),
                contact: seconds(6),
                drain: seconds(5),
                apply: seconds(5),
                heartbeat: DEFAULT_HEARTBEAT,
                revoke: None,
                excess: Excess::default(),
            },
            server_bytes: encoded_size(&example_change()),
            gateway_bytes: encoded_size(&("front-palermo-fiera-77", Host::new(77, &spec).own)),
            window_at,
            is_measuring: spec.phase == Phase::Start,
            followers: 0,
            target: Revision::default(),
        };
        simulation.store.change_server();
        simulation.target = simulation.store.server_revision;
        for i in 0..spec.gateways {
            let delay = simulation.rng.random::<f64>() * START_SPREAD;
            simulation.schedule(Duration::from_secs_f64(delay), Event::Boot(i));
        }
        if spec.phase != Phase::Start {
            simulation.schedule(SETTLE, Event::Window);
        }
        simulation
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now.after(delay), event);
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.seq += 1;
        self.events.insert(self.seq, event);
        self.queue.push(Reverse((at, self.seq)));
    }

    fn count(&mut self, i: usize, kind: Kind, n: u64, bytes: u64) {
        if self.is_measuring {
            let entry = self.hosts[i].counts.entry(kind).or_default();
            *entry = (entry.0 + n, entry.1 + bytes);
        }
    }

    fn is_alive(&self, Id(i, incarnation): Id) -> bool {
        self.hosts[i].up && self.hosts[i].incarnation == incarnation
    }

    fn id(&self, i: usize) -> Id {
        Id(i, self.hosts[i].incarnation)
    }

    fn handle(&mut self, event: Event) {
        let id = match &event {
            Event::Boot(_) | Event::Arrive { .. } | Event::Window | Event::StoreBack => None,
            Event::Join(id) | Event::Upkeep(id, _) | Event::Report(id, _) => Some(*id),
            Event::Follow(id) | Event::WatchEnd(id, _) => Some(*id),
            Event::Listed { to, .. } | Event::Registered { to, .. } => Some(*to),
            Event::Fetched { to, .. } | Event::Followed { to, .. } => Some(*to),
        };
        if id.is_some_and(|id| !self.is_alive(id)) {
            return;
        }
        match event {
            Event::Boot(i) => self.boot(i),
            Event::Join(Id(i, _)) => self.join(i),
            Event::Listed { to: Id(i, _), list, revision } => self.on_listed(i, list, revision),
            Event::Registered { to: Id(i, _), revision } => self.on_registered(i, revision),
            Event::Upkeep(Id(i, _), round) => self.upkeep(i, round),
            Event::Report(Id(i, _), timer) if timer == self.hosts[i].timer => self.send_report(i),
            Event::Report(..) => {}
            Event::Arrive { to, from, report } => self.on_report(to, from, &report),
            Event::Fetched { to: Id(i, _), part, update } => self.on_fetched(i, part, update),
            Event::Follow(Id(i, _)) => self.follow(i),
            Event::Followed { to: Id(i, _), list, revision, servers, fleet } => {
                self.on_followed(i, list, revision, servers, fleet);
            }
            Event::WatchEnd(Id(i, _), watch) => self.on_watch_end(i, watch),
            Event::Window => self.open_window(),
            Event::StoreBack => self.store.away = false,
        }
    }

    fn boot(&mut self, i: usize) {
        let fresh = Host::new(i, &self.spec);
        let host = &mut self.hosts[i];
        let (incarnation, counts) = (host.incarnation + 1, std::mem::take(&mut host.counts));
        *host = Host { incarnation, counts, up: true, ..fresh };
        host.joining = Joining::new(self.now);
        let id = self.id(i);
        self.schedule(Duration::ZERO, Event::Join(id));
        self.schedule(UPKEEP, Event::Upkeep(id, 0));
        self.schedule(Duration::from_millis(100), Event::Report(id, 0));
    }

    fn join(&mut self, i: usize) {
        let (now, id, draw) = (self.now, self.id(i), self.rng.random());
        let host = &self.hosts[i];
        let current = host.fleet.registration(&host.name) == Some(&host.own);
        match host.joining.step(now, host.complete_at.is_some(), current) {
            JoinStep::Joined => {
                let ahead = self.ahead(i).len();
                let host = &mut self.hosts[i];
                host.joined_at = Some(now);
                host.role = LeaderState::new(now, ahead);
                self.keep_following(i);
                self.request_report(i);
            }
            JoinStep::Wait(until) => {
                let pause = until.since(now).min(membership::RELIST_PAUSE / 8);
                self.schedule(pause, Event::Join(id));
            }
            JoinStep::List | JoinStep::Register if self.store.away => {
                self.count(i, Kind::StalePage, 1, 0);
                self.hosts[i].joining.on_failure(now, draw);
                self.schedule(Duration::ZERO, Event::Join(id));
            }
            JoinStep::List => {
                let name = &self.hosts[i].name;
                let start = name.trim_end_matches(|c: char| c.is_ascii_digit());
                let (list, pages) = self.store.list_until(start, name);
                let bytes = list.len() * ITEM_BYTES;
                self.count(i, Kind::StalePage, pages as u64, bytes as u64);
                let at = self.store.answer_at(now, bytes);
                let revision = self.store.revision();
                self.schedule_at(at, Event::Listed { to: id, list, revision });
            }
            JoinStep::Register => {
                let (name, own) = (self.hosts[i].name.clone(), self.hosts[i].own.clone());
                self.count(i, Kind::Write, 1, 0);
                let revision = self.store.register(&name, own);
                self.wake_watchers();
                let at = self.store.answer_at(now, 0);
                self.schedule_at(at, Event::Registered { to: id, revision });
            }
        }
    }

    fn on_listed(&mut self, i: usize, list: BTreeMap<String, Gateway>, revision: Revision) {
        let host = &mut self.hosts[i];
        let current = list.get(&host.name) == Some(&host.own);
        host.seen_at = if current { Some(revision) } else { host.seen_at };
        host.fleet.add(list);
        host.joining.on_list(self.now, current);
        let (name, zone) = (host.name.clone(), host.own.zone.clone());
        let rng = &mut self.rng;
        let peers = membership::peers_to_ask(&self.hosts[i].fleet, &name, &zone, || rng.random());
        // One after the other in the daemon; here the first that has lists answers.
        let useful = |addr: &SocketAddr| self.hosts[index(*addr)].complete_at.is_some();
        if let Some(peer) = peers.into_iter().find(useful) {
            self.fetch(i, index(peer));
        }
        self.schedule(Duration::ZERO, Event::Join(self.id(i)));
    }

    fn on_registered(&mut self, i: usize, revision: Revision) {
        let draw = self.rng.random();
        let host = &mut self.hosts[i];
        host.seen_at = Some(revision);
        if host.joined_at.is_none() {
            host.joining.on_registered(self.now, draw);
            self.schedule(Duration::ZERO, Event::Join(self.id(i)));
        }
    }

    fn upkeep(&mut self, i: usize, round: u64) {
        let now = self.now;
        self.update_role(i);
        let host = &mut self.hosts[i];
        host.reports.expire(now);
        host.fleet.expire(now);
        if host.joined_at.is_some() && round.is_multiple_of(CHECK_ROUNDS) && !self.store.away {
            self.check_registrations(i);
        }
        if self.is_measuring && now.since(self.window_at) > Duration::from_secs(1) {
            let following = self.hosts.iter().filter(|h| h.up && h.role.follows()).count();
            self.followers = self.followers.max(if i == 0 { following } else { 0 });
        }
        self.schedule(UPKEEP, Event::Upkeep(self.id(i), round + 1));
    }

    fn check_registrations(&mut self, i: usize) {
        let host = &self.hosts[i];
        if membership::must_register(&host.fleet, &host.name, &host.own, host.seen_at) {
            let (name, own) = (host.name.clone(), host.own.clone());
            self.count(i, Kind::Write, 1, 0);
            let revision = self.store.register(&name, own);
            self.wake_watchers();
            self.hosts[i].seen_at = Some(revision);
        }
        let host = &self.hosts[i];
        if !host.role.leads() {
            return;
        }
        let now = self.now;
        let scope = self.scope(i);
        let registered = host.fleet.registered();
        let others = registered.iter().filter(|(name, g)| {
            **name != host.name && (scope == Scope::All || g.zone == host.own.zone)
        });
        let silent = others.filter(|(name, _)| !host.reports.is_live(now, name));
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        let silent = silent.iter().map(|name| (name.as_str(), membership::SILENCE_MAX));
        let gone = self.hosts[i].silence.observe(now, silent);
        if !gone.is_empty() {
            self.count(i, Kind::Write, 1, 0);
            self.hosts[i].silence.on_removed(now, &gone);
            self.store.remove(&gone);
            self.wake_watchers();
        }
    }

    fn scope(&self, i: usize) -> Scope {
        zones::scope(&self.hosts[i].fleet, self.spec.servers as u64 * ENGINE_TOKENS)
    }

    /// The gateways that rank above one of them.
    fn ahead(&mut self, i: usize) -> Rc<[String]> {
        let scope = self.scope(i);
        let host = &mut self.hosts[i];
        let edition = host.fleet.edition();
        if host.ahead.0 != edition {
            let names = zones::ranked_above(&host.fleet, scope, &host.name);
            host.ahead = (edition, names.unwrap_or_else(|| Rc::from([])));
        }
        host.ahead.1.clone()
    }

    fn update_role(&mut self, i: usize) {
        let now = self.now;
        let Some(joined_at) = self.hosts[i].joined_at else {
            return;
        };
        let ahead = self.ahead(i);
        let host = &mut self.hosts[i];
        let mut higher_ranked = host.reports.higher_ranked(now, &ahead);
        let complete = host.complete_at.is_some();
        if !complete {
            higher_ranked.connected = 0;
        }
        let before = host.role.follows();
        if !complete || before || now >= joined_at.after(LEADER_TIMEOUT) {
            host.role.update(now, higher_ranked);
        }
        if host.role.follows() != before {
            // A gateway that begins to follow has adopted what its leaders say of the store.
            host.store_away |= higher_ranked.away > 0;
            self.request_report(i);
        }
        self.keep_following(i);
    }

    fn keep_following(&mut self, i: usize) {
        if self.hosts[i].role.follows() && !self.hosts[i].following {
            self.hosts[i].following = true;
            self.schedule(Duration::ZERO, Event::Follow(self.id(i)));
        }
    }

    /// The next call of a gateway that follows the store.
    fn follow(&mut self, i: usize) {
        let (now, id) = (self.now, self.id(i));
        if !self.hosts[i].role.follows() {
            (self.hosts[i].following, self.hosts[i].from) = (false, None);
            return;
        }
        if self.store.away {
            self.count(i, Kind::Watch, 1, 0);
            self.hosts[i].store_away = true;
            return self.schedule(STORE_RETRY, Event::Follow(id));
        }
        self.hosts[i].store_away = false;
        let Some(from) = self.hosts[i].from else {
            let items = self.store.gateway_count() + self.spec.servers;
            let bytes = items * ITEM_BYTES;
            self.count(i, Kind::StalePage, items.div_ceil(PAGE_ITEMS) as u64, bytes as u64);
            let at = self.store.answer_at(now, bytes);
            return self.answer_follower(i, at);
        };
        self.count(i, Kind::Watch, 1, 0);
        if self.store.revision() > from {
            let at = self.store.answer_at(now, ITEM_BYTES);
            return self.answer_follower(i, at);
        }
        let host = &mut self.hosts[i];
        host.watch += 1;
        host.is_waiting = true;
        let (watch, wait) = (host.watch, self.bounds.staleness_bound());
        self.schedule(wait, Event::WatchEnd(id, watch));
    }

    fn answer_follower(&mut self, i: usize, at: Timestamp) {
        let event = Event::Followed {
            to: self.id(i),
            list: self.store.list(),
            revision: self.store.revision(),
            servers: self.store.server_revision,
            fleet: self.store.fleet_revision,
        };
        self.schedule_at(at, event);
    }

    fn on_followed(
        &mut self,
        i: usize,
        list: BTreeMap<String, Gateway>,
        revision: Revision,
        servers: Revision,
        fleet: Revision,
    ) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let changed = host.from.replace(revision).is_some_and(|before| before != revision);
        let is_new = fleet > host.fleet.revision() || servers > host.servers;
        if fleet > host.fleet.revision() {
            host.fleet.replace(now, list, fleet);
        }
        self.set_lists(i, servers);
        if is_new {
            self.request_report(i);
        }
        let delay = match changed {
            true => self.hosts[i].role.batch_delay(&self.bounds),
            false => Duration::ZERO,
        };
        self.schedule(delay, Event::Follow(self.id(i)));
    }

    fn on_watch_end(&mut self, i: usize, watch: u64) {
        if self.hosts[i].is_waiting && self.hosts[i].watch == watch {
            self.hosts[i].is_waiting = false;
            self.follow(i);
        }
    }

    fn wake_watchers(&mut self) {
        for i in 0..self.hosts.len() {
            if self.hosts[i].is_waiting {
                self.hosts[i].is_waiting = false;
                let at = self.store.answer_at(self.now, ITEM_BYTES);
                self.answer_follower(i, at);
            }
        }
    }

    fn set_lists(&mut self, i: usize, servers: Revision) {
        let now = self.now;
        let target = self.target;
        let host = &mut self.hosts[i];
        host.complete_at.get_or_insert(now);
        host.servers = host.servers.max(servers);
        if host.servers >= target {
            host.known_at.get_or_insert(now);
        }
    }

    fn request_report(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if std::mem::replace(&mut host.requested, true) {
            return;
        }
        host.timer += 1;
        let (at, timer) = (host.earliest.max(self.now), host.timer);
        self.schedule_at(at, Event::Report(self.id(i), timer));
    }

    fn recipients(&self, i: usize) -> Vec<usize> {
        let (host, scope) = (&self.hosts[i], self.scope(i));
        let others = host.fleet.all().iter().filter(|(name, _)| **name != host.name);
        others
            .filter(|(_, g)| scope == Scope::All || g.zone == host.own.zone)
            .map(|(_, g)| index(g.addr))
            .collect()
    }

    fn send_report(&mut self, i: usize) {
        let recipients = self.recipients(i);
        let busy = self.rng.random_bool(BUSY);
        let host = &mut self.hosts[i];
        let follows = host.role.follows();
        let Pauses { shortest, idle } = pauses(recipients.len(), follows);
        host.requested = false;
        host.seq += 1;
        host.timer += 1;
        host.earliest = self.now.after(shortest);
        let (at, timer) = (host.earliest.after(idle), host.timer);
        let is_skipped = !busy && !follows && !host.seq.is_multiple_of(2);
        let link = match (follows && host.complete_at.is_some(), host.store_away) {
            (false, _) => StoreLink::Indirect,
            (true, true) => StoreLink::Away,
            (true, false) => StoreLink::Heard { settles: 0, age: 0 },
        };
        let loads = if busy { 2 } else { 0 };
        let report = LoadReport {
            name: host.name.clone(),
            incarnation: u64::from(host.incarnation),
            seq: host.seq,
            config: 1,
            roster: host.servers,
            fleet: host.fleet.revision(),
            link,
            engine_loads: (0..loads).map(|n| (n, EngineLoad::default())).collect(),
            ..LoadReport::default()
        };
        self.schedule_at(at, Event::Report(self.id(i), timer));
        if is_skipped {
            return;
        }
        let bytes = encoded_size(&report) + HEADER_BYTES;
        let sent = recipients.len() as u64;
        self.count(i, Kind::LoadReport, sent, sent * bytes);
        let report = Rc::new(report);
        for to in recipients {
            if !self.rng.random_bool(self.spec.loss) {
                let report = report.clone();
                self.schedule(ZONE_DELAY, Event::Arrive { to, from: i, report });
            }
        }
    }

    fn on_report(&mut self, i: usize, from: usize, report: &LoadReport) {
        let now = self.now;
        let host = &mut self.hosts[i];
        if !host.up {
            return;
        }
        host.reports.on_report(now, report.clone());
        let own = host.versions();
        let LoadReport { config, roster, fleet, .. } = *report;
        let theirs = Versions { config, roster, fleet };
        let uses_store = host.role.leads() && !host.store_away;
        let behind = host.fetches.is_behind(now, own, theirs);
        if own.is_older(FetchKind::Lists, theirs) && (!uses_store || behind) {
            self.fetch(i, from);
        }
    }

    fn fetch(&mut self, i: usize, from: usize) {
        let (now, id, part) = (self.now, self.id(i), FetchKind::Lists);
        let addr = self.hosts[from].own.addr;
        if !self.hosts[i].fetches.begin(now, part, addr) {
            return;
        }
        if !self.hosts[from].up {
            return self.schedule(PEER_CALL, Event::Fetched { to: id, part, update: None });
        }
        let (own, peer) = (&self.hosts[i], &self.hosts[from]);
        let is_first = own.complete_at.is_none();
        let servers = peer.complete_at.is_some().then_some(peer.servers);
        let servers = servers.filter(|revision| *revision > own.servers);
        let is_newer = peer.fleet.revision() > own.fleet.revision();
        let fleet = is_newer.then(|| (peer.fleet.registered(), peer.fleet.revision()));
        let changes = match servers {
            None => 0,
            Some(_) if is_first => self.spec.servers as u64,
            Some(revision) => (revision.number().saturating_sub(own.servers.number()))
                .min(self.spec.servers as u64),
        };
        let listed = fleet.as_ref().map_or(0, |(list, _)| list.len() as u64);
        let bytes = changes * self.server_bytes + listed * self.gateway_bytes;
        self.count(from, Kind::ListFetch, 1, bytes);
        let time = PEER_CALL + Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        let update = Some(Update { servers, fleet });
        self.schedule(time, Event::Fetched { to: id, part, update });
    }

    fn on_fetched(&mut self, i: usize, part: FetchKind, update: Option<Update>) {
        let now = self.now;
        let host = &mut self.hosts[i];
        host.fetches.end(now, part, update.is_some());
        let Some(update) = update else {
            return;
        };
        if let Some((list, revision)) = update.fleet {
            host.fleet.replace(now, list, revision);
        }
        if let Some(servers) = update.servers {
            self.set_lists(i, servers);
            self.request_report(i);
        }
    }

    fn open_window(&mut self) {
        self.is_measuring = true;
        match self.spec.phase {
            Phase::Start | Phase::Calm => {}
            Phase::Leaving => {
                for _ in 0..self.spec.servers / 50 + 1 {
                    self.store.change_server();
                }
                self.target = self.store.server_revision;
                self.hosts.iter_mut().for_each(|host| host.known_at = None);
                self.wake_watchers();
            }
            Phase::Restart => (0..self.spec.gateways).step_by(5).for_each(|i| self.restart(i)),
            Phase::LossOfAll => (0..self.spec.gateways).for_each(|i| self.restart(i)),
            Phase::StoreAway => {
                self.store.away = true;
                for i in 0..self.hosts.len() {
                    if std::mem::take(&mut self.hosts[i].is_waiting) {
                        self.schedule(STORE_RETRY, Event::Follow(self.id(i)));
                    }
                }
                self.schedule(OUTAGE, Event::StoreBack);
            }
        }
    }

    fn restart(&mut self, i: usize) {
        self.hosts[i].up = false;
        self.hosts[i].complete_at = None;
        let delay = self.rng.random::<f64>() * START_SPREAD;
        self.schedule(RESTART + Duration::from_secs_f64(delay), Event::Boot(i));
    }

    fn report(self) -> FleetReport {
        let count = self.hosts.len() as f64;
        let mut rows: BTreeMap<Kind, Row> = BTreeMap::new();
        for host in &self.hosts {
            for (kind, (sent, bytes)) in &host.counts {
                let row = rows.entry(*kind).or_default();
                row.mean += *sent as f64 / count;
                row.most = row.most.max(*sent as f64);
                row.bytes += *bytes as f64 / count;
            }
        }
        let latest = |at: fn(&Host) -> Option<Timestamp>| {
            let never = self.window_at.after(WINDOW);
            let last = self.hosts.iter().map(|h| at(h).unwrap_or(never)).max();
            last.unwrap_or(never).since(self.window_at).as_millis() as u64
        };
        FleetReport {
            gateways: self.hosts.len(),
            seconds: WINDOW.as_secs_f64(),
            price: rows.iter().map(|(kind, row)| kind.price() * row.mean).sum(),
            rows,
            followers: self.followers,
            complete_ms: latest(|host| host.complete_at),
            known_ms: latest(|host| host.known_at),
        }
    }
}
