//! The simulated backend servers, callers, network and faults.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, SoftwareVersion, Stage};
use ebonyloft_router::load_report::{GossipMessage, GossipState};
use ebonyloft_router::lost_attempts::{LostAttempt, ProbeResult};
use ebonyloft_router::part_blame::PromptParts;
use ebonyloft_router::quarantine::{
    Change as QuarantineChange, Crash, Fact, QuarantineState, QuarantineUpdate,
};
use ebonyloft_router::registry::{Change, Registration};
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::SoftwareId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gateway::{GatewayProcess, Mutant};
use super::{AnswersSpec, CONFIRM_BOUND, Tally};
use crate::queue::EventQueue;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);
/// How long callers send requests.
const SEND_TIME: Duration = Duration::from_secs(20);
/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(26);
/// Interval between two sends of a request that crashes servers.
const REPEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two other requests.
const OTHER_INTERVAL: Duration = Duration::from_millis(8);
/// Duration of a prefill.
const PREFILL_TIME: Duration = Duration::from_millis(40);
/// Time from the start of a decode that crashes its server to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(70);
/// Interval at which a gateway sends the checksum of its quarantine to some peers.
const CHECKSUM_INTERVAL: Duration = Duration::from_millis(200);
/// Peers to which it sends the checksum each time.
const CHECKSUM_PEERS: usize = 8;
/// Longest wait in the admission queue.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(2_600);
/// How long other sends of a suspect request wait for the outcome of its probe.
const SUSPECT_WAIT: Duration = Duration::from_millis(300);
/// Interval at which such a send checks for the outcome.
const SUSPECT_RETRY: Duration = Duration::from_millis(10);
/// Time after which a crashed server's registration expires.
const REGISTRATION_LEASE: Duration = Duration::from_millis(1_200);
/// Share of the answers that are lost.
const ANSWER_LOSS: f64 = 0.03;
/// How often a caller repeats a request whose answer was lost.
const REPEATS_MAX: u32 = 1;
/// One in this many requests loses all its answers, although its servers do not crash.
const LOST_EVERY: u64 = 50;
/// How often a caller repeats such a request.
const LOST_REPEATS_MAX: u32 = 4;
/// Number of requests that crash servers; the last one crashes prefill engines too.
const CRASHING: u64 = 3;
/// Servers of each stage, at least.
const SERVERS_MIN: usize = 12;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Prefill,
    Decode,
}

/// An attempt at a server.
#[derive(Clone, Debug)]
struct Attempt {
    gateway: usize,
    incarnation: u32,
    request: Request,
    phase: Phase,
    server: usize,
    id: ServerId,
    sent: Timestamp,
    /// When it reached its server.
    began: Option<Timestamp>,
    /// The decode engine chosen before the prefill; only a mutant uses it.
    decode_chosen: Option<usize>,
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    digest: RequestDigest,
    /// Whether it crashes servers.
    crashes_servers: bool,
    tries: u32,
    /// When it was first sent, or sent again after a lost answer.
    first_sent: Timestamp,
    /// Number of its probe; zero if it is not one.
    probe: u64,
}

enum Event {
    Request(Request),
    ReachServer(u64),
    StageDone(u64),
    StartDecode(Attempt),
    Crash(usize, ServerId, Option<RequestDigest>),
    Restart(usize),
    RegistrationExpired(ServerId),
    AnswerLost(u64),
    Gossip(usize, u32, GossipState),
    ProbeLost(usize, u32),
    ProbeAnswered(usize, u32, ServerId, Timestamp),
    CompareChecksums,
    KillGateway(usize),
    StartGateway(usize),
    IsolateGateway(usize, Duration),
    ServerLeaves(usize),
    ServerBacksOff(usize, Duration),
    StoreConfirmed(RequestDigest),
    StoreSuspect(RequestDigest, Vec<Crash>),
}

/// A simulated backend server.
struct Backend {
    server: Server,
    up: bool,
    /// When its current incarnation started.
    up_at: Timestamp,
    /// How often it has restarted.
    restarts: u32,
    /// Requests sent to its current incarnation.
    sends: u32,
    leaving: bool,
    backoff_until: Timestamp,
}

/// The state of a run.
pub struct Simulation {
    spec: AnswersSpec,
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    gateways: Vec<GatewayProcess>,
    backends: Vec<Backend>,
    attempts: BTreeMap<u64, Attempt>,
    next_id: u64,
    /// Confirmed requests in the store.
    stored_confirmed: HashSet<RequestDigest>,
    /// Crashes of suspect requests in the store.
    suspects: HashMap<RequestDigest, Vec<Crash>>,
    /// When servers crashed under each request.
    crashes: HashMap<RequestDigest, Vec<Timestamp>>,
    /// When each crashing request reached servers that it crashes.
    reached: HashMap<RequestDigest, Vec<Timestamp>>,
    /// When each gateway incarnation learned from each server that it leaves.
    leaving_learned: HashMap<(usize, u32, ServerId), Timestamp>,
    /// Back-off of each server at each gateway incarnation: when it was learned, its end, and later sends.
    backoffs: HashMap<(usize, u32, ServerId), (Timestamp, Timestamp, usize)>,
    /// Gossip bytes of each gateway in each second.
    bytes: HashMap<(usize, u64), usize>,
    tally: Tally,
}

impl Simulation {
    /// Sets up servers and gateways, and schedules requests and faults by the seed.
    pub fn new(spec: AnswersSpec) -> Self {
        let mut simulation = Simulation {
            spec,
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            queue: EventQueue::new(START),
            gateways: (0..spec.gateways as u64)
                .map(|n| GatewayProcess::new(0, n << 40, spec.mutant))
                .collect(),
            backends: Vec::new(),
            attempts: BTreeMap::new(),
            next_id: 0,
            stored_confirmed: HashSet::new(),
            suspects: HashMap::new(),
            crashes: HashMap::new(),
            reached: HashMap::new(),
            leaving_learned: HashMap::new(),
            backoffs: HashMap::new(),
            bytes: HashMap::new(),
            tally: Tally::default(),
        };
        let per_stage = SERVERS_MIN.max(spec.gateways / 4);
        for n in 0..per_stage * 2 {
            let stage = if n < per_stage { Stage::Prefill } else { Stage::Decode };
            let server = Server {
                id: ServerId::new(format!("i-{n}"), 0),
                service: "s".into(),
                addr: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
                zone: format!("z{}", n % 3),
                slots: 12,
                draining: false,
                stage: Some(stage),
                version: SoftwareVersion::new("v1"),
            };
            let up_at = START;
            simulation.backends.push(Backend {
                server,
                up: true,
                up_at,
                restarts: 0,
                sends: 0,
                leaving: false,
                backoff_until: START,
            });
        }
        for backend in 0..simulation.backends.len() {
            simulation.register(backend);
        }
        simulation.schedule_events();
        simulation
    }

    fn schedule_events(&mut self) {
        let sends = SEND_TIME.as_millis() as u64;
        for n in 0..CRASHING {
            let mut at = ms(500 + n * 700);
            while at < SEND_TIME {
                self.queue.schedule(at, Event::Request(self.request(RequestDigest(n, 0), true)));
                at += REPEAT_INTERVAL;
            }
        }
        let mut at = Duration::ZERO;
        let mut n = 1_000;
        while at < SEND_TIME {
            n += 1;
            self.queue.schedule(at, Event::Request(self.request(RequestDigest(n, 1), false)));
            at += OTHER_INTERVAL;
        }
        self.queue.schedule(CHECKSUM_INTERVAL, Event::CompareChecksums);
        // Departures and back-offs are spread over every run, also after the crashing requests are confirmed: they
        // must stay confirmed.
        for _ in 0..6 {
            let (at, backend) = (self.random(1_000..sends), self.any_backend());
            self.queue.schedule(ms(at), Event::ServerLeaves(backend));
            let (at, backend) = (self.random(1_000..sends), self.any_backend());
            self.queue.schedule(ms(at), Event::ServerBacksOff(backend, ms(2_500)));
        }
        match self.spec.seed % 4 {
            1 => {
                for _ in 0..self.backends.len() / 3 {
                    let (at, backend) = (self.random(0..sends), self.any_backend());
                    let id = self.backends[backend].server.id.clone();
                    self.queue.schedule(ms(at), Event::Crash(backend, id, None));
                }
                let at = ms(self.random(3_000..sends));
                for backend in (0..self.backends.len()).filter(|n| n % 3 == 1) {
                    let id = self.backends[backend].server.id.clone();
                    self.queue.schedule(at, Event::Crash(backend, id, None));
                }
            }
            2 => {
                for n in 0..self.gateways.len().min(12) {
                    self.queue.schedule(ms(4_000 + 1_200 * n as u64), Event::KillGateway(n));
                    let (at, gateway) = (self.random(1_000..sends), self.any_gateway());
                    let duration = ms(self.random(500..2_500));
                    self.queue.schedule(ms(at), Event::IsolateGateway(gateway, duration));
                }
            }
            3 => {
                let at = ms(self.random(6_000..sends - 5_000));
                (0..self.gateways.len())
                    .for_each(|gateway| self.queue.schedule(at, Event::KillGateway(gateway)));
            }
            _ => {}
        }
    }

    fn request(&self, digest: RequestDigest, crashes_servers: bool) -> Request {
        Request { digest, crashes_servers, tries: 0, first_sent: Timestamp::default(), probe: 0 }
    }

    fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn any_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.gateways.len())
    }

    fn any_backend(&mut self) -> usize {
        self.rng.random_range(0..self.backends.len())
    }

    /// Runs to the end.
    pub fn run(mut self) -> Tally {
        let end = START.after(RUN_TIME);
        while let Some(event) = self.queue.pop_before(end) {
            self.handle(event);
        }
        for n in 0..CRASHING {
            let digest = RequestDigest(n, 0);
            let mut crashes = self.crashes.remove(&digest).unwrap_or_default();
            crashes.sort();
            let reached = self.reached.remove(&digest).unwrap_or_default();
            let bound = crashes.get(2).map(|third| third.after(CONFIRM_BOUND));
            let late = bound.map_or(0, |bound| reached.iter().filter(|at| **at > bound).count());
            self.tally.crashes.push(crashes.len());
            self.tally.late_sends.push(late);
        }
        let now = self.queue.now();
        let unused =
            |h: &&Backend| h.up && h.sends == 0 && h.restarts > 0 && now.since(h.up_at) > ms(9_000);
        // With hundreds of gateways there are so many servers that each receives few requests.
        if self.backends.len() <= SERVERS_MIN * 2 {
            self.tally.unused = self.backends.iter().filter(unused).count();
        }
        self.tally.worst_second = self.bytes.values().max().copied().unwrap_or_default();
        self.tally
    }

    fn handle(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::Request(request) => self.on_request(request),
            Event::ReachServer(attempt) => self.on_arrival(attempt),
            Event::StageDone(attempt) => self.on_stage_done(attempt),
            Event::StartDecode(attempt) => {
                let gateway = &self.gateways[attempt.gateway];
                if gateway.is_reachable(now) && gateway.incarnation == attempt.incarnation {
                    self.send(
                        attempt.gateway,
                        attempt.request,
                        Phase::Decode,
                        attempt.decode_chosen,
                    );
                }
            }
            Event::Crash(backend, id, digest) => self.crash(backend, &id, digest),
            Event::Restart(backend) => self.restart(backend),
            Event::RegistrationExpired(id) => self.on_registration_expired(&id),
            Event::AnswerLost(attempt) => self.on_answer_lost(attempt),
            Event::Gossip(gateway, incarnation, notes) => {
                self.on_gossip(gateway, incarnation, &notes)
            }
            Event::ProbeLost(gateway, incarnation) => self.probe_lost(gateway, incarnation),
            Event::ProbeAnswered(gateway, incarnation, id, sent) => {
                self.on_probe_answer(gateway, incarnation, &id, sent)
            }
            Event::CompareChecksums => self.compare_checksums(),
            Event::KillGateway(gateway) => {
                self.gateways[gateway].up = false;
                self.queue.schedule(ms(400), Event::StartGateway(gateway));
            }
            Event::StartGateway(gateway) => self.start_gateway(gateway),
            Event::IsolateGateway(gateway, duration) => {
                self.gateways[gateway].isolated_until = now.after(duration)
            }
            Event::ServerLeaves(backend) => self.leave(backend),
            Event::ServerBacksOff(backend, duration) => {
                self.backends[backend].backoff_until = now.after(duration)
            }
            Event::StoreConfirmed(digest) => {
                self.stored_confirmed.insert(digest);
            }
            Event::StoreSuspect(digest, crashes) => {
                self.suspects.insert(digest, crashes);
            }
        }
    }

    /// A caller's request arrives at a random gateway.
    fn on_request(&mut self, mut request: Request) {
        let now = self.queue.now();
        if request.tries == 0 && request.first_sent == Timestamp::default() {
            self.tally.other_requests += usize::from(!request.crashes_servers);
            request.first_sent = now;
        }
        let gateway = self.any_gateway();
        if !self.gateways[gateway].is_reachable(now) {
            return;
        }
        self.admit(gateway, request);
    }

    fn admit(&mut self, gateway: usize, mut request: Request) {
        let (now, digest) = (self.queue.now(), self.counted_as(&request));
        match self.gateways[gateway].admit(now, digest) {
            QuarantineState::Free => {}
            QuarantineState::Suspect => request.probe = self.gateways[gateway].probes,
            QuarantineState::Held(_) if now < request.first_sent.after(SUSPECT_WAIT) => {
                // It waits at its gateway, or its caller sends it again.
                return self.queue.schedule(SUSPECT_RETRY, Event::Request(request));
            }
            QuarantineState::Held(_) => return,
            QuarantineState::Confirmed(_) => {
                self.tally.refused += usize::from(!request.crashes_servers);
                return;
            }
        }
        self.publish_updates(gateway);
        self.send(gateway, request, Phase::Prefill, None);
    }

    /// The digest under which the gateway counts a request.
    fn counted_as(&mut self, request: &Request) -> RequestDigest {
        if self.spec.mutant == Some(Mutant::ById) {
            self.next_id += 1;
            return RequestDigest(self.next_id, u64::MAX);
        }
        request.digest
    }

    fn choose(&mut self, gateway: usize, phase: Phase, retry: bool) -> Option<usize> {
        let now = self.queue.now();
        let stage = if phase == Phase::Prefill { Stage::Prefill } else { Stage::Decode };
        let candidates: Vec<usize> = (0..self.backends.len())
            .filter(|n| self.backends[*n].server.stage == Some(stage) && self.backends[*n].up)
            .filter(|n| self.gateways[gateway].may_send(now, &self.backends[*n].server, retry))
            .collect();
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }

    fn send(
        &mut self,
        gateway: usize,
        request: Request,
        phase: Phase,
        decode_chosen: Option<usize>,
    ) {
        let now = self.queue.now();
        let unchecked = phase == Phase::Prefill && self.spec.mutant == Some(Mutant::ReadingFree);
        if !unchecked && self.gateways[gateway].is_confirmed(now, &request.digest) {
            self.tally.refused += usize::from(!request.crashes_servers);
            return;
        }
        let Some(server) = decode_chosen.or_else(|| self.choose(gateway, phase, request.tries > 0))
        else {
            return;
        };
        let checked_once = self.spec.mutant == Some(Mutant::LeavingOnce) && phase == Phase::Prefill;
        let decode_chosen =
            if checked_once { self.choose(gateway, Phase::Decode, false) } else { None };
        self.next_id += 1;
        let (incarnation, id) =
            (self.gateways[gateway].incarnation, self.backends[server].server.id.clone());
        let attempt = Attempt {
            gateway,
            incarnation,
            request,
            phase,
            server,
            id,
            sent: now,
            began: None,
            decode_chosen,
        };
        self.attempts.insert(self.next_id, attempt);
        self.queue.schedule(ms(2), Event::ReachServer(self.next_id));
    }

    /// An attempt reaches its server.
    fn on_arrival(&mut self, n: u64) {
        let now = self.queue.now();
        let Some(attempt) = self.attempts.get(&n).cloned() else {
            return;
        };
        let (gateway, server) = (attempt.gateway, attempt.server);
        let backend = &mut self.backends[server];
        if !backend.up || backend.server.id != attempt.id {
            // The connection is refused, or another incarnation of the server answers: nothing was sent.
            self.attempts.remove(&n);
            return self.retry_elsewhere(&attempt);
        }
        backend.sends += 1;
        let (leaving, backoff_until) = (backend.leaving, backend.backoff_until);
        let key = (gateway, attempt.incarnation, attempt.id.clone());
        if leaving {
            let learned_at = *self.leaving_learned.entry(key.clone()).or_insert(now);
            let late = now.since(learned_at).as_millis() as u64;
            self.tally.leaving_ms = self.tally.leaving_ms.max(late);
            let registration = self.backends[server].server.clone();
            if self.gateways[gateway].on_leaving(&registration) {
                self.publish_leaving(gateway, &attempt.id);
            }
        }
        if backoff_until > now {
            let backoff = self.backoffs.entry(key).or_insert((now, backoff_until, 0));
            if now > backoff.0.after(ms(500)) && now < backoff.1 {
                backoff.2 += 1;
                self.tally.backoff_sends = self.tally.backoff_sends.max(backoff.2);
            }
            self.gateways[gateway].on_backoff(now, &attempt.id, backoff_until.since(now));
            self.attempts.remove(&n);
            return self.retry_elsewhere(&attempt);
        }
        if attempt.request.crashes_servers
            && (attempt.phase == Phase::Decode || crashes_prefill(&attempt.request))
        {
            self.reached.entry(attempt.request.digest).or_default().push(now);
            let crash = Event::Crash(server, attempt.id.clone(), Some(attempt.request.digest));
            let wait = if attempt.phase == Phase::Prefill { PREFILL_TIME / 2 } else { CRASH_DELAY };
            self.queue.schedule(wait, crash);
        }
        if let Some(attempt) = self.attempts.get_mut(&n) {
            attempt.began = Some(now);
        }
        let duration = match attempt.phase {
            Phase::Prefill => PREFILL_TIME,
            Phase::Decode => ms(self.rng.random_range(300..3_000)),
        };
        let all_lost = loses_all_answers(&attempt.request) && attempt.phase == Phase::Decode;
        let lost =
            all_lost || !attempt.request.crashes_servers && self.rng.random_bool(ANSWER_LOSS);
        let event = if lost { Event::AnswerLost(n) } else { Event::StageDone(n) };
        self.queue.schedule(duration, event);
    }

    /// A prefill or an answer is complete.
    fn on_stage_done(&mut self, n: u64) {
        let now = self.queue.now();
        let Some(attempt) = self.attempts.remove(&n) else {
            return;
        };
        let gateway = &mut self.gateways[attempt.gateway];
        if !gateway.is_reachable(now) || gateway.incarnation != attempt.incarnation {
            return;
        }
        gateway.on_alive(now, &attempt.id, attempt.sent);
        if attempt.phase == Phase::Prefill {
            // Some requests wait for admission to a decode engine.
            let wait = if self.rng.random_bool(0.05) { QUEUE_WAIT_MAX } else { Duration::ZERO };
            return self.queue.schedule(wait, Event::StartDecode(attempt));
        }
        gateway.on_served(now, attempt.request.digest);
        self.end_attempt(&attempt);
    }

    /// An attempt ended; if it was a probe, the gateway records its end.
    fn end_attempt(&mut self, attempt: &Attempt) {
        let now = self.queue.now();
        if attempt.request.probe > 0 {
            let gateway = &mut self.gateways[attempt.gateway];
            gateway.record(
                now,
                attempt.request.digest,
                Duration::ZERO,
                Fact::Over(attempt.request.probe),
            );
        }
        self.publish_updates(attempt.gateway);
    }

    /// Sends a request that no server accepted to another server.
    fn retry_elsewhere(&mut self, attempt: &Attempt) {
        let request = Request { tries: attempt.request.tries + 1, ..attempt.request };
        if request.tries <= 3 {
            self.send(attempt.gateway, request, attempt.phase, None);
        }
    }

    fn on_answer_lost(&mut self, n: u64) {
        let now = self.queue.now();
        let Some(attempt) = self.attempts.remove(&n) else {
            return;
        };
        let digest = self.counted_as(&attempt.request);
        let gateway = &mut self.gateways[attempt.gateway];
        if gateway.is_reachable(now) && gateway.incarnation == attempt.incarnation {
            let first_output = attempt.began.map(|at| at.after(ms(30)));
            let early = first_output.is_none_or(|at| now < at.after(ms(1_000)));
            let loss = LostAttempt {
                digest,
                parts: PromptParts::default(),
                software: SoftwareId::default(),
                early,
                sent: attempt.sent,
                at: now,
                number: n,
            };
            let prefill = attempt.phase == Phase::Prefill;
            if !(prefill && self.spec.mutant == Some(Mutant::ReadingFree)) {
                gateway.on_attempt_lost(&self.backends[attempt.server].server, loss);
            }
            let incarnation = attempt.incarnation;
            self.queue.schedule(ms(30), Event::ProbeLost(attempt.gateway, incarnation));
            self.end_attempt(&attempt);
        }
        if !attempt.request.crashes_servers && attempt.request.tries < tries_max(&attempt.request) {
            let request = Request {
                tries: attempt.request.tries + 1,
                first_sent: now,
                probe: 0,
                ..attempt.request
            };
            self.queue.schedule(ms(8), Event::Request(request));
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
            self.queue.schedule(ms(2), Event::ProbeAnswered(gateway, incarnation, id, now));
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
        let backend = self.backends.iter().find(|h| base(&h.server.id) == base(id));
        let found = match backend {
            Some(backend) if backend.up && backend.server.id == *id => ProbeResult::Alive,
            Some(backend) if backend.up => ProbeResult::Other,
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

    fn crash(&mut self, backend: usize, id: &ServerId, digest: Option<RequestDigest>) {
        let now = self.queue.now();
        if !self.backends[backend].up || self.backends[backend].server.id != *id {
            return;
        }
        self.backends[backend].up = false;
        if let Some(digest) = digest {
            self.crashes.entry(digest).or_default().push(now);
        }
        let running: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, f)| f.server == backend && f.id == *id && f.began.is_some())
            .map(|(n, _)| *n)
            .collect();
        running.into_iter().for_each(|n| self.queue.schedule(ms(1), Event::AnswerLost(n)));
        self.queue.schedule(REGISTRATION_LEASE, Event::RegistrationExpired(id.clone()));
        let down = ms(self.random(1_500..4_000));
        self.queue.schedule(down, Event::Restart(backend));
    }

    fn restart(&mut self, n: usize) {
        let backend = &mut self.backends[n];
        backend.restarts += 1;
        let base = backend.server.id.name.split('+').next().unwrap_or_default().to_owned();
        backend.server.id = ServerId::new(format!("{base}+{}", backend.restarts), 0);
        (backend.up, backend.leaving, backend.sends) = (true, false, 0);
        (backend.up_at, backend.backoff_until) = (self.queue.now(), START);
        self.register(n);
    }

    fn register(&mut self, n: usize) {
        let server = self.backends[n].server.clone();
        for gateway in self.gateways.iter_mut() {
            let entry = Registration::Server(server.clone());
            let change =
                Change { name: server.id.name.clone(), entry, revision: (self.next_id + 1).into() };
            gateway.registry.apply(change, true);
        }
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

    fn leave(&mut self, backend: usize) {
        if !self.backends[backend].up {
            return;
        }
        self.backends[backend].leaving = true;
        let id = self.backends[backend].server.id.clone();
        self.queue.schedule(ms(5_000), Event::Crash(backend, id, None));
    }

    fn start_gateway(&mut self, n: usize) {
        let now = self.queue.now();
        let incarnation = self.gateways[n].incarnation + 1;
        let probes = (n as u64) << 40 | u64::from(incarnation) << 20;
        self.gateways[n] = GatewayProcess::new(incarnation, probes, self.spec.mutant);
        for backend in 0..self.backends.len() {
            let server = self.backends[backend].server.clone();
            let name = server.id.name.clone();
            let change = Change { name, entry: Registration::Server(server), revision: 1.into() };
            self.gateways[n].registry.apply(change, true);
        }
        if !self.starts_empty() {
            for digest in self.stored_confirmed.iter() {
                let update = QuarantineUpdate { digest: *digest, age: 0, fact: Fact::Proved };
                self.gateways[n].quarantine.apply(now, &update);
            }
            for (digest, crashes) in &self.suspects {
                for crash in crashes {
                    let age = now.since(crash.at).as_millis() as u64;
                    let fact = Fact::Ended(crash.server.clone(), crash.early);
                    self.gateways[n]
                        .quarantine
                        .apply(now, &QuarantineUpdate { digest: *digest, age, fact });
                }
            }
        }
    }

    /// Whether a mutant leaves out the store and the exchange of tables.
    fn starts_empty(&self) -> bool {
        matches!(self.spec.mutant, Some(Mutant::Forgets | Mutant::Alone))
    }

    /// Publishes the facts that a gateway recorded: stores them, and sends them to all gateways twice.
    fn publish_updates(&mut self, from: usize) {
        let updates = std::mem::take(&mut self.gateways[from].updates);
        let now = self.queue.now();
        for update in &updates {
            if let Some(digest) = self.newly_confirmed(from, update) {
                self.queue
                    .schedule(ms(self.rng.random_range(10..60)), Event::StoreConfirmed(digest));
            }
            let known = &self.gateways[from].quarantine;
            if known.is_nearly_confirmed(&update.digest) && !self.starts_empty() {
                let event =
                    Event::StoreSuspect(update.digest, known.crashes(&update.digest).to_vec());
                self.queue.schedule(ms(self.rng.random_range(10..60)), event);
            }
        }
        if !updates.is_empty() && self.gateways[from].is_reachable(now) {
            self.publish(
                from,
                GossipState { quarantine_updates: updates, ..GossipState::default() },
            );
        }
    }

    fn newly_confirmed(&self, gateway: usize, update: &QuarantineUpdate) -> Option<RequestDigest> {
        let confirmed = self.gateways[gateway].is_confirmed(self.queue.now(), &update.digest);
        let may_confirm = matches!(update.fact, Fact::Ended(..) | Fact::Proved);
        (confirmed && may_confirm && !self.starts_empty()).then_some(update.digest)
    }

    fn publish_leaving(&mut self, from: usize, id: &ServerId) {
        self.publish(from, GossipState { leaving: vec![id.clone()], ..GossipState::default() });
    }

    fn publish(&mut self, from: usize, notes: GossipState) {
        let second = self.queue.now().as_millis() / 1_000;
        let mut bytes = Vec::new();
        // Encoding plain data can't fail.
        let _ = ciborium::into_writer(&GossipMessage::Notes(notes.clone()), &mut bytes);
        let sent = bytes.len() * 2 * (self.gateways.len() - 1);
        *self.bytes.entry((from, second)).or_default() += sent;
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            for delay_ms in [0, 120] {
                if !self.rng.random_bool(0.01) {
                    let wait = ms(delay_ms + self.rng.random_range(1..20));
                    let incarnation = self.gateways[to].incarnation;
                    self.queue.schedule(wait, Event::Gossip(to, incarnation, notes.clone()));
                }
            }
        }
    }

    fn on_gossip(&mut self, to: usize, incarnation: u32, notes: &GossipState) {
        let now = self.queue.now();
        let gateway = &mut self.gateways[to];
        if gateway.incarnation != incarnation || !gateway.is_reachable(now) {
            return;
        }
        let changes = gateway.quarantine.apply_all(now, &notes.quarantine_updates);
        for (update, change) in notes.quarantine_updates.iter().zip(changes) {
            if change == QuarantineChange::Suspected
                && let Some(refutation) = gateway.quarantine.refutation(now, update)
            {
                gateway.record(now, refutation.digest, ms(refutation.age), refutation.fact);
            }
        }
        for id in &notes.leaving {
            gateway.registry.on_leaving(id);
        }
        let (suspects, confirmed) = gateway.quarantine.counts();
        self.tally.rows_max = self.tally.rows_max.max(suspects + confirmed);
        self.publish_updates(to);
    }

    /// Each gateway sends some peers the checksum of its quarantine; peers that differ for long exchange tables.
    fn compare_checksums(&mut self) {
        let now = self.queue.now();
        self.queue.schedule(CHECKSUM_INTERVAL, Event::CompareChecksums);
        if self.starts_empty() {
            return;
        }
        let sums: Vec<u64> = self.gateways.iter().map(|g| g.quarantine.checksum()).collect();
        for from in 0..self.gateways.len() {
            for _ in 0..CHECKSUM_PEERS.min(self.gateways.len() - 1) {
                let to = (from + 1 + self.rng.random_range(0..self.gateways.len() - 1))
                    % self.gateways.len();
                if !self.gateways[from].is_reachable(now) || !self.gateways[to].is_reachable(now) {
                    continue;
                }
                let same = sums[from] == sums[to];
                if self.gateways[to].divergence.observe(now, &format!("g{from}"), same) {
                    self.exchange_tables(from, to);
                }
            }
        }
    }

    fn exchange_tables(&mut self, a: usize, b: usize) {
        let now = self.queue.now();
        let (from_a, from_b) =
            (self.gateways[a].quarantine.updates(now), self.gateways[b].quarantine.updates(now));
        let healthy_at = |i: usize| self.gateways[i].quarantine.health_reports(now);
        for (to, healthy) in [(b, healthy_at(a)), (a, healthy_at(b))] {
            let quarantine = &mut self.gateways[to].quarantine;
            healthy.iter().for_each(|report| quarantine.on_health_report(now, report));
        }
        self.gateways[b].quarantine.apply_all(now, &from_a);
        self.gateways[a].quarantine.apply_all(now, &from_b);
    }
}

/// Whether a request crashes prefill engines too.
fn crashes_prefill(request: &Request) -> bool {
    request.crashes_servers && request.digest.0 == CRASHING - 1
}

/// Whether all answers of a request are lost.
fn loses_all_answers(request: &Request) -> bool {
    !request.crashes_servers && request.digest.0.is_multiple_of(LOST_EVERY)
}

/// How often a caller repeats a request whose answer was lost.
fn tries_max(request: &Request) -> u32 {
    if loses_all_answers(request) { LOST_REPEATS_MAX } else { REPEATS_MAX }
}
