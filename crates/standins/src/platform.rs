//! The platform: a key-value service in the shape of Consul's HTTP interface, and a list of VMs.
//!
//! Switches make it fail: an outage, slow answers, writes whose answer is lost, an older value served
//! again, and a list of VMs that lags.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use ebonyloft_core::time::Moment;
use ebonyloftd::http::{self, Body};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

/// Largest value.
const VALUE_LIMIT: usize = 1_000_000;
/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// A VM in the list.
#[derive(Clone, Debug, Serialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// `live`, `leaving` or `gone`.
    pub state: &'static str,
    /// Since when.
    pub since: Moment,
    /// Address.
    pub addr: SocketAddr,
    /// When the list shows it.
    #[serde(skip)]
    pub shown_at: Option<Instant>,
}

/// Switches and counters; shared with whoever breaks things.
#[derive(Debug, Default)]
pub struct Switches {
    /// Answers nothing.
    pub outage: bool,
    /// Answers late.
    pub slow: Duration,
    /// The next writes take effect, and their answers are lost.
    pub lose_answers: u32,
    /// Reads give the value before the last.
    pub older: bool,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Calls, a waiting watch as one.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// Shared switches.
pub type SharedSwitches = Arc<Mutex<Switches>>;

struct Entry {
    index: u64,
    value: Bytes,
    before: Option<Bytes>,
    session: Option<u64>,
}

struct Session {
    ttl: Duration,
    ends: Instant,
}

/// The service.
pub struct Platform {
    switches: SharedSwitches,
    index: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    sessions: RefCell<BTreeMap<u64, Session>>,
    watchers: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl Platform {
    /// An empty service.
    pub fn new(switches: SharedSwitches) -> Rc<Self> {
        Rc::new(Platform {
            switches,
            index: Cell::new(0),
            entries: RefCell::default(),
            sessions: RefCell::default(),
            watchers: RefCell::default(),
        })
    }

    /// Serves until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let handler = move |req| self.clone().handle(req);
        http::serve(listener, handler, Rc::new(Cell::new(false))).await;
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (outage, slow) = {
            let s = self.switches.lock().expect("switches lock");
            (s.outage, s.slow)
        };
        if outage {
            std::future::pending::<()>().await;
        }
        compio::time::sleep(slow).await;
        self.drop_sessions();
        let path = req.uri().path().to_owned();
        let query = Query::parse(req.uri().query().unwrap_or_default());
        match (req.method().clone(), path.strip_prefix("/v1/kv/")) {
            (Method::GET, Some(key)) => self.read(key, &query).await,
            (Method::PUT, Some(key)) => self.write(req, key, &query).await,
            (Method::PUT, None) if path == "/v1/session/create" => self.create_session(req).await,
            (Method::PUT, None) if path.starts_with("/v1/session/renew/") => {
                self.renew_session(&path["/v1/session/renew/".len()..])
            }
            (Method::GET, None) if path == "/v1/vms" => self.vms(),
            _ => http::response(StatusCode::NOT_FOUND, "text/plain", http::full("")),
        }
    }

    async fn read(&self, key: &str, query: &Query) -> Response<Body> {
        self.switches.lock().expect("switches lock").reads += 1;
        if let Some(index) = query.index {
            self.wait(key, index, query.wait.unwrap_or(WATCH_LIMIT))
                .await;
        }
        let older = {
            let s = self.switches.lock().expect("switches lock");
            if s.outage { None } else { Some(s.older) }
        };
        let Some(older) = older else {
            return std::future::pending().await;
        };
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(key) else {
            let res = http::response(StatusCode::NOT_FOUND, "text/plain", http::full(""));
            return with_index(res, self.index.get().max(1));
        };
        let value = match (&entry.before, older) {
            (Some(before), true) => before.clone(),
            _ => entry.value.clone(),
        };
        let res = http::response(
            StatusCode::OK,
            "application/octet-stream",
            http::full(value),
        );
        with_index(res, entry.index)
    }

    async fn wait(&self, key: &str, index: u64, wait: Duration) {
        let until = Instant::now() + wait.min(WATCH_LIMIT);
        loop {
            let current = self.entries.borrow().get(key).map_or(0, |e| e.index);
            if current != index || current == 0 || Instant::now() >= until {
                return;
            }
            let (sender, receiver) = oneshot::channel();
            self.watchers.borrow_mut().push_back(sender);
            let timer = std::pin::pin!(compio::time::sleep_until(until));
            if let Either::Right(_) = select(receiver, timer).await {
                return;
            }
        }
    }

    async fn write(&self, req: Request<Incoming>, key: &str, query: &Query) -> Response<Body> {
        let Some(value) = http::read_body(req.into_body(), VALUE_LIMIT).await else {
            return http::response(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", http::full(""));
        };
        let lost = {
            let mut s = self.switches.lock().expect("switches lock");
            s.writes += 1;
            let lost = s.lose_answers > 0;
            s.lose_answers = s.lose_answers.saturating_sub(1);
            lost
        };
        let ok = self.swap(key, value, query);
        if lost {
            std::future::pending::<()>().await;
        }
        let text = if ok { "true" } else { "false" };
        http::response(StatusCode::OK, "application/json", http::full(text))
    }

    fn swap(&self, key: &str, value: Bytes, query: &Query) -> bool {
        let mut entries = self.entries.borrow_mut();
        let current = entries.get(key).map_or(0, |e| e.index);
        if query.cas.is_some_and(|cas| cas != current) {
            return false;
        }
        if let Some(session) = query.acquire {
            let held = entries.get(key).and_then(|e| e.session);
            let known = self.sessions.borrow().contains_key(&session);
            if !known || held.is_some_and(|h| h != session) {
                return false;
            }
        }
        self.index.set(self.index.get() + 1);
        let before = entries.get(key).map(|e| e.value.clone());
        let session = query.acquire.or(entries.get(key).and_then(|e| e.session));
        let entry = Entry {
            index: self.index.get(),
            value,
            before,
            session,
        };
        entries.insert(key.to_owned(), entry);
        for sender in self.watchers.borrow_mut().drain(..) {
            let _ = sender.send(());
        }
        true
    }

    async fn create_session(&self, req: Request<Incoming>) -> Response<Body> {
        let body = http::read_body(req.into_body(), VALUE_LIMIT)
            .await
            .unwrap_or_default();
        let form: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let secs = form["TTL"]
            .as_str()
            .and_then(|t| t.trim_end_matches('s').parse().ok());
        let ttl = Duration::from_secs(secs.unwrap_or(15));
        self.index.set(self.index.get() + 1);
        let id = self.index.get();
        self.sessions.borrow_mut().insert(
            id,
            Session {
                ttl,
                ends: Instant::now() + ttl,
            },
        );
        http::json(StatusCode::OK, &serde_json::json!({ "ID": id.to_string() }))
    }

    fn renew_session(&self, id: &str) -> Response<Body> {
        let mut sessions = self.sessions.borrow_mut();
        let Some(session) = id.parse().ok().and_then(|id: u64| sessions.get_mut(&id)) else {
            return http::response(StatusCode::NOT_FOUND, "text/plain", http::full(""));
        };
        session.ends = Instant::now() + session.ttl;
        http::json(StatusCode::OK, &serde_json::json!([{ "ID": id }]))
    }

    /// Lapsed sessions release the keys that they hold.
    fn drop_sessions(&self) {
        let now = Instant::now();
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|_, s| s.ends > now);
        for entry in self.entries.borrow_mut().values_mut() {
            if entry.session.is_some_and(|s| !sessions.contains_key(&s)) {
                entry.session = None;
            }
        }
    }

    fn vms(&self) -> Response<Body> {
        let mut s = self.switches.lock().expect("switches lock");
        s.reads += 1;
        let now = Instant::now();
        let shown: Vec<Vm> = s
            .vms
            .iter()
            .filter(|v| v.shown_at.is_none_or(|at| at <= now))
            .cloned()
            .collect();
        // Of several rows of a VM the latest that is shown counts.
        let mut latest: BTreeMap<String, Vm> = BTreeMap::new();
        for vm in shown {
            latest.insert(vm.name.clone(), vm);
        }
        let rows: Vec<Vm> = latest.into_values().collect();
        http::json(StatusCode::OK, &rows)
    }
}

#[derive(Default)]
struct Query {
    index: Option<u64>,
    wait: Option<Duration>,
    cas: Option<u64>,
    acquire: Option<u64>,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Query::default();
        for (name, value) in text.split('&').filter_map(|p| p.split_once('=')) {
            match name {
                "index" => query.index = value.parse().ok(),
                "wait" => {
                    let secs = value.trim_end_matches('s').parse().ok();
                    query.wait = secs.map(Duration::from_secs);
                }
                "cas" => query.cas = value.parse().ok(),
                "acquire" => query.acquire = value.parse().ok(),
                _ => {}
            }
        }
        query
    }
}

fn with_index(mut res: Response<Body>, index: u64) -> Response<Body> {
    res.headers_mut().insert("x-consul-index", index.into());
    res
}
