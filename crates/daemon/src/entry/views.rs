//! What an entry knows of pools, and the choices it makes from that.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::config::{Document, Labels, Route, Target};
use ebonyloft_core::ids::{Key, MemberId, Peer, PoolName, Zone};
use ebonyloft_core::limits::RetryBudget;
use ebonyloft_core::members::{Card, Role, Standing};
use ebonyloft_core::message::{LoadReport, Work};
use ebonyloft_core::placement::Placement;
use ebonyloft_core::request::{Fleet, Spec};
use ebonyloft_core::route::{
    self, Earliest, LeastLoaded, Policy, PoolView, Random, Reading, RoundRobin,
};
use ebonyloft_core::time::Moment;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::settings::{EntrySettings, PolicyName};
use crate::sidecar::HEAD_TOKENS;

/// Views of all pools.
pub struct Views {
    me: MemberId,
    cards: Rc<Vec<Card>>,
    doc: Rc<Document>,
    placement: Rc<Placement>,
    pools: BTreeMap<PoolName, PoolView>,
    kept: HashSet<MemberId>,
    policy: Box<dyn Policy>,
    reading: Reading,
    budget: RetryBudget,
    rng: SmallRng,
}

impl Views {
    /// Views of an entry with these settings.
    pub fn new(settings: &EntrySettings, now: Moment) -> Self {
        let zone = Zone(settings.common.zone.clone());
        let policy: Box<dyn Policy> = match settings.policy {
            PolicyName::Default => Box::new(Earliest { zone }),
            PolicyName::Random => Box::new(Random),
            PolicyName::RoundRobin => Box::new(RoundRobin::default()),
            PolicyName::LeastLoaded => Box::new(LeastLoaded),
        };
        let own = settings.policy == PolicyName::Default;
        let reading = Reading {
            rate: settings.prefill_rate,
            token_bytes: settings.token_bytes,
            link_rate: settings.link_rate,
            head_tokens: HEAD_TOKENS,
            weights: Default::default(),
            affinity: own,
            timed: own,
        };
        Views {
            me: MemberId(settings.common.name.clone()),
            cards: Rc::default(),
            doc: Rc::default(),
            placement: Rc::default(),
            pools: BTreeMap::new(),
            kept: HashSet::new(),
            policy,
            reading,
            budget: RetryBudget::new(now),
            rng: SmallRng::from_os_rng(),
        }
    }

    /// The members known.
    pub fn cards(&self) -> &Rc<Vec<Card>> {
        &self.cards
    }

    /// Puts members in force.
    pub fn set_cards(&mut self, cards: Rc<Vec<Card>>) {
        self.cards = cards;
        self.rebuild();
    }

    /// Puts a configuration in force.
    pub fn set_doc(&mut self, doc: Rc<Document>) {
        self.reading.weights = doc.weights;
        self.doc = doc;
        self.rebuild();
    }

    /// Puts a placement in force.
    pub fn set_placement(&mut self, placement: Rc<Placement>) {
        self.placement = placement;
    }

    /// The sidecars whose links are held open; those called dead among them, for a link that opens
    /// is the first sign of life.
    pub fn kept(&self) -> HashSet<MemberId> {
        self.kept.clone()
    }

    /// A load report.
    pub fn on_load(&mut self, peer: &Peer, load: &LoadReport) {
        for pool in self.pools.values_mut() {
            pool.on_load(peer, load);
        }
    }

    /// A sidecar failed or refused.
    pub fn on_failed(&mut self, now: Moment, peer: &Peer) {
        for pool in self.pools.values_mut() {
            pool.on_failed(now, peer);
        }
    }

    /// A request came in: it earns a part of a retry.
    pub fn on_request(&mut self) {
        self.budget.earn();
    }

    /// The choices for requests of one route.
    pub fn fleet<'a>(&'a mut self, route: &'a Route) -> RouteFleet<'a> {
        RouteFleet { views: self, route }
    }

    /// Why requests with these labels go where they go.
    pub fn explain(&self, labels: &Labels) -> serde_json::Value {
        let tried: Vec<serde_json::Value> = self
            .doc
            .routes
            .iter()
            .map(|r| {
                let miss = r.select.first_miss(labels);
                serde_json::json!({ "route": r.name, "matches": miss.is_none(), "missing": miss })
            })
            .collect();
        let route = self.doc.route(labels);
        let servers = route
            .map(|r| self.explain_pools(&r.target))
            .unwrap_or_default();
        serde_json::json!({
            "labels": labels,
            "tried": tried,
            "route": route.map(|r| r.name.clone()),
            "class": route.map(|r| r.class),
            "pools": servers,
        })
    }

    /// All pools with the servers that this entry sends to.
    pub fn explain_all(&self) -> serde_json::Value {
        self.pools
            .keys()
            .map(|name| self.explain_pool(name))
            .collect()
    }

    fn explain_pools(&self, target: &Target) -> serde_json::Value {
        let names = match target {
            Target::Plain { pool } => vec![pool],
            Target::Model {
                decode, prefill, ..
            } => std::iter::once(decode).chain(prefill.as_ref()).collect(),
        };
        names
            .into_iter()
            .map(|name| self.explain_pool(name))
            .collect()
    }

    fn explain_pool(&self, name: &PoolName) -> serde_json::Value {
        let row = |s: &route::Server| {
            serde_json::json!({
                "member": s.peer.id, "zone": s.zone, "used": s.load.used,
                "slots": s.load.slots, "waiting": s.load.waiting, "leaving": s.load.leaving,
            })
        };
        let servers = self
            .pools
            .get(name)
            .map(|p| p.servers().map(row).collect::<Vec<_>>());
        serde_json::json!({ "pool": name, "servers": servers.unwrap_or_default() })
    }

    fn rebuild(&mut self) {
        let mut old = std::mem::take(&mut self.pools);
        self.kept.clear();
        for (name, pool) in &self.doc.pools {
            let fits = |c: &&Card| c.role == Role::Sidecar && pool.select.matches(&c.labels);
            let known: Vec<&Card> = self
                .cards
                .iter()
                .filter(fits)
                .filter(|c| c.standing != Standing::Left)
                .collect();
            let ids: Vec<MemberId> = known.iter().map(|c| c.peer.id.clone()).collect();
            let kept = route::subset(&self.me, name, &ids, route::SUBSET);
            let mine: Vec<&Card> = known
                .into_iter()
                .filter(|c| kept.contains(&c.peer.id))
                .collect();
            let live = mine.iter().filter(|c| c.usable()).count();
            // Rather a suspect than nobody.
            let may = |c: &&Card| c.usable() || (live == 0 && c.standing == Standing::Suspect);
            let servers = mine
                .into_iter()
                .filter(may)
                .map(|c| (c.peer.clone(), c.zone.clone()));
            let mut view = old.remove(name).unwrap_or_default();
            view.set(servers);
            self.pools.insert(name.clone(), view);
            self.kept.extend(kept);
        }
    }
}

/// The choices for requests of one route.
pub struct RouteFleet<'a> {
    views: &'a mut Views,
    route: &'a Route,
}

impl RouteFleet<'_> {
    /// When the prefill pool is worth asking again, if it is too busy for the route's target now: a
    /// decode slot taken for work that waits for its prompt is a slot wasted.
    fn prefill_full(&self, now: Moment) -> Option<Moment> {
        let Target::Model {
            prefill: Some(name),
            ..
        } = &self.route.target
        else {
            return None;
        };
        if !self.views.policy.predicts() {
            return None;
        }
        let wait = self
            .views
            .pools
            .get(name)?
            .prefill_wait(&self.views.reading)?;
        (wait > self.route.first_ms).then(|| now.after(wait))
    }

    /// How long a request holds a slot, estimated.
    fn hold(&self, spec: &Spec) -> Duration {
        match &spec.work {
            Work::Completion(c) => self.route.token_ms * c.max_tokens,
            Work::Plain(_) => Duration::from_millis(20),
        }
    }
}

impl Fleet for RouteFleet<'_> {
    fn home(&self, key: &Key) -> Option<(Peer, u64)> {
        let placement = &self.views.placement;
        let slot = key.slot(placement.rows.len() as u16);
        placement.home(slot).map(|p| (p.clone(), placement.epoch))
    }

    fn executor(&mut self, now: Moment, spec: &Spec) -> Result<Peer, Option<Moment>> {
        if spec.split
            && let Some(at) = self.prefill_full(now)
        {
            return Err(Some(at));
        }
        let hold = self.hold(spec);
        let name = match &self.route.target {
            Target::Model { decode, .. } => decode,
            Target::Plain { pool } => pool,
        };
        let Views {
            pools, policy, rng, ..
        } = &mut *self.views;
        let pool = pools.get_mut(name).ok_or(None)?;
        pool.executor(now, spec, hold, policy.as_mut(), rng)
    }

    fn prefill(&mut self, now: Moment, spec: &Spec, slot_at: Moment) -> Option<(Peer, Moment)> {
        let Target::Model {
            prefill: Some(name),
            ..
        } = &self.route.target
        else {
            return None;
        };
        let Views {
            pools,
            reading,
            rng,
            ..
        } = &mut *self.views;
        pools
            .get_mut(name)?
            .prefill(now, spec, slot_at, reading, rng)
    }

    fn may_retry(&mut self, now: Moment) -> bool {
        self.views.budget.spend(now)
    }
}
