//! The simulated backend servers, callers, network and faults.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, SoftwareVersion, Stage};
use ebonyloft_router::lost_attempts::{LostAttempt, ProbeResult};
use ebonyloft_router::part_blame::{
    ANNOUNCE_TIME, PartDigest, PartFact, PartState, PartUpdate, PromptParts, SOUND_AFTER,
};
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::SoftwareId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gateway::{GatewayProcess, Mutant};
use super::{Begun, BlameSpec, CONTACT, CRASHES, Fault, Tally};
use crate::queue::EventQueue;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);
/// Time in calm before the first request that crashes servers.
const CALM: Duration = Duration::from_secs(5);
/// How long callers send requests.
const SEND_TIME: Duration = Duration::from_secs(26);
/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(30);
/// Zones of servers.
const ZONES: usize = 4;
/// Servers, at least.
const SERVERS_MIN: usize = 14;
/// First part of the requests of most callers.
const FIRST: u64 = 1;
/// First part of a route of its own.
const OTHER_FIRST: u64 = 2;
/// Parts of client accounts.
const ACCOUNTS: std::ops::Range<u64> = 100..105;
/// Parts that crash servers.
const CRASHING: [u64; 2] = [500, 501];
/// A part that always comes with the second one of them, and alone now and then.
const COMPANION: u64 = 502;
/// A part that becomes popular just before a zone is lost.
const POPULAR: u64 = 700;
/// A part of the request that crashes servers by itself.
const RARE: u64 = 800;
/// Delay of a message between two processes.
const HOP: Duration = Duration::from_millis(2);
/// Duration of a prefill.
const PREFILL_TIME: Duration = Duration::from_millis(40);
/// Longest wait in the admission queue.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(2_600);
/// Share of the requests that wait as long.
const QUEUED: f64 = 0.03;
/// How long a held request waits.
const HOLD_WAIT: Duration = Duration::from_millis(300);
/// Interval at which it asks again.
const HOLD_POLL: Duration = Duration::from_millis(10);
/// Share of the answers that are lost while their server is well.
const ANSWER_LOSS: f64 = 0.02;
/// Share of the datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.01;
/// Gateways that refute a reported crash, on average, if all of them can.
const REFUTATIONS: f64 = 8.0;
/// Sends of a request within one attempt of its caller.
const SENDS_MAX: u32 = 3;
/// Time without an event after which a run is given up.
const STALL_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a crashed server's registration expires.
const REGISTRATION_LEASE: Duration = Duration::from_millis(1_200);
/// Interval at which gateways compare checksums with some peers.
const CHECKSUM_INTERVAL: Duration = Duration::from_millis(200);
/// Peers to which it sends the checksum each time.
const CHECKSUM_PEERS: usize = 8;
/// Interval of a gateway's upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An attempt of a caller.
#[derive(Clone, Debug)]
struct Request {
    number: u64,
    parts: PromptParts,
    /// Which crashing part it holds.
    crashing: Option<usize>,
    /// Index of its record if it is a sound one that is counted.
    counted: Option<usize>,
    sends: u32,
    wait_until: Timestamp,
    probe: Option<u64>,
}

/// A run at a server.
#[derive(Clone, Debug)]
struct Run {
    gateway: usize,
    incarnation: u32,
    request: Request,
    prefill: bool,
    server: usize,
    id: ServerId,
    sent: Timestamp,
    reached: bool,
    begun_at: Option<Timestamp>,
    sound: bool,
}

struct Backend {
    server: Server,
    up: bool,
    leaving: bool,
    restarts: u32,
}

enum Event {
    Arrival(Kind),
    Admit(usize, u32, Request),
    Send(usize, u32, Request, bool),
    Reach(u64),
    Begin(u64),
    Sound(u64),
    Complete(u64),
    Lost(u64, bool),
    ProbeLost(usize, u32),
    ProbeAnswered(usize, u32, ServerId, Timestamp),
    Crash(usize, ServerId, Option<usize>),
    RegistrationExpired(ServerId),
    Restart(usize),
    Gossip(usize, u32, Vec<PartUpdate>),
    CompareChecksums,
    Upkeep,
    Store(PartDigest, SoftwareId, Timestamp),
    Isolate(usize),
    StopGateway(usize),
    StartGateway(usize),
    LoseAll,
    LoseZone,
    Upgrade,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Sound,
    OtherRoute,
    Crashing(usize),
    Companion,
    Popular,
    Whole,
}

/// A sound request that is counted.
struct Counted {
    at: Timestamp,
    begun: bool,
}

pub(super) struct Simulation {
    spec: BlameSpec,
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    gateways: Vec<GatewayProcess>,
    backends: Vec<Backend>,
    runs: HashMap<u64, Run>,
    next_id: u64,
    counted: Vec<Counted>,
    /// Crashes and counted sends of each part that crashes servers.
    crashes: [Vec<Timestamp>; 2],
    sends: [Vec<Timestamp>; 2],
    last_sent: [Timestamp; 2],
    whole_crashes: usize,
    stored: BTreeMap<(PartDigest, SoftwareId), Timestamp>,
    store_down: (Timestamp, Timestamp),
    wrong: BTreeSet<PartDigest>,
    bytes: HashMap<(usize, u64), usize>,
    tally: Tally,
}

impl Simulation {
    pub(super) fn new(spec: BlameSpec) -> Self {
        let gateways = (0..spec.gateways).map(|n| {
            let mut gateway = GatewayProcess::new(START, 1, (n as u64) << 40, spec.mutant);
            gateway.older = spec.fault() == Fault::OlderRelease && n % 2 == 1;
            gateway
        });
        let servers = SERVERS_MIN.max(spec.gateways * 3 / 2);
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            queue: EventQueue::new(START),
            gateways: gateways.collect(),
            backends: Vec::new(),
            runs: HashMap::new(),
            next_id: 1,
            counted: Vec::new(),
            crashes: Default::default(),
            sends: Default::default(),
            last_sent: Default::default(),
            whole_crashes: 0,
            stored: BTreeMap::new(),
            store_down: Default::default(),
            wrong: BTreeSet::new(),
            bytes: HashMap::new(),
            tally: Tally::default(),
            spec,
        };
        for n in 0..servers {
            let second = spec.fault() == Fault::SoundElsewhere && n % 2 == 1;
            simulation.add_backend(if second { "2" } else { "1" });
        }
        simulation.schedule_faults();
        simulation
    }

    fn add_backend(&mut self, version: &str) {
        let n = self.backends.len();
        let server = Server {
            id: ServerId::new(format!("s{n}"), 0),
            service: "engines".to_owned(),
            addr: std::net::SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8], 80)),
            zone: format!("z{}", n % ZONES),
            slots: 24,
            draining: false,
            stage: Some(Stage::Decode),
            version: SoftwareVersion::new(version),
        };
        self.backends.push(Backend { server, up: true, leaving: false, restarts: 0 });
    }

    fn schedule_faults(&mut self) {
        let fault = self.spec.fault();
        let kinds = [Kind::Sound, Kind::OtherRoute, Kind::Companion];
        kinds.into_iter().for_each(|kind| self.queue.schedule(ms(1), Event::Arrival(kind)));
        match fault {
            Fault::FirstPart => {}
            Fault::WholeRequest => self.queue.schedule(CALM, Event::Arrival(Kind::Whole)),
            Fault::TwoParts => {
                self.queue.schedule(CALM, Event::Arrival(Kind::Crashing(0)));
                self.queue.schedule(CALM + ms(700), Event::Arrival(Kind::Crashing(1)));
            }
            _ => self.queue.schedule(CALM, Event::Arrival(Kind::Crashing(0))),
        }
        self.queue.schedule(ms(3), Event::CompareChecksums);
        self.queue.schedule(ms(7), Event::Upkeep);
        let second = |n: u64| Duration::from_secs(n);
        match fault {
            Fault::Unrelated => {
                for n in 2..24 {
                    let at = second(n) + ms(self.random(0..900));
                    let server = self.random(0..self.backends.len() as u64) as usize;
                    let id = self.backends[server].server.id.clone();
                    self.queue.schedule(at, Event::Crash(server, id, None));
                }
                let at = second(self.random(6..12));
                for _ in 0..30 {
                    let before = ms(self.random(1..150));
                    self.queue.schedule(at - before, Event::Arrival(Kind::Popular));
                }
                self.queue.schedule(at, Event::LoseZone);
            }
            Fault::Gateways => {
                for n in 0..6 {
                    let (cut, stop) = (self.random_gateway(), self.random_gateway());
                    self.queue.schedule(second(4 + 3 * n), Event::Isolate(cut));
                    self.queue.schedule(second(5 + 3 * n), Event::StopGateway(stop));
                }
            }
            Fault::LossOfAll => {
                let at = second(self.random(8..12));
                self.store_down = (START.after(second(6)), START.after(at - second(1)));
                self.queue.schedule(at, Event::LoseAll);
            }
            Fault::Upgrade => self.queue.schedule(second(10), Event::Upgrade),
            Fault::OlderRelease => {
                for n in (1..self.gateways.len()).step_by(2) {
                    self.queue.schedule(second(9) + ms(40 * n as u64), Event::StopGateway(n));
                }
            }
            _ => {}
        }
    }

    fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn random_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.gateways.len())
    }

    /// Mean interval between two requests that crash servers.
    fn crashing_interval(&self) -> u64 {
        [100, 250, 600][(self.spec.seed / 11 % 3) as usize]
    }

    /// Mean interval between two sound requests.
    fn sound_interval(&self) -> u64 {
        let at_four = [30, 150][(self.spec.seed / 33 % 2) as usize];
        (at_four * 4 / self.spec.gateways as u64).max(4)
    }

    pub(super) fn run(mut self) -> Tally {
        let end = START.after(RUN_TIME);
        while let Some(event) = self.queue.pop_before(end) {
            self.handle(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Tally {
        for n in 0..CRASHING.len() {
            let crashes = &self.crashes[n];
            let late_from = crashes.get(CRASHES - 1).map(|at| at.after(CONTACT));
            let late = |at: &&Timestamp| late_from.is_some_and(|from| **at > from);
            self.tally.late_sends.push(self.sends[n].iter().filter(late).count());
            self.tally.crashes.push(crashes.len());
            let counted = crashes.get(CRASHES - 1).or(crashes.last());
            let beside_from = counted.map_or(Timestamp::NEVER, |at| at.after(2 * CONTACT));
            let (mut calm, mut beside) = (Begun::default(), Begun::default());
            for request in &self.counted {
                if request.at < START.after(CALM - HOLD_WAIT) {
                    calm.add(request.begun);
                } else if request.at >= beside_from && request.at <= self.last_sent[n] {
                    beside.add(request.begun);
                }
            }
            self.tally.calm.push(calm);
            self.tally.beside.push(beside);
        }
        self.tally.wrong = self.wrong.len();
        self.tally.worst_second = self.bytes.values().max().copied().unwrap_or_default();
        self.tally.bytes = self.bytes.values().sum();
        self.tally
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => self.arrive(kind),
            Event::Admit(gateway, incarnation, request) => {
                self.admit(gateway, incarnation, request);
            }
            Event::Send(gateway, incarnation, request, prefill) => {
                self.send(gateway, incarnation, request, prefill);
            }
            Event::Reach(n) => self.reach(n),
            Event::Begin(n) => self.begin(n),
            Event::Sound(n) => self.on_sound(n),
            Event::Complete(n) => self.complete(n),
            Event::Lost(n, stalled) => self.on_lost(n, stalled),
            Event::ProbeLost(gateway, incarnation) => self.probe_lost(gateway, incarnation),
            Event::ProbeAnswered(gateway, incarnation, id, sent) => {
                self.on_probe_answer(gateway, incarnation, &id, sent);
            }
            Event::Crash(server, id, crashing) => self.crash(server, &id, crashing),
            Event::RegistrationExpired(id) => self.on_registration_expired(&id),
            Event::Restart(server) => self.restart(server),
            Event::Gossip(to, incarnation, updates) => self.on_gossip(to, incarnation, &updates),
            Event::CompareChecksums => self.compare_checksums(),
            Event::Upkeep => self.upkeep(),
            Event::Store(part, software, at) => self.store(part, software, at),
            Event::Isolate(gateway) => self.isolate(gateway),
            Event::StopGateway(gateway) => self.stop_gateway(gateway),
            Event::StartGateway(gateway) => self.start_gateway(gateway),
            Event::LoseAll => (0..self.gateways.len()).for_each(|n| self.stop_gateway(n)),
            Event::LoseZone => self.lose_zone(),
            Event::Upgrade => self.upgrade(),
        }
    }

    fn arrive(&mut self, kind: Kind) {
        let now = self.queue.now();
        if now >= START.after(SEND_TIME) || (matches!(kind, Kind::Whole) && self.whole_crashes >= 5)
        {
            return;
        }
        if let Some(interval) = self.interval(kind) {
            let wait = ms(self.random(interval / 2..interval * 3 / 2 + 1));
            self.queue.schedule(wait, Event::Arrival(kind));
        }
        let gateway = self.random_gateway();
        let request = self.request(kind, gateway);
        if let Some(n) = request.crashing {
            self.last_sent[n] = now;
            // Some callers repeat a request.
            if self.rng.random_bool(0.3) {
                let (again, incarnation) = (self.random_gateway(), 0);
                let request = Request { wait_until: now.after(ms(1_300)), ..request.clone() };
                self.queue.schedule(ms(1_000), Event::Admit(again, incarnation, request));
            }
        }
        let incarnation = self.gateways[gateway].incarnation;
        self.admit(gateway, incarnation, request);
    }

    fn interval(&self, kind: Kind) -> Option<u64> {
        match kind {
            Kind::Sound => Some(self.sound_interval()),
            Kind::OtherRoute => Some(self.crashing_interval()),
            Kind::Crashing(_) => Some(self.crashing_interval()),
            Kind::Companion => Some(1_500),
            Kind::Whole => Some(300),
            Kind::Popular => None,
        }
    }

    fn request(&mut self, kind: Kind, gateway: usize) -> Request {
        let now = self.queue.now();
        self.next_id += 1;
        let number = self.next_id;
        let account = self.random(ACCOUNTS);
        let first_crashes = self.spec.fault() == Fault::FirstPart && now >= START.after(CALM);
        let (parts, crashing) = match kind {
            Kind::Sound => (vec![FIRST, account, number << 8], None),
            Kind::OtherRoute => (vec![OTHER_FIRST, account], first_crashes.then_some(0)),
            Kind::Crashing(0) => (vec![FIRST, account, CRASHING[0]], Some(0)),
            Kind::Crashing(n) => (vec![FIRST, account, COMPANION, CRASHING[n]], Some(n)),
            Kind::Companion => (vec![FIRST, account, COMPANION], None),
            Kind::Popular => (vec![FIRST, account, POPULAR], None),
            Kind::Whole => (vec![FIRST, RARE], None),
        };
        let number = if matches!(kind, Kind::Whole) { 1 } else { number };
        let is_in_touch = self.gateways[gateway].is_in_touch(now);
        let counted = matches!(kind, Kind::Sound | Kind::Companion) && is_in_touch;
        if counted {
            self.counted.push(Counted { at: now, begun: false });
        }
        Request {
            number,
            parts: self.prompt(number, &parts),
            crashing,
            counted: counted.then(|| self.counted.len() - 1),
            sends: 0,
            wait_until: now.after(HOLD_WAIT),
            probe: None,
        }
    }

    fn prompt(&mut self, number: u64, parts: &[u64]) -> PromptParts {
        let own = PartDigest(number << 8 | 1);
        let digest = match self.spec.mutant {
            Some(Mutant::PartsOnly) => RequestDigest(self.rng.random(), 0),
            _ => RequestDigest(number, number),
        };
        if self.spec.mutant == Some(Mutant::ByRequest) {
            return PromptParts::new(digest, &[own, own]);
        }
        let all: Vec<PartDigest> = parts.iter().copied().map(PartDigest).chain([own]).collect();
        PromptParts::new(digest, &all)
    }

    fn software(&self) -> Vec<SoftwareId> {
        if self.spec.mutant == Some(Mutant::AnySoftware) {
            return vec![SoftwareId::default()];
        }
        let serving = self.backends.iter().filter(|backend| !backend.leaving);
        let software: BTreeSet<SoftwareId> =
            serving.map(|backend| SoftwareId::shared(&backend.server)).collect();
        software.into_iter().collect()
    }

    fn admit(&mut self, gateway: usize, incarnation: u32, mut request: Request) {
        let now = self.queue.now();
        let software = self.software();
        let process = &mut self.gateways[gateway];
        // A repeat is sent to whichever process runs there.
        let incarnation = if incarnation == 0 { process.incarnation } else { incarnation };
        if !process.is_reachable(now) || process.incarnation != incarnation {
            return;
        }
        if let Some(probe) = request.probe.take()
            && process.begins(now, probe)
        {
            request.probe = Some(probe);
            return self.send(gateway, incarnation, request, true);
        }
        let process = &mut self.gateways[gateway];
        let (state, probe) = process.admit(now, &request.parts, &software);
        match state {
            PartState::Refused { .. } => return,
            PartState::Held(_) if now >= request.wait_until => return,
            PartState::Held(_) => {
                let event = Event::Admit(gateway, incarnation, request);
                return self.queue.schedule(HOLD_POLL, event);
            }
            PartState::Free | PartState::Suspect => {}
        }
        request.probe = probe;
        self.publish_updates(gateway);
        if probe.is_some() {
            let event = Event::Admit(gateway, incarnation, request);
            return self.queue.schedule(ANNOUNCE_TIME, event);
        }
        self.send(gateway, incarnation, request, true);
    }

    fn send(&mut self, gateway: usize, incarnation: u32, request: Request, prefill: bool) {
        let now = self.queue.now();
        let process = &self.gateways[gateway];
        if !process.is_reachable(now) || process.incarnation != incarnation {
            return;
        }
        let serving: Vec<usize> = (0..self.backends.len())
            .filter(|n| self.backends[*n].up && !self.backends[*n].leaving)
            .collect();
        if serving.is_empty() {
            return self.end(gateway, &request);
        }
        let server = serving[self.rng.random_range(0..serving.len())];
        let software = match self.spec.mutant {
            Some(Mutant::AnySoftware) => SoftwareId::default(),
            _ => SoftwareId::shared(&self.backends[server].server),
        };
        if !self.gateways[gateway].may_send(now, &request.parts, software) {
            return self.end(gateway, &request);
        }
        self.next_id += 1;
        let run = Run {
            gateway,
            incarnation,
            request,
            prefill,
            server,
            id: self.backends[server].server.id.clone(),
            sent: now,
            reached: false,
            begun_at: None,
            sound: false,
        };
        self.runs.insert(self.next_id, run);
        self.queue.schedule(HOP, Event::Reach(self.next_id));
    }

    fn reach(&mut self, n: u64) {
        let now = self.queue.now();
        let Some(run) = self.runs.get_mut(&n) else {
            return;
        };
        let backend = &self.backends[run.server];
        if !backend.up || backend.server.id != run.id {
            let run = self.runs.remove(&n).expect("found above");
            let event = Event::Send(run.gateway, run.incarnation, run.request, run.prefill);
            return self.queue.schedule(HOP, event);
        }
        run.reached = true;
        if self.spec.fault() == Fault::FirstPart
            && now >= START.after(CALM)
            && run.request.parts.parts().contains(&PartDigest(OTHER_FIRST))
        {
            run.request.crashing = Some(0);
        }
        let (gateway, server, prefill) = (run.gateway, run.server, run.prefill);
        let (id, number, crashing) = (run.id.clone(), run.request.number, run.request.crashing);
        let process = &mut self.gateways[gateway];
        process.lost_attempts.on_heard(now, &id);
        if let Some(crashing) = crashing
            && process.is_in_touch(now)
            && !process.older
        {
            self.sends[crashing].push(now);
        }
        if prefill {
            return self.queue.schedule(PREFILL_TIME, Event::Complete(n));
        }
        let sound_elsewhere = self.spec.fault() == Fault::SoundElsewhere
            && self.backends[server].server.version == SoftwareVersion::new("2");
        let crashes = (crashing.is_some() && !sound_elsewhere) || number == 1;
        let begins = ms(self.random(20..60));
        self.queue.schedule(begins, Event::Begin(n));
        if crashes {
            let wait = ms(self.random(40..150));
            return self.queue.schedule(wait, Event::Crash(server, id, crashing));
        }
        let length = ms(self.random(200..2_500));
        if self.rng.random_bool(ANSWER_LOSS) {
            let lost = ms(self.random(1..2_000)).min(begins + length);
            self.queue.schedule(lost, Event::Lost(n, false));
        }
        self.queue.schedule(begins + length, Event::Complete(n));
        self.queue.schedule(begins + SOUND_AFTER, Event::Sound(n));
    }

    /// The run, if its gateway still waits for it.
    fn live(&mut self, n: u64) -> Option<&mut Run> {
        let now = self.queue.now();
        let run = self.runs.get_mut(&n)?;
        let gateway = &self.gateways[run.gateway];
        let backend = &self.backends[run.server];
        let serves = backend.up && backend.server.id == run.id;
        let waits = gateway.is_reachable(now) && gateway.incarnation == run.incarnation;
        (serves && waits).then_some(run)
    }

    fn begin(&mut self, n: u64) {
        let now = self.queue.now();
        let Some(run) = self.live(n) else {
            return;
        };
        run.begun_at = Some(now);
        let (gateway, id, counted) = (run.gateway, run.id.clone(), run.request.counted);
        self.gateways[gateway].lost_attempts.on_heard(now, &id);
        if let Some(counted) = counted {
            self.counted[counted].begun = true;
        }
    }

    fn on_sound(&mut self, n: u64) {
        let now = self.queue.now();
        let Some(run) = self.live(n) else {
            return;
        };
        run.sound = true;
        let (gateway, server) = (run.gateway, run.server);
        let request = run.request.clone();
        self.gateways[gateway].on_sound(now, &self.backends[server].server, &request.parts);
        self.end(gateway, &request);
    }

    fn complete(&mut self, n: u64) {
        let now = self.queue.now();
        if self.live(n).is_none() {
            return;
        }
        let Some(run) = self.runs.remove(&n) else {
            return;
        };
        let gateway = &mut self.gateways[run.gateway];
        gateway.on_alive(now, &run.id, run.sent);
        if run.prefill {
            let queued = self.rng.random_bool(QUEUED);
            let wait = if queued { QUEUE_WAIT_MAX } else { Duration::ZERO };
            let event = Event::Send(run.gateway, run.incarnation, run.request, false);
            return self.queue.schedule(wait, event);
        }
        if !run.sound {
            gateway.on_sound(now, &self.backends[run.server].server, &run.request.parts);
        }
        self.end(run.gateway, &run.request);
    }

    /// The request has ended, or its part in a probe has.
    fn end(&mut self, gateway: usize, request: &Request) {
        let now = self.queue.now();
        if let Some(probe) = request.probe {
            self.gateways[gateway].record(now, Duration::ZERO, PartFact::Over(probe));
        }
        self.publish_updates(gateway);
    }

    fn on_lost(&mut self, n: u64, stalled: bool) {
        let now = self.queue.now();
        let Some(mut run) = self.runs.remove(&n) else {
            return;
        };
        let gateway = &mut self.gateways[run.gateway];
        if !gateway.is_reachable(now) || gateway.incarnation != run.incarnation {
            return;
        }
        let backend = &self.backends[run.server];
        let is_gone = stalled && backend.server.id != run.id || !backend.up;
        let heard = gateway.lost_attempts.heard_since(run.sent, &run.id).filter(|_| stalled);
        let is_late = is_gone && stalled && heard.is_none();
        if !run.sound && !run.prefill && !is_late {
            let loss = LostAttempt {
                digest: RequestDigest::default(),
                parts: PromptParts::default(),
                software: SoftwareId::default(),
                early: true,
                sent: run.sent,
                at: heard.unwrap_or(now),
                number: n,
            };
            let server = Server { id: run.id.clone(), ..backend.server.clone() };
            gateway.on_lost(now, &server, loss, &run.request.parts);
            if stalled {
                gateway.on_crash(now, &run.id);
            }
            self.queue.schedule(ms(30), Event::ProbeLost(run.gateway, run.incarnation));
        }
        self.end(run.gateway, &run.request);
        run.request.sends += 1;
        run.request.probe = None;
        if run.request.sends < SENDS_MAX && !run.sound {
            run.request.wait_until = now.after(HOLD_WAIT);
            let event = Event::Admit(run.gateway, run.incarnation, run.request);
            self.queue.schedule(ms(10), event);
        }
    }

    fn probe_lost(&mut self, gateway: usize, incarnation: u32) {
        let now = self.queue.now();
        let process = &mut self.gateways[gateway];
        if process.incarnation != incarnation || !process.up {
            return;
        }
        process.lost_attempts.expire(now);
        for (id, _) in process.lost_attempts.due_probes(now) {
            self.queue.schedule(HOP, Event::ProbeAnswered(gateway, incarnation, id, now));
        }
        if let Some(at) = self.gateways[gateway].lost_attempts.next_probe_at() {
            self.queue.schedule(at.since(now).max(ms(1)), Event::ProbeLost(gateway, incarnation));
        }
    }

    fn on_probe_answer(
        &mut self,
        gateway: usize,
        incarnation: u32,
        id: &ServerId,
        sent: Timestamp,
    ) {
        let now = self.queue.now();
        let base = |id: &ServerId| id.name.split('+').next().map(str::to_owned);
        let backend = self.backends.iter().find(|b| base(&b.server.id) == base(id));
        let silent = self.spec.fault() == Fault::Silent;
        let found = match backend {
            Some(backend) if backend.up && backend.server.id == *id => ProbeResult::Alive,
            Some(backend) if backend.up => ProbeResult::Other,
            _ if silent => ProbeResult::Silence,
            _ => ProbeResult::Nobody,
        };
        let process = &mut self.gateways[gateway];
        if process.incarnation != incarnation || !process.is_reachable(now) {
            return;
        }
        let ended = process.lost_attempts.on_probe_result(id, found);
        if found == ProbeResult::Alive {
            process.on_alive(now, id, sent);
        }
        if ended {
            process.on_crash(now, id);
        }
        self.publish_updates(gateway);
    }

    fn crash(&mut self, server: usize, id: &ServerId, crashing: Option<usize>) {
        let now = self.queue.now();
        if !self.backends[server].up || self.backends[server].server.id != *id {
            return;
        }
        self.backends[server].up = false;
        match crashing {
            Some(n) => self.crashes[n].push(now),
            None => self.whole_crashes += usize::from(self.spec.fault() == Fault::WholeRequest),
        }
        let running = self.runs.iter().filter(|(_, run)| run.id == *id && run.reached);
        let mut running: Vec<(u64, usize, bool)> =
            running.map(|(n, run)| (*n, run.gateway, run.begun_at.is_some())).collect();
        running.sort_unstable();
        let silent = self.spec.fault() == Fault::Silent;
        for (n, gateway, begun) in running {
            if silent && begun {
                self.gateways[gateway].lost_attempts.on_heard(now, id);
            }
            let wait = if silent { STALL_TIME } else { ms(1) };
            self.queue.schedule(wait, Event::Lost(n, silent));
        }
        self.queue.schedule(REGISTRATION_LEASE, Event::RegistrationExpired(id.clone()));
        let down = ms(self.random(1_500..4_000));
        self.queue.schedule(down, Event::Restart(server));
    }

    fn restart(&mut self, n: usize) {
        let backend = &mut self.backends[n];
        backend.restarts += 1;
        let base = backend.server.id.name.split('+').next().unwrap_or_default().to_owned();
        backend.server.id = ServerId::new(format!("{base}+{}", backend.restarts), 0);
        backend.up = true;
    }

    fn on_registration_expired(&mut self, id: &ServerId) {
        let now = self.queue.now();
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].is_reachable(now) {
                self.gateways[gateway].on_crash(now, id);
                self.publish_updates(gateway);
            }
        }
    }

    fn lose_zone(&mut self) {
        let zone = self.random(0..ZONES as u64);
        let lost = self.backends.iter().enumerate().filter(|(_, b)| b.up);
        let in_zone = |(n, _): &(usize, &Backend)| *n as u64 % ZONES as u64 == zone;
        let lost: Vec<(usize, ServerId)> =
            lost.filter(in_zone).map(|(n, b)| (n, b.server.id.clone())).collect();
        for (server, id) in lost {
            let wait = ms(self.random(1..20));
            self.queue.schedule(wait, Event::Crash(server, id, None));
        }
    }

    /// Replaces one server of the first version after the other.
    fn upgrade(&mut self) {
        let is_old = |b: &Backend| !b.leaving && b.server.version == SoftwareVersion::new("1");
        if let Some(old) = self.backends.iter().position(is_old) {
            self.backends[old].leaving = true;
            self.add_backend("2");
            self.queue.schedule(ms(300), Event::Upgrade);
        }
    }

    fn isolate(&mut self, gateway: usize) {
        let until = self.queue.now().after(ms(self.random(300..2_500)));
        let process = &mut self.gateways[gateway];
        process.isolated_until = until;
        process.in_touch_at = until.after(CONTACT);
    }

    fn stop_gateway(&mut self, n: usize) {
        self.gateways[n].up = false;
        let wait = ms(self.random(300..1_200));
        self.queue.schedule(wait, Event::StartGateway(n));
    }

    fn start_gateway(&mut self, n: usize) {
        let now = self.queue.now();
        let incarnation = self.gateways[n].incarnation + 1;
        let probes = (n as u64) << 40 | u64::from(incarnation) << 20;
        self.gateways[n] = GatewayProcess::new(now, incarnation, probes, self.spec.mutant);
        self.gateways[n].in_touch_at = now.after(CONTACT);
        if self.starts_empty() {
            return;
        }
        let records = self.stored.iter().map(|((part, software), at)| PartUpdate {
            age: now.since(*at).as_millis() as u64,
            fact: PartFact::Confirmed(*software, *part),
        });
        let records: Vec<PartUpdate> = records.collect();
        self.gateways[n].blame.apply_all(now, &records);
        let peers: Vec<usize> = (0..self.gateways.len())
            .filter(|peer| *peer != n && self.gateways[*peer].is_reachable(now))
            .filter(|peer| !self.gateways[*peer].older)
            .collect();
        if !peers.is_empty() {
            let peer = peers[self.rng.random_range(0..peers.len())];
            self.exchange(n, peer);
        }
    }

    /// Whether a mutant leaves out the store and the exchange of tables.
    fn starts_empty(&self) -> bool {
        matches!(self.spec.mutant, Some(Mutant::Forgets | Mutant::Alone))
    }

    fn upkeep(&mut self) {
        let now = self.queue.now();
        self.queue.schedule(UPKEEP_INTERVAL, Event::Upkeep);
        for n in 0..self.gateways.len() {
            if !self.gateways[n].is_reachable(now) {
                continue;
            }
            for (part, software) in self.gateways[n].upkeep(now) {
                self.on_confirmed(part);
                let wait = ms(self.random(10..60));
                self.queue.schedule(wait, Event::Store(part, software, now));
            }
            let counts = self.gateways[n].blame.counts();
            self.tally.rows_max = self.tally.rows_max.max(counts.suspects + counts.confirmed);
        }
    }

    fn on_confirmed(&mut self, part: PartDigest) {
        let first = self.spec.fault() == Fault::FirstPart && part.0 == OTHER_FIRST;
        if !CRASHING.contains(&part.0) && !first && self.spec.mutant != Some(Mutant::ByRequest) {
            self.wrong.insert(part);
        }
    }

    fn store(&mut self, part: PartDigest, software: SoftwareId, at: Timestamp) {
        let now = self.queue.now();
        if self.store_down.0 <= now && now < self.store_down.1 {
            return self.queue.schedule(ms(500), Event::Store(part, software, at));
        }
        if self.stored.insert((part, software), at).is_none() {
            self.tally.writes += 1;
        }
    }

    /// Sends the facts that a gateway recorded to all gateways, twice.
    fn publish_updates(&mut self, from: usize) {
        let updates = std::mem::take(&mut self.gateways[from].updates);
        let now = self.queue.now();
        if updates.is_empty() || !self.gateways[from].is_reachable(now) {
            return;
        }
        let mut bytes = Vec::new();
        // Encoding plain data can't fail.
        let _ = ciborium::into_writer(&updates, &mut bytes);
        let sent = bytes.len() * 2 * (self.gateways.len() - 1);
        *self.bytes.entry((from, now.as_millis() / 1_000)).or_default() += sent;
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            for delay in [0, 120] {
                if self.rng.random_bool(DATAGRAM_LOSS) {
                    continue;
                }
                let wait = ms(delay + self.rng.random_range(1..20));
                let mut updates = updates.clone();
                updates.iter_mut().for_each(|update| update.age += delay);
                let incarnation = self.gateways[to].incarnation;
                self.queue.schedule(wait, Event::Gossip(to, incarnation, updates));
            }
        }
    }

    fn on_gossip(&mut self, to: usize, incarnation: u32, updates: &[PartUpdate]) {
        let now = self.queue.now();
        let gateway = &mut self.gateways[to];
        if gateway.incarnation != incarnation || !gateway.is_reachable(now) {
            return;
        }
        let share = (REFUTATIONS / self.spec.gateways as f64).min(1.0);
        gateway.on_updates(now, updates, self.rng.random_bool(share));
        self.publish_updates(to);
    }

    /// Each gateway sends some peers the checksum of its state; peers that differ for long exchange it.
    fn compare_checksums(&mut self) {
        let now = self.queue.now();
        self.queue.schedule(CHECKSUM_INTERVAL, Event::CompareChecksums);
        if self.starts_empty() {
            return;
        }
        let sums: Vec<u64> = self.gateways.iter().map(|g| g.blame.checksum()).collect();
        for from in 0..self.gateways.len() {
            for _ in 0..CHECKSUM_PEERS.min(self.gateways.len() - 1) {
                let to = (from + 1 + self.rng.random_range(0..self.gateways.len() - 1))
                    % self.gateways.len();
                let (a, b) = (&self.gateways[from], &self.gateways[to]);
                if !a.is_reachable(now) || !b.is_reachable(now) {
                    continue;
                }
                if a.older || b.older {
                    if a.older {
                        self.gateways[to].on_older_peer(now);
                    }
                    continue;
                }
                let same = sums[from] == sums[to];
                if self.gateways[to].divergence.observe(now, &format!("g{from}"), same) {
                    self.exchange(from, to);
                }
            }
        }
    }

    fn exchange(&mut self, a: usize, b: usize) {
        let now = self.queue.now();
        let (from_a, from_b) =
            (self.gateways[a].blame.updates(now), self.gateways[b].blame.updates(now));
        self.tally.exchanges += 1;
        for (from, updates) in [(a, &from_a), (b, &from_b)] {
            let mut bytes = Vec::new();
            let _ = ciborium::into_writer(updates, &mut bytes);
            *self.bytes.entry((from, now.as_millis() / 1_000)).or_default() += bytes.len();
        }
        self.gateways[b].on_updates(now, &from_a, true);
        self.gateways[a].on_updates(now, &from_b, true);
        self.publish_updates(a);
        self.publish_updates(b);
    }
}
