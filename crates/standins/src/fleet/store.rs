//! The platform's metadata store with revisions, conditional writes, leases, watches, faults, and copies that it
//! comes back from.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use ebonyloft_platform::servers;
use ebonyloft_platform::simulation::{self, StoreCall, StoreWrite};
use ebonyloft_platform::store::{ERA, Item};
use ebonyloft_router::catalog::Server;
use ebonyloftd::http::{self, Body};
use ebonyloftd::open_count::OpenCount;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::slow;

/// Largest request body.
const BODY_LIMIT: usize = 4 << 20;
/// Items of one page of a range read.
const PAGE_ITEMS: usize = 50;
/// Interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(5);
/// Longest wait of a watch that is only to tell what has changed.
const POLL_MAX: Duration = Duration::from_millis(10);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers 503 and performs no call; waiting watches answer 503 too.
    Busy,
    /// Neither performs nor answers calls; waiting watches answer 503.
    Silent,
    /// Performs calls without answering them; waiting watches answer 503.
    Lost,
    /// Like `Silent`; waiting watches are not answered either.
    Deaf,
}

#[derive(Clone)]
struct Lease {
    expires_at: Instant,
    ttl: Duration,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, (Item, u64)>,
    history: Vec<Item>,
    /// Last revision whose changes are no longer kept.
    compacted_revision: u64,
    revision: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

/// A running metadata store.
#[derive(Default)]
pub struct Store {
    state: RefCell<State>,
    /// Copy that the store may come back from.
    copy: RefCell<Option<State>>,
    /// Rises each time that it does.
    era: Cell<u64>,
    fault: Cell<Fault>,
    /// Bytes a second at which bodies of answers are sent; unlimited if `None`.
    rate: Cell<Option<usize>>,
    calls: Cell<u64>,
    /// Price of all calls, in tenths of a usual one's.
    price: Cell<u64>,
    /// Watches that wait for changes now.
    open_watches: OpenCount,
    /// Rises each time that the waiting watches are cut.
    cuts: Cell<u64>,
    /// Whether answers to watches are kept back, as on a path that is slow or has fallen silent.
    holds_watches: Cell<bool>,
    /// Answers to watches that are kept back now.
    held_watches: OpenCount,
    /// Number of them to be sent now.
    released: Cell<usize>,
}

impl Store {
    /// Starts an empty store.
    pub async fn start(addr: SocketAddr) -> Rc<Store> {
        let store = Rc::new(Store::default());
        let listener = TcpListener::bind(addr).await.expect("a free address");
        let me = store.clone();
        let handler = move |req| me.clone().handle(req);
        let never = Rc::new(Cell::new(false));
        compio::runtime::spawn(http::serve(listener, handler, never)).detach();
        store
    }

    /// Sets the fault of all later calls.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Cuts the watches that wait now.
    pub fn cut_watches(&self) {
        self.cuts.set(self.cuts.get() + 1);
    }

    /// Keeps back the answers to watches from now on, once they were made.
    pub fn hold_watches(&self) {
        self.holds_watches.set(true);
    }

    /// Sends one of the answers that are kept back.
    pub fn release_watch(&self) {
        self.released.set(self.released.get() + 1);
    }

    /// Returns the number of answers that are kept back now.
    pub fn held_watches(&self) -> usize {
        self.held_watches.get()
    }

    /// Limits the bodies of later answers to `rate` bytes a second, as over a slow link.
    pub fn limit_bandwidth(&self, rate: usize) {
        self.rate.set(Some(rate));
    }

    /// Returns the number of calls so far.
    pub fn call_count(&self) -> u64 {
        self.calls.get()
    }

    /// Returns the price of the calls so far, in usual calls.
    pub fn price(&self) -> f64 {
        self.price.get() as f64 / 10.0
    }

    /// Returns the number of watches that wait for changes now.
    pub fn open_watches(&self) -> usize {
        self.open_watches.get()
    }

    /// Returns the number of leases in force.
    pub fn lease_count(&self) -> usize {
        let mut state = self.state.borrow_mut();
        state.expire_leases();
        state.leases.len()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.state.borrow().items.get(key).and_then(|(i, _)| i.value.clone())
    }

    /// Writes a key under a lease; lease 0 is none.
    pub fn put(&self, key: &str, value: &[u8], lease: u64) {
        self.state.borrow_mut().write(key, Some(Bytes::copy_from_slice(value)), lease);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.borrow_mut().write(key, None, 0);
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.borrow();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Removes the keys under a prefix and their history, so that watches see no removal.
    pub fn remove_silently(&self, prefix: &str) {
        let keys = self.keys(prefix);
        let mut state = self.state.borrow_mut();
        for key in keys {
            state.items.remove(&key);
        }
        state.history.retain(|item| !item.key.starts_with(prefix));
    }

    /// Writes a backend server's registration.
    pub fn register(&self, server: &Server) {
        let key = format!("{}{}", servers::PREFIX, server.id.name);
        self.put(&key, &simulation::registration(server), 0);
    }

    /// Removes a backend server's registration.
    pub fn unregister(&self, server: &Server) {
        self.remove(&format!("{}{}", servers::PREFIX, server.id.name));
    }

    /// Drops the history, so that watches from an older revision fail.
    pub fn compact(&self) {
        let mut state = self.state.borrow_mut();
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Keeps a copy of the current state.
    pub fn keep_copy(&self) {
        *self.copy.borrow_mut() = Some(self.state.borrow().clone());
    }

    /// Comes back from the copy: what was written since is gone, leases too, and revisions are given out again.
    pub fn restore_copy(&self) {
        let copy = self.copy.borrow().clone().expect("a copy was kept");
        *self.state.borrow_mut() = copy;
        self.era.set(self.era.get() + 1);
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        self.calls.set(self.calls.get() + 1);
        let (parts, body) = req.into_parts();
        let body = http::read_body(body, BODY_LIMIT).await.unwrap_or_default();
        let Some(call) = simulation::parse_store_call(&Request::from_parts(parts, body)) else {
            return answer(400, Vec::new());
        };
        self.price.set(self.price.get() + call.price());
        match self.fault.get() {
            Fault::None => {}
            Fault::Busy => return answer(503, Vec::new()),
            Fault::Silent | Fault::Deaf => return std::future::pending().await,
            Fault::Lost => {
                self.perform(call).await;
                return std::future::pending().await;
            }
        }
        let (status, body) = self.perform(call).await;
        let mut response = match self.rate.get() {
            Some(rate) => respond(status, slow::body(body, rate)),
            None => answer(status, body),
        };
        response.headers_mut().insert(ERA, self.era.get().into());
        response
    }

    async fn perform(&self, call: StoreCall) -> (u16, Vec<u8>) {
        self.state.borrow_mut().expire_leases();
        match call {
            StoreCall::Get { key } => self.state.borrow().get(&key),
            StoreCall::Range { prefix, after, .. } => self.state.borrow().range(&prefix, &after),
            StoreCall::Watch { prefix, after, wait } => {
                let answer = self.watch(&prefix, after, wait).await;
                if wait > POLL_MAX {
                    self.hold_watch().await;
                }
                answer
            }
            StoreCall::GrantLease { ttl } => {
                let id = self.state.borrow_mut().grant_lease(ttl);
                (200, simulation::lease_body(id, ttl))
            }
            StoreCall::RenewLease { id } => match self.state.borrow_mut().renew_lease(id) {
                Some(ttl) => (200, simulation::renewal_body(ttl)),
                None => (404, Vec::new()),
            },
            StoreCall::RevokeLease { id } => {
                self.state.borrow_mut().end_lease(id);
                (200, Vec::new())
            }
            StoreCall::Txn { expected, writes, remove } => {
                self.state.borrow_mut().txn(&expected, &writes, &remove)
            }
        }
    }

    async fn hold_watch(&self) {
        let _held = self.held_watches.begin();
        while self.holds_watches.get() {
            if let Some(left) = self.released.get().checked_sub(1) {
                return self.released.set(left);
            }
            compio::time::sleep(WATCH_POLL).await;
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        let _open = self.open_watches.begin();
        let (era, cuts) = (self.era.get(), self.cuts.get());
        loop {
            if self.cuts.get() != cuts {
                return (503, Vec::new());
            }
            match self.fault.get() {
                Fault::None => {}
                Fault::Deaf => return std::future::pending().await,
                _ => return (503, Vec::new()),
            }
            {
                let mut state = self.state.borrow_mut();
                state.expire_leases();
                if self.era.get() != era {
                    return (503, Vec::new());
                }
                if after < state.compacted_revision || after > state.revision {
                    return (410, Vec::new());
                }
                let changes = state.changes_since(prefix, after);
                if !changes.is_empty() || Instant::now() >= end {
                    return (200, simulation::changes_body(&changes, state.revision));
                }
            }
            compio::time::sleep(WATCH_POLL).await;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<Bytes>, lease: u64) {
        self.revision += 1;
        let item = Item { key: key.to_owned(), value, revision: self.revision.into() };
        self.history.push(item.clone());
        match item.value {
            Some(_) => drop(self.items.insert(key.to_owned(), (item, lease))),
            None => drop(self.items.remove(key)),
        }
    }

    fn get(&self, key: &str) -> (u16, Vec<u8>) {
        match self.items.get(key) {
            Some((item, _)) => (200, simulation::item_body(item, self.revision)),
            None => (404, Vec::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Vec<u8>) {
        let mut found = self
            .items
            .values()
            .map(|(i, _)| i)
            .filter(|i| i.key.starts_with(prefix) && i.key.as_str() > after);
        let page: Vec<Item> = found.by_ref().take(PAGE_ITEMS).cloned().collect();
        (200, simulation::page_body(&page, found.next().is_some(), self.revision))
    }

    fn changes_since(&self, prefix: &str, after: u64) -> Vec<Item> {
        let is_newer = |i: &&Item| i.revision.number() > after && i.key.starts_with(prefix);
        self.history.iter().filter(is_newer).cloned().collect()
    }

    fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { expires_at: Instant::now() + ttl, ttl });
        self.next_lease
    }

    fn renew_lease(&mut self, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, (_, l))| *l == id).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.write(&key, None, 0);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn txn(
        &mut self,
        expected: &[(String, u64)],
        writes: &[StoreWrite],
        remove: &[String],
    ) -> (u16, Vec<u8>) {
        let is_current = |(key, revision): &(String, u64)| {
            self.items.get(key).map_or(0, |(i, _)| i.revision.number()) == *revision
        };
        if !expected.iter().all(is_current) {
            return (412, b"{\"items\":[]}".to_vec());
        }
        if writes.iter().any(|w| w.lease != 0 && !self.leases.contains_key(&w.lease)) {
            return (404, Vec::new());
        }
        for w in writes {
            self.write(&w.key, Some(w.value.clone()), w.lease);
        }
        for key in remove {
            self.write(key, None, 0);
        }
        (200, simulation::commit_body(self.revision))
    }
}

fn answer(status: u16, body: Vec<u8>) -> Response<Body> {
    respond(status, http::full_body(body))
}

fn respond(status: u16, body: Body) -> Response<Body> {
    let status = StatusCode::from_u16(status).expect("a valid status");
    http::response(status, "application/json", body)
}
