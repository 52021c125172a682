//! State shared by the tasks of one gateway process: configuration, backend servers, peers and
//! counters.
//!
//! All tasks run on one thread. A cell is borrowed for one step only, never across an `await`.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::admission_queue::AdmissionQueue;
use ebonyloft_router::back_offs::BackOffs;
use ebonyloft_router::budget::Budget;
use ebonyloft_router::budget::predecessors::{PastReport, PeerUses, Predecessors, WindowUses};
use ebonyloft_router::caller_deadlines::CallerDeadlines;
use ebonyloft_router::catalog::{Config, ServerId};
use ebonyloft_router::divergence::DivergenceDetector;
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::engine_speeds::EngineSpeeds;
use ebonyloft_router::engines::EngineAdmission;
use ebonyloft_router::fair_share::{AccountWeights, FairShares};
use ebonyloft_router::fetches::Fetches;
use ebonyloft_router::fleet::Fleet;
use ebonyloft_router::learned::{ServiceStats, TrafficStats};
use ebonyloft_router::limits::ServerLimits;
use ebonyloft_router::load_report::{GossipMessage, GossipState, LoadReports};
use ebonyloft_router::lost_attempts::LostAttempts;
use ebonyloft_router::migration::Migrations;
use ebonyloft_router::node::Node;
use ebonyloft_router::part_blame::{PartBlame, PartDigest};
use ebonyloft_router::plain_servers::PlainServers;
use ebonyloft_router::quarantine::Quarantine;
use ebonyloft_router::quota::LeaseDecision;
use ebonyloft_router::quota::issuer::LeaseIssuer;
use ebonyloft_router::quota::leases::TokenLeases;
use ebonyloft_router::quota::ownership::Owners;
use ebonyloft_router::registry::ServerRegistry;
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::revision::Revision;
use ebonyloft_router::shedding::Shedding;
use ebonyloft_router::shutdown::Shutdown;
use ebonyloft_router::stage_changes::{STAGE_CHANGE_BACKOFF, StageChanges};
use ebonyloft_router::staleness::ConfigStaleness;
use ebonyloft_router::store_state::StoreState;
use ebonyloft_router::stream_origin::SoftwareId;
use ebonyloft_router::stream_origin::table::OriginTable;
use ebonyloft_router::urgency::share::URGENT_SHARE;
use ebonyloft_router::urgency::{ServiceUrgency, UrgencyLevels};
use ebonyloft_router::zone_leader::{LEADER_TIMEOUT, LeaderState};
use ebonyloft_router::zones::{self, Memory, Scope, ZoneSummaries};
use futures_channel::{mpsc, oneshot};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::body_memory::BodyMemory;
use super::digest::Digester;
use super::keys;
use super::origins::histories::{Histories, Polls};
use super::pool::Pool;
use super::store::StoreClient;
use super::stream::incoming::IncomingReservations;
use super::uploads::Uploads;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::open_count::OpenCount;
use crate::settings::MigrationSetting;

/// Versions and age of the state that a decision used.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotVersion {
    /// Version of the configuration.
    pub config: u64,
    /// Revision of the server registry.
    pub roster: u64,
    /// Milliseconds since the server registry was known to be current.
    pub age: u64,
}

/// State of one gateway process.
pub struct Shared {
    /// The process's clock.
    pub clock: Clock,
    /// Settings; replaced when the settings file changes.
    pub node: RefCell<Rc<Node>>,
    /// Computes request digests.
    pub digester: Digester,
    /// Connections to backend servers and peers.
    pub pool: Rc<Pool>,
    /// Client of the metadata store.
    pub store: StoreClient,
    /// Urgency levels by service, of the configuration with this version.
    urgency_levels: RefCell<(u64, HashMap<String, Rc<UrgencyLevels>>)>,
    /// Demand by precedence, by service of model engines.
    pub urgency: RefCell<HashMap<String, ServiceUrgency>>,
    /// Whether accounts with quotas have shares of the engines.
    pub account_shares: Cell<bool>,
    /// Whether stages are planned by the speeds of engines.
    pub plan_by_speed: Cell<bool>,
    /// Highest share of the admitted memory that goes to urgent levels.
    pub urgent_share: Cell<f64>,
    /// The newest configuration received.
    pub config: RefCell<Option<Rc<Config>>>,
    /// The server registry: all known backend servers.
    pub registry: RefCell<ServerRegistry>,
    /// When the configuration was last known to be the newest.
    pub config_staleness: RefCell<ConfigStaleness>,
    /// True if the store's newest configuration could not be decoded.
    pub config_unreadable: Cell<bool>,
    /// Ranks the gateways that may own a quota or server limit.
    pub quota_owners: RefCell<Owners>,
    /// Tokens that this gateway grants to others, as owner or standby.
    pub lease_issuer: RefCell<LeaseIssuer>,
    /// Tokens that this gateway has acquired.
    pub token_leases: RefCell<TokenLeases>,
    /// Owners that did not answer, by gateway number, and until when they are not asked.
    pub unresponsive_owners: RefCell<HashMap<u32, Timestamp>>,
    /// Token requests to owners that wait for an answer, by request number.
    pub pending_asks: RefCell<HashMap<u64, oneshot::Sender<LeaseDecision>>>,
    /// When the server registry was last known to be current, and whether the store is reachable.
    pub store_state: RefCell<StoreState>,
    /// Deadlines that callers set, by route.
    pub caller_deadlines: RefCell<CallerDeadlines>,
    /// Admission queues of plain services, by service.
    pub admission_queues: RefCell<HashMap<String, AdmissionQueue>>,
    /// Calls that wait in an admission queue.
    pub queue_waiters: Waiters,
    /// Statistics of plain backend servers.
    pub plain_servers: RefCell<PlainServers>,
    /// Work of this gateway at model engines, and the requests that wait for one.
    pub engines: RefCell<EngineAdmission>,
    /// Runs of this gateway that may be moved to another engine.
    pub migrations: RefCell<Migrations>,
    /// On which services runs are moved.
    pub migration_setting: Cell<MigrationSetting>,
    /// Speeds of engines.
    pub engine_speeds: RefCell<EngineSpeeds>,
    /// Estimates learned for services and routes.
    pub traffic_stats: RefCell<TrafficStats>,
    /// Load reports of peers.
    pub load_reports: RefCell<LoadReports>,
    /// Use of client accounts, and which are over their share.
    pub fair_shares: RefCell<FairShares>,
    /// The scope, with the edition of the gateway list and the engine memory that it was
    /// computed from.
    scope: Cell<((u64, u64), Scope)>,
    /// The gateways that rank before this one.
    ranked_above: RefCell<RankedAbove>,
    /// Memory of all engines, in tokens.
    pub engine_memory: RefCell<Memory>,
    /// Summaries of other availability zones.
    pub zone_summaries: RefCell<ZoneSummaries>,
    /// Reservations here that serve requests of other zones.
    pub incoming: RefCell<IncomingReservations>,
    /// Retry budgets, by service.
    budgets: RefCell<HashMap<String, Budget>>,
    /// New connections that are closed unread.
    pub shedding: RefCell<Shedding>,
    /// What earlier processes of this VM used of the retry budgets.
    predecessors: RefCell<Predecessors>,
    /// What peers reported of their retry budgets.
    pub peer_uses: RefCell<PeerUses>,
    /// Registered gateways.
    pub fleet: RefCell<Fleet>,
    /// Whether this gateway follows the store as a zone leader, and whether as the first one.
    pub role: RefCell<LeaderState>,
    /// When this gateway had joined the fleet, from when on it has a rank.
    joined_at: Cell<Option<Timestamp>>,
    /// Fetches of state from peers that are under way.
    pub fetches: RefCell<Fetches>,
    /// Configuration transfers to peers that are under way.
    pub uploads: Uploads,
    /// Back-offs that backend servers asked for.
    pub back_offs: RefCell<BackOffs>,
    /// Limits that backend servers report.
    pub limits: RefCell<ServerLimits>,
    /// Quarantine: requests suspected or confirmed to crash backend servers.
    pub quarantine: RefCell<Quarantine>,
    /// Parts of prompts suspected or confirmed to crash servers.
    pub part_blame: RefCell<PartBlame>,
    /// Lost attempts for which it is not known yet whether the server crashed.
    pub lost_attempts: RefCell<LostAttempts>,
    /// Wakes the tasks that investigate lost attempts and broadcast gossip state.
    pub background_waiters: Waiters,
    /// Gossip state to broadcast to all gateways.
    pub outgoing_gossip: RefCell<GossipState>,
    /// Requests confirmed here to crash servers that are not written to the store yet.
    pub unsaved_confirmations: RefCell<Vec<RequestDigest>>,
    /// Parts confirmed here that are not written to the store yet, and when they were confirmed.
    pub unsaved_parts: RefCell<Vec<(PartDigest, SoftwareId, Timestamp)>>,
    /// The software that began recent streams.
    pub origins: RefCell<OriginTable>,
    /// The softwares of services that stream, while this gateway follows the store.
    pub histories: RefCell<Histories>,
    /// Revision up to which the watch of the store has brought all changes.
    pub watched_revision: Cell<Option<Revision>>,
    /// When the store last came back from an older copy, as far as this process knows.
    pub restored_at: Cell<Option<Timestamp>>,
    /// Polls of the store beside the watch.
    pub polls: Cell<Polls>,
    /// Questions to peers about the software that began a stream, under way.
    pub origin_questions: OpenCount,
    /// Peers whose gossip state differs from this gateway's, and since when.
    pub divergence: RefCell<DivergenceDetector>,
    /// True while no gateway is known to be the leader that orders engines.
    pub lock_available: Cell<bool>,
    /// Engines that are changing their stage.
    pub stage_changes: RefCell<StageChanges>,
    /// Its shutdown, once it was told to stop.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Number of requests in progress.
    pub open_requests: Cell<usize>,
    /// Callers' connections that are open.
    pub open_connections: OpenCount,
    /// Memory of the bodies of callers' requests.
    pub bodies: BodyMemory,
    /// Counters and histograms.
    pub metrics: Metrics,
    started_at: Timestamp,
    rng: RefCell<ChaCha8Rng>,
    capacity_waiters: Waiters,
    report_requested: Cell<bool>,
    reporter: RefCell<Option<oneshot::Sender<()>>>,
    outbox: mpsc::UnboundedSender<Message>,
    outbox_receiver: Cell<Option<mpsc::UnboundedReceiver<Message>>>,
}

/// The gateways that rank before this one; none if it is not known to be registered.
#[derive(Default)]
struct RankedAbove {
    /// Edition of the gateway list, and the scope.
    computed_from: Option<(u64, Scope)>,
    names: Option<Rc<[String]>>,
}

/// A message for one peer.
pub type Message = (SocketAddr, GossipMessage);

impl Shared {
    /// Initial state of a process: no configuration, no servers, no peers.
    pub fn new(
        node: Node,
        clock: Clock,
        rng: ChaCha8Rng,
        metrics: Metrics,
        digester: Digester,
    ) -> Rc<Self> {
        let pool = Rc::new(Pool::new(clock).with_memory(node.memory));
        let store = StoreClient::new(pool.clone(), node.store);
        let store_state = match node.first_start {
            true => StoreState::new(node.bounds.heartbeat),
            false => StoreState::restarted(node.bounds.heartbeat, clock.now()),
        };
        let bodies = BodyMemory::of_requests(node.memory);
        // Before the first start of the whole system there were no retries.
        let known_from = if node.first_start { Timestamp::default() } else { clock.now() };
        let (outbox, outbox_receiver) = mpsc::unbounded();
        Rc::new(Shared {
            clock,
            node: RefCell::new(Rc::new(node)),
            digester,
            pool,
            store,
            urgency_levels: RefCell::default(),
            urgency: RefCell::default(),
            account_shares: Cell::default(),
            plan_by_speed: Cell::default(),
            urgent_share: Cell::new(URGENT_SHARE),
            config: RefCell::default(),
            registry: RefCell::default(),
            config_staleness: RefCell::default(),
            config_unreadable: Cell::default(),
            quota_owners: RefCell::default(),
            lease_issuer: RefCell::new(LeaseIssuer::new(clock.now())),
            token_leases: RefCell::default(),
            unresponsive_owners: RefCell::default(),
            pending_asks: RefCell::default(),
            store_state: RefCell::new(store_state),
            caller_deadlines: RefCell::default(),
            admission_queues: RefCell::default(),
            queue_waiters: Waiters::default(),
            plain_servers: RefCell::default(),
            engines: RefCell::default(),
            migrations: RefCell::default(),
            migration_setting: Cell::default(),
            engine_speeds: RefCell::default(),
            traffic_stats: RefCell::default(),
            load_reports: RefCell::default(),
            fair_shares: RefCell::default(),
            scope: Cell::new(((0, 0), Scope::All)),
            ranked_above: RefCell::default(),
            engine_memory: RefCell::default(),
            zone_summaries: RefCell::default(),
            incoming: RefCell::default(),
            budgets: RefCell::default(),
            shedding: RefCell::default(),
            predecessors: RefCell::new(Predecessors::new(known_from)),
            peer_uses: RefCell::new(PeerUses::new(known_from)),
            fleet: RefCell::default(),
            role: RefCell::new(LeaderState::unranked()),
            joined_at: Cell::default(),
            fetches: RefCell::default(),
            uploads: Uploads::default(),
            back_offs: RefCell::default(),
            limits: RefCell::default(),
            quarantine: RefCell::default(),
            part_blame: RefCell::new(PartBlame::new(clock.now())),
            lost_attempts: RefCell::default(),
            background_waiters: Waiters::default(),
            outgoing_gossip: RefCell::default(),
            unsaved_confirmations: RefCell::default(),
            unsaved_parts: RefCell::default(),
            origins: RefCell::default(),
            histories: RefCell::default(),
            watched_revision: Cell::default(),
            restored_at: Cell::default(),
            polls: Cell::default(),
            origin_questions: OpenCount::default(),
            divergence: RefCell::default(),
            lock_available: Cell::new(true),
            stage_changes: RefCell::default(),
            shutdown: Cell::default(),
            open_requests: Cell::new(0),
            open_connections: OpenCount::default(),
            bodies,
            metrics,
            started_at: clock.now(),
            rng: RefCell::new(rng),
            capacity_waiters: Waiters::default(),
            report_requested: Cell::default(),
            reporter: RefCell::default(),
            outbox,
            outbox_receiver: Cell::new(Some(outbox_receiver)),
        })
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A random number, uniform in 0..1.
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// A random id that no other gateway is likely to choose.
    pub fn random_id(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// The settings in force.
    pub fn node(&self) -> Rc<Node> {
        self.node.borrow().clone()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Applies a configuration if it is newer than the one in force; returns true if it was
    /// applied.
    pub fn apply_config(&self, config: Config) -> bool {
        let mut current = self.config.borrow_mut();
        if current.as_ref().is_some_and(|c| c.version >= config.version) {
            return false;
        }
        self.config_staleness.borrow_mut().on_version(config.version);
        let accounts = config.accounts.as_ref().filter(|_| self.account_shares.get());
        let weights = accounts.and_then(AccountWeights::of);
        self.fair_shares.borrow_mut().configure(weights);
        *current = Some(Rc::new(config));
        true
    }

    /// Urgency levels of a service under a configuration.
    pub fn urgency_levels(&self, config: &Config, service: &str) -> Rc<UrgencyLevels> {
        let (version, by_service) = &mut *self.urgency_levels.borrow_mut();
        if *version != config.version {
            *version = config.version;
            by_service.clear();
        }
        let compute = || Rc::new(UrgencyLevels::of(config, service));
        by_service.entry(service.to_owned()).or_insert_with(compute).clone()
    }

    /// Queues a message to one peer.
    pub fn queue_message(&self, to: SocketAddr, message: GossipMessage) {
        // The receiver lives as long as the process, so this can't fail.
        let _ = self.outbox.unbounded_send((to, message));
    }

    /// The receiver of queued messages; returned once.
    pub fn take_outbox(&self) -> Option<mpsc::UnboundedReceiver<Message>> {
        self.outbox_receiver.take()
    }

    /// True if requests of callers can be served: the lists are known, and where keys are revoked
    /// within a bound, the configuration was the newest at some time.
    pub fn is_ready(&self) -> bool {
        let confirmed_at = self.config_staleness.borrow().confirmed_at();
        let is_confirmed = confirmed_at > Timestamp::default();
        !self.is_stopping()
            && self.config.borrow().is_some()
            && (is_confirmed || keys::revoke_bound(self).is_none())
            && self.registry.borrow().is_complete()
    }

    /// True once the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Number of live gateways, this one included.
    pub fn gateway_count(&self) -> usize {
        let live = 1 + self.load_reports.borrow().live(self.now());
        live.max(self.fleet.borrow().all().len())
    }

    /// Whether engines are shared with all gateways or with those of this zone only.
    pub fn scope(&self) -> Scope {
        let (fleet, tokens) = (self.fleet.borrow(), self.engine_memory.borrow().tokens());
        let key = (fleet.edition(), tokens);
        let (computed_from, scope) = self.scope.get();
        if computed_from == key {
            return scope;
        }
        let scope = zones::scope(&fleet, tokens);
        self.scope.set((key, scope));
        scope
    }

    /// The zone whose engines this gateway uses; none if it uses those of all zones.
    pub fn zone(&self) -> Option<String> {
        (self.scope() == Scope::Zone).then(|| self.node().zone.clone())
    }

    /// Number of gateways that use the same engines, this one included.
    pub fn gateways_in_scope(&self) -> usize {
        match self.scope() {
            Scope::All => self.gateway_count(),
            Scope::Zone => self.fleet.borrow().of_zone(&self.node().zone).count().max(1),
        }
    }

    /// Names of the gateways that rank before this one among those that exchange load reports;
    /// none if this gateway is not known to be registered.
    fn higher_ranked(&self) -> Option<Rc<[String]>> {
        let (scope, node, fleet) = (self.scope(), self.node(), self.fleet.borrow());
        let key = (fleet.edition(), scope);
        let mut cached = self.ranked_above.borrow_mut();
        if cached.computed_from != Some(key) {
            let names = zones::ranked_above(&fleet, scope, &node.name);
            *cached = RankedAbove { computed_from: Some(key), names };
        }
        cached.names.clone()
    }

    /// Number of those gateways.
    pub fn rank(&self) -> Option<usize> {
        self.higher_ranked().map(|names| names.len())
    }

    /// Number of gateways of this availability zone that rank before this one.
    pub fn rank_in_zone(&self) -> usize {
        let (node, fleet) = (self.node(), self.fleet.borrow());
        fleet.higher_ranked(&node.name).map_or(0, Iterator::count)
    }

    /// Records how much memory all engines have.
    pub fn measure_memory(&self) {
        let Some(config) = self.config() else {
            return;
        };
        let registry = self.registry.borrow();
        let memory = config.services.iter().filter_map(|service| {
            let tokens = service.engine.as_ref()?.tokens;
            Some(tokens * registry.ready(&service.name).count() as u64)
        });
        self.engine_memory.borrow_mut().observe(self.now(), memory.sum());
    }

    /// Takes a first role: this gateway has joined the fleet, `is_new` if it was not registered
    /// before.
    pub fn on_joined(&self, is_new: bool) {
        let (now, ahead) = (self.now(), self.rank().unwrap_or(0));
        self.joined_at.set(Some(now));
        *self.role.borrow_mut() = match is_new {
            true => LeaderState::registered(now, ahead),
            false => LeaderState::new(now, ahead),
        };
        let complete = self.registry.borrow().is_complete();
        let ms = now.since(self.started_at).as_millis() as u64;
        tracing::info!(ms, ahead, complete, "joined the fleet");
        self.request_report();
    }

    /// Decides anew whether this gateway follows the store. A gateway that does not follow the
    /// store relies on the store access of those that do.
    pub fn update_role(&self) {
        let Some(joined_at) = self.joined_at.get() else {
            return;
        };
        let (now, load_reports) = (self.now(), self.load_reports.borrow());
        let ahead = self.higher_ranked();
        let ahead = ahead.as_deref().unwrap_or_default();
        let mut higher_ranked = load_reports.higher_ranked(now, ahead);
        // A gateway without a complete server registry reads it from the store, which is faster
        // than to wait for peers. One that got it from a peer has yet to hear from its leaders.
        let complete = self.registry.borrow().is_complete();
        if !complete {
            higher_ranked.connected = 0;
        }
        let mut role = self.role.borrow_mut();
        let before = role.follows();
        if !complete || before || now >= joined_at.after(LEADER_TIMEOUT) {
            role.update(now, higher_ranked);
        }
        if role.follows() != before {
            tracing::info!(
                follows = role.follows(),
                ahead = higher_ranked.count,
                heard = higher_ranked.connected,
                away = higher_ranked.away,
                "role in following the store changed"
            );
            self.metrics.gauge("gateway.follows", u64::from(role.follows()));
            self.request_report();
        }
        if !role.follows() {
            let link = load_reports.best_link(now);
            if let Some(at) = load_reports.known_at(now, self.registry.borrow().revision()) {
                self.store_state.borrow_mut().known(at);
            }
            if self.store_state.borrow_mut().adopt(now, link) {
                tracing::info!(?link, "store access as reported by peers changed");
            }
        }
    }

    /// Retry budget of a service.
    pub fn retry_budget(&self, service: &str) -> RefMut<'_, Budget> {
        let new = || {
            let predecessors = self.predecessors.borrow();
            let mut budget = Budget::new(self.started_at);
            budget.inherit(predecessors.known_from(), predecessors.of_service(service));
            budget
        };
        RefMut::map(self.budgets.borrow_mut(), |all| {
            all.entry(service.to_owned()).or_insert_with(new)
        })
    }

    /// What this process has used of the retry budgets in the current window.
    pub fn retry_uses(&self, now: Timestamp) -> WindowUses {
        let window = self.node().bounds.budget_window;
        let mut budgets = self.budgets.borrow_mut();
        let uses = budgets.iter_mut().map(|(name, b)| (name, b.window_use(now, window)));
        uses.filter_map(|(name, used)| Some((name.clone(), used?))).collect()
    }

    /// Must peers be asked what earlier processes of this VM used?
    pub fn asks_past(&self, now: Timestamp) -> bool {
        self.predecessors.borrow().must_ask(now, self.node().bounds.budget_window)
    }

    /// Applies what a peer knows of earlier processes of this VM; false if it tells nothing new.
    pub fn on_past_report(&self, report: PastReport) -> bool {
        let mut predecessors = self.predecessors.borrow_mut();
        let changed = predecessors.on_past_report(self.now(), report);
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            budget.inherit(predecessors.known_from(), predecessors.of_service(service));
        }
        changed
    }

    /// Load of all gateways, this one included, at an engine.
    pub fn engine_load(&self, id: &ServerId) -> EngineLoad {
        let peers = self.load_reports.borrow().peer_load(self.now(), id);
        self.engines.borrow().own_load(id).plus(peers)
    }

    /// Estimates learned for a service.
    pub fn service_estimates(&self, name: &str) -> RefMut<'_, ServiceStats> {
        RefMut::map(self.traffic_stats.borrow_mut(), |all| all.service(name))
    }

    /// Sends nothing for a while to engines that are changing their stage.
    pub fn back_off(&self, changing: &[ServerId]) {
        let until = self.now().after(STAGE_CHANGE_BACKOFF);
        let mut engines = self.engines.borrow_mut();
        for id in changing {
            engines.back_off(id, until);
        }
    }

    /// Versions and age of the current state, for log lines of decisions.
    pub fn snapshot_version(&self) -> SnapshotVersion {
        let known_at = self.store_state.borrow().known_at();
        SnapshotVersion {
            config: self.config.borrow().as_ref().map_or(0, |c| c.version),
            roster: self.registry.borrow().revision().number(),
            age: self.now().since(known_at).as_millis() as u64,
        }
    }

    /// Requests a load report: load at an engine has changed.
    pub fn request_report(&self) {
        self.report_requested.set(true);
        if let Some(sender) = self.reporter.take() {
            // The reporting task may be between two rounds and not be listening.
            let _ = sender.send(());
        }
    }

    /// Resolves when a load report is requested; at once if a request is pending.
    pub fn report_requested(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.reporter.replace(Some(sender));
        if self.report_requested.get() {
            self.request_report();
        }
        receiver
    }

    /// Clears the request for a load report, as one is about to be sent. Later changes request
    /// another one.
    pub fn clear_report_request(&self) {
        self.report_requested.set(false);
    }

    /// Resolves when capacity may have become free.
    pub fn capacity_freed(&self) -> oneshot::Receiver<()> {
        self.capacity_waiters.wait()
    }

    /// Wakes all requests that wait for capacity.
    pub fn wake_all(&self) {
        self.capacity_waiters.wake_all();
    }

    /// Admission queue of a plain service.
    pub fn admission_queue(&self, service: &str) -> RefMut<'_, AdmissionQueue> {
        RefMut::map(self.admission_queues.borrow_mut(), |all| {
            all.entry(service.to_owned()).or_default()
        })
    }
}

/// Tasks that wait to be woken.
#[derive(Default)]
pub struct Waiters {
    senders: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Waiters {
    /// Resolves at the next `wake_all`.
    pub fn wait(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().push(sender);
        receiver
    }

    /// Wakes all waiting tasks.
    pub fn wake_all(&self) {
        for sender in self.senders.take() {
            // An error means that the task has stopped waiting.
            let _ = sender.send(());
        }
    }
}
