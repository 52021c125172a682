//! Many entries that decide at once from late reports: how unevenly they load the servers.
//!
//! Only the decision machines are real; a server here is twenty slots and a queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use ebonyloft_core::config::Class;
use ebonyloft_core::ids::{Account, Incarnation, Key, MemberId, Peer, Zone};
use ebonyloft_core::message::{Completion, LoadReport, Repeat, Work};
use ebonyloft_core::request::{Intent, Spec};
use ebonyloft_core::route::{Earliest, LeastLoaded, Policy, PoolView, Random, RoundRobin};
use ebonyloft_core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const START: Moment = Moment(1_800_000_000_000_000);
const SLOTS: usize = 20;
const HOLD: Duration = Duration::from_secs(2);
/// Time between two reports of a server to an entry that does not use it.
const REPORT: Duration = Duration::from_secs(1);

/// What is tried.
#[derive(Clone, Copy, Debug)]
pub struct HerdSpec {
    /// Entries that decide.
    pub entries: usize,
    /// Servers.
    pub servers: usize,
    /// Share of the slots that are asked for.
    pub load: f64,
    /// Seconds of made-up time.
    pub secs: u64,
    /// Fixes the run.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HerdReport {
    /// Share of requests that waited for a slot.
    pub waited: f64,
    /// 95th percentile of the wait, in milliseconds.
    pub wait_ms: u64,
    /// Work at the fullest server over the mean, averaged over time.
    pub peak: f64,
}

/// A policy by name.
pub fn policy(name: &str) -> Option<Box<dyn Policy>> {
    match name {
        "default" => Some(Box::new(Earliest {
            zone: Zone::default(),
        })),
        "random" => Some(Box::new(Random)),
        "round-robin" => Some(Box::new(RoundRobin::default())),
        "least-loaded" => Some(Box::new(LeastLoaded)),
        _ => None,
    }
}

#[derive(Clone, Default)]
struct Server {
    used: usize,
    queue: VecDeque<Moment>,
    ends: Vec<Moment>,
}

impl Server {
    fn report(&self, now: Moment) -> LoadReport {
        let free_at = match self.used < SLOTS {
            true => now,
            false => {
                let mut ends = self.ends.clone();
                ends.sort_unstable();
                let behind = HOLD.mul_f64((self.queue.len() / SLOTS) as f64);
                ends[self.queue.len() % SLOTS].after(behind)
            }
        };
        LoadReport {
            used: self.used as u32,
            slots: SLOTS as u32,
            waiting: self.queue.len() as u32,
            free_at,
            urgent_at: free_at,
            ..LoadReport::default()
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    End(usize),
    Report(usize, usize),
}

/// Runs one policy.
pub fn run(spec: HerdSpec, name: &str) -> Option<HerdReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
    let mut views = vec![PoolView::default(); spec.entries];
    let mut policies: Vec<Box<dyn Policy>> = (0..spec.entries)
        .map(|_| policy(name))
        .collect::<Option<_>>()?;
    let peers: Vec<Peer> = (0..spec.servers)
        .map(|i| Peer {
            id: MemberId(format!("vm-{i:05}")),
            life: Incarnation(1),
        })
        .collect();
    let mut queue = BinaryHeap::new();
    for (e, view) in views.iter_mut().enumerate() {
        view.set(peers.iter().map(|p| (p.clone(), Zone::default())));
        for s in 0..spec.servers {
            let jitter = Duration::from_millis(rng.random_range(0..1_000));
            queue.push(Reverse((START.after(jitter), Event::Report(e, s))));
        }
    }
    queue.push(Reverse((START, Event::Arrive)));
    let mut servers = vec![Server::default(); spec.servers];
    let rate = spec.load * (spec.servers * SLOTS) as f64 / HOLD.as_secs_f64();
    let end = START.after(Duration::from_secs(spec.secs));
    let work = request();
    let mut waits: Vec<u64> = Vec::new();
    let (mut peaks, mut samples) = (0.0, 0_u64);
    while let Some(Reverse((now, event))) = queue.pop() {
        if now > end {
            break;
        }
        match event {
            Event::Report(e, s) => {
                views[e].on_load(&peers[s], &servers[s].report(now));
                queue.push(Reverse((now.after(REPORT), Event::Report(e, s))));
            }
            Event::End(s) => {
                let server = &mut servers[s];
                server.ends.retain(|at| *at > now);
                server.used -= 1;
                if let Some(since) = server.queue.pop_front() {
                    waits.push(now.since(since).as_millis() as u64);
                    begin(server, s, now, &mut queue);
                }
            }
            Event::Arrive => {
                let gap = -f64::ln(rng.random_range(f64::EPSILON..1.0)) / rate;
                queue.push(Reverse((
                    now.after(Duration::from_secs_f64(gap)),
                    Event::Arrive,
                )));
                let e = rng.random_range(0..spec.entries);
                let peer = views[e].executor(now, &work, HOLD, policies[e].as_mut(), &mut rng);
                let Some(s) = peer.ok().and_then(|p| peers.iter().position(|q| *q == p)) else {
                    continue;
                };
                if servers[s].used < SLOTS {
                    waits.push(0);
                    begin(&mut servers[s], s, now, &mut queue);
                } else {
                    servers[s].queue.push_back(now);
                }
                views[e].on_load(&peers[s], &servers[s].report(now));
                let loads = servers.iter().map(|s| s.used + s.queue.len());
                let (most, sum) = loads.fold((0, 0), |(m, t), n| (m.max(n), t + n));
                peaks += (most * spec.servers) as f64 / sum.max(1) as f64;
                samples += 1;
            }
        }
    }
    waits.sort_unstable();
    let waited = waits.iter().filter(|w| **w > 0).count() as f64 / waits.len().max(1) as f64;
    let wait_ms = waits.get(waits.len() * 95 / 100).copied().unwrap_or(0);
    Some(HerdReport {
        waited,
        wait_ms,
        peak: peaks / samples.max(1) as f64,
    })
}

fn begin(
    server: &mut Server,
    s: usize,
    now: Moment,
    queue: &mut BinaryHeap<Reverse<(Moment, Event)>>,
) {
    let end = now.after(HOLD);
    server.used += 1;
    server.ends.push(end);
    queue.push(Reverse((end, Event::End(s))));
}

fn request() -> Spec {
    Spec {
        intent: Intent::Run,
        waiter: 1,
        key: Key {
            account: Account::from("a"),
            text: "k".to_owned(),
        },
        first: true,
        class: Class::Slow,
        first_by: Moment::NEVER,
        deadline: Moment::NEVER,
        repeat: Repeat::Idempotent,
        split: false,
        work: Work::Completion(Completion {
            model: "m".to_owned(),
            prompt: String::new(),
            max_tokens: 100,
            prompt_tokens: 1,
        }),
        avoid: Vec::new(),
    }
}
