//! The platform's metadata store.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Response};
use crate::json::{Json, base64};

/// Most items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// All changes: the key and the item as it was written, or none if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Rises each time that all waiting watches are cut.
    cuts: u64,
    waiting: usize,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

/// A running store; cheap to clone.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Store> {
        let store = Store::default();
        // The revision starts above zero.
        store.lock().revision = 100;
        let me = store.clone();
        let listener = TcpListener::bind(addr)?;
        http::serve(listener, Arc::new(AtomicBool::new(false)), move |req| me.handle(&req));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes a key as the operator or a server does; acknowledged when it returns.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Removes a key; acknowledged when it returns.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.state.1.notify_all();
    }

    /// Cuts all watches that wait now; returns how many.
    pub fn cut_watches(&self) -> usize {
        let mut state = self.lock();
        state.cuts += 1;
        let waiting = state.waiting;
        self.state.1.notify_all();
        waiting
    }

    fn handle(&self, req: &Message) -> Option<Response> {
        let body = Json::parse(std::str::from_utf8(&req.body).unwrap_or_default());
        let body = body.unwrap_or(Json::Null);
        let id = req.path().rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        let response = match (req.method(), req.path()) {
            ("GET", "/kv-key") => self.get(req),
            ("GET", "/kv-range") => self.range(req),
            ("GET", "/kv-watch") => return self.watch(req),
            ("POST", "/kv-txn") => self.txn(&body),
            ("POST", "/kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttl_ms").map_or(0, Json::number));
                let mut state = self.lock();
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                Response::new(200, format!(r#"{{"lease_id":{id},"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.lock();
                state.expire();
                match id.and_then(|id| state.leases.get_mut(&id)) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        Response::new(200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => Response::new(404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(id.unwrap_or_default());
                self.state.1.notify_all();
                Response::new(200, "{}")
            }
            _ => Response::new(404, "{}"),
        };
        Some(response.with("Content-Type", "application/json"))
    }

    fn get(&self, req: &Message) -> Response {
        let mut state = self.lock();
        state.expire();
        let key = req.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let text = row(&key, Some(item), item.revision);
                let store = format!(r#","store_revision":{}}}"#, state.revision);
                Response::new(200, text[..text.len() - 1].to_owned() + &store)
            }
            None => Response::new(404, "{}"),
        }
    }

    fn range(&self, req: &Message) -> Response {
        let mut state = self.lock();
        state.expire();
        let prefix = req.query("path_prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let matching: Vec<_> =
            state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after).collect();
        let rows: Vec<String> = matching
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, item)| row(key, Some(item), item.revision))
            .collect();
        let (items, more, at) = (rows.join(","), matching.len() > PAGE_ITEMS, state.revision);
        let text = format!(r#"{{"items":[{items}],"has_more":{more},"store_revision":{at}}}"#);
        Response::new(200, text)
    }

    fn watch(&self, req: &Message) -> Option<Response> {
        let number = |name| req.query(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let prefix = req.query("path_prefix").unwrap_or_default();
        let (after, end) = (number("after"), Instant::now());
        let end = end + Duration::from_millis(number("wait_ms"));
        let mut state = self.lock();
        let cuts = state.cuts;
        loop {
            state.expire();
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| row(key, item.as_ref(), *revision))
                .collect();
            if !rows.is_empty() || Instant::now() >= end {
                let (events, at) = (rows.join(","), state.revision);
                let text = format!(r#"{{"events":[{events}],"store_revision":{at}}}"#);
                let response = Response::new(200, text);
                return Some(response.with("Content-Type", "application/json"));
            }
            if state.cuts != cuts {
                return None;
            }
            state.waiting += 1;
            let pause = end.saturating_duration_since(Instant::now());
            let pause = pause.min(Duration::from_millis(50));
            state = self.state.1.wait_timeout(state, pause).unwrap().0;
            state.waiting -= 1;
        }
    }

    fn txn(&self, body: &Json) -> Response {
        let mut state = self.lock();
        state.expire();
        let text = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
        let number = |row: &Json, name: &str| row.get(name).map_or(0, Json::number);
        let holds = |row: &Json| {
            let revision = state.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            revision == number(row, "revision")
        };
        if !body.list("expected").iter().all(holds) {
            return Response::new(412, r#"{"items":[]}"#);
        }
        let has_lease = |row: &Json| {
            let lease = number(row, "lease_id");
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !body.list("writes").iter().all(has_lease) {
            return Response::new(404, "{}");
        }
        for row in body.list("writes") {
            state.put(&text(row, "key"), text(row, "value"), number(row, "lease_id"));
        }
        for key in body.list("remove") {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        Response::new(200, format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

fn row(key: &str, item: Option<&Item>, revision: u64) -> String {
    match item {
        Some(Item { value, revision, created, lease }) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease_id":{lease}}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}
