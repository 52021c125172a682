//! A backend server: a plain one, or a model engine with a stage, reservations and prompt handles.
//!
//! It simulates processing times without a model, and records what ran, what was cancelled and what is
//! still reserved.

mod orders;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_platform::engine;
use ebonyloft_platform::simulation::{self, BackendCall, BackendRequest, ResponseHead};
use ebonyloft_router::catalog::{Server, ServerId, SoftwareVersion, Stage};
use ebonyloft_router::outcome::Load;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::answer::{Body, BodyAborted, full};
use ebonyloftd::gateway::pool::Pool;
use ebonyloftd::http;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};

pub use self::orders::OrderFault;
use self::orders::Orders;
use super::listener::Listener;
use super::ownership::Ownership;
use super::store::Store;

/// Largest request body.
const BODY_LIMIT: usize = 4 << 20;

/// Time limit of work that was sent without one.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);

/// Prefix of a request body that crashes a backend server soon after it starts to process it. The rest
/// of the body names the content.
pub const CRASH_PREFIX: &str = "ends servers: ";
/// Like [`ENDS`]; computing the prompt crashes a prefill engine as well.
pub const PREFILL_CRASH_PREFIX: &str = "ends readers: ";
/// Like [`ENDS`], but the connections of the crashed server stay open and silent.
pub const SILENT_CRASH_PREFIX: &str = "ends servers in silence: ";
/// Downtime after a crash that leaves connections open.
const SILENT_DOWNTIME: Duration = Duration::from_millis(2_500);
/// Time limit of a call from one engine to another.
const MOVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time until a late copy is answered, beyond the caller's limit of 300 ms.
const LATE_COPY: Duration = Duration::from_millis(400);
/// Time from the answer to a copy until the crash after it.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time that a restart under the same name takes.
const RESTART_TIME: Duration = Duration::from_millis(50);
/// Bytes that a flood sends at a time.
const FLOOD_PIECE: usize = 16 << 10;
/// Time from a crash until the registration expires.
const REGISTRATION_TTL: Duration = Duration::from_millis(1_000);

/// Capacity and timing of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Requests processed concurrently.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub memory_tokens: u64,
    /// Processing time of a short call.
    pub call_time: Duration,
    /// Time to compute a prompt.
    pub prefill_time: Duration,
    /// Interval between two events of a stream.
    pub event_interval: Duration,
    /// Number of events of a summary.
    pub event_count: u64,
    /// How long a computed prompt is kept.
    pub handle_ttl: Duration,
    /// Time from the start of a run until its content crashes the server.
    pub crash_after: Duration,
    /// Downtime after such a crash.
    pub downtime: Duration,
    /// How long it states that work takes now, in percent of the usual time.
    pub slowness: Option<u32>,
    /// Number of events in one chunk of a stream.
    pub batch: u64,
    /// Version of its software, as registered and as part of each event; registrations with an empty
    /// version name none.
    pub version: String,
}

impl Default for BackendSpec {
    fn default() -> Self {
        BackendSpec {
            slots: 12,
            memory_tokens: 42_000,
            call_time: Duration::from_millis(15),
            prefill_time: Duration::from_millis(40),
            event_interval: Duration::from_millis(10),
            event_count: 20,
            handle_ttl: Duration::from_millis(500),
            crash_after: Duration::from_millis(70),
            downtime: Duration::from_millis(1_500),
            slowness: None,
            batch: 1,
            version: "v1".to_owned(),
        }
    }
}

/// Fault of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers 500.
    Errors,
    /// Accepts requests and never answers them.
    Hangs,
    /// Like `Hangs`, and ignores the time limit that was sent with the work.
    Stuck,
    /// Runs requests and closes the connection without an answer.
    Loses,
    /// Rejects all requests and states that it did not run them.
    Sheds,
    /// Refuses all reservations.
    Full,
    /// Grants reservations, then rejects the requests that use them.
    Changes,
    /// Breaks streams off after half of their events.
    Breaks,
    /// Sends bytes without an end in place of answers, and after half of the events of a stream.
    Floods,
    /// Breaks off each request previous running it.
    Resets,
    /// Answers the first call of a migration after the caller's time limit.
    CopiesLate,
    /// Never answers the first call of a migration.
    CopiesSilently,
    /// Answers the last call of a migration with 503 and keeps the memory.
    KeepsMemory,
    /// Stops the run at the last call of a migration and never answers it.
    StopsSilently,
    /// Crashes after the first call of a migration was answered.
    CrashesAfterCopy,
}

/// Requests that a backend server received and what became of them.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Runs by attempt.
    pub runs: HashMap<String, usize>,
    /// Arrivals by attempt: runs and rejections, without prefill requests.
    pub arrivals: HashMap<String, usize>,
    /// Prompts computed, by attempt.
    pub prefills: HashMap<String, usize>,
    /// Prefill requests that were not computed, by attempt.
    pub lost_prefills: HashMap<String, usize>,
    /// Client accounts named by requests, prefill requests included, by attempt.
    pub accounts: HashMap<String, Vec<String>>,
    /// Whether each request for work was for prefill, and its priority, by attempt.
    pub priorities: HashMap<String, Vec<(bool, Option<u8>)>>,
    /// Attempts that handles were made for, and that used reservations.
    pub ownership: Ownership,
    /// Requests that carried a client's API key; a gateway must never forward one.
    pub key_leaks: u64,
    /// Prompts computed.
    pub prefill_count: u64,
    /// Runs whose client disconnected.
    pub cancelled: u64,
    /// Refused reservations.
    pub refused_holds: u64,
    /// Reservations asked of another incarnation.
    pub misdirected_holds: u64,
    /// Calls of migrations: the attempt, and whether it was the last call.
    pub moves: Vec<(String, bool)>,
    /// Engines and handles that runs named, by attempt.
    pub kv_sources: HashMap<String, Vec<(SocketAddr, String)>>,
    /// Runs that named a reservation which the server does not hold.
    pub unknown_holds: u64,
    /// Runs continued from a copy, by attempt.
    pub continued: HashMap<String, usize>,
    /// Stage orders with their fencing tokens.
    pub orders: Vec<(Stage, u64)>,
    /// Arrivals of content that crashes servers, by its name, without prefill requests.
    pub crash_arrivals: Vec<(String, Instant)>,
    /// Arrivals of requests with a part that crashes servers, prefill requests included: the part,
    /// whether for prefill only, and the time.
    pub part_arrivals: Vec<(String, bool, Instant)>,
    /// Crashes: the name of the content that caused it, and the time.
    pub crashes: Vec<(String, Instant)>,
    /// Times of all calls but releases of reservations and handles.
    pub call_times: Vec<Instant>,
    /// Times of answers that announced that the server is leaving.
    pub leaving_answers: Vec<Instant>,
    /// Times at which reservations and handles were released.
    pub release_times: Vec<Instant>,
}

/// A running backend server.
pub struct BackendServer {
    /// Its current registration.
    pub server: RefCell<Server>,
    /// Requests received so far.
    pub observed: RefCell<Observed>,
    spec: BackendSpec,
    /// Address that it listens on; its registration may name a relay in front of it.
    addr: SocketAddr,
    fault: Cell<Fault>,
    /// All its answers announce that it is leaving.
    leaving: Cell<bool>,
    /// Work is rejected with this retry-after value, in seconds.
    back_off: RefCell<Option<String>>,
    /// Until when it has asked callers to stay away.
    away_until: Cell<Option<Instant>>,
    /// It has crashed, but its connections stay open and silent.
    silent_crash: Cell<bool>,
    /// Parts of prompts that crash it once it writes an answer.
    crash_parts: RefCell<Vec<CrashPart>>,
    /// Limit that all its answers announce.
    limit: RefCell<Option<String>>,
    listener: RefCell<Option<Listener>>,
    /// Number of restarts after crashes.
    restarts: Cell<u64>,
    /// Names under which it started more than once.
    reused_names: RefCell<BTreeSet<String>>,
    /// Store to register in after a crash.
    store: RefCell<Option<Rc<Store>>>,
    running: Cell<u32>,
    /// Reserved tokens and expiry by name of the reservation.
    holds: RefCell<HashMap<String, (u64, Instant)>>,
    /// Expiry of computed prompts by name of the handle.
    handles: RefCell<HashMap<String, Instant>>,
    used_tokens: Cell<u64>,
    /// Its lives before this one.
    lives: Cell<u64>,
    /// Number in the last name of a reservation or handle.
    last_name: Cell<u64>,
    /// Streams in process by attempt.
    streams: RefCell<HashMap<String, Rc<StreamEntry>>>,
    /// Engine that holds the copy of a run, and the run's attempt, by handle.
    copies: RefCell<HashMap<String, (SocketAddr, String)>>,
    orders: Orders,
    pool: Pool,
}

impl BackendServer {
    /// Starts a backend server.
    pub async fn start(server: Server, spec: BackendSpec) -> Rc<BackendServer> {
        let addr = server.addr;
        let backend = Rc::new(BackendServer {
            server: RefCell::new(server),
            addr,
            observed: RefCell::default(),
            spec,
            fault: Cell::default(),
            leaving: Cell::default(),
            back_off: RefCell::default(),
            away_until: Cell::default(),
            silent_crash: Cell::default(),
            crash_parts: RefCell::default(),
            limit: RefCell::default(),
            listener: RefCell::default(),
            restarts: Cell::default(),
            reused_names: RefCell::default(),
            store: RefCell::default(),
            running: Cell::default(),
            holds: RefCell::default(),
            handles: RefCell::default(),
            used_tokens: Cell::default(),
            lives: Cell::default(),
            last_name: Cell::default(),
            streams: RefCell::default(),
            copies: RefCell::default(),
            orders: Orders::default(),
            pool: Pool::new(Clock::default()),
        });
        backend.listen().await;
        backend
    }

    async fn listen(self: &Rc<Self>) {
        let me = self.clone();
        let listener = Listener::start(self.addr, move |req| me.clone().handle(req)).await;
        self.listener.replace(Some(listener));
    }

    /// Makes the server register in `store` after each crash.
    pub fn register_after_crash(&self, store: &Rc<Store>) {
        self.store.replace(Some(store.clone()));
    }

    /// Makes all answers announce that the server is leaving.
    pub fn announce_leaving(&self) {
        self.leaving.set(true);
    }

    /// Stops announcing that the server is leaving.
    pub fn cancel_leaving(&self) {
        self.leaving.set(false);
    }

    /// Rejects work with this retry-after value, in seconds; `None` accepts work again.
    pub fn set_back_off(&self, seconds: Option<&str>) {
        self.back_off.replace(seconds.map(str::to_owned));
    }

    /// Makes the server crash some time after it has begun to write an answer to a prompt with one of
    /// these parts.
    pub fn set_crash_parts(&self, parts: &[CrashPart]) {
        self.crash_parts.replace(parts.to_vec());
    }

    /// Makes all answers announce this limit of requests a second; `None` stops that.
    pub fn announce_limit(&self, limit: Option<&str>) {
        self.limit.replace(limit.map(str::to_owned));
    }

    /// Crashes as a VM does that loses power: open and new connections stay silent. A new incarnation
    /// starts later at the same address.
    pub fn crash_silently(self: &Rc<Self>, content: &str) {
        if self.silent_crash.replace(true) {
            return;
        }
        self.observed.borrow_mut().crashes.push((content.to_owned(), Instant::now()));
        let me = self.clone();
        compio::runtime::spawn(async move {
            let store = me.store.borrow().clone();
            let previous = me.server.borrow().clone();
            compio::time::sleep(REGISTRATION_TTL).await;
            if let Some(store) = &store {
                store.unregister(&previous);
            }
            compio::time::sleep(SILENT_DOWNTIME - REGISTRATION_TTL).await;
            let listener = me.listener.take();
            // The address is free only after the tasks that own its sockets were dropped.
            compio::runtime::spawn(async move { drop(listener) }).detach();
            compio::time::sleep(RESTART_TIME).await;
            me.silent_crash.set(false);
            me.start_incarnation(&previous).await;
        })
        .detach();
    }

    /// Crashes as a process does: its connections close at once. A new incarnation starts later at the
    /// same address.
    pub fn crash(self: &Rc<Self>, content: &str) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        self.observed.borrow_mut().crashes.push((content.to_owned(), Instant::now()));
        let me = self.clone();
        // Dropped in another task, because the listener may own the task that runs now.
        compio::runtime::spawn(async move {
            drop(listener);
            me.restart_after_crash().await;
        })
        .detach();
    }

    async fn restart_after_crash(self: Rc<Self>) {
        let store = self.store.borrow().clone();
        let previous = self.server.borrow().clone();
        compio::time::sleep(REGISTRATION_TTL.min(self.spec.downtime)).await;
        if let Some(store) = &store {
            store.unregister(&previous);
        }
        compio::time::sleep(self.spec.downtime.saturating_sub(REGISTRATION_TTL)).await;
        self.start_incarnation(&previous).await;
    }

    /// Starts a new incarnation at the same address, without the state of the previous one.
    async fn start_incarnation(self: &Rc<Self>, previous: &Server) {
        self.forget();
        self.repeat_names();
        self.leaving.set(false);
        self.restarts.set(self.restarts.get() + 1);
        let base = previous.id.name.split('+').next().unwrap_or_default();
        let name = format!("{base}+{}", self.restarts.get());
        self.server.borrow_mut().id = ServerId::new(name, 0);
        self.listen().await;
        if let Some(store) = &*self.store.borrow() {
            store.register(&self.server.borrow());
        }
    }

    /// Ends as a killed process does, unless it is down, and starts an incarnation under another name at the same
    /// address after `downtime`. The registration of the one that ended expires, if need be beside the new one's.
    pub async fn end_for(self: &Rc<Self>, downtime: Duration) {
        if !self.is_up() {
            return;
        }
        let previous = self.server.borrow().clone();
        let (store, expired) = (self.store.borrow().clone(), previous.clone());
        compio::runtime::spawn(async move {
            compio::time::sleep(REGISTRATION_TTL).await;
            if let Some(store) = store {
                store.unregister(&expired);
            }
        })
        .detach();
        self.end().await;
        compio::time::sleep(downtime.saturating_sub(RESTART_TIME)).await;
        self.start_incarnation(&previous).await;
    }

    /// Ends, and starts an incarnation of this version under another name at the same address, which
    /// it registers.
    pub async fn replace_with(self: &Rc<Self>, version: &str) {
        self.end().await;
        let previous = self.server.borrow().clone();
        if let Some(store) = &*self.store.borrow() {
            store.unregister(&previous);
        }
        self.server.borrow_mut().version = SoftwareVersion::new(version);
        self.start_incarnation(&previous).await;
    }

    /// Starts a new incarnation of this version under the same name; the connections of the previous
    /// one close at once.
    pub async fn restart_as(self: &Rc<Self>, version: &str) {
        self.end().await;
        self.restart();
        self.server.borrow_mut().version = SoftwareVersion::new(version);
        self.listen().await;
        if let Some(store) = &*self.store.borrow() {
            store.register(&self.server.borrow());
        }
    }

    /// Does the same without a registration of the new incarnation.
    pub async fn restart_unregistered(self: &Rc<Self>) {
        self.end().await;
        self.restart();
        self.listen().await;
    }

    async fn end(&self) {
        // Dropped in another task, because the listener may own the task that runs now.
        let listener = self.listener.take();
        compio::runtime::spawn(async move { drop(listener) }).detach();
        compio::time::sleep(RESTART_TIME).await;
        self.repeat_names();
    }

    /// Sets the fault of all later requests.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Starts a new incarnation under the same name behind the open connections; reservations and handles
    /// are lost.
    pub fn restart(&self) {
        self.forget();
        let id = &mut self.server.borrow_mut().id;
        id.born += 1;
        self.reused_names.borrow_mut().insert(id.name.clone());
    }

    /// Names under which it started more than once.
    pub fn reused_names(&self) -> BTreeSet<String> {
        self.reused_names.borrow().clone()
    }

    /// Ends a life: the next one knows nothing of it.
    fn forget(&self) {
        self.holds.borrow_mut().clear();
        self.handles.borrow_mut().clear();
        self.copies.borrow_mut().clear();
        self.away_until.set(None);
        self.lives.set(self.lives.get() + 1);
    }

    /// Gives the names of reservations and handles again, from the first on.
    pub fn repeat_names(&self) {
        self.last_name.set(0);
    }

    /// Returns how often an attempt ran on this server.
    pub fn run_count(&self, attempt: &str) -> usize {
        self.observed.borrow().runs.get(attempt).copied().unwrap_or(0)
    }

    /// Returns whether the server listens.
    pub fn is_up(&self) -> bool {
        self.listener.borrow().is_some()
    }

    /// Is it up, without a fault that fails all requests, and has it not asked callers to stay away?
    pub fn is_serving(&self) -> bool {
        let is_away = self.away_until.get().is_some_and(|until| Instant::now() < until);
        let fails = match self.fault.get() {
            Fault::Errors | Fault::Hangs | Fault::Loses | Fault::Sheds | Fault::Changes => true,
            Fault::Floods => true,
            Fault::Breaks => self.server.borrow().stage.is_some(),
            _ => false,
        };
        self.is_up() && !is_away && !fails
    }

    /// Returns the number of requests in process.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Returns the number of unexpired reservations and prompt handles.
    pub fn reservation_count(&self) -> usize {
        let now = Instant::now();
        let holds = self.holds.borrow().values().filter(|(_, until)| *until > now).count();
        let handles = self.handles.borrow().values().filter(|until| **until > now).count();
        holds + handles
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        if self.silent_crash.get() {
            return std::future::pending().await;
        }
        let (parts, body) = req.into_parts();
        let body = http::read_body(body, BODY_LIMIT).await.unwrap_or_default();
        let marker = CrashMarker::of(&body);
        let (leaving, me) = (self.leaving.get(), self.clone());
        let limit = self.limit.borrow().clone();
        let expected = simulation::expected_instance(&parts.headers).map(str::to_owned);
        let call = simulation::parse_backend_call(&Request::from_parts(parts, body));
        let mut response = me.dispatch(call, expected, marker).await;
        if leaving {
            simulation::set_leaving(response.headers_mut());
            self.observed.borrow_mut().leaving_answers.push(Instant::now());
        }
        if let Some(limit) = limit {
            simulation::set_limit(response.headers_mut(), &limit);
        }
        response
    }

    async fn dispatch(
        self: Rc<Self>,
        call: Option<BackendCall>,
        expected: Option<String>,
        marker: Option<CrashMarker>,
    ) -> Response<Body> {
        if let Some(call) = &call
            && !matches!(
                call,
                BackendCall::ReleaseReservation { .. } | BackendCall::ReleaseHandle { .. }
            )
        {
            self.observed.borrow_mut().call_times.push(Instant::now());
        }
        if expected.is_some_and(|name| name != self.server.borrow().id.name) {
            return self.reject_other_instance(call);
        }
        match call {
            None => response(400, HeaderMap::new(), Vec::new()),
            Some(BackendCall::Reserve { tokens, ttl }) => self.reserve(tokens, ttl),
            Some(BackendCall::ReleaseReservation { hold }) => {
                self.observed.borrow_mut().release_times.push(Instant::now());
                self.holds.borrow_mut().remove(&hold);
                response(200, HeaderMap::new(), Vec::new())
            }
            Some(BackendCall::ReleaseHandle { handle }) => {
                self.observed.borrow_mut().release_times.push(Instant::now());
                self.handles.borrow_mut().remove(&handle);
                self.release_copy(&handle).await;
                response(200, HeaderMap::new(), Vec::new())
            }
            Some(BackendCall::Move { attempt, target, last }) => {
                self.observed.borrow_mut().moves.push((attempt.clone(), last));
                self.move_run(&attempt, target, last).await
            }
            Some(BackendCall::Order { stage, fence, .. }) => {
                self.observed.borrow_mut().orders.push((stage, fence));
                self.on_order(stage, fence).await
            }
            Some(BackendCall::Work(work)) => self.admit(work, marker).await,
        }
    }

    /// Answers a call that is for another incarnation.
    fn reject_other_instance(&self, call: Option<BackendCall>) -> Response<Body> {
        let headers = match call {
            Some(BackendCall::Work(work)) => {
                self.record_lost_prefill(&work);
                simulation::rejection_headers(&work.attempt)
            }
            Some(BackendCall::Reserve { .. }) => {
                self.observed.borrow_mut().misdirected_holds += 1;
                HeaderMap::new()
            }
            _ => HeaderMap::new(),
        };
        response(simulation::WRONG_INSTANCE.as_u16(), headers, Vec::new())
    }

    async fn admit(
        self: Rc<Self>,
        work: BackendRequest,
        marker: Option<CrashMarker>,
    ) -> Response<Body> {
        self.record_accounts(&work);
        let part = self.crash_part(&work);
        if let Some(part) = &part {
            let arrival = (part.id.clone(), work.prefill, Instant::now());
            self.observed.borrow_mut().part_arrivals.push(arrival);
        }
        if !work.prefill {
            let mut seen = self.observed.borrow_mut();
            *seen.arrivals.entry(work.attempt.clone()).or_default() += 1;
            seen.crash_arrivals
                .extend(marker.iter().map(|marker| (marker.name.clone(), Instant::now())));
        }
        if self.fault.get() == Fault::Resets {
            self.record_lost_prefill(&work);
            return broken_response(HeaderMap::new());
        }
        if let Some(seconds) = &*self.back_off.borrow() {
            self.record_lost_prefill(&work);
            let mut head = simulation::rejection_headers(&work.attempt);
            simulation::set_retry_after(&mut head, seconds);
            let pause = seconds.parse().ok().and_then(|s| Duration::try_from_secs_f64(s).ok());
            let until = pause.and_then(|pause| Instant::now().checked_add(pause));
            self.away_until.set(self.away_until.get().max(until));
            return response(503, head, Vec::new());
        }
        let full = self.running.get() >= self.spec.slots;
        let rejects_run = self.fault.get() == Fault::Changes && !work.prefill;
        let rejects_all = self.fault.get() == Fault::Sheds || self.is_changing_stage();
        if full || rejects_run || rejects_all {
            self.record_lost_prefill(&work);
            return response(503, simulation::rejection_headers(&work.attempt), Vec::new());
        }
        let (stage, time_limit) = (self.server.borrow().stage, work.time_left);
        let attempt = work.attempt.clone();
        if self.fault.get() == Fault::Stuck && !work.prefill {
            self.record_run(&attempt);
            return std::future::pending().await;
        }
        if let Some(part) = part.filter(|_| !work.prefill) {
            let marker = CrashMarker { name: part.id, prefill_too: false, silent: part.silent };
            self.crash_later(marker);
        }
        let result = compio::time::timeout(
            time_limit.unwrap_or(DEFAULT_TIME_LIMIT),
            self.clone().process(stage, work, marker),
        );
        // Work is abandoned at the time limit that was sent with it.
        result.await.unwrap_or_else(|_| response(504, self.answer_head(&attempt), Vec::new()))
    }

    async fn process(
        self: Rc<Self>,
        stage: Option<Stage>,
        work: BackendRequest,
        marker: Option<CrashMarker>,
    ) -> Response<Body> {
        if let Some(marker) = marker
            && (marker.prefill_too || !work.prefill)
        {
            self.crash_later(marker);
            if stage != Some(Stage::Decode) {
                return std::future::pending().await;
            }
            return silent_response(self.answer_head(&work.attempt));
        }
        match (stage, work.prefill) {
            (Some(Stage::Prefill), true) => self.compute_prompt(work).await,
            (Some(Stage::Decode), false) => self.start_stream(work).await,
            (None, false) => self.run_call(work).await,
            _ => response(
                simulation::WRONG_INSTANCE.as_u16(),
                simulation::rejection_headers(&work.attempt),
                Vec::new(),
            ),
        }
    }

    /// The part of this work that crashes the server, if it has one.
    fn crash_part(&self, work: &BackendRequest) -> Option<CrashPart> {
        let parts = self.crash_parts.borrow();
        let (_, shared) = work.prompt_parts.split_last()?;
        parts.iter().find(|part| shared.contains(&part.id)).cloned()
    }

    fn crash_later(self: &Rc<Self>, marker: CrashMarker) {
        let me = self.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(me.spec.crash_after).await;
            match marker.silent {
                true => me.crash_silently(&marker.name),
                false => me.crash(&marker.name),
            }
        })
        .detach();
    }

    fn reserve(&self, tokens: u64, ttl: Duration) -> Response<Body> {
        let now = Instant::now();
        let mut holds = self.holds.borrow_mut();
        holds.retain(|_, (_, until)| *until > now);
        let reserved: u64 = holds.values().map(|(t, _)| t).sum();
        let slots = holds.len() as u32 + self.running.get();
        let full = reserved + self.used_tokens.get() + tokens > self.spec.memory_tokens
            || slots >= self.spec.slots;
        if full || self.fault.get() == Fault::Full || self.is_changing_stage() {
            self.observed.borrow_mut().refused_holds += 1;
            return response(503, HeaderMap::new(), Vec::new());
        }
        let name = self.next_name("hold");
        self.observed.borrow_mut().ownership.on_held(self.lives.get(), &name);
        holds.insert(name.clone(), (tokens, now + ttl));
        response(200, HeaderMap::new(), simulation::reservation_body(&name))
    }

    async fn release_copy(&self, handle: &str) {
        let target = self.copies.borrow_mut().remove(handle);
        if let Some((target, _)) = target {
            let req = engine::release_reservation(&ServerId::default(), handle);
            // The target may have crashed.
            let _ = self.pool.call_server(target, req, MOVE_TIMEOUT).await;
        }
    }

    /// Copies a run's memory to `target`, where the copy is a reservation named like its handle.
    async fn move_run(
        self: Rc<Self>,
        attempt: &str,
        target: SocketAddr,
        last: bool,
    ) -> Response<Body> {
        let reply = |status, handle: &str, created| {
            response(status, HeaderMap::new(), simulation::move_body(handle, created))
        };
        let Some(stream) = self.streams.borrow().get(attempt).cloned() else {
            return response(404, HeaderMap::new(), Vec::new());
        };
        let created = stream.last.get();
        let fault = self.fault.get();
        if !last {
            let req =
                engine::reserve(&ServerId::default(), 1, self.spec.handle_ttl.as_millis() as u64);
            let held = self.pool.call_server(target, req, MOVE_TIMEOUT).await;
            let Some(handle) = held.ok().and_then(|a| engine::parse_reservation(a.status, &a.body))
            else {
                return response(503, HeaderMap::new(), Vec::new());
            };
            self.copies.borrow_mut().insert(handle.clone(), (target, attempt.to_owned()));
            self.observed.borrow_mut().ownership.on_copy(
                &handle,
                attempt,
                &self.server.borrow().id,
                target,
            );
            match fault {
                Fault::CopiesLate => compio::time::sleep(LATE_COPY).await,
                Fault::CopiesSilently => std::future::pending().await,
                Fault::CrashesAfterCopy => {
                    compio::runtime::spawn(async move {
                        compio::time::sleep(CRASH_DELAY).await;
                        self.crash("after a copy");
                    })
                    .detach();
                }
                _ => {}
            }
            return reply(200, &handle, created);
        }
        stream.is_stopped.set(true);
        while !stream.has_ended.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        let created = stream.last.get();
        let handle = {
            let (copies, to) = (self.copies.borrow(), (target, attempt.to_owned()));
            copies.iter().find(|(_, copy)| **copy == to).map(|(h, _)| h.clone()).unwrap_or_default()
        };
        match fault {
            Fault::StopsSilently => std::future::pending().await,
            Fault::KeepsMemory => {
                self.release_copy(&handle).await;
                let kept = self.next_name("hold");
                self.observed.borrow_mut().ownership.on_held(self.lives.get(), &kept);
                let until = Instant::now() + self.spec.handle_ttl;
                self.holds.borrow_mut().insert(kept.clone(), (1, until));
                let Server { id, addr, .. } = self.server.borrow().clone();
                self.observed.borrow_mut().ownership.on_copy(&kept, attempt, &id, addr);
                reply(503, &kept, created)
            }
            _ => reply(200, &handle, created),
        }
    }

    async fn compute_prompt(&self, work: BackendRequest) -> Response<Body> {
        let run = RunGuard::start(self, 0);
        compio::time::sleep(self.spec.prefill_time).await;
        run.finish();
        let mut seen = self.observed.borrow_mut();
        seen.prefill_count += 1;
        *seen.prefills.entry(work.attempt.clone()).or_default() += 1;
        let handle = self.next_name("handle");
        seen.ownership.on_handle(&handle, &work.attempt, &self.server.borrow().id);
        drop(seen);
        self.handles.borrow_mut().insert(handle.clone(), Instant::now() + self.spec.handle_ttl);
        let head = simulation::response_headers(&ResponseHead {
            attempt: work.attempt,
            ..ResponseHead::default()
        });
        response(200, head, simulation::prefill_body(&handle, work.prompt))
    }

    async fn run_call(&self, work: BackendRequest) -> Response<Body> {
        self.record_run(&work.attempt);
        let run = RunGuard::start(self, 0);
        match self.fault.get() {
            Fault::Hangs => std::future::pending::<()>().await,
            _ => compio::time::sleep(self.spec.call_time).await,
        }
        run.finish();
        match self.fault.get() {
            Fault::Errors => response(500, self.answer_head(&work.attempt), b"failed".to_vec()),
            Fault::Loses => broken_response(self.answer_head(&work.attempt)),
            Fault::Floods => flood_response(self.answer_head(&work.attempt)),
            _ => {
                let body = format!("{{\"valid\":true,\"attempt\":\"{}\"}}", work.attempt);
                response(200, self.answer_head(&work.attempt), body.into_bytes())
            }
        }
    }

    async fn start_stream(self: Rc<Self>, work: BackendRequest) -> Response<Body> {
        if let Some(hold) = &work.reservation {
            let is_known = self.holds.borrow_mut().remove(hold).is_some();
            let mut seen = self.observed.borrow_mut();
            seen.unknown_holds += u64::from(!is_known);
            seen.ownership.on_reservation(self.lives.get(), hold, &work.attempt);
        }
        if let Some(source) = &work.kv_source {
            let mut seen = self.observed.borrow_mut();
            seen.ownership.on_named(source.0, &source.1, &work.attempt);
            seen.kv_sources.entry(work.attempt.clone()).or_default().push(source.clone());
        }
        let copy = work.kv_source.as_ref().filter(|(_, handle)| handle.starts_with("hold"));
        match copy.map(|(_, handle)| self.holds.borrow_mut().remove(handle)) {
            None => self.record_run(&work.attempt),
            Some(Some(_)) => {
                let mut seen = self.observed.borrow_mut();
                *seen.continued.entry(work.attempt.clone()).or_default() += 1;
            }
            Some(None) => {
                return response(503, simulation::rejection_headers(&work.attempt), Vec::new());
            }
        }
        if self.fault.get() == Fault::Errors {
            return response(500, self.answer_head(&work.attempt), b"failed".to_vec());
        }
        if self.fault.get() == Fault::Hangs {
            std::future::pending::<()>().await;
        }
        let head = self.answer_head(&work.attempt);
        let (sender, receiver) = mpsc::channel(1);
        let me = self.clone();
        compio::runtime::spawn(async move { me.send_events(work, sender).await }).detach();
        let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
        *response.headers_mut() = head;
        response
    }

    async fn send_events(
        &self,
        work: BackendRequest,
        mut out: mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>,
    ) {
        let run = RunGuard::start(self, work.prompt);
        let first = work.after.map_or(1, |a| a + 1);
        let stream = StreamGuard::start(self, &work.attempt, first - 1);
        // A decode engine takes twice as long to compute a prompt itself.
        if work.kv_source.is_none() {
            compio::time::sleep(self.spec.prefill_time * 2).await;
        }
        let mut batched = String::new();
        for id in first..=self.spec.event_count {
            // A run that is stopped completes its next event and ends in the middle of the one after.
            let is_stopped = stream.is_stopped();
            compio::time::sleep(self.spec.event_interval).await;
            if self.silent_crash.get() {
                return self.stay_silent(out, run).await;
            }
            let server = self.server.borrow().version.clone();
            let version = server.as_ref().map_or("", SoftwareVersion::as_str);
            let event = format!("id: {id}\ndata: {} tokens {id} {version}\n\n", work.attempt);
            stream.on_event(id);
            batched.push_str(&event);
            if id % self.spec.batch != 0 && id < self.spec.event_count {
                continue;
            }
            let event = std::mem::take(&mut batched);
            let past_half = id * 2 > self.spec.event_count + 1;
            let is_broken = self.fault.get() == Fault::Breaks && past_half || is_stopped;
            let (data, is_break) = match is_broken {
                // The break cuts an event in half.
                true => (event.as_bytes()[..event.len() / 2].to_vec(), true),
                false => (event.into_bytes(), false),
            };
            if out.send(Ok(Frame::data(Bytes::from(data)))).await.is_err() {
                self.observed.borrow_mut().cancelled += 1;
                return run.finish();
            }
            if self.fault.get() == Fault::Floods && past_half {
                send_flood(out).await;
                return run.finish();
            }
            if is_break {
                compio::time::sleep(self.spec.event_interval).await;
                // Fails only if the client has disconnected.
                let _ = out.send(Err(BodyAborted)).await;
                return run.finish();
            }
        }
        run.finish();
    }

    /// Keeps a stream open without a further event until the server starts again.
    async fn stay_silent(
        &self,
        mut out: mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>,
        run: RunGuard<'_>,
    ) {
        while self.silent_crash.get() {
            compio::time::sleep(self.spec.event_interval).await;
        }
        // Fails only if the client has disconnected.
        let _ = out.send(Err(BodyAborted)).await;
        run.finish();
    }

    fn answer_head(&self, attempt: &str) -> HeaderMap {
        let id = self.server.borrow().id.name.clone();
        let BackendSpec { slots, slowness, .. } = self.spec;
        let load = Load { running: self.running.get(), waiting: 0, slots, slowness };
        let attempt = attempt.to_owned();
        simulation::response_headers(&ResponseHead { attempt, stamp: Some(id), load: Some(load) })
    }

    fn record_accounts(&self, work: &BackendRequest) {
        let mut seen = self.observed.borrow_mut();
        seen.key_leaks += u64::from(work.has_key);
        seen.accounts.insert(work.attempt.clone(), work.accounts.clone());
        let priorities = seen.priorities.entry(work.attempt.clone()).or_default();
        priorities.push((work.prefill, work.priority));
    }

    fn record_lost_prefill(&self, work: &BackendRequest) {
        if work.prefill {
            let mut seen = self.observed.borrow_mut();
            *seen.lost_prefills.entry(work.attempt.clone()).or_default() += 1;
        }
    }

    fn record_run(&self, attempt: &str) {
        *self.observed.borrow_mut().runs.entry(attempt.to_owned()).or_default() += 1;
    }

    fn next_name(&self, kind: &str) -> String {
        self.last_name.set(self.last_name.get() + 1);
        // An engine tells the copies that it made at several engines apart.
        format!("{kind}-{}-{}", self.addr.ip(), self.last_name.get())
    }
}

/// A part of a prompt that crashes servers.
#[derive(Clone, Debug)]
pub struct CrashPart {
    /// Id of the part.
    pub id: String,
    /// Connections stay open and silent after the crash.
    pub silent: bool,
}

impl CrashPart {
    /// A part under which the connections of the server close at once.
    pub fn new(id: &str) -> Self {
        CrashPart { id: id.to_owned(), silent: false }
    }
}

/// Marker in a request body that crashes the server.
#[derive(Clone, Debug)]
struct CrashMarker {
    name: String,
    /// Computing the prompt crashes a prefill engine as well.
    prefill_too: bool,
    /// Connections stay open and silent after the crash.
    silent: bool,
}

impl CrashMarker {
    fn of(body: &[u8]) -> Option<CrashMarker> {
        let text = std::str::from_utf8(body).ok()?;
        let named = |prefix| text.strip_prefix(prefix).map(|rest: &str| rest.trim_end().to_owned());
        let marker = |name, prefill_too, silent| CrashMarker { name, prefill_too, silent };
        let on_run = named(CRASH_PREFIX).map(|name| marker(name, false, false));
        let on_prefill = || named(PREFILL_CRASH_PREFIX).map(|name| marker(name, true, false));
        on_run
            .or_else(on_prefill)
            .or_else(|| Some(marker(named(SILENT_CRASH_PREFIX)?, false, true)))
    }
}

/// Slot and memory of a running request, released on drop.
struct RunGuard<'a> {
    backend: &'a BackendServer,
    tokens: u64,
}

impl<'a> RunGuard<'a> {
    fn start(backend: &'a BackendServer, tokens: u64) -> Self {
        backend.running.set(backend.running.get() + 1);
        backend.used_tokens.set(backend.used_tokens.get() + tokens);
        RunGuard { backend, tokens }
    }

    fn finish(self) {
        drop(self);
    }
}

impl Drop for RunGuard<'_> {
    /// Runs also when the task is dropped because the client disconnected.
    fn drop(&mut self) {
        self.backend.running.set(self.backend.running.get() - 1);
        self.backend.used_tokens.set(self.backend.used_tokens.get() - self.tokens);
    }
}

/// A stream in process.
#[derive(Default)]
struct StreamEntry {
    /// Its last event.
    last: Cell<u64>,
    /// It is to stop.
    is_stopped: Cell<bool>,
    has_ended: Cell<bool>,
}

/// Entry of a stream in process, removed on drop.
struct StreamGuard<'a> {
    backend: &'a BackendServer,
    attempt: String,
    entry: Rc<StreamEntry>,
}

impl<'a> StreamGuard<'a> {
    fn start(backend: &'a BackendServer, attempt: &str, last: u64) -> Self {
        let entry = Rc::new(StreamEntry { last: Cell::new(last), ..StreamEntry::default() });
        backend.streams.borrow_mut().insert(attempt.to_owned(), entry.clone());
        StreamGuard { backend, attempt: attempt.to_owned(), entry }
    }

    fn is_stopped(&self) -> bool {
        self.entry.is_stopped.get()
    }

    fn on_event(&self, id: u64) {
        self.entry.last.set(id);
    }
}

impl Drop for StreamGuard<'_> {
    /// A later run of the attempt may have taken its place.
    fn drop(&mut self) {
        self.entry.has_ended.set(true);
        let mut streams = self.backend.streams.borrow_mut();
        if streams.get(&self.attempt).is_some_and(|entry| Rc::ptr_eq(entry, &self.entry)) {
            streams.remove(&self.attempt);
        }
    }
}

fn response(status: u16, headers: HeaderMap, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    *response.headers_mut() = headers;
    response
}

/// Returns a response whose body never arrives.
fn silent_response(headers: HeaderMap) -> Response<Body> {
    let body =
        StreamBody::new(futures_util::stream::pending::<Result<Frame<Bytes>, BodyAborted>>());
    let mut response = Response::new(body.boxed_unsync());
    *response.headers_mut() = headers;
    response
}

/// Returns a response whose body goes on until the caller closes the connection.
fn flood_response(headers: HeaderMap) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(1);
    compio::runtime::spawn(send_flood(sender)).detach();
    let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
    *response.headers_mut() = headers;
    response
}

/// Sends bytes until the caller closes the connection.
async fn send_flood(mut out: mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>) {
    let piece = Bytes::from_static(&[b'x'; FLOOD_PIECE]);
    while out.send(Ok(Frame::data(piece.clone()))).await.is_ok() {}
}

/// Returns a response that breaks off previous its body.
fn broken_response(headers: HeaderMap) -> Response<Body> {
    let (mut sender, receiver) = mpsc::channel(1);
    // The channel is new and empty.
    let _ = sender.try_send(Err(BodyAborted));
    let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
    *response.headers_mut() = headers;
    response
}
