//! The retry budget of a whole fleet, in virtual time, while gateways are killed and start again.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::budget::predecessors::{PeerUses, Predecessors};
use ebonyloft_router::budget::{Budget, RequiredRetries};
use ebonyloft_router::node::{Bounds, DEFAULT_HEARTBEAT, Excess};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "summaries";
/// Virtual time between two steps.
const STEP: u64 = 20;
/// Time between two load reports of a gateway.
const REPORT: u64 = 100;
/// Time from the start of a process until it takes requests.
const START: u64 = 500;

fn bounds(extra: f64) -> Bounds {
    Bounds {
        budget_ratio: 0.2,
        budget_extra: extra,
        budget_window: Duration::from_secs(10),
        grace: Duration::from_secs(8),
        order_gap: Duration::from_secs(3),
        contact: Duration::from_secs(3),
        drain: Duration::from_secs(2),
        apply: Duration::from_secs(2),
        heartbeat: DEFAULT_HEARTBEAT,
        revoke: None,
        excess: Excess::default(),
    }
}

/// One VM with its current process.
struct Gateway {
    name: String,
    started_at: Timestamp,
    budget: Budget,
    peer_uses: PeerUses,
    predecessors: Predecessors,
    reported_at: Timestamp,
}

impl Gateway {
    fn start(name: String, now: Timestamp) -> Self {
        Gateway {
            name,
            started_at: now,
            budget: Budget::new(now),
            peer_uses: PeerUses::new(now),
            predecessors: Predecessors::new(now),
            reported_at: Timestamp(0),
        }
    }

    fn serves(&self, now: Timestamp) -> bool {
        now.since(self.started_at) >= Duration::from_millis(START)
    }
}

/// A fleet whose callers want a retry of every request, and more.
struct Fleet {
    bounds: Bounds,
    gateways: Vec<Gateway>,
    required: RequiredRetries,
    /// Requests a second of the whole fleet.
    rate: f64,
    /// Time from which on retries are wanted, in milliseconds.
    wanted_from: u64,
    /// Kills: time in milliseconds, and the gateways.
    kills: Vec<(u64, Vec<usize>)>,
    /// The last gateways, which do not exist before they are started by a kill.
    absent: usize,
}

impl Fleet {
    fn new(count: usize, rate: f64, extra: f64) -> Self {
        let start = |i| Gateway::start(format!("g{i}"), Timestamp(1));
        Fleet {
            bounds: bounds(extra),
            gateways: (0..count).map(start).collect(),
            required: RequiredRetries::Sure(1),
            rate,
            wanted_from: 0,
            kills: Vec::new(),
            absent: 0,
        }
    }

    /// Sends the reports that are due, and the answers to those who ask.
    fn report(&mut self, now: Timestamp) {
        let window = self.bounds.budget_window;
        for i in 0..self.present() {
            let own = &mut self.gateways[i];
            if now.since(own.reported_at) < Duration::from_millis(REPORT) {
                continue;
            }
            own.reported_at = now;
            let used = own.budget.window_use(now, window);
            let uses: BTreeMap<_, _> = used.map(|u| (SERVICE.to_owned(), u)).into_iter().collect();
            let (name, incarnation) = (own.name.clone(), own.started_at.0);
            let asks = own.predecessors.must_ask(now, window);
            let peers = self.peers_of(i);
            for peer in peers {
                let peer = &mut self.gateways[peer];
                peer.peer_uses.on_report(now, &name, incarnation, &uses);
                peer.peer_uses.expire(now, window);
                let past = peer.peer_uses.past(now, window, &name, incarnation);
                if let Some(past) = past.filter(|_| asks) {
                    let own = &mut self.gateways[i];
                    own.predecessors.on_past_report(now, past);
                    let past = own.predecessors.of_service(SERVICE);
                    own.budget.inherit(own.predecessors.known_from(), past);
                }
            }
        }
    }

    /// Number of gateways that exist.
    fn present(&self) -> usize {
        self.gateways.len() - self.absent
    }

    /// Peers that exchange load reports; five of a large fleet are enough.
    fn peers_of(&self, i: usize) -> Vec<usize> {
        let count = self.present();
        (1..count.min(6)).map(|step| (i + step) % count).collect()
    }

    /// Plays `seconds`; returns the largest excess over the bound in any window.
    fn play(mut self, seconds: u64) -> f64 {
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let (mut due, mut next, mut excess) = (0.0, 0, f64::MIN);
        for ms in (0..seconds * 1_000).step_by(STEP as usize) {
            let now = Timestamp::from_millis(1 + ms);
            for (_, killed) in self.kills.iter().filter(|(at, _)| *at / STEP == ms / STEP) {
                self.absent =
                    if killed.contains(&(self.gateways.len() - 1)) { 0 } else { self.absent };
                for i in killed {
                    let name = self.gateways[*i].name.clone();
                    self.gateways[*i] = Gateway::start(name, now);
                }
            }
            self.report(now);
            due += self.rate * STEP as f64 / 1e3;
            let serving: Vec<usize> =
                (0..self.present()).filter(|i| self.gateways[*i].serves(now)).collect();
            while due >= 1.0 {
                due -= 1.0;
                requests.push(ms);
                if let Some(i) = serving.get(next % serving.len().max(1)) {
                    self.gateways[*i].budget.on_request(now, &self.bounds);
                }
                next += 1;
            }
            let count = self.present();
            for i in serving.into_iter().filter(|_| ms >= self.wanted_from) {
                let budget = &mut self.gateways[i].budget;
                while budget.reserve(now, &self.bounds, count, self.required) {
                    budget.commit(now);
                    retries.push(ms);
                }
            }
            excess = excess.max(self.excess(ms, &requests, &retries));
        }
        excess
    }

    /// Retries beyond the bound in the window that ends at `ms`. Requests count in that window, the one before
    /// it, or the one half a window before it.
    fn excess(&self, ms: u64, requests: &[u64], retries: &[u64]) -> f64 {
        let within = |times: &[u64], end: u64| {
            let start = end.saturating_sub(10_000);
            (times.partition_point(|t| *t <= end) - times.partition_point(|t| *t <= start)) as f64
        };
        let asked = [0, 5_000, 10_000].map(|back| within(requests, ms.saturating_sub(back)));
        let asked = asked.into_iter().fold(0.0, f64::max);
        within(retries, ms) - self.bounds.budget_ratio * asked - self.bounds.budget_extra
    }
}

/// Guards against a process that starts again and uses the share of its predecessor once more.
#[test]
fn gateways_killed_again_and_again_keep_the_bound() {
    let first = |n: usize| (0..n).collect::<Vec<_>>();
    for kills in [
        vec![(20_000, first(1))],
        vec![(20_000, first(3))],
        vec![(20_000, first(5))],
        vec![(20_000, first(3)), (24_000, first(3))],
        vec![(20_000, first(3)), (24_000, first(3)), (28_000, first(3))],
        vec![(20_000, first(5)), (22_000, first(5)), (24_000, first(5)), (26_000, first(5))],
    ] {
        let mut fleet = Fleet::new(5, 25.0, 56.0);
        fleet.wanted_from = 19_880;
        fleet.kills = kills.clone();
        let excess = fleet.play(45);
        assert!(excess <= 0.0, "{excess} too many: {kills:?}");
    }
}

/// Guards against any series of kills in fleets of any size that yields more retries than the bound.
#[test]
fn random_kills_keep_the_bound_at_each_fleet_size() {
    for (count, rate, extra, seeds) in
        [(5, 25.0, 56.0, 60), (29, 300.0, 102.0, 20), (300, 3_300.0, 176.0, 4)]
    {
        for seed in 0..seeds {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut fleet = Fleet::new(count, rate, extra);
            fleet.wanted_from = rng.random_range(10_000..20_000);
            for _ in 0..rng.random_range(1..5) {
                let share = rng.random_range(0.1..1.0);
                let killed = (0..count).filter(|_| rng.random::<f64>() < share).collect();
                fleet.kills.push((rng.random_range(15_000..30_000), killed));
            }
            let excess = fleet.play(42);
            assert!(excess <= 0.0, "{excess} too many at {count} gateways, seed {seed}");
        }
    }
}

/// Guards against new VMs that add their shares to those that the others have used.
#[test]
fn a_fleet_that_doubles_keeps_the_bound() {
    let mut fleet = Fleet::new(10, 25.0, 56.0);
    fleet.wanted_from = 19_880;
    fleet.absent = 5;
    fleet.kills = vec![(20_000, (5..10).collect())];
    let excess = fleet.play(45);
    assert!(excess <= 0.0, "{excess} too many");
}

/// Guards against retries of first prompts, which need only a fraction, beyond the bound.
#[test]
fn lost_first_prompts_keep_the_bound_at_each_fleet_size() {
    for (count, rate, extra) in [(5, 25.0, 56.0), (29, 300.0, 102.0), (300, 3_300.0, 176.0)] {
        let mut fleet = Fleet::new(count, rate, extra);
        fleet.required = RequiredRetries::Unlikely;
        fleet.wanted_from = 15_000;
        let excess = fleet.play(40);
        assert!(excess <= 0.0, "{excess} too many at {count} gateways");
    }
}

/// Guards against a restart that costs callers the budget that its predecessor had left.
#[test]
fn a_process_whose_predecessor_used_nothing_has_the_whole_budget() {
    let mut fleet = Fleet::new(5, 25.0, 56.0);
    let now = Timestamp::from_millis(30_000);
    for ms in (0..30_000).step_by(STEP as usize) {
        fleet.report(Timestamp::from_millis(1 + ms));
    }
    fleet.gateways[0] = Gateway::start("g0".to_owned(), now);
    fleet.report(now);
    let budget = &mut fleet.gateways[0].budget;
    let left = budget.available(now, &fleet.bounds, 5);
    assert!((left - 0.8 * 56.0 / 5.0).abs() < 1e-9, "{left}");
}

/// Guards against gateways that use the fixed number of a VM whose retries nobody knows.
#[test]
fn a_process_of_which_nobody_knows_uses_what_is_left_for_certain() {
    let bounds = bounds(56.0);
    let start = Timestamp::from_millis(1_000_000);
    let mut budget = Budget::new(start);
    assert_eq!(budget.available(start, &bounds, 1), 0.0);
    let half = start.after(Duration::from_secs(5));
    assert!((budget.available(half, &bounds, 1) - 0.2 * 28.0).abs() < 1e-9);
    let whole = start.after(Duration::from_secs(10));
    assert_eq!(budget.available(whole, &bounds, 1), 0.8 * 56.0);
}
