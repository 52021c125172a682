//! A backend server: a plain one, or a model engine with stages, reservations and handles.
//!
//! It keeps time, not tensors, and writes down what ran, what was cancelled and what is still held.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_platform::simulation::{self, BackendCall, BackendRequest, ResponseHead};
use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::outcome::Load;
use ebonyloftd::gateway::answer::{Body, BodyAborted, full};
use ebonyloftd::http;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};

use super::life::Life;
use super::store::Store;

/// Largest request body.
const BODY_LIMIT: usize = 4 << 20;

/// How long work may take that came without a time.
const PATIENCE: Duration = Duration::from_secs(30);

/// Begin of a body under which a backend server ends as soon as it runs it; what follows names the content.
pub const ENDS: &str = "ends servers: ";
/// The same, and reading its prompt ends an engine too.
pub const ENDS_READERS: &str = "ends readers: ";
/// The same, and nothing of it is seen on its connections: they stay open and silent.
pub const ENDS_DARK: &str = "ends servers in silence: ";
/// How long a server is down whose connections stay open.
const DARK: Duration = Duration::from_millis(2_500);
/// How long after a crash the registration lapses.
const LEASE: Duration = Duration::from_millis(1_000);

/// How a backend server behaves.
#[derive(Clone, Debug)]
pub struct RunnerSpec {
    /// Requests processed at once.
    pub slots: u32,
    /// Tokens that memory holds.
    pub tokens: u64,
    /// Time of a short call.
    pub call: Duration,
    /// Time of a prompt.
    pub read: Duration,
    /// Pause between two events.
    pub pace: Duration,
    /// Events of a summary.
    pub events: u64,
    /// How long a prompt that was read is kept.
    pub handle_life: Duration,
    /// Time from the begin of a run until the server ends under it.
    pub ends_after: Duration,
    /// How long it is down then.
    pub down: Duration,
}

impl Default for RunnerSpec {
    fn default() -> Self {
        RunnerSpec {
            slots: 12,
            tokens: 42_000,
            call: Duration::from_millis(15),
            read: Duration::from_millis(40),
            pace: Duration::from_millis(10),
            events: 20,
            handle_life: Duration::from_millis(500),
            ends_after: Duration::from_millis(70),
            down: Duration::from_millis(1_500),
        }
    }
}

/// How a backend server fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It answers 500.
    Errors,
    /// It takes requests and never answers.
    Hangs,
    /// The same, and it does not end at the time that came with the work.
    Stuck,
    /// It runs requests and closes the connection without an answer.
    Loses,
    /// It turns all requests away, saying that it did not run them.
    Sheds,
    /// It refuses all reservations.
    Full,
    /// It grants reservations and turns away the requests that use them.
    Changes,
    /// It breaks streams off after half of their events.
    Breaks,
    /// It resets whatever it is sent before anything runs.
    Resets,
}

/// What a backend server has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Runs, by attempt.
    pub runs: HashMap<String, usize>,
    /// Arrivals, by attempt: runs and rejections; prompts read only are not counted.
    pub arrivals: HashMap<String, usize>,
    /// Prompts read, by attempt.
    pub prompts: HashMap<String, usize>,
    /// Prompts that came and were not read, by attempt.
    pub lost_prompts: HashMap<String, usize>,
    /// Accounts that requests were sent under, runs and prompts, by attempt.
    pub accounts: HashMap<String, Vec<String>>,
    /// Requests that showed a key, which no backend server may see.
    pub keyed: u64,
    /// Prompts read.
    pub reads: u64,
    /// Runs whose caller left.
    pub cancelled: u64,
    /// Reservations that were refused.
    pub refused: u64,
    /// Orders, with their fencing tokens.
    pub orders: Vec<(Stage, u64)>,
    /// Arrivals of content under which servers end, by its name; prompts read only are not counted.
    pub marked: Vec<(String, Instant)>,
    /// When a life ended, and under which content.
    pub ended: Vec<(String, Instant)>,
    /// When calls of all kinds came that this life took.
    pub taken: Vec<Instant>,
    /// When reservations and prompts were given back.
    pub given_back: Vec<Instant>,
}

/// A backend server.
pub struct Runner {
    /// Its registration.
    pub server: RefCell<Server>,
    /// What it has seen.
    pub seen: RefCell<Seen>,
    spec: RunnerSpec,
    /// Where it listens; its registration may name a relay before it.
    addr: SocketAddr,
    fault: Cell<Fault>,
    /// All its answers say that it leaves.
    leaving: Cell<bool>,
    /// Work is turned away; it wants nothing for so many seconds.
    pause: RefCell<Option<String>>,
    /// It is down, and nothing on its connections says so.
    dark: Cell<bool>,
    /// All its answers name this limit.
    limit: RefCell<Option<String>>,
    life: RefCell<Option<Life>>,
    lives: Cell<u64>,
    store: RefCell<Option<Rc<Store>>>,
    running: Cell<u32>,
    holds: RefCell<HashMap<String, (u64, Instant)>>,
    handles: RefCell<HashMap<String, Instant>>,
    used: Cell<u64>,
    names: Cell<u64>,
}

impl Runner {
    /// Starts one.
    pub async fn start(server: Server, spec: RunnerSpec) -> Rc<Runner> {
        let addr = server.addr;
        let runner = Rc::new(Runner {
            server: RefCell::new(server),
            addr,
            seen: RefCell::default(),
            spec,
            fault: Cell::default(),
            leaving: Cell::default(),
            pause: RefCell::default(),
            dark: Cell::default(),
            limit: RefCell::default(),
            life: RefCell::default(),
            lives: Cell::default(),
            store: RefCell::default(),
            running: Cell::default(),
            holds: RefCell::default(),
            handles: RefCell::default(),
            used: Cell::default(),
            names: Cell::default(),
        });
        runner.listen().await;
        runner
    }

    async fn listen(self: &Rc<Self>) {
        let me = self.clone();
        let life = Life::begin(self.addr, move |req| me.clone().handle(req)).await;
        self.life.replace(Some(life));
    }

    /// Registers there after a crash.
    pub fn keep_registered(&self, store: &Rc<Store>) {
        self.store.replace(Some(store.clone()));
    }

    /// Has all answers say that it leaves.
    pub fn say_leaving(&self) {
        self.leaving.set(true);
    }

    /// Says so no more; for its next life.
    pub fn stay(&self) {
        self.leaving.set(false);
    }

    /// Turns work away and wants nothing for so many seconds; none ends that.
    pub fn want_nothing(&self, seconds: Option<&str>) {
        self.pause.replace(seconds.map(str::to_owned));
    }

    /// Has all answers name a limit of so many requests a second; none ends that.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.limit.replace(limit.map(str::to_owned));
    }

    /// Ends as a machine does that loses power: its connections stay open and silent, and so do new ones; it
    /// comes back later in a new life at the same address.
    pub fn go_dark(self: &Rc<Self>, under: &str) {
        if self.dark.replace(true) {
            return;
        }
        self.seen.borrow_mut().ended.push((under.to_owned(), Instant::now()));
        let me = self.clone();
        compio::runtime::spawn(async move {
            let store = me.store.borrow().clone();
            let before = me.server.borrow().clone();
            compio::time::sleep(LEASE).await;
            if let Some(store) = &store {
                store.unregister(&before);
            }
            compio::time::sleep(DARK - LEASE).await;
            me.life.take();
            me.dark.set(false);
            me.begin_life(&before).await;
        })
        .detach();
    }

    /// Ends at once, as a crashed process does, and comes back later in a new life at the same address.
    pub fn crash(self: &Rc<Self>, under: &str) {
        let Some(life) = self.life.take() else {
            return;
        };
        self.seen.borrow_mut().ended.push((under.to_owned(), Instant::now()));
        let me = self.clone();
        // A task of its own: what is dropped may be the task that runs now.
        compio::runtime::spawn(async move {
            drop(life);
            me.come_back().await;
        })
        .detach();
    }

    async fn come_back(self: Rc<Self>) {
        let store = self.store.borrow().clone();
        let before = self.server.borrow().clone();
        compio::time::sleep(LEASE.min(self.spec.down)).await;
        if let Some(store) = &store {
            store.unregister(&before);
        }
        compio::time::sleep(self.spec.down.saturating_sub(LEASE)).await;
        self.begin_life(&before).await;
    }

    /// The next life at the address of the one before, which knows nothing of it.
    async fn begin_life(self: &Rc<Self>, before: &Server) {
        self.holds.borrow_mut().clear();
        self.handles.borrow_mut().clear();
        // The next life says nothing of this one.
        self.leaving.set(false);
        self.lives.set(self.lives.get() + 1);
        let first = before.id.name.split('+').next().unwrap_or_default();
        let name = format!("{first}+{}", self.lives.get());
        self.server.borrow_mut().id = ServerId::new(name, 0);
        self.listen().await;
        if let Some(store) = &*self.store.borrow() {
            store.register(&self.server.borrow());
        }
    }

    /// Makes it fail from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Starts its next life: reservations and handles are gone, its name stays.
    pub fn restart(&self) {
        self.holds.borrow_mut().clear();
        self.handles.borrow_mut().clear();
        self.server.borrow_mut().id.born += 1;
    }

    /// How often an attempt ran here.
    pub fn runs(&self, attempt: &str) -> usize {
        self.seen.borrow().runs.get(attempt).copied().unwrap_or(0)
    }

    /// Is it alive?
    pub fn is_up(&self) -> bool {
        self.life.borrow().is_some()
    }

    /// Requests being processed.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Reservations and prompts that are held for somebody.
    pub fn held(&self) -> usize {
        let now = Instant::now();
        let holds = self.holds.borrow().values().filter(|(_, until)| *until > now).count();
        let handles = self.handles.borrow().values().filter(|until| **until > now).count();
        holds + handles
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        if self.dark.get() {
            return std::future::pending().await;
        }
        let (parts, body) = req.into_parts();
        let body = http::read_body(body, BODY_LIMIT).await.unwrap_or_default();
        let mark = Mark::of(&body);
        let (leaving, me) = (self.leaving.get(), self.clone());
        let limit = self.limit.borrow().clone();
        let call = simulation::parse_backend_call(&Request::from_parts(parts, body));
        let mut response = me.answer(call, mark).await;
        if leaving {
            simulation::set_leaving(response.headers_mut());
        }
        if let Some(limit) = limit {
            simulation::set_limit(response.headers_mut(), &limit);
        }
        response
    }

    async fn answer(
        self: Rc<Self>,
        call: Option<BackendCall>,
        mark: Option<Mark>,
    ) -> Response<Body> {
        if let Some(call) = &call
            && !matches!(
                call,
                BackendCall::ReleaseReservation { .. } | BackendCall::ReleaseHandle { .. }
            )
        {
            self.seen.borrow_mut().taken.push(Instant::now());
        }
        match call {
            None => response(400, HeaderMap::new(), Vec::new()),
            Some(BackendCall::Reserve { tokens, ttl }) => self.hold(tokens, ttl),
            Some(BackendCall::ReleaseReservation { hold }) => {
                self.seen.borrow_mut().given_back.push(Instant::now());
                self.holds.borrow_mut().remove(&hold);
                response(200, HeaderMap::new(), Vec::new())
            }
            Some(BackendCall::ReleaseHandle { handle }) => {
                self.seen.borrow_mut().given_back.push(Instant::now());
                self.handles.borrow_mut().remove(&handle);
                response(200, HeaderMap::new(), Vec::new())
            }
            Some(BackendCall::Order { stage, fence, .. }) => {
                self.seen.borrow_mut().orders.push((stage, fence));
                response(202, HeaderMap::new(), Vec::new())
            }
            Some(BackendCall::Work(work)) => self.work(work, mark).await,
        }
    }

    async fn work(self: Rc<Self>, work: BackendRequest, mark: Option<Mark>) -> Response<Body> {
        if work.expected_instance.as_ref().is_some_and(|id| id.name != self.server.borrow().id.name)
        {
            self.note_lost_prompt(&work);
            return response(
                simulation::WRONG_INSTANCE.as_u16(),
                simulation::rejection_headers(&work.attempt),
                Vec::new(),
            );
        }
        self.note_sender(&work);
        if !work.prefill {
            let mut seen = self.seen.borrow_mut();
            *seen.arrivals.entry(work.attempt.clone()).or_default() += 1;
            seen.marked.extend(mark.iter().map(|mark| (mark.name.clone(), Instant::now())));
        }
        if self.fault.get() == Fault::Resets {
            self.note_lost_prompt(&work);
            return broken(HeaderMap::new());
        }
        if let Some(seconds) = &*self.pause.borrow() {
            self.note_lost_prompt(&work);
            let mut head = simulation::rejection_headers(&work.attempt);
            simulation::set_retry_after(&mut head, seconds);
            return response(503, head, Vec::new());
        }
        let full = self.running.get() >= self.spec.slots;
        let turned = self.fault.get() == Fault::Changes && !work.prefill;
        if full || turned || self.fault.get() == Fault::Sheds {
            self.note_lost_prompt(&work);
            return response(503, simulation::rejection_headers(&work.attempt), Vec::new());
        }
        let (stage, patience) = (self.server.borrow().stage, work.time_left);
        let attempt = work.attempt.clone();
        if self.fault.get() == Fault::Stuck && !work.prefill {
            self.note_run(&attempt);
            return std::future::pending().await;
        }
        let done = compio::time::timeout(
            patience.unwrap_or(PATIENCE),
            self.clone().run(stage, work, mark),
        );
        // Work ends at the time that was sent with it.
        done.await.unwrap_or_else(|_| response(504, self.head(&attempt), Vec::new()))
    }

    async fn run(
        self: Rc<Self>,
        stage: Option<Stage>,
        work: BackendRequest,
        mark: Option<Mark>,
    ) -> Response<Body> {
        if let Some(mark) = mark
            && (mark.reading || !work.prefill)
        {
            let me = self.clone();
            compio::runtime::spawn(async move {
                compio::time::sleep(me.spec.ends_after).await;
                match mark.dark {
                    true => me.go_dark(&mark.name),
                    false => me.crash(&mark.name),
                }
            })
            .detach();
            if stage != Some(Stage::Decode) {
                return std::future::pending().await;
            }
            return silent(self.head(&work.attempt));
        }
        match (stage, work.prefill) {
            (Some(Stage::Prefill), true) => self.read(work).await,
            (Some(Stage::Decode), false) => self.write(work).await,
            (None, false) => self.call(work).await,
            _ => response(
                simulation::WRONG_INSTANCE.as_u16(),
                simulation::rejection_headers(&work.attempt),
                Vec::new(),
            ),
        }
    }

    fn hold(&self, tokens: u64, ttl: Duration) -> Response<Body> {
        let now = Instant::now();
        let mut holds = self.holds.borrow_mut();
        holds.retain(|_, (_, until)| *until > now);
        let held: u64 = holds.values().map(|(t, _)| t).sum();
        let slots = holds.len() as u32 + self.running.get();
        let full = held + self.used.get() + tokens > self.spec.tokens || slots >= self.spec.slots;
        if full || self.fault.get() == Fault::Full {
            self.seen.borrow_mut().refused += 1;
            return response(503, HeaderMap::new(), Vec::new());
        }
        let name = self.name("hold");
        holds.insert(name.clone(), (tokens, now + ttl));
        response(200, HeaderMap::new(), simulation::reservation_body(&name))
    }

    async fn read(&self, work: BackendRequest) -> Response<Body> {
        let run = Run::begin(self, 0);
        compio::time::sleep(self.spec.read).await;
        run.close();
        let mut seen = self.seen.borrow_mut();
        seen.reads += 1;
        *seen.prompts.entry(work.attempt.clone()).or_default() += 1;
        drop(seen);
        let handle = self.name("handle");
        self.handles.borrow_mut().insert(handle.clone(), Instant::now() + self.spec.handle_life);
        let head = simulation::response_headers(&ResponseHead {
            attempt: work.attempt,
            ..ResponseHead::default()
        });
        response(200, head, simulation::prefill_body(&handle, work.prompt))
    }

    async fn call(&self, work: BackendRequest) -> Response<Body> {
        self.note_run(&work.attempt);
        let run = Run::begin(self, 0);
        match self.fault.get() {
            Fault::Hangs => std::future::pending::<()>().await,
            _ => compio::time::sleep(self.spec.call).await,
        }
        run.close();
        match self.fault.get() {
            Fault::Errors => response(500, self.head(&work.attempt), b"failed".to_vec()),
            Fault::Loses => broken(self.head(&work.attempt)),
            _ => {
                let body = format!("{{\"valid\":true,\"attempt\":\"{}\"}}", work.attempt);
                response(200, self.head(&work.attempt), body.into_bytes())
            }
        }
    }

    async fn write(self: Rc<Self>, work: BackendRequest) -> Response<Body> {
        if let Some(hold) = &work.reservation {
            self.holds.borrow_mut().remove(hold);
        }
        self.note_run(&work.attempt);
        if self.fault.get() == Fault::Errors {
            return response(500, self.head(&work.attempt), b"failed".to_vec());
        }
        if self.fault.get() == Fault::Hangs {
            std::future::pending::<()>().await;
        }
        let head = self.head(&work.attempt);
        let (sender, receiver) = mpsc::channel(1);
        let me = self.clone();
        compio::runtime::spawn(async move { me.stream(work, sender).await }).detach();
        let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
        *response.headers_mut() = head;
        response
    }

    async fn stream(
        &self,
        work: BackendRequest,
        mut out: mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>,
    ) {
        let run = Run::begin(self, work.prompt);
        let first = work.after.map_or(1, |a| a + 1);
        if work.kv_source.is_none() {
            compio::time::sleep(self.spec.read * 2).await;
        }
        for id in first..=self.spec.events {
            compio::time::sleep(self.spec.pace).await;
            let event = format!("id: {id}\ndata: {} tokens {id}\n\n", work.attempt);
            let half = id * 2 > self.spec.events + 1;
            let (data, last) = match self.fault.get() == Fault::Breaks && half {
                // The part of an event that left before the end.
                true => (event.as_bytes()[..event.len() / 2].to_vec(), true),
                false => (event.into_bytes(), false),
            };
            if out.send(Ok(Frame::data(Bytes::from(data)))).await.is_err() {
                self.seen.borrow_mut().cancelled += 1;
                return run.close();
            }
            if last {
                compio::time::sleep(self.spec.pace).await;
                // A caller who is gone needs no sign of the break.
                let _ = out.send(Err(BodyAborted)).await;
                return run.close();
            }
        }
        run.close();
    }

    fn head(&self, attempt: &str) -> HeaderMap {
        let id = self.server.borrow().id.name.clone();
        let load = Load { running: self.running.get(), waiting: 0, slots: self.spec.slots };
        let attempt = attempt.to_owned();
        simulation::response_headers(&ResponseHead { attempt, stamp: Some(id), load: Some(load) })
    }

    fn note_sender(&self, work: &BackendRequest) {
        let mut seen = self.seen.borrow_mut();
        seen.keyed += u64::from(work.has_key);
        seen.accounts.insert(work.attempt.clone(), work.accounts.clone());
    }

    fn note_lost_prompt(&self, work: &BackendRequest) {
        if work.prefill {
            let mut seen = self.seen.borrow_mut();
            *seen.lost_prompts.entry(work.attempt.clone()).or_default() += 1;
        }
    }

    fn note_run(&self, attempt: &str) {
        *self.seen.borrow_mut().runs.entry(attempt.to_owned()).or_default() += 1;
    }

    fn name(&self, kind: &str) -> String {
        self.names.set(self.names.get() + 1);
        format!("{kind}{}", self.names.get())
    }
}

/// Content under which a server ends.
#[derive(Clone, Debug)]
struct Mark {
    name: String,
    /// Reading its prompt ends an engine too.
    reading: bool,
    /// Nothing of the end is seen on its connections.
    dark: bool,
}

impl Mark {
    fn of(body: &[u8]) -> Option<Mark> {
        let text = std::str::from_utf8(body).ok()?;
        let named = |begin| text.strip_prefix(begin).map(|rest: &str| rest.trim_end().to_owned());
        let mark = |name, reading, dark| Mark { name, reading, dark };
        let runs = named(ENDS).map(|name| mark(name, false, false));
        let reads = || named(ENDS_READERS).map(|name| mark(name, true, false));
        runs.or_else(reads).or_else(|| Some(mark(named(ENDS_DARK)?, false, true)))
    }
}

/// A request that takes a slot and memory.
struct Run<'a> {
    runner: &'a Runner,
    tokens: u64,
}

impl<'a> Run<'a> {
    fn begin(runner: &'a Runner, tokens: u64) -> Self {
        runner.running.set(runner.running.get() + 1);
        runner.used.set(runner.used.get() + tokens);
        Run { runner, tokens }
    }

    fn close(self) {
        drop(self);
    }
}

impl Drop for Run<'_> {
    /// Also when the task is dropped because its caller left.
    fn drop(&mut self) {
        self.runner.running.set(self.runner.running.get() - 1);
        self.runner.used.set(self.runner.used.get() - self.tokens);
    }
}

fn response(status: u16, headers: HeaderMap, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    *response.headers_mut() = headers;
    response
}

/// An answer whose body does not come.
fn silent(headers: HeaderMap) -> Response<Body> {
    let body =
        StreamBody::new(futures_util::stream::pending::<Result<Frame<Bytes>, BodyAborted>>());
    let mut response = Response::new(body.boxed_unsync());
    *response.headers_mut() = headers;
    response
}

/// An answer that ends before its body.
fn broken(headers: HeaderMap) -> Response<Body> {
    let (mut sender, receiver) = mpsc::channel(1);
    // The channel is new and empty.
    let _ = sender.try_send(Err(BodyAborted));
    let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
    *response.headers_mut() = headers;
    response
}
