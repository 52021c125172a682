//! One simulated gateway: the router's real decisions, and the gossip that it has received.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::Fleet;
use ebonyloft_router::node::Excess;
use ebonyloft_router::quota::issuer::{LeaseIssuer, standby_share};
use ebonyloft_router::quota::leases::TokenLeases;
use ebonyloft_router::quota::ownership::{
    self, Owners, ReachabilityReports, UnreachableGateways, gateway_number,
};
use ebonyloft_router::quota::{LeaseDecision, LeaseRequest, LimitKey};
use ebonyloft_router::staleness::ConfigStaleness;
use ebonyloft_router::zone_leader::LEADER_TIMEOUT;
use ebonyloft_router::zones::{Scope, scope};

use super::{EXCESS_MAX, Mutant, WINDOW};

/// How long an owner that did not answer is skipped.
const SILENT_BACKOFF: Duration = Duration::from_millis(1_000);
/// A mutant's owner claims to have started this long ago, so that it grants a full burst.
const EARLIER_START: Duration = Duration::from_secs(60);

/// Tolerated excess over a rate limit.
const EXCESS: Excess = Excess { fraction: EXCESS_MAX, fixed: 0.0, window: WINDOW };

/// State of one incarnation of a gateway.
pub struct GatewayProcess {
    /// Name of its VM.
    pub name: String,
    /// Version of its configuration; zero for none.
    pub version: u64,
    /// When this version was last confirmed to be the newest.
    pub staleness: ConfigStaleness,
    /// Tokens that it has acquired.
    pub leases: TokenLeases,
    issuer: LeaseIssuer,
    owners: Owners,
    /// Latest gossip of each gateway: when it was received, and which gateways it can't reach.
    gossip: BTreeMap<String, (Timestamp, UnreachableGateways)>,
    /// Owners that did not answer, and until when they are skipped.
    silent_owners: HashMap<u32, Timestamp>,
    mutant: Option<Mutant>,
    /// Rate limits that a mutant keeps using until the token bucket is empty.
    previous_limits: HashMap<LimitKey, Rate>,
}

impl GatewayProcess {
    /// A gateway that has just started.
    pub fn new(now: Timestamp, name: &str, mutant: Option<Mutant>) -> Self {
        let since =
            if mutant == Some(Mutant::StartsFull) { now.before(EARLIER_START) } else { now };
        GatewayProcess {
            name: name.to_owned(),
            version: 0,
            staleness: ConfigStaleness::default(),
            leases: TokenLeases::default(),
            issuer: LeaseIssuer::new(since),
            owners: Owners::default(),
            gossip: BTreeMap::new(),
            silent_owners: HashMap::new(),
            mutant,
            previous_limits: HashMap::new(),
        }
    }

    /// Another gateway reported which gateways it can't reach.
    pub fn on_gossip(&mut self, now: Timestamp, name: &str, unreachable: UnreachableGateways) {
        self.gossip.insert(name.to_owned(), (now, unreachable));
    }

    /// Gateways that this one can't reach.
    pub fn unreachable(&self, now: Timestamp, fleet: &Fleet) -> UnreachableGateways {
        if scope(fleet, 0) == Scope::Zone {
            return UnreachableGateways::new();
        }
        let others = fleet.all().keys().filter(|name| **name != self.name);
        let unreachable = others.filter(|name| self.recent_gossip(now, name).is_none());
        unreachable.map(|name| gateway_number(name)).collect()
    }

    fn recent_gossip(&self, now: Timestamp, name: &str) -> Option<&UnreachableGateways> {
        let (at, unreachable) = self.gossip.get(name)?;
        (now.since(*at) < LEADER_TIMEOUT).then_some(unreachable)
    }

    /// Periodic upkeep.
    pub fn tick(&mut self, now: Timestamp, fleet: &Fleet) {
        if self.mutant != Some(Mutant::StartsFull) {
            self.issuer.tick(now, fleet.edition());
        }
        let reachability = (scope(fleet, 0) == Scope::All).then(|| {
            let own_unreachable = self.unreachable(now, fleet);
            let view = View { gateway: self, now, own_unreachable: &own_unreachable };
            ownership::reachability(fleet, &view)
        });
        self.issuer.observe(now, reachability);
        self.silent_owners.retain(|_, until| *until > now);
    }

    /// Gateways in the order in which they may own an account.
    pub fn ranked(&mut self, fleet: &Fleet, key: &LimitKey) -> std::rc::Rc<[String]> {
        self.owners.ranked(fleet, key)
    }

    /// The gateway to ask for tokens of an account.
    pub fn owner(&mut self, now: Timestamp, fleet: &Fleet, key: &LimitKey) -> Option<String> {
        let mut unreachable = self.unreachable(now, fleet);
        unreachable.extend(self.silent_owners.keys());
        self.owners.owner(fleet, key, &unreachable)
    }

    /// An owner did not answer.
    pub fn on_owner_silent(&mut self, now: Timestamp, owner: &str) {
        self.silent_owners.insert(gateway_number(owner), now.after(SILENT_BACKOFF));
    }

    /// Grants tokens of an account, as its owner or standby.
    pub fn grant(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        ask: &LeaseRequest,
        limit: &Rate,
    ) -> LeaseDecision {
        let limit = self.effective_limit(&ask.key, limit);
        if self.mutant == Some(Mutant::ByNumber) {
            let share = 1.0 / fleet.all().len() as f64;
            return self.issuer.grant(now, ask, &limit, share, true);
        }
        let ranked = self.owners.ranked(fleet, &ask.key);
        let rank = ranked.iter().position(|name| *name == self.name);
        let standby = rank.is_some_and(|rank| rank > 0) && self.mutant == Some(Mutant::DeputyFull);
        let share = match standby {
            true => 1.0,
            false => self.share(now, fleet, &ask.key, &limit, rank),
        };
        let primary = standby || rank == Some(0);
        self.tick(now, fleet);
        self.issuer.grant(now, ask, &limit, share, primary)
    }

    /// Takes back tokens that another gateway did not use.
    pub fn accept_return(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        key: &LimitKey,
        tokens: u64,
        limit: &Rate,
    ) {
        let rank = self.owners.ranked(fleet, key).iter().position(|name| *name == self.name);
        let share = self.share(now, fleet, key, limit, rank);
        self.issuer.return_unused(key, tokens, share);
    }

    /// The rate limit in effect; a mutant keeps a higher one until it has no tokens left to grant.
    fn effective_limit(&mut self, key: &LimitKey, limit: &Rate) -> Rate {
        if self.mutant != Some(Mutant::LoweredLate) {
            return *limit;
        }
        let previous = *self.previous_limits.entry(key.clone()).or_insert(*limit);
        let empty = self.issuer.level(key).is_some_and(|level| level <= 0.0);
        let effective = if previous.rate > limit.rate && !empty { previous } else { *limit };
        self.previous_limits.insert(key.clone(), effective);
        effective
    }

    /// Share of the rate limit that this gateway may grant.
    fn share(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        key: &LimitKey,
        limit: &Rate,
        rank: Option<usize>,
    ) -> f64 {
        if scope(fleet, 0) == Scope::Zone {
            return match rank {
                Some(0) => 1.0,
                Some(1) => standby_share(limit, &EXCESS),
                _ => 0.0,
            };
        }
        let own_unreachable = self.unreachable(now, fleet);
        let mut owners = std::mem::take(&mut self.owners);
        let share = owners.share(
            fleet,
            key,
            &self.name,
            &View { gateway: self, now, own_unreachable: &own_unreachable },
        );
        self.owners = owners;
        share
    }
}

/// What is known of the gateways' reachability, for the router's decision about a share.
struct View<'a> {
    gateway: &'a GatewayProcess,
    now: Timestamp,
    own_unreachable: &'a UnreachableGateways,
}

impl ReachabilityReports for View<'_> {
    fn unreachable(&self, name: &str) -> Option<&UnreachableGateways> {
        match name == self.gateway.name {
            true => Some(self.own_unreachable),
            false => self.gateway.recent_gossip(self.now, name),
        }
    }
}
