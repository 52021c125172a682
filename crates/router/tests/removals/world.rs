//! Gateways, the store and servers in virtual time: who knows of which registration, and why.
//!
//! The gateways decide with the code of the product; calls, datagrams and the store are played in ticks.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::node::DEFAULT_HEARTBEAT;
use ebonyloft_router::registry::{Change, Effect, Registration, ServerRegistry};
use ebonyloft_router::store_state::StoreState;
use ebonyloft_router::zone_leader::{
    HigherRanked, LEADER_TIMEOUT, LEADERS_PER_ZONE, LeaderState, StoreLink,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const TICK: Duration = Duration::from_millis(20);
/// Time after which no request may reach a server that was removed.
pub const DRAIN: Duration = Duration::from_secs(2);
/// Age of the list of servers beyond which a gateway says that it can't reach the store.
const STALENESS: Duration = Duration::from_millis(1_100);
const WATCH_WAIT: Duration = Duration::from_millis(600);
const WATCH_LIMIT: Duration = Duration::from_millis(1_100);
const CALL_LIMIT: Duration = Duration::from_millis(800);
const BATCH_DELAY: Duration = Duration::from_millis(200);
const REPORT_INTERVAL: Duration = Duration::from_millis(240);
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
const RETRY_MIN: Duration = Duration::from_millis(60);
const RETRY_MAX: Duration = Duration::from_millis(400);
/// Within this time of the store's return each live server has registered again.
const REREGISTERED_WITHIN: Duration = Duration::from_millis(1_950);
const START: Timestamp = Timestamp::from_millis(1_000_000);

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Access {
    /// It answers.
    #[default]
    Served,
    /// It rejects them at once.
    Rejected,
    /// It neither performs nor answers them, watches that wait too.
    Silent,
}

/// A wrong rule in place of one of the product's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A cut watch counts as an outage in which registrations lapse, and what is kept has no deadline of its
    /// own, which would cover it.
    CutIsOutage,
    /// A registration that lapsed counts as removed by its owner.
    LapseIsRemoval,
    /// A server that is kept has no deadline of its own.
    KeepsUntilTrusted,
    /// A gateway that has just started trusts all removals.
    StartVouches,
}

/// What the store does at a time, to each gateway by its number and to the servers.
pub trait Plan {
    /// Access of a gateway.
    fn gateway(&self, at: Duration, number: usize) -> Access;
    /// Access of the servers.
    fn servers(&self, at: Duration) -> Access;
    /// Are the waiting watches cut now?
    fn cuts(&self, at: Duration) -> bool;
}

#[derive(Clone, Copy, Debug)]
enum Call {
    /// None is under way until this time.
    Idle(Timestamp),
    Poll(Timestamp),
    Watch(Timestamp),
}

struct Gateway {
    rank: usize,
    group: usize,
    role: LeaderState,
    state: StoreState,
    registry: ServerRegistry,
    call: Call,
    backoff: Duration,
    report_at: Timestamp,
    upkeep_at: Timestamp,
}

/// What a gateway last reported.
#[derive(Clone, Copy)]
struct Report {
    link: StoreLink,
    revision: u64,
    at: Timestamp,
}

struct LiveServer {
    renewed_at: Timestamp,
    renew_at: Timestamp,
    registered: bool,
    /// It was taken away.
    removed_at: Option<Timestamp>,
}

pub struct World {
    pub now: Timestamp,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    reports: Vec<Option<Report>>,
    servers: Vec<LiveServer>,
    history: Vec<Change>,
    was_silent: bool,
    groups: usize,
    mutant: Option<Mutant>,
}

impl World {
    /// A fleet that knows all servers, in groups of gateways with two followers of the store each.
    pub fn new(gateways: usize, groups: usize, servers: usize, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let history: Vec<Change> = (0..servers).map(|n| registered(n, n as u64 + 1)).collect();
        let gateway = |n: usize| {
            let mut state = StoreState::default();
            state.on_reached(START, START);
            state.known(START);
            let mut registry = ServerRegistry::default();
            registry.replace(history.clone(), (servers as u64).into(), true);
            Gateway::start(START, n / groups, n % groups, state, registry)
        };
        let gateways: Vec<Gateway> = (0..gateways).map(gateway).collect();
        let servers = (0..servers).map(|_| LiveServer {
            renewed_at: START,
            renew_at: START.after(DEFAULT_HEARTBEAT.mul_f64(rng.random())),
            registered: true,
            removed_at: None,
        });
        let (servers, reports) = (servers.collect(), vec![None; gateways.len()]);
        World {
            now: START,
            rng,
            gateways,
            reports,
            servers,
            history,
            was_silent: false,
            groups,
            mutant: None,
        }
    }

    /// The same with a wrong rule.
    pub fn with_mutant(self, mutant: Mutant) -> World {
        World { mutant: Some(mutant), ..self }
    }

    pub fn elapsed(&self) -> Duration {
        self.now.since(START)
    }

    /// Takes a server away: its owner removes its registration.
    pub fn remove(&mut self, server: usize) {
        self.servers[server].removed_at = Some(self.now);
        self.unregister(server);
    }

    /// The number of gateways that follow the store for all; they come first.
    pub fn followers(&self) -> usize {
        self.groups * LEADERS_PER_ZONE
    }

    /// Ends the process of a gateway and starts it again without what it knew.
    pub fn restart(&mut self, gateway: usize) {
        let Gateway { rank, group, .. } = self.gateways[gateway];
        let state = match self.mutant {
            Some(Mutant::StartVouches) => StoreState::new(DEFAULT_HEARTBEAT),
            _ => StoreState::restarted(DEFAULT_HEARTBEAT, self.now),
        };
        self.gateways[gateway] =
            Gateway::start(self.now, rank, group, state, ServerRegistry::default());
        self.reports[gateway] = None;
    }

    /// Is this server used by this gateway?
    pub fn uses(&self, gateway: usize, server: usize) -> bool {
        let name = name(server);
        self.gateways[gateway].registry.ready("llm").any(|s| s.id.name == name)
    }

    /// The number of gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Plays one tick.
    pub fn step(&mut self, plan: &dyn Plan) {
        self.now = self.now.after(TICK);
        let at = self.elapsed();
        self.step_servers(plan.servers(at));
        let cut = plan.cuts(at);
        for n in 0..self.gateways.len() {
            self.update_role(n);
            self.exchange(n);
            self.call(n, plan.gateway(at, n), cut);
            self.upkeep(n);
        }
    }

    fn step_servers(&mut self, access: Access) {
        let now = self.now;
        let is_silent = access != Access::Served;
        let returned = std::mem::replace(&mut self.was_silent, is_silent) && !is_silent;
        for n in 0..self.servers.len() {
            let server = &mut self.servers[n];
            if server.removed_at.is_some() {
                continue;
            }
            if returned && !server.registered {
                server.renew_at = now.after(REREGISTERED_WITHIN.mul_f64(self.rng.random()));
            }
            if now >= server.renew_at && !is_silent {
                server.renewed_at = now;
                server.renew_at =
                    now.after(DEFAULT_HEARTBEAT.mul_f64(self.rng.random_range(0.95..1.05)));
                if !std::mem::replace(&mut server.registered, true) {
                    self.history.push(registered(n, self.history.len() as u64 + 1));
                }
            } else if server.registered && now.since(server.renewed_at) >= DEFAULT_HEARTBEAT * 3 {
                server.registered = false;
                self.unregister(n);
            }
        }
    }

    fn unregister(&mut self, server: usize) {
        let revision = (self.history.len() as u64 + 1).into();
        self.history.push(Change { name: name(server), entry: Registration::Removed, revision });
    }

    fn update_role(&mut self, n: usize) {
        let (rank, group) = (self.gateways[n].rank, self.gateways[n].group);
        let recent = |r: &&Report| self.now.since(r.at) < LEADER_TIMEOUT;
        let of_group = (0..n).filter(|m| self.gateways[*m].group == group);
        let links = of_group.filter_map(|m| self.reports[m].as_ref().filter(recent));
        let mut above = HigherRanked { count: rank, ..HigherRanked::default() };
        for report in links {
            above.connected += usize::from(matches!(report.link, StoreLink::Heard { .. }));
            above.away += usize::from(report.link == StoreLink::Away);
        }
        let gateway = &mut self.gateways[n];
        gateway.role.update(self.now, above);
        if gateway.role.follows() {
            return;
        }
        gateway.call = Call::Idle(self.now);
        let order = |link: &StoreLink| match link {
            StoreLink::Heard { settles, .. } => (0, *settles),
            StoreLink::Away => (1, 0),
            StoreLink::Indirect => (2, 0),
        };
        let revision = gateway.registry.revision().number();
        let known = self.reports.iter().flatten().filter(recent).filter_map(|r| match r.link {
            StoreLink::Heard { age, .. } if r.revision <= revision => {
                Some(r.at.before(Duration::from_millis(age.into())))
            }
            _ => None,
        });
        if let Some(at) = known.max() {
            gateway.state.known(at);
        }
        let best = self.reports.iter().flatten().filter(recent).map(|r| r.link).min_by_key(order);
        gateway.state.adopt(self.now, best.unwrap_or_default());
    }

    /// Sends a report, and fetches from the peer that knows most.
    fn exchange(&mut self, n: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        if now >= gateway.report_at {
            gateway.report_at = now.after(REPORT_INTERVAL);
            let link = match gateway.role.follows() {
                true => gateway.state.link(now, STALENESS),
                false => StoreLink::Indirect,
            };
            let revision = gateway.registry.revision().number();
            self.reports[n] = Some(Report { link, revision, at: now });
        }
        let own = gateway.registry.revision();
        let uses_store = gateway.role.leads() && !gateway.state.is_away();
        let newer = |m: &usize| self.reports[*m].is_some_and(|r| r.revision > own.number());
        let Some(peer) = (0..self.gateways.len()).find(newer).filter(|_| !uses_store) else {
            return;
        };
        let peer = &self.gateways[peer];
        if !peer.registry.is_complete() {
            return;
        }
        let (changes, list) = (peer.registry.since(own), peer.registry.changes());
        let (revision, settled) = (peer.registry.revision(), peer.state.is_trusted(now));
        let gateway = &mut self.gateways[n];
        let settled = settled && (gateway.state.is_away() || gateway.state.is_trusted(now))
            || self.mutant == Some(Mutant::LapseIsRemoval);
        let effects = match changes {
            Some(changes) => gateway.registry.catch_up(changes, revision, settled),
            None => gateway.registry.replace(list, revision, settled),
        };
        gateway.report_at = now;
        effects.into_iter().for_each(|(name, effect)| self.on_effect(n, &name, effect));
    }

    fn call(&mut self, n: usize, access: Access, cut: bool) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        if !gateway.role.follows() {
            return;
        }
        let has_news = gateway.registry.revision().number() < self.history.len() as u64;
        match (gateway.call, access) {
            (Call::Idle(until), _) if now >= until => {
                let polls = gateway.state.is_unconfirmed();
                gateway.call = if polls { Call::Poll(now) } else { Call::Watch(now) };
            }
            (Call::Watch(_), _) if cut => self.fail(n, now),
            (Call::Poll(_) | Call::Watch(_), Access::Rejected) => self.fail(n, now),
            (Call::Poll(_), Access::Served) => self.answer(n),
            (Call::Watch(sent), Access::Served) if has_news || now.since(sent) >= WATCH_WAIT => {
                self.answer(n);
            }
            (Call::Poll(sent), Access::Silent) if now.since(sent) >= CALL_LIMIT => {
                self.fail(n, sent)
            }
            (Call::Watch(sent), Access::Silent) if now.since(sent) >= WATCH_LIMIT => {
                self.fail(n, sent);
            }
            _ => {}
        }
    }

    fn fail(&mut self, n: usize, since: Timestamp) {
        let gateway = &mut self.gateways[n];
        let since = match self.mutant {
            Some(Mutant::CutIsOutage) => since.before(DEFAULT_HEARTBEAT * 3),
            _ => since,
        };
        gateway.state.on_failure(since);
        let pause = gateway.backoff.mul_f64(0.5 + self.rng.random::<f64>());
        gateway.call = Call::Idle(self.now.after(pause));
        gateway.backoff = (gateway.backoff * 2).min(RETRY_MAX);
    }

    fn answer(&mut self, n: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        gateway.state.on_reached(now, now);
        let trusts_all = self.mutant == Some(Mutant::LapseIsRemoval);
        let settled = gateway.state.is_trusted(now) || trusts_all;
        if !gateway.registry.is_complete() {
            let revision = (self.history.len() as u64).into();
            gateway.registry.replace(listed(&self.history), revision, settled);
        }
        let known = gateway.registry.revision().number() as usize;
        let news: Vec<Change> = self.history[known.min(self.history.len())..].to_vec();
        let pause = if news.is_empty() { Duration::ZERO } else { BATCH_DELAY };
        for change in news {
            let name = change.name.clone();
            let effect = self.gateways[n].registry.apply(change, settled);
            self.on_effect(n, &name, effect);
        }
        let gateway = &mut self.gateways[n];
        gateway.state.known(now);
        gateway.backoff = RETRY_MIN;
        gateway.call = Call::Idle(now.after(pause));
        gateway.report_at = now;
    }

    fn on_effect(&mut self, n: usize, name: &str, effect: Effect) {
        let gateway = &mut self.gateways[n];
        if effect == Effect::Unheard
            && !matches!(self.mutant, Some(Mutant::KeepsUntilTrusted | Mutant::CutIsOutage))
            && let Some(until) = gateway.state.kept_until(self.now, DRAIN)
        {
            gateway.registry.keep_until(name, until);
        }
    }

    fn upkeep(&mut self, n: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        if now < gateway.upkeep_at {
            return;
        }
        gateway.upkeep_at = now.after(UPKEEP_INTERVAL);
        match gateway.state.is_trusted(now) {
            true => gateway.registry.remove_missing(),
            false => gateway.registry.remove_overdue(now),
        };
    }

    /// For how long after its removal a server is still used by a gateway; `None` if it isn't.
    pub fn late_use(&self, gateway: usize, server: usize) -> Option<Duration> {
        let removed_at = self.servers[server].removed_at?;
        self.uses(gateway, server).then(|| self.now.since(removed_at))
    }

    /// The number of registrations that have lapsed so far.
    pub fn lapses(&self) -> usize {
        let is_removal = |c: &&Change| c.entry == Registration::Removed;
        let removed = self.servers.iter().filter(|s| s.removed_at.is_some()).count();
        self.history.iter().filter(is_removal).count() - removed
    }
}

impl Gateway {
    fn start(
        now: Timestamp,
        rank: usize,
        group: usize,
        state: StoreState,
        registry: ServerRegistry,
    ) -> Gateway {
        Gateway {
            rank,
            group,
            role: LeaderState::new(now, rank),
            state,
            registry,
            call: Call::Idle(now),
            backoff: RETRY_MIN,
            report_at: now,
            upkeep_at: now,
        }
    }
}

/// The registrations that the store holds after these changes.
fn listed(history: &[Change]) -> Vec<Change> {
    let mut held = BTreeMap::new();
    for change in history {
        held.insert(&change.name, change);
    }
    held.into_values().filter(|c| c.entry != Registration::Removed).cloned().collect()
}

fn name(server: usize) -> String {
    format!("i-{server}")
}

fn registered(n: usize, revision: u64) -> Change {
    let server = Server {
        id: ServerId::new(name(n), 0),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        zone: "z".into(),
        slots: 4,
        draining: false,
        stage: None,
        version: None,
    };
    let revision = revision.into();
    Change { name: name(n), entry: Registration::Server(server), revision }
}
