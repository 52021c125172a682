//! Members and spreading of a whole fleet in one process and made-up time.
//!
//! Shows what the control traffic costs a node as the fleet grows, how often the platform is called,
//! and how long a change takes to be in force everywhere, with datagrams lost, zones cut off, the
//! platform out and members restarted. A revision that goes back in one life breaks the run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ebonyloft_core::config::Labels;
use ebonyloft_core::ids::{Incarnation, MemberId, Peer, Zone};
use ebonyloft_core::members::{Card, Datagram, Members, Role, Send, Standing};
use ebonyloft_core::spread::{self, Effect, Spread};
use ebonyloft_core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const TICK: Duration = Duration::from_millis(100);
const START: Moment = Moment(1_800_000_000_000_000);
const ZONES: usize = 8;
/// A watch is one call of the platform each time it is renewed.
const WATCH: Duration = Duration::from_secs(10);
/// A reader looks at the list of VMs this often.
const VMS: Duration = Duration::from_secs(2);
/// Bytes of IPv4 and UDP headers.
const HEADERS: u64 = 28;

/// What is tried.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    /// Members.
    pub nodes: usize,
    /// Seconds of made-up time before the change.
    pub settle: u64,
    /// Seconds after the change.
    pub after: u64,
    /// Share of datagrams lost.
    pub loss: f64,
    /// The platform is out from the start of the change on, for this many seconds.
    pub outage: u64,
    /// One zone is cut off at the change, for this many seconds.
    pub cut: u64,
    /// Members restarted during the run.
    pub restarts: usize,
    /// Fixes the run.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FleetReport {
    /// Members.
    pub nodes: usize,
    /// Bytes a second of a node, sent and received, headers included.
    pub bytes: f64,
    /// Datagrams a second of a node, sent and received.
    pub datagrams: f64,
    /// Calls of the platform a second, all members.
    pub calls: f64,
    /// Milliseconds until the change was in force at half of the members.
    pub half_ms: u64,
    /// Milliseconds until it was in force at all of them.
    pub all_ms: u64,
    /// Processor time of a node, in microseconds a second.
    pub cpu_us: f64,
    /// Live members wrongly called dead at the end, as seen by all.
    pub wrong: usize,
}

enum Event {
    Tick(usize, Incarnation),
    Arrive(usize, SocketAddr, Box<Datagram>),
    Body {
        to: usize,
        life: Incarnation,
        revision: u64,
    },
    Answer {
        to: usize,
        life: Incarnation,
        ok: bool,
    },
    Change,
    Restart,
}

struct Node {
    members: Members,
    config: Spread,
    placing: Spread,
    reader: bool,
    watch_at: Moment,
    vms_at: Moment,
    retry_at: Moment,
    highest: u64,
}

/// A fleet in made-up time.
pub struct Fleet {
    spec: FleetSpec,
    rng: ChaCha8Rng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    seq: u64,
    nodes: Vec<Node>,
    stored: u64,
    bytes: u64,
    datagrams: u64,
    calls: u64,
    change_at: Moment,
    in_force: Vec<Option<Moment>>,
    broken: Option<String>,
}

fn addr(i: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, (i >> 16) as u8, (i >> 8) as u8, i as u8);
    SocketAddr::new(IpAddr::V4(ip), 7_000)
}

fn index(addr: SocketAddr) -> usize {
    match addr.ip() {
        IpAddr::V4(ip) => u32::from(ip) as usize & 0xff_ffff,
        IpAddr::V6(_) => 0,
    }
}

fn card(i: usize, life: Incarnation) -> Card {
    let role = if i.is_multiple_of(5) {
        Role::Entry
    } else {
        Role::Sidecar
    };
    let labels: Labels = [
        ("job", "decode"),
        ("model", "trinacria-8b"),
        ("rack", "r17"),
    ]
    .into_iter()
    .map(|(k, v)| (k.to_owned(), v.to_owned()))
    .collect();
    Card {
        peer: Peer {
            id: MemberId(format!("vm-{i:05}")),
            life,
        },
        version: 0,
        standing: Standing::Live,
        role,
        zone: Zone(format!("zone-{}", i % ZONES)),
        addr: addr(i),
        labels,
    }
}

impl Fleet {
    /// All members know each other and revision 1.
    pub fn new(spec: FleetSpec) -> Self {
        let mut fleet = Fleet {
            spec,
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            seq: 0,
            nodes: Vec::new(),
            stored: 1,
            bytes: 0,
            datagrams: 0,
            calls: 0,
            change_at: START.after(Duration::from_secs(spec.settle)),
            in_force: vec![None; spec.nodes],
            broken: None,
        };
        let life = Incarnation(START.0);
        for i in 0..spec.nodes {
            let mut node = fleet.node(i, life);
            for j in (0..spec.nodes).filter(|j| *j != i) {
                node.members.learn(START, card(j, life));
            }
            node.members.settle();
            node.config.on_body(1);
            node.highest = 1;
            fleet.nodes.push(node);
            let jitter = Duration::from_millis(fleet.rng.random_range(0..2_000));
            fleet.after(jitter, Event::Tick(i, life));
        }
        fleet.after(Duration::from_secs(spec.settle), Event::Change);
        for _ in 0..spec.restarts {
            let at = fleet
                .rng
                .random_range(0..(spec.settle + spec.after) * 1_000);
            fleet.after(Duration::from_millis(at), Event::Restart);
        }
        fleet
    }

    fn node(&self, i: usize, life: Incarnation) -> Node {
        let mut node = Node {
            members: Members::new(card(i, life)),
            config: Spread::default(),
            placing: Spread::default(),
            reader: false,
            watch_at: Moment(0),
            vms_at: Moment(0),
            retry_at: Moment(0),
            highest: 0,
        };
        node.config.on_platform(self.now);
        node.placing.on_platform(self.now);
        node.placing.on_body(1);
        node
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((self.now.after(wait), self.seq)));
        self.events.insert(self.seq, event);
    }

    /// Runs to the end.
    pub fn run(mut self) -> Result<FleetReport, String> {
        let total = Duration::from_secs(self.spec.settle + self.spec.after);
        let end = START.after(total);
        let began = Instant::now();
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            if at > end {
                break;
            }
            let Some(event) = self.events.remove(&seq) else {
                continue;
            };
            self.now = at;
            self.handle(event);
            if let Some(broken) = self.broken.take() {
                return Err(broken);
            }
        }
        Ok(self.report(total, began.elapsed()))
    }

    fn report(&self, total: Duration, took: Duration) -> FleetReport {
        let n = self.spec.nodes as f64;
        let secs = total.as_secs_f64();
        let mut times: Vec<u64> = self
            .in_force
            .iter()
            .map(|at| at.map_or(u64::MAX, |at| at.since(self.change_at).as_millis() as u64))
            .collect();
        times.sort_unstable();
        let wrong = self
            .nodes
            .iter()
            .flat_map(|node| node.members.all())
            .filter(|c| matches!(c.standing, Standing::Dead | Standing::Left))
            .count();
        FleetReport {
            nodes: self.spec.nodes,
            bytes: 2.0 * self.bytes as f64 / n / secs,
            datagrams: 2.0 * self.datagrams as f64 / n / secs,
            calls: self.calls as f64 / secs,
            half_ms: times[times.len() / 2],
            all_ms: times[times.len() - 1],
            cpu_us: took.as_micros() as f64 / n / secs,
            wrong,
        }
    }

    fn out(&self) -> bool {
        let outage = self.change_at.after(Duration::from_secs(self.spec.outage));
        self.now >= self.change_at && self.now < outage
    }

    /// Members of zone 0 hear nobody else while it is cut off.
    fn severed(&self, a: usize, b: usize) -> bool {
        let until = self.change_at.after(Duration::from_secs(self.spec.cut));
        let cut = self.now >= self.change_at && self.now < until;
        cut && a.is_multiple_of(ZONES) != b.is_multiple_of(ZONES)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, life) => self.tick(i, life),
            Event::Arrive(to, src, data) => self.arrive(to, src, *data),
            Event::Body { to, life, revision } => self.body(to, life, revision),
            Event::Answer { to, life, ok } => self.platform_answer(to, life, ok),
            Event::Change => self.stored += 1,
            Event::Restart => self.restart(),
        }
    }

    fn tick(&mut self, i: usize, life: Incarnation) {
        if self.nodes[i].members.me().peer.life != life {
            return;
        }
        let now = self.now;
        let mut rng = self.rng.clone();
        let node = &mut self.nodes[i];
        let heard = spread::heard(&node.config, &node.placing);
        let sends = node.members.on_tick(now, &mut rng, heard);
        let mut effects = node.config.on_tick(now, &mut rng);
        // The placement has a watch of its own; its reads are counted as well.
        let placing = node.placing.on_tick(now, &mut rng);
        self.rng = rng;
        self.calls += placing.iter().filter(|e| **e == Effect::Read).count() as u64;
        self.send_all(i, sends);
        self.watch(i);
        effects.retain(|e| *e != Effect::Announce);
        self.apply(i, effects);
        self.after(TICK, Event::Tick(i, life));
    }

    /// A reader watches both documents and looks at the list of VMs.
    fn watch(&mut self, i: usize) {
        let (now, out) = (self.now, self.out());
        let severed = self.severed(i, 1) && i.is_multiple_of(ZONES);
        let stored = self.stored;
        let node = &mut self.nodes[i];
        if now >= node.vms_at {
            node.vms_at = now.after(VMS);
            node.reader = spread::is_reader(&node.members);
            self.calls += u64::from(node.reader);
        }
        if !node.reader || now < node.retry_at {
            return;
        }
        let changed = node.config.revision() < stored;
        if now < node.watch_at && !changed {
            return;
        }
        node.watch_at = now.after(WATCH);
        self.calls += 2;
        if out || severed {
            node.retry_at = now.after(Duration::from_secs(4));
            return;
        }
        node.placing.on_platform(now);
        let life = node.members.me().peer.life;
        self.after(
            Duration::from_millis(20),
            Event::Answer {
                to: i,
                life,
                ok: true,
            },
        );
    }

    fn apply(&mut self, i: usize, effects: Vec<Effect>) {
        let life = self.nodes[i].members.me().peer.life;
        for effect in effects {
            match effect {
                Effect::Pull(from) => {
                    let Some(j) = self.nodes[i].members.card(&from.id).map(|c| index(c.addr))
                    else {
                        continue;
                    };
                    let same = self.nodes[j].members.me().peer.life == from.life;
                    if same && !self.severed(i, j) {
                        let revision = self.nodes[j].config.revision();
                        self.after(
                            Duration::from_millis(12),
                            Event::Body {
                                to: i,
                                life,
                                revision,
                            },
                        );
                    }
                }
                Effect::Read => {
                    self.calls += 1;
                    let cut = self.severed(i, 1) && i.is_multiple_of(ZONES);
                    let ok = !(self.out() || cut);
                    let wait = Duration::from_millis(if ok { 10 } else { 3_000 });
                    self.after(wait, Event::Answer { to: i, life, ok });
                }
                Effect::Announce => {
                    let mut rng = self.rng.clone();
                    let node = &mut self.nodes[i];
                    let heard = spread::heard(&node.config, &node.placing);
                    let sends = node.members.announce(&mut rng, heard, spread::FANOUT);
                    self.rng = rng;
                    self.send_all(i, sends);
                }
            }
        }
    }

    fn platform_answer(&mut self, i: usize, life: Incarnation, ok: bool) {
        if self.nodes[i].members.me().peer.life != life {
            return;
        }
        let now = self.now;
        if !ok {
            return self.nodes[i].config.on_platform_failed();
        }
        self.nodes[i].config.on_platform(now);
        self.nodes[i].placing.on_platform(now);
        let revision = self.stored;
        self.put(i, revision);
    }

    fn body(&mut self, i: usize, life: Incarnation, revision: u64) {
        if self.nodes[i].members.me().peer.life == life {
            self.put(i, revision);
        }
    }

    fn put(&mut self, i: usize, revision: u64) {
        let node = &mut self.nodes[i];
        let (fresh, effects) = node.config.on_body(revision);
        let in_force = node.config.revision();
        if in_force < node.highest {
            self.broken = Some(format!("member {i} went back to revision {in_force}"));
        }
        node.highest = in_force;
        let first = self.in_force[i].is_none();
        if fresh && first && in_force == self.stored && self.stored > 1 {
            self.in_force[i] = Some(self.now);
        }
        self.apply(i, effects);
    }

    fn arrive(&mut self, to: usize, src: SocketAddr, data: Datagram) {
        let (from, heard) = (data.from.peer.clone(), data.heard);
        let now = self.now;
        let node = &mut self.nodes[to];
        let mine = spread::heard(&node.config, &node.placing);
        let sends = node.members.on_datagram(now, src, data, mine);
        let effects = node
            .config
            .on_heard(now, &from, heard.config, heard.checked_at);
        node.placing
            .on_heard(now, &from, heard.epoch, heard.checked_at);
        self.send_all(to, sends);
        self.apply(to, effects);
    }

    fn send_all(&mut self, from: usize, sends: Vec<Send>) {
        for send in sends {
            let mut bytes = Vec::with_capacity(1_024);
            ciborium::into_writer(&send.data, &mut bytes).expect("datagrams can be written");
            self.bytes += bytes.len() as u64 + HEADERS;
            self.datagrams += 1;
            let to = index(send.to);
            if self.rng.random_bool(self.spec.loss) || self.severed(from, to) {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(500..3_000));
            self.after(delay, Event::Arrive(to, addr(from), Box::new(send.data)));
        }
    }

    /// A member is replaced: its new life knows nothing and asks a peer for all members.
    fn restart(&mut self) {
        let i = self.rng.random_range(0..self.spec.nodes);
        let life = Incarnation(self.now.0);
        let mut node = self.node(i, life);
        node.config = Spread::default();
        let j = (i + 1) % self.spec.nodes;
        for card in self.nodes[j].members.all() {
            node.members.learn(self.now, card.clone());
        }
        node.members.settle();
        self.nodes[i] = node;
        let revision = self.nodes[j].config.revision();
        self.put(i, revision);
        self.after(TICK, Event::Tick(i, life));
    }
}
