//! A small deployment on loopback addresses: gateways as processes, the store, servers, clients and
//! the platform's readiness checks.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Response};
use crate::store::Store;

pub const HOST: &str = "desk.example";
pub const SERVICE: &str = "gate-app";
pub const CHECK: &str = "/badge-check/";
/// Path of forms, which take longer.
pub const FORM: &str = "/form/";
const STORE_PORT: u16 = 8_142;
const CALLERS_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
const SERVER_PORT: u16 = 8_080;
/// `grace_period_s` of the site.
pub const GRACE: Duration = Duration::from_secs(8);
/// `Deadline-Ms` of the clients.
pub const DEADLINE: Duration = Duration::from_millis(1_000);

/// Writes `record.txt`, with seconds since the start.
pub struct Record {
    pub start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, at: Instant, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3}  {text}", self.at(at));
    }

    pub fn say(&self, text: &str) {
        self.line(Instant::now(), text);
        println!("{text}");
    }
}

fn forget(id: u32) {
    STARTED.lock().unwrap().retain(|other| *other != id);
}

/// Number of the signal that stops a process.
pub const SIGTERM: i32 = 15;

pub const SIGKILL: i32 = 9;
/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(114);

/// Ids of the gateway processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends everything after the time limit.
fn limit_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for id in STARTED.lock().unwrap().iter() {
            unsafe { kill(*id as i32, SIGKILL) };
        }
        eprintln!("the case couldn't run: it took too long");
        std::process::exit(2);
    });
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A small generator of random numbers.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Uniform in 0..1.
    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Exponentially distributed with this mean, up to `max`.
    pub fn pause(&mut self, mean: f64, max: f64) -> Duration {
        Duration::from_secs_f64((-(1.0 - self.draw()).ln() * mean).min(max))
    }
}

/// What reached a server, and what became of it there.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub server: usize,
    pub arrived: Instant,
    /// None if the server ended first.
    pub answered: Option<Instant>,
}

/// A server of the plain service.
pub struct Server {
    pub number: usize,
    pub id: String,
    pub addr: SocketAddr,
    ended: Arc<AtomicBool>,
}

/// One gateway process.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    pub child: Mutex<Option<Child>>,
    /// Readiness checks missed in a row, as the platform sees it.
    misses: AtomicUsize,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Store,
    pub gateways: Vec<Arc<Gateway>>,
    pub runs: Arc<Mutex<HashMap<String, Vec<Run>>>>,
    pub stopping: Arc<AtomicBool>,
    folder: PathBuf,
    net: String,
    work: Duration,
    next_server: AtomicUsize,
    next_id: Arc<AtomicU64>,
}

impl Deployment {
    /// Starts the store and writes the configuration; an error if the addresses are taken.
    pub fn start(case: &str, gateways: usize, work: Duration) -> std::io::Result<Deployment> {
        limit_time();
        let seed = u64::from(std::process::id());
        let net = format!("127.{}.{}", 100 + seed % 100, seed / 100 % 250);
        let folder = std::env::temp_dir().join(format!("review-{case}-{seed}"));
        fs::create_dir_all(&folder)?;
        let file = Mutex::new(File::create(format!("review/{case}/record.txt"))?);
        let record = Arc::new(Record { start: Instant::now(), file });
        let store = Store::start(format!("{net}.250:{STORE_PORT}").parse().unwrap())?;
        store.put("op/config", &config());
        let gateway = |n: usize| {
            let (name, ip) = (format!("front-a-{n}"), format!("{net}.{n}"));
            Arc::new(Gateway { name, ip, child: Mutex::new(None), misses: AtomicUsize::new(9) })
        };
        Ok(Deployment {
            record,
            store,
            gateways: (1..=gateways).map(gateway).collect(),
            runs: Arc::default(),
            stopping: Arc::default(),
            folder,
            net,
            work,
            next_server: AtomicUsize::new(1),
            next_id: Arc::new(AtomicU64::new(seed << 32)),
        })
    }

    /// Starts a server and registers it.
    pub fn start_server(&self) -> std::io::Result<Server> {
        let number = self.next_server.fetch_add(1, Ordering::SeqCst);
        let addr: SocketAddr =
            format!("{}.{}:{SERVER_PORT}", self.net, 100 + number).parse().unwrap();
        let server = Server { number, id: format!("i-{number:08x}"), addr, ended: Arc::default() };
        let listener = TcpListener::bind(addr)?;
        let (runs, work) = (self.runs.clone(), self.work);
        let (id, ended) = (server.id.clone(), server.ended.clone());
        let handler = move |req: Message| answer(&req, &id, number, work, &runs, &ended);
        http::serve(listener, server.ended.clone(), handler);
        self.store.put(&format!("servers/{}", server.id), &server.entry("ready"));
        self.record.line(Instant::now(), &format!("server {} joins at {addr}", server.id));
        Ok(server)
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&self, gateway: &Gateway, first: bool) -> std::io::Result<()> {
        let file = self.folder.join(format!("{}.toml", gateway.name));
        fs::write(&file, settings(&gateway.name, &gateway.ip, &self.net, first))?;
        let log = File::options().create(true).append(true).open(file.with_extension("log"))?;
        let mut command = Command::new("target/release/ebonyloftd");
        command.arg("gateway").env_clear().env("EBONYLOFT_NODE_FILE", &file);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        *gateway.child.lock().unwrap() = Some(child);
        self.record.line(Instant::now(), &format!("{} starts", gateway.name));
        Ok(())
    }

    /// Starts all gateways and the platform's readiness checks; an error if they don't get ready.
    pub fn start_gateways(&self) -> std::io::Result<()> {
        for gateway in &self.gateways {
            self.start_gateway(gateway, true)?;
            let (gateway, stopping) = (gateway.clone(), self.stopping.clone());
            thread::spawn(move || {
                while !stopping.load(Ordering::SeqCst) {
                    match is_ready(&gateway.ip) {
                        true => gateway.misses.store(0, Ordering::SeqCst),
                        false => drop(gateway.misses.fetch_add(1, Ordering::SeqCst)),
                    }
                    thread::sleep(Duration::from_millis(1_000));
                }
            });
        }
        let end = Instant::now() + Duration::from_secs(15);
        while self.gateways.iter().any(|g| g.misses.load(Ordering::SeqCst) > 0) {
            if Instant::now() > end {
                return Err(std::io::Error::other("the gateways did not get ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// The gateways that the platform sends new connections to: all of the zone if fewer than half
    /// of them are ready.
    pub fn rotation(&self) -> Vec<Arc<Gateway>> {
        let ready = |g: &&Arc<Gateway>| g.misses.load(Ordering::SeqCst) < 2;
        let ready: Vec<_> = self.gateways.iter().filter(ready).cloned().collect();
        if ready.len() * 2 < self.gateways.len() { self.gateways.clone() } else { ready }
    }

    /// Sends a signal to a gateway.
    pub fn signal(&self, gateway: &Gateway, signal: i32) -> Instant {
        let now = Instant::now();
        if let Some(child) = &*gateway.child.lock().unwrap() {
            // A child that has not been waited for keeps its number.
            unsafe { kill(child.id() as i32, signal) };
        }
        self.record.line(now, &format!("{} is sent signal {signal}", gateway.name));
        now
    }

    /// Anonymous memory of a gateway's process, in kilobytes.
    pub fn memory(&self, gateway: &Gateway) -> u64 {
        let id = gateway.child.lock().unwrap().as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
    }

    /// Has the process ended by itself? It is forgotten if so.
    pub fn has_ended(&self, gateway: &Gateway) -> Option<String> {
        let mut child = gateway.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        forget(child.as_ref()?.id());
        *child = None;
        Some(status.to_string())
    }

    /// Waits for the end of a process that was sent SIGTERM; it is killed after the grace period.
    pub fn wait_for_end(&self, gateway: &Gateway, stopped_at: Instant) -> Instant {
        loop {
            let mut child = gateway.child.lock().unwrap();
            let Some(process) = child.as_mut() else {
                return Instant::now();
            };
            if !matches!(process.try_wait(), Ok(None)) {
                forget(process.id());
                *child = None;
                drop(child);
                let now = Instant::now();
                self.record.line(now, &format!("{} has ended", gateway.name));
                return now;
            }
            if stopped_at.elapsed() > GRACE {
                let _ = process.kill();
            }
            drop(child);
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// A new id of a client attempt.
    pub fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    /// Ends all processes that were started, and removes the folder.
    pub fn close(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for gateway in &self.gateways {
            if let Some(mut child) = gateway.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Server {
    fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"a","version":"v1","slot_count":6,"state":"{state}","cold_remaining_ms":0,"sequence":1}}"#,
            self.addr
        )
    }

    /// Ends the server: its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

/// A server's answer to one request.
fn answer(
    req: &Message,
    id: &str,
    number: usize,
    work: Duration,
    runs: &Mutex<HashMap<String, Vec<Run>>>,
    ended: &AtomicBool,
) -> Option<Response> {
    let arrived = Instant::now();
    if req.header("expect-instance").is_some_and(|name| name != id) {
        return Some(Response::new(421, "").with("Instance-Id", id));
    }
    if req.method() == "GET" {
        return Some(Response::new(200, "{}").with("Instance-Id", id));
    }
    let Some(attempt) = req.header("attempt-id") else {
        return Some(Response::new(400, "").with("Not-Run", "1"));
    };
    let run = Run { server: number, arrived, answered: None };
    let at = {
        let mut runs = runs.lock().unwrap();
        let runs = runs.entry(attempt.to_owned()).or_default();
        runs.push(run);
        runs.len() - 1
    };
    thread::sleep(work);
    if ended.load(Ordering::SeqCst) {
        return None;
    }
    runs.lock().unwrap().get_mut(attempt)?[at].answered = Some(Instant::now());
    let body = format!(r#"{{"valid":true,"id":"{attempt}"}}"#);
    let response = Response::new(200, body).with("Attempt-Id", attempt);
    Some(response.with("Server-Stamp", format!("{number}.{attempt}")))
}

fn is_ready(ip: &str) -> bool {
    let addr: SocketAddr = format!("{ip}:{READY_PORT}").parse().unwrap();
    let ask = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |a| a.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// How a client attempt ended.
#[derive(Clone, Debug)]
pub enum Ending {
    Status(u16),
    /// The connection ended without a complete answer.
    Broken,
}

/// A client's connection, kept for several requests.
pub struct Connection {
    pub gateway: Arc<Gateway>,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    pub closed: bool,
}

impl Connection {
    /// Opens a connection to the gateway that the platform picks.
    pub fn open(all: &Deployment, rng: &mut Rng) -> Option<Connection> {
        let rotation = all.rotation();
        let gateway = rotation[(rng.draw() * rotation.len() as f64) as usize].clone();
        let addr: SocketAddr = format!("{}:{CALLERS_PORT}", gateway.ip).parse().unwrap();
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(DEADLINE * 3)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Connection { gateway, stream, reader, closed: false })
    }

    /// Opens a connection, or keeps the one that there is unless the other end has closed it.
    pub fn reuse(kept: Option<Connection>, all: &Deployment, rng: &mut Rng) -> Option<Connection> {
        let is_open = |c: &Connection| {
            let _ = c.stream.set_nonblocking(true);
            let peeked = c.stream.peek(&mut [0]);
            let _ = c.stream.set_nonblocking(false);
            peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        };
        kept.filter(is_open).or_else(|| Connection::open(all, rng))
    }

    /// Sends a check whose body of `parts` parts of 4 kB each goes out over `upload`. Returns when
    /// its last byte was sent, and how it ended.
    pub fn check(&mut self, id: &str, parts: usize, upload: Duration) -> (Instant, Ending) {
        let sent = self.send(id, parts, upload);
        let sent_at = Instant::now();
        let ending = match sent.and_then(|()| http::read_message(&mut self.reader)) {
            Ok(Some(answer)) => {
                self.closed |= answer.closes();
                Ending::Status(answer.status())
            }
            Ok(None) | Err(_) => Ending::Broken,
        };
        self.closed |= matches!(ending, Ending::Broken);
        (sent_at, ending)
    }

    /// Sends a form whose body goes out over `upload`, and waits for the answer.
    pub fn form(&mut self, id: &str, length: usize, upload: Duration) -> Ending {
        let part = vec![b'x'; 32 << 10];
        let parts = length.div_ceil(part.len());
        let head = format!(
            "POST {FORM}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 10000\r\nContent-Length: {}\r\n\r\n",
            parts * part.len()
        );
        let send = |stream: &mut TcpStream| -> std::io::Result<()> {
            stream.set_read_timeout(Some(Duration::from_secs(12)))?;
            stream.write_all(head.as_bytes())?;
            for _ in 0..parts {
                thread::sleep(upload / parts as u32);
                stream.write_all(&part)?;
            }
            Ok(())
        };
        match send(&mut self.stream).and_then(|()| http::read_message(&mut self.reader)) {
            Ok(Some(answer)) => Ending::Status(answer.status()),
            Ok(None) | Err(_) => Ending::Broken,
        }
    }

    fn send(&mut self, id: &str, parts: usize, upload: Duration) -> std::io::Result<()> {
        let part = vec![b'x'; 4 << 10];
        let length = parts * part.len();
        let deadline = DEADLINE.as_millis();
        let head = format!(
            "POST {CHECK}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes())?;
        for _ in 0..parts {
            thread::sleep(upload / parts as u32);
            self.stream.write_all(&part)?;
        }
        Ok(())
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-check","hostname":"{HOST}","path_prefix":"{CHECK}","kind":"non_idempotent","timeout_ms":1000,"latency_goal_ms":150,"priority":2,"service":"{SERVICE}","max_attempts":1,"session_affinity":false,"resumable":false}},{{"name":"r-form","hostname":"{HOST}","path_prefix":"{FORM}","kind":"non_idempotent","timeout_ms":10000,"latency_goal_ms":2000,"priority":2,"service":"{SERVICE}","max_attempts":1,"session_affinity":false,"resumable":false}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn settings(name: &str, ip: &str, net: &str, first: bool) -> String {
    format!(
        r#"node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "a"
region = "sicilia"
port_range = [7660,7675]
seed_nodes = []
bootstrap = {first}
loss_counted = false
discovery_source = "platform"
entry_kind = "vip"
heartbeat_ms = 1200
active_contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
a = "sicilia"
[listen]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
[limits]
cpu_share = 0.19
cpu_cores = 1
memory_mb = 110
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machine_losses = 1
zones = 0
region_losses = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 54
recover_s = 12
transit_ms = 120
again_s = 4.7
require_fence = true
lease_ms = 3000
thaw_ms = 300
[platform]
address = "{net}.250:{STORE_PORT}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}

/// Time of day in microseconds, to vary the random numbers between runs.
pub fn seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |t| t.as_micros() as u64)
}
