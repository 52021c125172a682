//! A prefill engine crashes and starts again under its id while a request has a handle that the engine gave. The
//! next life of the engine gives the same name to the handle of another request. Which request a decode engine then
//! goes on from is read from the prefill engine's own table. The second argument names the case:
//!
//! - `waiting`: the request was rejected by a decode engine and waits for another one; the answer with its handle had
//!   `Connection: close`, as answers occasionally have.
//! - `sent`: a decode engine has the request, whose transfer waits behind others.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebonyloft_review_standins_2::client::{Client, Got};
use ebonyloft_review_standins_2::gateway::Gateway;
use ebonyloft_review_standins_2::http::{Conn, Head};
use ebonyloft_review_standins_2::record::Record;
use ebonyloft_review_standins_2::runner::is_closed;
use ebonyloft_review_standins_2::store::StoreThread;
use ebonyloft_review_standins_2::{addr, has_trouble};

const HOST: &str = "desk.example";
/// The prefill engine, and the decode engines.
const PREFILL: u8 = 10;
const DECODE: [u8; 3] = [11, 12, 13];
/// Prompts of the two requests: the second one is small enough for what the decode engines have free.
const FIRST_PROMPT: u64 = 3_000;
const SECOND_PROMPT: u64 = 900;
/// Largest reservation that the decode engines grant while they are nearly full.
const NEARLY_FULL: u64 = 2_000;
/// Times after the first request has reached a decode engine: of the crash, of the engine's return, of the second request, of the
/// end of the shortage, and of the first heartbeat of the engine's new life.
const CRASH: Duration = Duration::from_millis(30);
const RETURN: Duration = Duration::from_millis(130);
const SECOND: Duration = Duration::from_millis(140);
const ROOM: Duration = Duration::from_millis(260);
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// How long the transfers wait behind others: of the second request, and of the first one where it is sent already.
const TRANSFER_QUEUE: Duration = Duration::from_millis(600);
const FIRST_TRANSFER: Duration = Duration::from_millis(400);

/// What the engines share in this process; each engine uses its own part.
#[derive(Default)]
struct World {
    /// Handles of the prefill engine's life, with the request that each was made for.
    handles: HashMap<String, String>,
    last_handle: u32,
    life: u32,
    last_hold: u32,
    is_down: bool,
    /// The case `waiting`, else `sent`.
    is_waiting: bool,
    /// When the first request reached a decode engine.
    reached_at: Option<Instant>,
    /// Open connections of the prefill engine.
    open: Vec<TcpStream>,
    /// Requests that went on from a handle, with the request that it was made for.
    used: Vec<(String, String)>,
}

type Shared = Arc<Mutex<World>>;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[\
         {{\"name\":\"r-sum\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/sum/\",\"kind\":\"streaming\",\
           \"timeout_ms\":14000,\"latency_goal_ms\":2000,\"gap_aim_ms\":300,\"priority\":1,\
           \"traffic_split\":[{{\"service\":\"llm\",\"weight\":100}}],\"max_attempts\":2,\
           \"session_affinity\":true,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"llm\",\"max_conns\":290,\"health_path\":\"/health\",\
           \"engine\":{{\"slot_count\":12,\"kv_tokens\":31321,\"stride\":14,\"handle_ttl_s\":0.5,\"switch_s\":6,\
           \"hold_ms\":2000,\"token_kv_bytes\":163840}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

fn name(host: u8) -> String {
    format!("i-{host}")
}

fn registration(host: u8, stage: &str, born: u128) -> String {
    format!(
        "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slot_count\":12,\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"{stage}\",\"born\":{born},\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1}}",
        addr(host, 8147)
    )
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis())
}

fn main() {
    let is_waiting = match std::env::args().nth(2).as_deref() {
        Some("waiting") => true,
        Some("sent") => false,
        _ => exit(2),
    };
    let record = Record::create();
    let folder = std::env::temp_dir().join(format!("review-handles-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = run(is_waiting, &record, &folder).unwrap_or(2);
    let _ = std::fs::remove_dir_all(&folder);
    exit(code);
}

/// Serves an engine's connections until the process ends.
fn start_engine(host: u8, world: &Shared, record: &Record) {
    let (world, record) = (world.clone(), record.clone());
    let listener = TcpListener::bind(addr(host, 8147)).expect("a free address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if host == PREFILL {
                let mut world = world.lock().expect("no panic");
                if world.is_down {
                    // No process listens: the connection is reset.
                    drop(stream);
                    continue;
                }
                world.open.extend(stream.try_clone());
            }
            let (world, record) = (world.clone(), record.clone());
            std::thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while serve(host, &mut conn, &world, &record) {}
            });
        }
    });
}

fn answer(conn: &mut Conn, status: &str, headers: &str, body: &str) -> bool {
    let text =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    conn.stream.write_all(text.as_bytes()).is_ok()
}

/// Serves one call; false when the connection is over.
fn serve(host: u8, conn: &mut Conn, world: &Shared, record: &Record) -> bool {
    let Ok(Some(head)) = conn.head() else { return false };
    let (body, whole) = conn.body(&head, |_| {});
    if !whole {
        return false;
    }
    let json = "Content-Type: application/json\r\n";
    let method = head.line.split(' ').next().unwrap_or("").to_owned();
    match (method.as_str(), head.path()) {
        ("GET", "/report") => {
            let stage = if host == PREFILL { "prefill" } else { "decode" };
            let text = format!(
                "{{\"stage\":\"{stage}\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\
                 \"kv_used\":0,\"kv_total\":31321,\"handle_count\":0}}"
            );
            answer(conn, "200 OK", json, &text)
        }
        ("GET", _) => answer(conn, "200 OK", &format!("Instance-Id: {}\r\n", name(host)), ""),
        ("POST", "/order") => {
            record.line(format!(
                "engine {} is ordered: {}",
                name(host),
                String::from_utf8_lossy(&body)
            ));
            answer(conn, "409 Conflict", "", "")
        }
        ("POST", "/hold-take") => take_hold(host, conn, &body, world, record),
        ("DELETE", _) => answer(conn, "200 OK", "", ""),
        _ if head.get("stage") == Some("prefill") => prefill(host, conn, &head, world, record),
        _ => run_request(host, conn, &head, world, record),
    }
}

fn take_hold(host: u8, conn: &mut Conn, body: &[u8], world: &Shared, record: &Record) -> bool {
    let text = String::from_utf8_lossy(body).into_owned();
    let tokens: u64 = text
        .split("\"token_count\":")
        .nth(1)
        .map(|t| t.chars().take_while(char::is_ascii_digit).collect::<String>())
        .and_then(|t| t.parse().ok())
        .unwrap_or(0);
    let hold = {
        let mut world = world.lock().expect("no panic");
        let is_short = world.is_waiting && world.reached_at.is_some_and(|at| at.elapsed() < ROOM);
        if is_short && tokens > NEARLY_FULL {
            None
        } else {
            world.last_hold += 1;
            Some(world.last_hold)
        }
    };
    match hold {
        Some(hold) => {
            record.line(format!("engine {} reserves {tokens} tokens: hold {hold}", name(host)));
            answer(
                conn,
                "200 OK",
                "Content-Type: application/json\r\n",
                &format!("{{\"hold\":\"{hold}\"}}"),
            )
        }
        None => answer(conn, "503 Service Unavailable", "Not-Run: 1\r\n", ""),
    }
}

fn prefill(host: u8, conn: &mut Conn, head: &Head, world: &Shared, record: &Record) -> bool {
    let attempt = head.get("attempt-id").unwrap_or("").to_owned();
    if host != PREFILL {
        return answer(conn, "421 Misdirected Request", &format!("Attempt-Id: {attempt}\r\n"), "");
    }
    std::thread::sleep(Duration::from_millis(60));
    let (handle, life, is_waiting) = {
        let mut world = world.lock().expect("no panic");
        if world.is_down {
            return false;
        }
        world.last_handle += 1;
        let handle = format!("h{}", world.last_handle);
        world.handles.insert(handle.clone(), attempt.clone());
        (handle, world.life, world.is_waiting)
    };
    let closes = is_waiting && attempt == "first" && std::env::var("CLOSE").as_deref() != Ok("0");
    let close = if closes { "Connection: close\r\n" } else { "" };
    record.line(format!(
        "engine {}, life {life}, has read the prompt of {attempt}: handle {handle} {}",
        name(host),
        close.trim()
    ));
    let headers = format!("Attempt-Id: {attempt}\r\nContent-Type: application/json\r\n{close}");
    let body = format!("{{\"prompt_handle\":\"{handle}\",\"token_count\":1,\"version\":1}}");
    answer(conn, "200 OK", &headers, &body) && !closes
}

fn run_request(host: u8, conn: &mut Conn, head: &Head, world: &Shared, record: &Record) -> bool {
    let attempt = head.get("attempt-id").unwrap_or("").to_owned();
    let id = name(host);
    if host == PREFILL {
        return answer(conn, "421 Misdirected Request", &format!("Attempt-Id: {attempt}\r\n"), "");
    }
    let source = head.get("kv-from").unwrap_or("none").to_owned();
    record.line(format!(
        "engine {id} gets {attempt}: Kv-From {source}, Kv-Hold {}",
        head.get("kv-hold").unwrap_or("none")
    ));
    let (is_waiting, is_first) = {
        let mut world = world.lock().expect("no panic");
        let is_first = attempt == "first" && world.reached_at.is_none();
        if is_first {
            world.reached_at = Some(Instant::now());
        }
        (world.is_waiting, is_first)
    };
    if is_first && is_waiting {
        record.line(format!(
            "engine {id} rejects {attempt}: its transfer would wait more than two seconds"
        ));
        let headers = format!("Attempt-Id: {attempt}\r\nNot-Run: 1\r\n");
        return answer(conn, "503 Service Unavailable", &headers, "");
    }
    if attempt != "first" {
        std::thread::sleep(TRANSFER_QUEUE);
    } else if !is_waiting {
        std::thread::sleep(FIRST_TRANSFER);
    }
    if is_closed(&conn.stream) {
        record.line(format!("engine {id} drops {attempt}: its connection has ended"));
        return false;
    }
    if let Some((_, handle)) = source.split_once('/') {
        let owner = {
            let mut world = world.lock().expect("no panic");
            let owner = if world.is_down { None } else { world.handles.remove(handle) };
            if let Some(owner) = &owner {
                world.used.push((attempt.clone(), owner.clone()));
            }
            owner
        };
        let Some(owner) = owner else {
            record.line(format!("engine {id} rejects {attempt}: handle {handle} is gone"));
            let headers = format!("Attempt-Id: {attempt}\r\nNot-Run: 1\r\n");
            return answer(conn, "503 Service Unavailable", &headers, "");
        };
        record.line(format!(
            "engine {id} fetches handle {handle} for {attempt}: it was made for {owner}"
        ));
    } else {
        record.line(format!("engine {id} reads the prompt of {attempt} itself"));
    }
    let text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut sent = conn.stream.write_all(text.as_bytes()).is_ok();
    for n in 1..=6 {
        std::thread::sleep(Duration::from_millis(40));
        let event = format!("id: {n}\ndata: piece {n} of {attempt}\n\n");
        sent = sent
            && conn
                .stream
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_ok();
    }
    sent && conn.stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Ends the prefill engine's life; the next one knows nothing of it.
fn crash(world: &Shared) {
    let mut world = world.lock().expect("no panic");
    world.is_down = true;
    world.handles.clear();
    world.last_handle = 0;
    for stream in world.open.drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn request(
    record: &Record,
    to: SocketAddr,
    id: &'static str,
    prompt: u64,
) -> std::thread::JoinHandle<Got> {
    let record = record.clone();
    std::thread::spawn(move || {
        let limit = Duration::from_secs(14);
        let Ok(mut client) = Client::connect(to) else { return Got::Silence };
        let more = format!(
            "Model: m\r\nToken-Count: {prompt},72\r\nPrompt-Prefix: 5c1e07a2:200,{:x}:{}\r\n",
            prompt + 0xabc000,
            prompt - 200
        );
        record.line(format!("client sends {id}, {prompt} tokens"));
        let _ = client.send("POST /sum/a", HOST, id, limit, &more, id);
        let got = client.receive(limit);
        record.line(format!("client of {id}: {}", got.text()));
        got
    })
}

fn run(is_waiting: bool, record: &Record, folder: &Path) -> Option<i32> {
    let store_addr = addr(1, 8142);
    let store = StoreThread::start(store_addr);
    std::thread::sleep(Duration::from_millis(200));
    let world = Shared::default();
    {
        let mut world = world.lock().expect("no panic");
        (world.life, world.is_waiting) = (1, is_waiting);
    }
    start_engine(PREFILL, &world, record);
    DECODE.iter().for_each(|host| start_engine(*host, &world, record));
    store.put("op/config", &config());
    let born = unix_ms();
    store.put(&format!("servers/{}", name(PREFILL)), &registration(PREFILL, "prefill", born));
    for host in DECODE {
        store.put(&format!("servers/{}", name(host)), &registration(host, "decode", born));
    }
    let gateways: Vec<Gateway> =
        (0..2).map(|n| Gateway::start(100 + n, "a", store_addr, folder)).collect();
    if !gateways.iter().all(|g| g.wait_ready(Duration::from_secs(10))) {
        record.line("a gateway is not ready");
        return None;
    }
    std::thread::sleep(Duration::from_millis(8_000));
    let first = request(record, gateways[0].front(), "first", FIRST_PROMPT);
    let limit = Instant::now() + Duration::from_secs(5);
    let reached_at = loop {
        if let Some(at) = world.lock().expect("no panic").reached_at {
            break at;
        }
        if Instant::now() > limit {
            record.line("the first request was not sent to a decode engine");
            return None;
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    let until = |after: Duration| {
        std::thread::sleep((reached_at + after).saturating_duration_since(Instant::now()));
    };
    let mut born_again = born;
    until(CRASH);
    if has_trouble() {
        record.line(format!("engine {} crashes", name(PREFILL)));
        crash(&world);
        until(RETURN);
        born_again = unix_ms();
        let mut world = world.lock().expect("no panic");
        (world.is_down, world.life) = (false, 2);
        drop(world);
        record.line(format!("engine {} has started again under its id", name(PREFILL)));
    }
    until(SECOND);
    let second = request(record, gateways[1].front(), "second", SECOND_PROMPT);
    until(HEARTBEAT);
    if has_trouble() {
        record.line(format!("engine {} writes its first heartbeat", name(PREFILL)));
        store.put(
            &format!("servers/{}", name(PREFILL)),
            &registration(PREFILL, "prefill", born_again),
        );
    }
    let answers = [first.join().ok()?, second.join().ok()?];
    let used = world.lock().expect("no panic").used.clone();
    let mixed: Vec<_> = used.iter().filter(|(request, owner)| request != owner).collect();
    for (request, owner) in &mixed {
        record.line(format!("MIXED: {request} went on from the handle of {owner}"));
    }
    if mixed.is_empty()
        && !answers.iter().all(|got| matches!(got, Got::Answer(head, _) if head.status() == 200))
    {
        record.line("a request was not answered; the rule was not broken");
    }
    Some(i32::from(!mixed.is_empty()))
}
