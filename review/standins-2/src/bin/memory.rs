//! Many users come at once, each with a large body in chunks, within the limits of the configuration. The platform
//! kills a process that exceeds its `memory_mb`; other clients' calls are then lost.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use ebonyloft_review_standins_2::client::{Client, Got};
use ebonyloft_review_standins_2::gateway::Gateway;
use ebonyloft_review_standins_2::http::Conn;
use ebonyloft_review_standins_2::record::Record;
use ebonyloft_review_standins_2::runner::{Plan, Runner};
use ebonyloft_review_standins_2::store::StoreThread;
use ebonyloft_review_standins_2::{addr, has_trouble};
use rustix::process::Signal;

const HOST: &str = "desk.example";
/// The process's limit, as its settings name it: 110 MB.
const MEMORY: u64 = 110_000_000;
/// Size of a body; the configuration allows 4,194,304 bytes.
const BODY: usize = 4_000_000;
/// Pause before each chunk of 16,000 bytes: a body takes about a second, which is 32 Mbit/s for each client and less
/// than the link's 1,000 for all.
const PACE: Duration = Duration::from_millis(4);
/// Clients with such bodies at a time: usually, and in a burst of 2.2 times the traffic.
const USUAL: usize = 16;
const BURST: usize = 36;
/// Rounds of such bodies. Each burst is one round, whose bodies are answered within four seconds.
const ROUNDS: [usize; 7] = [USUAL, USUAL, BURST, USUAL, BURST, USUAL, BURST];
const ROUND: Duration = Duration::from_millis(5_000);
/// Clients with small calls, each on a connection of its own that it keeps.
const CALLERS: usize = 10;
const DEADLINE: Duration = Duration::from_millis(1_000);

fn config() -> String {
    let route = |name: &str, path: &str, timeout: u64| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{path}\",\"kind\":\"non_idempotent\",\
             \"timeout_ms\":{timeout},\"latency_goal_ms\":{timeout},\"priority\":1,\
             \"traffic_split\":[{{\"service\":\"app\",\"weight\":100}}],\"max_attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"app\",\"max_conns\":210,\"health_path\":\"/health\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route("r-check", "/check/", 1_000),
        route("r-file", "/file/", 14_000)
    )
}

fn main() {
    let record = Record::create();
    let folder = std::env::temp_dir().join(format!("review-memory-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = run(&record, &folder).unwrap_or(2);
    let _ = std::fs::remove_dir_all(&folder);
    exit(code);
}

/// Anonymous memory of a process in bytes, without program text and socket buffers; none if it has ended.
fn memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("RssAnon:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

/// Sends a large body in chunks, and returns the status of the answer.
fn upload(conn: &mut Conn, id: &str) -> io::Result<u16> {
    let head = format!(
        "POST /file/a HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 14000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    conn.stream.write_all(head.as_bytes())?;
    let piece = vec![b'x'; 16_000];
    for _ in 0..BODY / piece.len() {
        std::thread::sleep(PACE);
        conn.stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
        conn.stream.write_all(&piece)?;
        conn.stream.write_all(b"\r\n")?;
    }
    conn.stream.write_all(b"0\r\n\r\n")?;
    let head = conn.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    conn.body(&head, |_| {});
    Ok(head.status())
}

/// One client with large bodies: one in each round that it takes part in.
fn uploader(n: usize, to: SocketAddr, from: Instant, record: Record) {
    let mut conn: Option<Conn> = None;
    for (round, clients) in ROUNDS.iter().enumerate() {
        let clients = if has_trouble() { *clients } else { USUAL };
        let at = from + ROUND * round as u32;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if n >= clients {
            continue;
        }
        let id = format!("file{n}-{round}");
        let mut open = match conn.take() {
            Some(conn) => conn,
            None => match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
                Ok(stream) => Conn::new(stream),
                Err(e) => {
                    record.line(format!("client of {id}: no connection ({e})"));
                    continue;
                }
            },
        };
        match upload(&mut open, &id) {
            Ok(status) => {
                record.line(format!("client of {id}: {status}"));
                // A refused body was not read to its end, so the gateway closes that connection.
                conn = (status == 200).then_some(open);
            }
            Err(e) => record.line(format!("client of {id}: {e}")),
        }
    }
}

fn run(record: &Record, folder: &Path) -> Option<i32> {
    let store_addr = addr(1, 8142);
    let store = StoreThread::start(store_addr);
    std::thread::sleep(Duration::from_millis(200));
    let runner = Runner::start("i-10", addr(10, 8147), record, |head| {
        let work = if head.path().starts_with("/file/") { 1_000 } else { 300 };
        Plan::Answer(Duration::from_millis(work), "done".to_owned())
    });
    let runner = Arc::new(runner);
    store.put("op/config", &config());
    store.put("servers/i-10", &runner.registration("app", "a"));
    let mut gateway = Gateway::start(100, "a", store_addr, folder);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record.line("the gateway is not ready");
        return None;
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU32::new(0));
    let peak = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (stop, lost, record, runner, front) =
                (stop.clone(), lost.clone(), record.clone(), runner.clone(), gateway.front());
            std::thread::spawn(move || {
                let Ok(mut client) = Client::connect(front) else { return };
                let mut i = 0;
                while !stop.load(Ordering::Relaxed) {
                    i += 1;
                    let id = format!("call{n}-{i}");
                    if client.send("POST /check/a", HOST, &id, DEADLINE, "", "x").is_err() {
                        return;
                    }
                    let got = client.receive(DEADLINE * 2);
                    if matches!(got, Got::Answer(..)) {
                        continue;
                    }
                    let ran = runner.runs_of(&id).len();
                    record.line(format!("client of {id}: {}; it ran {ran} times", got.text()));
                    if ran > 0 && i > 1 && matches!(got, Got::Closed(_) | Got::Cut(..)) {
                        record.line(format!("LOST: {id} came on a kept connection and was passed on to a sound runner"));
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                    return;
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    let from = Instant::now() + Duration::from_millis(200);
    let uploaders: Vec<_> = (0..BURST)
        .map(|n| {
            let (record, front) = (record.clone(), gateway.front());
            std::thread::spawn(move || uploader(n, front, from, record))
        })
        .collect();
    let until = from + ROUND * ROUNDS.len() as u32;
    let mut killed = false;
    while Instant::now() < until && !killed {
        if let Some(used) = memory(gateway.pid()) {
            peak.fetch_max(used, Ordering::Relaxed);
            if used > MEMORY && std::env::var("NOKILL").is_err() {
                record.line(format!("the gateway uses {used} bytes, more than memory_mb = 110: the platform kills it"));
                gateway.signal(Signal::KILL);
                killed = true;
            }
        }
        if let Some(how) = gateway.ended().filter(|_| !killed) {
            record.line(format!("the gateway has ended: {how}"));
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|t| drop(t.join()));
    if !killed {
        uploaders.into_iter().for_each(|t| drop(t.join()));
    }
    let lost = lost.load(Ordering::Relaxed);
    record.line(format!(
        "peak of the gateway's memory: {} bytes; {lost} requests lost",
        peak.load(Ordering::Relaxed)
    ));
    // The rule: more than three times.
    Some(i32::from(lost > 3))
}
