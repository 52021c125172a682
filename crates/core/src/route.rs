//! Which backend server gets a request, decided at an entry from late load reports.
//!
//! The default samples a few candidates and compares when each would have a free slot: the reported
//! moment, pushed back by what this entry itself has sent since the report. Sampling keeps many
//! entries from choosing the same server; the own count keeps one entry from doing so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::{IteratorRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::affinity::head_of;
use crate::config::{Class, Weights};
use crate::ids::{MemberId, Peer, PoolName, Zone};
use crate::message::{Completion, LoadReport, Work};
use crate::request::Spec;
use crate::time::Moment;

/// Candidates compared in a choice.
pub const CHOICES: usize = 2;
/// Candidates compared when the first ones are full.
pub const MORE_CHOICES: usize = 6;
/// Sidecars of a pool that an entry keeps links to.
pub const SUBSET: usize = 12;
/// How long a server that failed is passed over.
pub const PENALTY: Duration = Duration::from_secs(2);
/// What another zone costs, as a delay.
pub const ZONE_COST: Duration = Duration::from_millis(3);
/// Lead of a prefill over its slot, for even weights.
pub const LEAD: Duration = Duration::from_millis(20);
/// Prefill tokens a second assumed before a runner's own figure is known.
pub const PREFILL_RATE: f64 = 20_000.0;

/// A backend server as this entry sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The sidecar before it.
    pub peer: Peer,
    /// Its zone.
    pub zone: Zone,
    /// Its last report.
    pub load: LoadReport,
    /// Requests sent by this entry since that report.
    pub sent: u32,
    /// Prompt tokens sent by this entry since that report.
    pub tokens: u64,
    /// Passed over until this moment.
    pub avoid_until: Moment,
}

impl Server {
    fn new(peer: Peer, zone: Zone) -> Self {
        let load = LoadReport::default();
        Server { peer, zone, load, sent: 0, tokens: 0, avoid_until: Moment(0) }
    }

    /// When a request sent now would get a slot.
    fn free_at(&self, now: Moment, need: &Need) -> Moment {
        let slots = self.load.slots.max(1);
        let reported = match need.class {
            Class::Urgent => self.load.urgent_at,
            Class::Slow => self.load.free_at,
        };
        let used = self.load.used + self.sent;
        if used < slots && reported <= now {
            // Ties among free servers go to the emptier one.
            let share = f64::from(used) / f64::from(slots);
            return now.after(Duration::from_micros((share * 1_000.0) as u64));
        }
        let behind = need.hold.mul_f64(f64::from(self.sent) / f64::from(slots));
        reported.max(now).after(behind).after(Duration::from_millis(1))
    }
}

/// What a choice needs to know of the work.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Its class.
    pub class: Class,
    /// How long it holds a slot, estimated.
    pub hold: Duration,
}

/// How a candidate is chosen; the baselines implement it as well.
pub trait Policy {
    /// Picks one of `servers`; `None` when there is none.
    fn pick(
        &mut self,
        now: Moment,
        servers: &[&Server],
        need: &Need,
        rng: &mut dyn rand::RngCore,
    ) -> Option<usize>;
    /// Does it refuse work that it expects to end too late?
    fn predicts(&self) -> bool {
        false
    }
}

/// The default: the earliest free slot among a few.
pub struct Earliest {
    /// Zone of this entry.
    pub zone: Zone,
}

impl Policy for Earliest {
    fn pick(
        &mut self,
        now: Moment,
        servers: &[&Server],
        need: &Need,
        rng: &mut dyn rand::RngCore,
    ) -> Option<usize> {
        let cost = |i: &usize| {
            let s = servers[*i];
            let far = if s.zone == self.zone { Duration::ZERO } else { ZONE_COST };
            s.free_at(now, need).after(far)
        };
        let few = (0..servers.len()).choose_multiple(rng, CHOICES);
        let best = few.into_iter().min_by_key(cost)?;
        if cost(&best) <= now.after(ZONE_COST * 2) {
            return Some(best);
        }
        let more = (0..servers.len()).choose_multiple(rng, MORE_CHOICES);
        more.into_iter().chain(std::iter::once(best)).min_by_key(cost)
    }

    fn predicts(&self) -> bool {
        true
    }
}

/// Baseline: any server.
pub struct Random;

impl Policy for Random {
    fn pick(
        &mut self,
        _: Moment,
        servers: &[&Server],
        _: &Need,
        rng: &mut dyn rand::RngCore,
    ) -> Option<usize> {
        (0..servers.len()).choose(rng)
    }
}

/// Baseline: one after the other.
#[derive(Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(
        &mut self,
        _: Moment,
        servers: &[&Server],
        _: &Need,
        _: &mut dyn rand::RngCore,
    ) -> Option<usize> {
        if servers.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(self.next % servers.len())
    }
}

/// Baseline: the least loaded by the last report alone.
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn pick(
        &mut self,
        _: Moment,
        servers: &[&Server],
        _: &Need,
        _: &mut dyn rand::RngCore,
    ) -> Option<usize> {
        let load = |i: &usize| servers[*i].load.used + servers[*i].load.waiting;
        (0..servers.len()).min_by_key(load)
    }
}

/// The servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    servers: BTreeMap<Peer, Server>,
}

impl PoolView {
    /// Puts the servers in force; keeps what is known of those that stay.
    pub fn set(&mut self, servers: impl Iterator<Item = (Peer, Zone)>) {
        let mut old = std::mem::take(&mut self.servers);
        for (peer, zone) in servers {
            let server = old.remove(&peer).unwrap_or_else(|| Server::new(peer.clone(), zone));
            self.servers.insert(peer, server);
        }
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// A report arrived.
    pub fn on_load(&mut self, peer: &Peer, load: &LoadReport) {
        if let Some(s) = self.servers.get_mut(peer) {
            s.load = load.clone();
            s.sent = 0;
            s.tokens = 0;
        }
    }

    /// A server refused or failed.
    pub fn on_failed(&mut self, now: Moment, peer: &Peer) {
        if let Some(s) = self.servers.get_mut(peer) {
            s.avoid_until = now.after(PENALTY);
        }
    }

    /// Chooses an executor, or says when one may be free.
    pub fn executor(
        &mut self,
        now: Moment,
        spec: &Spec,
        hold: Duration,
        policy: &mut dyn Policy,
        rng: &mut dyn rand::RngCore,
    ) -> Result<Peer, Option<Moment>> {
        let able = |s: &&Server| !s.load.leaving && !spec.avoid.contains(&s.peer);
        let mut list: Vec<&Server> =
            self.servers.values().filter(able).filter(|s| s.avoid_until <= now).collect();
        if list.is_empty() {
            list = self.servers.values().filter(able).collect();
        }
        let need = Need { class: spec.class, hold };
        let index = policy.pick(now, &list, &need, rng).ok_or(None)?;
        let chosen = list[index];
        let at = chosen.free_at(now, &need);
        if policy.predicts() && (at > spec.first_by || at.after(hold) > spec.deadline) {
            return Err(Some(at));
        }
        let peer = chosen.peer.clone();
        if let Some(s) = self.servers.get_mut(&peer) {
            s.sent += 1;
        }
        Ok(peer)
    }

    /// The shortest time until a runner of this pool is done with what is queued.
    pub fn prefill_wait(&self, reading: &Reading) -> Option<Duration> {
        let able = self.servers.values().filter(|s| !s.load.leaving);
        able.map(|s| reading.queued(s)).min()
    }

    /// Chooses a prefill runner and the moment to start at.
    pub fn prefill(
        &mut self,
        now: Moment,
        spec: &Spec,
        slot_at: Moment,
        reading: &Reading,
        rng: &mut dyn rand::RngCore,
    ) -> Option<(Peer, Moment)> {
        let Work::Completion(work) = &spec.work else {
            return None;
        };
        let able = |s: &&Server| !s.load.leaving && s.avoid_until <= now;
        let list: Vec<&Server> = self.servers.values().filter(able).collect();
        let few = match reading.affinity {
            true => candidates(&list, head_of(&work.prompt), rng),
            false => (0..list.len()).choose_multiple(rng, 1),
        };
        let cost = |i: &usize| reading.cost(list[*i], work);
        let best = few.into_iter().min_by_key(cost)?;
        let peer = list[best].peer.clone();
        let lead = reading.compute(list[best], work) + reading.transfer(work) + reading.lead();
        let start_at = if reading.timed { slot_at.before(lead).max(now) } else { now };
        if let Some(s) = self.servers.get_mut(&peer) {
            s.tokens += u64::from(reading.uncached(s, work));
        }
        Some((peer, start_at))
    }
}

/// What an entry assumes of prefill runners.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Prompt tokens computed a second.
    pub rate: f64,
    /// KV cache bytes a token.
    pub token_bytes: u64,
    /// Bytes a second of a runner's link.
    pub link_rate: f64,
    /// Tokens of a cached head.
    pub head_tokens: u32,
    /// Weights of the measures.
    pub weights: Weights,
    /// Choose by cached heads?
    pub affinity: bool,
    /// Start just in time?
    pub timed: bool,
}

impl Reading {
    fn uncached(&self, server: &Server, work: &Completion) -> u32 {
        let cached = match server.load.heads.contains(&head_of(&work.prompt)) {
            true => self.head_tokens.min(work.prompt_tokens),
            false => 0,
        };
        work.prompt_tokens - cached
    }

    fn compute(&self, server: &Server, work: &Completion) -> Duration {
        Duration::from_secs_f64(f64::from(self.uncached(server, work)) / self.rate.max(1.0))
    }

    fn transfer(&self, work: &Completion) -> Duration {
        let bytes = u64::from(work.prompt_tokens) * self.token_bytes;
        Duration::from_secs_f64(bytes as f64 / self.link_rate.max(1.0))
    }

    fn cost(&self, server: &Server, work: &Completion) -> Duration {
        self.compute(server, work) + self.queued(server)
    }

    fn queued(&self, server: &Server) -> Duration {
        let tokens = server.load.backlog + server.tokens;
        Duration::from_secs_f64(tokens as f64 / self.rate.max(1.0))
    }

    /// Early starts cost evicted results, late ones cost first-token time.
    fn lead(&self) -> Duration {
        let ratio = (self.weights.goodput / self.weights.waste).clamp(0.125, 8.0);
        LEAD.mul_f64(ratio)
    }
}

/// Two runners that hashing names for the head, and two random ones.
fn candidates(list: &[&Server], head: u64, rng: &mut dyn rand::RngCore) -> Vec<usize> {
    let rank = |i: &usize| xxh3_64_with_seed(list[*i].peer.id.0.as_bytes(), head);
    let mut few: Vec<usize> = Vec::with_capacity(2 * CHOICES);
    let (mut first, mut second) = ((0, None), (0, None));
    for i in 0..list.len() {
        let ranked = (rank(&i), Some(i));
        if ranked.0 >= first.0 {
            second = std::mem::replace(&mut first, ranked);
        } else if ranked.0 > second.0 {
            second = ranked;
        }
    }
    few.extend(first.1);
    few.extend(second.1);
    few.extend((0..list.len()).choose_multiple(rng, CHOICES));
    few
}

/// The sidecars of a pool that an entry keeps links to: the first `SUBSET` in hash order, so that
/// a change of the fleet moves few links.
pub fn subset(
    entry: &MemberId,
    pool: &PoolName,
    members: &[MemberId],
    count: usize,
) -> BTreeSet<MemberId> {
    let seed = xxh3_64_with_seed(pool.0.as_bytes(), xxh3_64_with_seed(entry.0.as_bytes(), 0));
    let mut ranked: Vec<(u64, &MemberId)> =
        members.iter().map(|m| (xxh3_64_with_seed(m.0.as_bytes(), seed), m)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, m)| m.clone()).collect()
}

/// Shuffles in place; kept here so that callers need no other random source.
pub fn shuffle<T>(items: &mut [T], rng: &mut dyn rand::RngCore) {
    items.shuffle(rng);
}
