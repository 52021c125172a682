//! A model engine: continuous batching, prefix cache, KV export and import, cancel, orders.
//!
//! It keeps time, not tensors. A prefill on an engine that decodes delays all its tokens; an export
//! is evicted soon; imports share the exporting engine's link.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use ebonyloft_core::affinity::head_of;
use ebonyloftd::clock::Clock;
use ebonyloftd::http::{self, Body};
use ebonyloftd::sidecar::server::{
    CacheEvent, Choice, CompletionBody, CompletionChunk, TransferParams,
};
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::tokens::Writer;

/// Largest request body.
const BODY_LIMIT: usize = 8 << 20;
/// Characters taken for a token.
const TOKEN_CHARS: usize = 4;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Requests its memory holds.
    pub slots: usize,
    /// Time of an output token.
    pub token: Duration,
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Prompt heads its cache holds.
    pub heads: usize,
    /// Tokens that a cached head saves.
    pub head_tokens: u32,
    /// How long an export is kept.
    pub evict: Duration,
    /// Bytes a second of its link.
    pub link_rate: f64,
    /// KV cache bytes a token.
    pub token_bytes: u64,
    /// Refuses orders with old numbers?
    pub fencing: bool,
    /// How late cache events are published.
    pub event_lag: Duration,
    /// Share of cache events that are never published.
    pub event_gap: f64,
    /// Fixes its random choices.
    pub seed: u64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            slots: 20,
            token: Duration::from_millis(20),
            prefill_rate: 20_000.0,
            heads: 8,
            head_tokens: 2_000,
            evict: Duration::from_millis(800),
            link_rate: 10e9,
            token_bytes: 131_072,
            fencing: true,
            event_lag: Duration::from_millis(100),
            event_gap: 0.02,
            seed: 1,
        }
    }
}

impl EngineSpec {
    /// The same engine in a time that runs `speed` times as fast.
    pub fn faster(mut self, speed: f64) -> Self {
        self.token = self.token.div_f64(speed);
        self.prefill_rate *= speed;
        self.link_rate *= speed;
        self
    }
}

/// What an engine counted; shared with whoever measures.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineStats {
    /// Prompt tokens computed, by request.
    pub computed: HashMap<String, u64>,
    /// Output tokens written, by request.
    pub written: HashMap<String, u64>,
    /// Exports that were evicted before an import.
    pub evicted: u64,
    /// Imports.
    pub imported: u64,
    /// Requests that hold memory now.
    pub running: u64,
    /// Orders taken, by number.
    pub orders: Vec<u64>,
    /// Requests that began with a name that ran here before.
    pub repeated: u64,
}

/// Counters that outlive an engine's thread.
pub type SharedStats = Arc<Mutex<EngineStats>>;

struct Export {
    bytes: u64,
    until: Instant,
}

struct State {
    running: HashSet<String>,
    seen: HashSet<String>,
    aborted: HashSet<String>,
    waiting: VecDeque<(i32, oneshot::Sender<()>)>,
    heads: VecDeque<u64>,
    exports: HashMap<String, Export>,
    busy_until: Instant,
    link_until: Instant,
    highest: u64,
    events: Vec<UnboundedSender<Bytes>>,
    seq: u64,
    rng: ChaCha8Rng,
    used: usize,
}

/// An engine.
pub struct Engine {
    spec: EngineSpec,
    state: RefCell<State>,
    stats: SharedStats,
    client: cyper::Client,
    clock: Clock,
    runs: Cell<u64>,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: EngineSpec, stats: SharedStats) -> Rc<Self> {
        let now = Instant::now();
        let state = State {
            running: HashSet::new(),
            seen: HashSet::new(),
            aborted: HashSet::new(),
            waiting: VecDeque::new(),
            heads: VecDeque::new(),
            exports: HashMap::new(),
            busy_until: now,
            link_until: now,
            highest: 0,
            events: Vec::new(),
            seq: 0,
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            used: 0,
        };
        let client = cyper::Client::builder()
            .no_proxy()
            .build()
            .expect("plain client");
        let runs = Cell::new(spec.seed << 12);
        Rc::new(Engine {
            spec,
            state: RefCell::new(state),
            stats,
            client,
            clock: Clock::default(),
            runs,
        })
    }

    /// Serves until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let handler = move |req| self.clone().handle(req);
        http::serve(listener, handler, Rc::new(Cell::new(false))).await;
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::POST, "/v1/completions") => self.completion(req).await,
            (Method::POST, "/export") => self.export_to(req).await,
            (Method::POST, "/abort") => self.abort(req).await,
            (Method::POST, "/abort_all") => self.abort_all(),
            (Method::POST, "/orders") => self.order(req).await,
            (Method::GET, "/cache_events") => self.cache_events(),
            (Method::GET, "/stats") => {
                let stats = self.stats.lock().expect("stats lock");
                http::json(StatusCode::OK, &*stats)
            }
            _ => http::response(
                StatusCode::NOT_FOUND,
                "text/plain",
                http::full("not here\n"),
            ),
        }
    }

    async fn completion(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let Some(bytes) = http::read_body(req.into_body(), BODY_LIMIT).await else {
            return refuse("body");
        };
        let Ok(form) = serde_json::from_slice::<CompletionBody>(&bytes) else {
            return refuse("not a completion request");
        };
        let params = form.kv_transfer_params.clone().unwrap_or_default();
        if params.do_remote_decode {
            return self.prefill_only(form).await;
        }
        let (sender, receiver) = unbounded();
        compio::runtime::spawn(self.run(form, params, sender)).detach();
        http::response(
            StatusCode::OK,
            "text/event-stream",
            http::streamed(receiver),
        )
    }

    /// Computes and exports.
    async fn prefill_only(self: Rc<Self>, form: CompletionBody) -> Response<Body> {
        let computed = self.compute(&form).await;
        let tokens = form.prompt.len().div_ceil(TOKEN_CHARS) as u64;
        let bytes = tokens * self.spec.token_bytes;
        let blocks = format!("{}-{}", form.request_id, self.next_run());
        let until = Instant::now() + self.spec.evict;
        self.state
            .borrow_mut()
            .exports
            .insert(blocks.clone(), Export { bytes, until });
        compio::runtime::spawn(self.clone().evict(blocks.clone())).detach();
        let params = TransferParams {
            do_remote_decode: true,
            remote_block_ids: blocks,
            bytes,
            computed: computed as u32,
            evicted_at: self.clock.now().after(self.spec.evict),
            ..TransferParams::default()
        };
        let chunk = CompletionChunk {
            choices: vec![Choice::default()],
            kv_transfer_params: Some(params),
        };
        http::json(StatusCode::OK, &chunk)
    }

    async fn evict(self: Rc<Self>, blocks: String) {
        compio::time::sleep(self.spec.evict).await;
        if self.state.borrow_mut().exports.remove(&blocks).is_some() {
            self.stats.lock().expect("stats lock").evicted += 1;
        }
    }

    /// Sends an export over the link.
    async fn export_to(&self, req: Request<Incoming>) -> Response<Body> {
        let body = http::read_body(req.into_body(), BODY_LIMIT)
            .await
            .unwrap_or_default();
        let blocks = String::from_utf8_lossy(&body).into_owned();
        let end = {
            let mut state = self.state.borrow_mut();
            let Some(export) = state.exports.remove(&blocks) else {
                return http::response(
                    StatusCode::NOT_FOUND,
                    "text/plain",
                    http::full("evicted\n"),
                );
            };
            let now = Instant::now();
            let begin = state.link_until.max(now);
            let late = begin > export.until;
            if late {
                self.stats.lock().expect("stats lock").evicted += 1;
                return http::response(
                    StatusCode::NOT_FOUND,
                    "text/plain",
                    http::full("evicted\n"),
                );
            }
            let took = Duration::from_secs_f64(export.bytes as f64 / self.spec.link_rate);
            state.link_until = begin + took;
            state.link_until
        };
        compio::time::sleep_until(end).await;
        http::response(StatusCode::OK, "text/plain", http::full("sent\n"))
    }

    async fn run(
        self: Rc<Self>,
        form: CompletionBody,
        params: TransferParams,
        out: UnboundedSender<Bytes>,
    ) {
        let id = form.request_id.clone();
        self.take_slot(form.priority).await;
        let _held = Held {
            engine: self.clone(),
            id: id.clone(),
        };
        {
            let mut state = self.state.borrow_mut();
            state.running.insert(id.clone());
            let mut stats = self.stats.lock().expect("stats lock");
            stats.running = state.running.len() as u64;
            if !state.seen.insert(id.clone()) {
                stats.repeated += 1;
            }
        }
        let imported = params.do_remote_prefill && self.import(&params).await;
        if out.is_closed() || self.is_aborted(&id) {
            return;
        }
        if !imported {
            self.compute(&form).await;
        }
        self.write_all(&form, &out).await;
    }

    async fn write_all(&self, form: &CompletionBody, out: &UnboundedSender<Bytes>) {
        let mut writer = Writer::new(&form.prompt, &form.resume, self.next_run());
        let mut due = Instant::now();
        while writer.place() < form.max_tokens {
            due = due.max(self.state.borrow().busy_until) + self.spec.token;
            compio::time::sleep_until(due).await;
            if out.is_closed() || self.is_aborted(&form.request_id) {
                return;
            }
            let chunk = CompletionChunk {
                choices: vec![Choice {
                    text: writer.write(),
                    finish_reason: None,
                }],
                kv_transfer_params: None,
            };
            let data = serde_json::to_string(&chunk).unwrap_or_default();
            let _ = out.unbounded_send(Bytes::from(format!("data: {data}\n\n")));
            self.note_written(&form.request_id);
        }
        let _ = out.unbounded_send(Bytes::from_static(b"data: [DONE]\n\n"));
    }

    fn note_written(&self, id: &str) {
        let mut stats = self.stats.lock().expect("stats lock");
        match stats.written.get_mut(id) {
            Some(n) => *n += 1,
            None => drop(stats.written.insert(id.to_owned(), 1)),
        }
    }

    /// Computes the uncached part of a prompt, one at a time; delays all tokens meanwhile.
    async fn compute(&self, form: &CompletionBody) -> u64 {
        let tokens = form.prompt.len().div_ceil(TOKEN_CHARS) as u32;
        let head = head_of(&form.prompt);
        let (end, computed) = {
            let mut state = self.state.borrow_mut();
            let cached = match state.heads.contains(&head) {
                true => self.spec.head_tokens.min(tokens),
                false => 0,
            };
            let computed = u64::from(tokens - cached);
            let took = Duration::from_secs_f64(computed as f64 / self.spec.prefill_rate);
            state.busy_until = state.busy_until.max(Instant::now()) + took;
            (state.busy_until, computed)
        };
        compio::time::sleep_until(end).await;
        self.cache(head);
        let mut stats = self.stats.lock().expect("stats lock");
        *stats.computed.entry(form.request_id.clone()).or_default() += computed;
        computed
    }

    fn cache(&self, head: u64) {
        let mut state = self.state.borrow_mut();
        state.heads.retain(|h| *h != head);
        state.heads.push_back(head);
        let evicted = match state.heads.len() > self.spec.heads {
            true => state.heads.pop_front(),
            false => None,
        };
        for (head, stored) in [(Some(head), true), (evicted, false)] {
            let Some(head) = head else { continue };
            state.seq += 1;
            let event = CacheEvent {
                seq: state.seq,
                head,
                stored,
            };
            if state.rng.random_bool(self.spec.event_gap) {
                continue;
            }
            let line = format!("{}\n", serde_json::to_string(&event).unwrap_or_default());
            let (events, lag) = (state.events.clone(), self.spec.event_lag);
            compio::runtime::spawn(async move {
                compio::time::sleep(lag).await;
                for sender in events {
                    let _ = sender.unbounded_send(Bytes::from(line.clone()));
                }
            })
            .detach();
        }
    }

    async fn import(&self, params: &TransferParams) -> bool {
        let url = format!("{}/export", params.remote_host);
        let fetched = async {
            let req = self
                .client
                .post(&url)
                .ok()?
                .body(params.remote_block_ids.clone());
            req.send().await.ok().map(|res| res.status().as_u16())
        };
        let ok = fetched.await == Some(200);
        if ok {
            self.stats.lock().expect("stats lock").imported += 1;
        }
        ok
    }

    async fn take_slot(&self, priority: i32) {
        let wait = {
            let mut state = self.state.borrow_mut();
            if state.used < self.spec.slots {
                state.used += 1;
                return;
            }
            let (sender, receiver) = oneshot::channel();
            let at = state.waiting.iter().position(|(p, _)| *p > priority);
            let at = at.unwrap_or(state.waiting.len());
            state.waiting.insert(at, (priority, sender));
            receiver
        };
        let _ = wait.await;
    }

    fn give_slot(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        state.running.remove(id);
        self.stats.lock().expect("stats lock").running = state.running.len() as u64;
        while let Some((_, sender)) = state.waiting.pop_front() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.used -= 1;
    }

    fn is_aborted(&self, id: &str) -> bool {
        self.state.borrow().aborted.contains(id)
    }

    async fn abort(&self, req: Request<Incoming>) -> Response<Body> {
        #[derive(Deserialize)]
        struct Form {
            request_id: String,
        }
        let body = http::read_body(req.into_body(), BODY_LIMIT)
            .await
            .unwrap_or_default();
        if let Ok(form) = serde_json::from_slice::<Form>(&body) {
            self.state.borrow_mut().aborted.insert(form.request_id);
        }
        http::response(StatusCode::OK, "text/plain", http::full("aborted\n"))
    }

    fn abort_all(&self) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        let ids: Vec<String> = state.running.iter().cloned().collect();
        let count = ids.len();
        state.aborted.extend(ids);
        http::response(StatusCode::OK, "text/plain", http::full(format!("{count}")))
    }

    async fn order(&self, req: Request<Incoming>) -> Response<Body> {
        let fence = req
            .headers()
            .get("x-fencing-token")
            .and_then(|v| v.to_str().ok());
        let fence: u64 = fence.and_then(|t| t.parse().ok()).unwrap_or(0);
        let mut state = self.state.borrow_mut();
        if self.spec.fencing && fence < state.highest {
            return http::response(
                StatusCode::CONFLICT,
                "text/plain",
                http::full("old number\n"),
            );
        }
        state.highest = state.highest.max(fence);
        self.stats.lock().expect("stats lock").orders.push(fence);
        http::response(StatusCode::OK, "text/plain", http::full("done\n"))
    }

    fn cache_events(&self) -> Response<Body> {
        let (sender, receiver) = unbounded();
        self.state.borrow_mut().events.push(sender);
        http::response(
            StatusCode::OK,
            "application/x-ndjson",
            http::streamed(receiver),
        )
    }

    fn next_run(&self) -> u64 {
        self.runs.set(self.runs.get() + 1);
        self.runs.get()
    }
}

/// Memory of one request; given back when dropped.
struct Held {
    engine: Rc<Engine>,
    id: String,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.engine.give_slot(&self.id);
    }
}

fn refuse(detail: &str) -> Response<Body> {
    http::response(
        StatusCode::BAD_REQUEST,
        "text/plain",
        http::full(detail.to_owned()),
    )
}
