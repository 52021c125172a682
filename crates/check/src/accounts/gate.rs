//! One gateway: the real decisions, and what it hears of others.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::Fleet;
use ebonyloft_router::node::Excess;
use ebonyloft_router::quota::issuer::{LeaseIssuer, standby_share};
use ebonyloft_router::quota::leases::TokenLeases;
use ebonyloft_router::quota::ownership::{
    Owners, ReachabilityReports, UnreachableGateways, gateway_number,
};
use ebonyloft_router::quota::{LeaseDecision, LeaseRequest, LimitKey};
use ebonyloft_router::staleness::ConfigStaleness;
use ebonyloft_router::zone_leader::LEADER_TIMEOUT;
use ebonyloft_router::zones::{Scope, scope};

use super::{Mutant, OVER, WINDOW};

/// How long a home that did not answer is passed over.
const SILENT_REST: Duration = Duration::from_millis(1_000);
/// A home that begins with a burst, as a mutant has it, has been one for so long.
const LONG_AGO: Duration = Duration::from_secs(60);

/// What is tolerated beyond a bound.
const EXCESS: Excess = Excess { part: OVER, fixed: 0.0, window: WINDOW };

/// A gateway's process.
pub struct Gate {
    /// Name of its VM.
    pub name: String,
    /// Version of the configuration that it knows; zero for none.
    pub version: u64,
    /// As of when that is the newest.
    pub recency: ConfigStaleness,
    /// What it borrowed.
    pub borrower: TokenLeases,
    lender: LeaseIssuer,
    homes: Owners,
    heard: BTreeMap<String, (Timestamp, UnreachableGateways)>,
    silent: HashMap<u32, Timestamp>,
    mutant: Option<Mutant>,
    /// Bounds that a mutant goes on with until a bucket is empty.
    old: HashMap<LimitKey, Rate>,
}

impl Gate {
    /// A process that starts.
    pub fn new(now: Timestamp, name: &str, mutant: Option<Mutant>) -> Self {
        let since = if mutant == Some(Mutant::StartsFull) { now.before(LONG_AGO) } else { now };
        Gate {
            name: name.to_owned(),
            version: 0,
            recency: ConfigStaleness::default(),
            borrower: TokenLeases::default(),
            lender: LeaseIssuer::new(since),
            homes: Owners::default(),
            heard: BTreeMap::new(),
            silent: HashMap::new(),
            mutant,
            old: HashMap::new(),
        }
    }

    /// Another gateway told whom it misses.
    pub fn hear(&mut self, now: Timestamp, name: &str, missing: UnreachableGateways) {
        self.heard.insert(name.to_owned(), (now, missing));
    }

    /// Whom this one misses.
    pub fn missing(&self, now: Timestamp, fleet: &Fleet) -> UnreachableGateways {
        if scope(fleet, 0) == Scope::Zone {
            return UnreachableGateways::new();
        }
        let others = fleet.all().keys().filter(|name| **name != self.name);
        let lost = others.filter(|name| self.lately(now, name).is_none());
        lost.map(|name| gateway_number(name)).collect()
    }

    fn lately(&self, now: Timestamp, name: &str) -> Option<&UnreachableGateways> {
        let (at, missing) = self.heard.get(name)?;
        (now.since(*at) < LEADER_TIMEOUT).then_some(missing)
    }

    /// Upkeep.
    pub fn tick(&mut self, now: Timestamp, fleet: &Fleet) {
        if self.mutant != Some(Mutant::StartsFull) {
            self.lender.tick(now, fleet.edition());
        }
        self.silent.retain(|_, until| *until > now);
    }

    /// The gateways ranked for an account.
    pub fn ranked(&mut self, fleet: &Fleet, key: &LimitKey) -> std::rc::Rc<[String]> {
        self.homes.ranked(fleet, key)
    }

    /// The gateway to ask for an account.
    pub fn home(&mut self, now: Timestamp, fleet: &Fleet, key: &LimitKey) -> Option<String> {
        let mut missing = self.missing(now, fleet);
        missing.extend(self.silent.keys());
        self.homes.owner(fleet, key, &missing)
    }

    /// A home did not answer.
    pub fn note_silent(&mut self, now: Timestamp, home: &str) {
        self.silent.insert(gateway_number(home), now.after(SILENT_REST));
    }

    /// Lends, as the home of an account or in its place.
    pub fn lend(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        ask: &LeaseRequest,
        bound: &Rate,
    ) -> LeaseDecision {
        let bound = self.bound(&ask.key, bound);
        if self.mutant == Some(Mutant::ByNumber) {
            let part = 1.0 / fleet.all().len() as f64;
            return self.lender.grant(now, ask, &bound, part, true);
        }
        let ranked = self.homes.ranked(fleet, &ask.key);
        let at = ranked.iter().position(|name| *name == self.name);
        let deputy = at.is_some_and(|at| at > 0) && self.mutant == Some(Mutant::DeputyFull);
        let part = match deputy {
            true => 1.0,
            false => self.part(now, fleet, &ask.key, &bound, at),
        };
        let first = deputy || at == Some(0);
        self.tick(now, fleet);
        self.lender.grant(now, ask, &bound, part, first)
    }

    /// Takes back what another gateway did not use.
    pub fn take_back(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        key: &LimitKey,
        tokens: u64,
        bound: &Rate,
    ) {
        let at = self.homes.ranked(fleet, key).iter().position(|name| *name == self.name);
        let part = self.part(now, fleet, key, bound, at);
        self.lender.return_unused(key, tokens, part);
    }

    /// The bound that counts; a mutant keeps a higher one until it has nothing left to lend.
    fn bound(&mut self, key: &LimitKey, bound: &Rate) -> Rate {
        if self.mutant != Some(Mutant::LoweredLate) {
            return *bound;
        }
        let old = *self.old.entry(key.clone()).or_insert(*bound);
        let empty = self.lender.level(key).is_some_and(|level| level <= 0.0);
        let counts = if old.rate > bound.rate && !empty { old } else { *bound };
        self.old.insert(key.clone(), counts);
        counts
    }

    fn part(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        key: &LimitKey,
        bound: &Rate,
        at: Option<usize>,
    ) -> f64 {
        if scope(fleet, 0) == Scope::Zone {
            return match at {
                Some(0) => 1.0,
                Some(1) => standby_share(bound, &EXCESS),
                _ => 0.0,
            };
        }
        let own = self.missing(now, fleet);
        let mut homes = std::mem::take(&mut self.homes);
        let part = homes.share(fleet, key, &self.name, &View { gate: self, now, own: &own });
        self.homes = homes;
        part
    }
}

struct View<'a> {
    gate: &'a Gate,
    now: Timestamp,
    own: &'a UnreachableGateways,
}

impl ReachabilityReports for View<'_> {
    fn missing(&self, name: &str) -> Option<&UnreachableGateways> {
        match name == self.gate.name {
            true => Some(self.own),
            false => self.gate.lately(self.now, name),
        }
    }
}
