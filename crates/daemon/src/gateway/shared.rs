//! What the tasks of one gateway process share: beliefs, records of backend servers, counters.
//!
//! All tasks run on one thread; a cell is borrowed for a step and never across a wait.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::budget::Budget;
use ebonyloft_router::catalog::{Config, ServerId};
use ebonyloft_router::content::Content;
use ebonyloft_router::delegate::{Link, Role};
use ebonyloft_router::drift::Drift;
use ebonyloft_router::engines::Engines;
use ebonyloft_router::fleet::Fleet;
use ebonyloft_router::freshness::Freshness;
use ebonyloft_router::learned::{Learned, Service};
use ebonyloft_router::limits::ServerLimits;
use ebonyloft_router::line::Line;
use ebonyloft_router::losses::Losses;
use ebonyloft_router::node::Node;
use ebonyloft_router::patience::Patience;
use ebonyloft_router::pauses::Pauses;
use ebonyloft_router::plain::Plain;
use ebonyloft_router::prefill::Paces;
use ebonyloft_router::pulls::Pulls;
use ebonyloft_router::quarantine::Quarantine;
use ebonyloft_router::quota::Reply;
use ebonyloft_router::quota::borrower::Borrower;
use ebonyloft_router::quota::homes::Homes;
use ebonyloft_router::quota::lender::Lender;
use ebonyloft_router::recency::Recency;
use ebonyloft_router::roster::Roster;
use ebonyloft_router::share::{News, Notes, Shares, Work};
use ebonyloft_router::zones::{self, Digests, Memory, Scope};
use futures_channel::{mpsc, oneshot};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::digest::Digester;
use super::pool::Pool;
use super::store::StoreClient;
use super::stream::lend::Guests;
use super::uploads::Uploads;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// How long an engine said to be changing its stage is passed over; several rounds of the datagrams
/// that say so.
const CHANGE_REST: Duration = Duration::from_millis(700);

/// Versions and age of the beliefs behind a decision.
#[derive(Clone, Copy, Debug)]
pub struct Basis {
    /// Version of the configuration.
    pub config: u64,
    /// Revision of the list of backend servers.
    pub roster: u64,
    /// Milliseconds since that list was known to hold.
    pub age: u64,
}

/// State of one gateway process.
pub struct Shared {
    /// The process's clock.
    pub clock: Clock,
    /// Settings; replaced when the file changes.
    pub node: RefCell<Rc<Node>>,
    /// Makes digests of what requests ask for.
    pub digester: Digester,
    /// Connections.
    pub pool: Rc<Pool>,
    /// The store.
    pub store: StoreClient,
    /// The newest configuration heard of.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Backend servers.
    pub roster: RefCell<Roster>,
    /// As of when the configuration is known to be the newest.
    pub recency: RefCell<Recency>,
    /// The newest configuration of the store could not be read.
    pub unread: Cell<bool>,
    /// Which gateways lend accounts' quotas.
    pub homes: RefCell<Homes>,
    /// What this gateway lends.
    pub lender: RefCell<Lender>,
    /// What it has borrowed.
    pub borrower: RefCell<Borrower>,
    /// Homes that did not answer, by number, and until when they are passed over.
    pub silent: RefCell<HashMap<u32, Timestamp>>,
    /// Questions to homes that are not answered yet.
    pub asked: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    /// How far the list of backend servers can be believed.
    pub fresh: RefCell<Freshness>,
    /// Callers' deadlines, by route.
    pub patience: RefCell<Patience>,
    /// Calls of plain services under way and waiting, by service.
    pub lines: RefCell<HashMap<String, Line>>,
    /// Calls that wait for another one to end.
    pub line_waiters: Waiters,
    /// Records of plain backend servers.
    pub plain: RefCell<Plain>,
    /// Work at model engines.
    pub engines: RefCell<Engines>,
    /// Pace of engines that read prompts.
    pub paces: RefCell<Paces>,
    /// What is learned of services and routes.
    pub learned: RefCell<Learned>,
    /// What peers told.
    pub shares: RefCell<Shares>,
    /// The scope, and the list of gateways and the memory that it was judged by.
    scope: Cell<((u64, u64), Scope)>,
    /// Memory of all engines.
    pub memory: RefCell<Memory>,
    /// What other availability zones told.
    pub digests: RefCell<Digests>,
    /// Places here that requests of other zones have.
    pub guests: RefCell<Guests>,
    /// Extra arrivals, by service.
    budgets: RefCell<HashMap<String, Budget>>,
    /// Gateways that are registered.
    pub fleet: RefCell<Fleet>,
    /// This gateway's part in following the store.
    pub role: RefCell<Role>,
    /// Beliefs that are being fetched from peers.
    pub pulls: RefCell<Pulls>,
    /// Configurations on their way to peers.
    pub uploads: Uploads,
    /// Backend servers that want nothing from this process for a while.
    pub pauses: RefCell<Pauses>,
    /// Limits that backend servers name.
    pub limits: RefCell<ServerLimits>,
    /// Contents under which backend servers ended.
    pub quarantine: RefCell<Quarantine>,
    /// Losses of which it is not known yet whether their servers ended.
    pub losses: RefCell<Losses>,
    /// Wakes who looks into them.
    pub inquiries: Waiters,
    /// What all gateways should hear beside what the store says.
    pub notes: RefCell<Notes>,
    /// Contents proved here that the store should know.
    pub proofs: RefCell<Vec<Content>>,
    /// Since when peers know something else beside what the store says.
    pub drift: RefCell<Drift>,
    /// Nobody is known to hold the right to order engines.
    pub lock_free: Cell<bool>,
    /// Engines that this process ordered to change their stage and that have not yet.
    pub changing: RefCell<Vec<ServerId>>,
    /// When the process was told to stop.
    pub stopping: Cell<Option<Timestamp>>,
    /// Requests being worked on.
    pub open: Cell<usize>,
    /// Counters and histograms.
    pub metrics: Metrics,
    born_at: Timestamp,
    rng: RefCell<ChaCha8Rng>,
    waiters: Waiters,
    news: Cell<bool>,
    teller: RefCell<Option<oneshot::Sender<()>>>,
    outbox: mpsc::UnboundedSender<Letter>,
    letters: Cell<Option<mpsc::UnboundedReceiver<Letter>>>,
}

/// News for one peer.
pub type Letter = (SocketAddr, News);

impl Shared {
    /// State of a process that knows nothing yet.
    pub fn new(
        node: Node,
        clock: Clock,
        rng: ChaCha8Rng,
        metrics: Metrics,
        digester: Digester,
    ) -> Rc<Self> {
        let pool = Rc::new(Pool::new(clock));
        let store = StoreClient::new(pool.clone(), node.store);
        let (outbox, letters) = mpsc::unbounded();
        Rc::new(Shared {
            clock,
            node: RefCell::new(Rc::new(node)),
            digester,
            pool,
            store,
            config: RefCell::default(),
            roster: RefCell::default(),
            recency: RefCell::default(),
            unread: Cell::default(),
            homes: RefCell::default(),
            lender: RefCell::new(Lender::new(clock.now())),
            borrower: RefCell::default(),
            silent: RefCell::default(),
            asked: RefCell::default(),
            fresh: RefCell::default(),
            patience: RefCell::default(),
            lines: RefCell::default(),
            line_waiters: Waiters::default(),
            plain: RefCell::default(),
            engines: RefCell::default(),
            paces: RefCell::default(),
            learned: RefCell::default(),
            shares: RefCell::default(),
            scope: Cell::new(((0, 0), Scope::All)),
            memory: RefCell::default(),
            digests: RefCell::default(),
            guests: RefCell::default(),
            budgets: RefCell::default(),
            fleet: RefCell::default(),
            role: RefCell::new(Role::new(clock.now())),
            pulls: RefCell::default(),
            uploads: Uploads::default(),
            pauses: RefCell::default(),
            limits: RefCell::default(),
            quarantine: RefCell::default(),
            losses: RefCell::default(),
            inquiries: Waiters::default(),
            notes: RefCell::default(),
            proofs: RefCell::default(),
            drift: RefCell::default(),
            lock_free: Cell::new(true),
            changing: RefCell::default(),
            stopping: Cell::default(),
            open: Cell::new(0),
            metrics,
            born_at: clock.now(),
            rng: RefCell::new(rng),
            waiters: Waiters::default(),
            news: Cell::default(),
            teller: RefCell::default(),
            outbox,
            letters: Cell::new(Some(letters)),
        })
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Uniform in 0..1.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// A number that no other gateway is likely to draw.
    pub fn draw_number(&self) -> u64 {
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

    /// Puts a configuration in force unless an equal or newer one is; true when it did.
    pub fn offer(&self, config: Config) -> bool {
        let mut held = self.config.borrow_mut();
        if held.as_ref().is_some_and(|c| c.version >= config.version) {
            return false;
        }
        self.recency.borrow_mut().on_version(config.version);
        *held = Some(Rc::new(config));
        true
    }

    /// Sends news to one peer.
    pub fn post(&self, to: SocketAddr, news: News) {
        // The receiver lives as long as the process.
        let _ = self.outbox.unbounded_send((to, news));
    }

    /// What is to be sent to single peers; given once.
    pub fn letters(&self) -> Option<mpsc::UnboundedReceiver<Letter>> {
        self.letters.take()
    }

    /// May callers be taken?
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.borrow().is_some() && self.roster.borrow().is_complete()
    }

    /// Was the process told to stop?
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Live gateways, this one included.
    pub fn entries(&self) -> usize {
        let heard = 1 + self.shares.borrow().live(self.now());
        heard.max(self.fleet.borrow().all().len())
    }

    /// Who shares engines and all news with this gateway.
    pub fn scope(&self) -> Scope {
        let (fleet, tokens) = (self.fleet.borrow(), self.memory.borrow().tokens());
        let key = (fleet.edition(), tokens);
        let (judged, scope) = self.scope.get();
        if judged == key {
            return scope;
        }
        let scope = zones::scope(&fleet, tokens);
        self.scope.set((key, scope));
        scope
    }

    /// The zone whose engines are placed at from here; none when all are.
    pub fn zone(&self) -> Option<String> {
        (self.scope() == Scope::Zone).then(|| self.node().zone.clone())
    }

    /// Gateways that place at the same engines, this one included.
    pub fn neighbours(&self) -> usize {
        match self.scope() {
            Scope::All => self.entries(),
            Scope::Zone => self.fleet.borrow().of_zone(&self.node().zone).count().max(1),
        }
    }

    /// How many gateways of this availability zone take duties before this one; none while it is not
    /// known to be registered.
    pub fn rank(&self) -> Option<usize> {
        let (node, fleet) = (self.node(), self.fleet.borrow());
        fleet.ahead(&node.name).map(Iterator::count)
    }

    /// Looks how much memory all engines have.
    pub fn measure_memory(&self) {
        let Some(config) = self.config() else {
            return;
        };
        let roster = self.roster.borrow();
        let held = config.services.iter().filter_map(|service| {
            let tokens = service.engine.as_ref()?.tokens;
            Some(tokens * roster.ready(&service.name).count() as u64)
        });
        self.memory.borrow_mut().observe(self.now(), held.sum());
    }

    /// Judges anew whether this gateway follows the store; one that does not goes by what those say
    /// that do.
    pub fn judge_role(&self) {
        let (now, node) = (self.now(), self.node());
        let (fleet, shares) = (self.fleet.borrow(), self.shares.borrow());
        let heard = |name: &str| matches!(shares.link(now, name), Some(Link::Heard { .. }));
        let ahead: Vec<&str> = fleet.ahead(&node.name).map_or_else(Vec::new, Iterator::collect);
        let (all, heard) = (ahead.len(), ahead.iter().filter(|n| heard(n)).count());
        // Who has not read the whole list yet reads it: that is faster than to be given it.
        let heard = if self.roster.borrow().is_complete() { heard } else { 0 };
        let mut role = self.role.borrow_mut();
        let before = role.follows();
        role.judge(now, all, heard);
        if role.follows() != before {
            tracing::info!(
                follows = role.follows(),
                ahead = all,
                heard,
                "part in following the store"
            );
            self.metrics.gauge("gateway.follows", u64::from(role.follows()));
        }
        if !role.follows() {
            let link = shares.best_link(now);
            if let Some(at) = shares.known_at(now, self.roster.borrow().revision()) {
                self.fresh.borrow_mut().known(at);
            }
            if self.fresh.borrow_mut().adopt(now, link) {
                tracing::info!(?link, "store, as peers hear it");
            }
        }
    }

    /// Extra arrivals at a service.
    pub fn budget(&self, service: &str) -> RefMut<'_, Budget> {
        let new = || Budget::new(self.born_at);
        RefMut::map(self.budgets.borrow_mut(), |all| {
            all.entry(service.to_owned()).or_insert_with(new)
        })
    }

    /// Work of this and all other gateways at an engine.
    pub fn work(&self, id: &ServerId) -> Work {
        let peers = self.shares.borrow().work(self.now(), id);
        self.engines.borrow().own(id).plus(peers)
    }

    /// What is learned of a service.
    pub fn service(&self, name: &str) -> RefMut<'_, Service> {
        RefMut::map(self.learned.borrow_mut(), |all| all.service(name))
    }

    /// These engines are changing their stage: nothing is sent there for a few rounds of news.
    pub fn rest(&self, changing: &[ServerId]) {
        let until = self.now().after(CHANGE_REST);
        let mut engines = self.engines.borrow_mut();
        for id in changing {
            engines.rest(id, until);
        }
    }

    /// What decisions are based on now, for the log.
    pub fn basis(&self) -> Basis {
        let known_at = self.fresh.borrow().known_at();
        Basis {
            config: self.config.borrow().as_ref().map_or(0, |c| c.version),
            roster: self.roster.borrow().revision(),
            age: self.now().since(known_at).as_millis() as u64,
        }
    }

    /// Work at an engine began or ended: peers should hear of it.
    pub fn note_news(&self) {
        self.news.set(true);
        if let Some(sender) = self.teller.take() {
            // The teller may be between two rounds.
            let _ = sender.send(());
        }
    }

    /// Resolves when there is something that peers should hear of, at once if there is already.
    pub fn news(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.teller.replace(Some(sender));
        if self.news.get() {
            self.note_news();
        }
        receiver
    }

    /// What there is so far is about to be told; later news is told with the next datagram.
    pub fn told(&self) {
        self.news.set(false);
    }

    /// Resolves when a place may have come free.
    pub fn wake(&self) -> oneshot::Receiver<()> {
        self.waiters.wake()
    }

    /// A place may have come free.
    pub fn wake_all(&self) {
        self.waiters.wake_all();
    }

    /// Calls of a plain service.
    pub fn line(&self, service: &str) -> RefMut<'_, Line> {
        RefMut::map(self.lines.borrow_mut(), |all| all.entry(service.to_owned()).or_default())
    }
}

/// Tasks that wait for something to come free.
#[derive(Default)]
pub struct Waiters {
    senders: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Waiters {
    /// Resolves when something may have come free.
    pub fn wake(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().push(sender);
        receiver
    }

    /// Something may have come free.
    pub fn wake_all(&self) {
        for sender in self.senders.take() {
            // A receiver that is gone stopped waiting.
            let _ = sender.send(());
        }
    }
}
