//! A gateway is stopped while clients go on to use their connections. The second argument names the case:
//!
//! - `late`: calls that may run only once come on kept connections while the gateway waits for a summary.
//! - `grace`: the settings file has changed `grace_period_s` before, with SIGHUP.

use std::path::Path;
use std::process::exit;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use ebonyloft_review_standins_2::client::{Client, Got};
use ebonyloft_review_standins_2::gateway::Gateway;
use ebonyloft_review_standins_2::record::Record;
use ebonyloft_review_standins_2::runner::{Plan, Runner};
use ebonyloft_review_standins_2::store::StoreThread;
use ebonyloft_review_standins_2::{addr, has_trouble};
use rustix::process::Signal;

const HOST: &str = "desk.example";

/// What a case does.
struct Case {
    /// Events of a summary, one each 100 ms.
    events: u32,
    /// When the summary is sent, before the signal.
    summary_before: u64,
    /// The calls: the route, and when they are sent, after the signal.
    calls: &'static [(Route, u64)],
    /// The grace period that the settings file names after a change.
    grace: Option<u32>,
}

/// A route of calls that may run only once.
#[derive(Clone, Copy)]
struct Route {
    name: &'static str,
    request: &'static str,
    prefix: &'static str,
    /// Time that a client gives a call, and the timeout of the route, in milliseconds.
    timeout: u64,
    /// How long the runner works on a call.
    work: u64,
}

const SHORT: Route = Route {
    name: "r-short",
    request: "POST /short/a",
    prefix: "/short/",
    timeout: 1_500,
    work: 800,
};
const BOOK: Route = Route {
    name: "r-book",
    request: "POST /book/a",
    prefix: "/book/",
    timeout: 1_500,
    work: 1_420,
};
const FILE: Route = Route {
    name: "r-file",
    request: "POST /file/a",
    prefix: "/file/",
    timeout: 3_000,
    work: 1_800,
};
const ROUTES: [Route; 3] = [SHORT, BOOK, FILE];

const LATE: Case = Case {
    events: 100,
    summary_before: 500,
    calls: &[(FILE, 6_100), (FILE, 6_250), (BOOK, 6_400), (BOOK, 6_430), (BOOK, 6_460)],
    grace: None,
};
const GRACE: Case = Case {
    events: 120,
    summary_before: 1_000,
    calls: &[(SHORT, 7_200), (SHORT, 7_300), (SHORT, 7_400)],
    grace: Some(20),
};
fn config() -> String {
    let split = "\"traffic_split\":[{\"service\":\"app\",\"weight\":100}]";
    let calls: Vec<String> = ROUTES
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{}\",\"kind\":\"non_idempotent\",\
                 \"timeout_ms\":{},\"latency_goal_ms\":{},\"priority\":1,{split},\"max_attempts\":2}}",
                r.name, r.prefix, r.timeout, r.timeout
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{},\
         {{\"name\":\"r-sum\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/sum/\",\"kind\":\"streaming\",\
           \"timeout_ms\":14000,\"latency_goal_ms\":900,\"priority\":1,{split},\"max_attempts\":1}}],\
         \"services\":[{{\"name\":\"app\",\"max_conns\":100,\"health_path\":\"/health\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        calls.join(",")
    )
}

fn main() {
    let case = match std::env::args().nth(2).as_deref() {
        Some("late") => LATE,
        Some("grace") => GRACE,
        _ => exit(2),
    };
    let record = Record::create();
    let folder = std::env::temp_dir().join(format!("review-stop-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = run(&case, &record, &folder).unwrap_or(2);
    let _ = std::fs::remove_dir_all(&folder);
    exit(code);
}

/// Sends requests on one connection at the times given, and returns what came back.
fn client(
    record: &Record,
    mut client: Client,
    at: Instant,
    request: &'static str,
    id: &str,
    deadline: Duration,
) -> JoinHandle<(String, Got)> {
    let (record, id) = (record.clone(), id.to_owned());
    std::thread::spawn(move || {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let sent = client.send(request, HOST, &id, deadline, "", "x");
        record.line(format!("client sends {id} on its kept connection: {sent:?}"));
        let got = client.receive(deadline);
        record.line(format!("client of {id}: {}", got.text()));
        (id, got)
    })
}

fn run(case: &Case, record: &Record, folder: &Path) -> Option<i32> {
    let store_addr = addr(1, 8142);
    let store = StoreThread::start(store_addr);
    std::thread::sleep(Duration::from_millis(200));
    let events = case.events;
    let runner = Runner::start("i-10", addr(10, 8147), record, move |head| {
        if head.path().starts_with("/sum/") {
            Plan::Events(events, Duration::from_millis(100))
        } else {
            let route = ROUTES.iter().find(|r| head.path().starts_with(r.prefix));
            Plan::Answer(Duration::from_millis(route.map_or(0, |r| r.work)), "booked".to_owned())
        }
    });
    store.put("op/config", &config());
    store.put("servers/i-10", &runner.registration("app", "a"));
    let mut gateway = Gateway::start(100, "a", store_addr, folder);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record.line("the gateway is not ready");
        return None;
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let mut kept = Vec::new();
    for n in 0..case.calls.len() + 1 {
        // Each connection has been used before.
        let mut client = Client::connect(gateway.front()).ok()?;
        let limit = Duration::from_millis(SHORT.timeout);
        client.send(SHORT.request, HOST, &format!("warm{n}"), limit, "", "x").ok()?;
        let got = client.receive(limit);
        record.line(format!("client of warm{n}: {}", got.text()));
        matches!(got, Got::Answer(ref head, _) if head.status() == 200).then_some(())?;
        kept.push(client);
    }
    let mut grace = Duration::from_secs(8);
    if let Some(seconds) = case.grace.filter(|_| has_trouble()) {
        grace = Duration::from_secs(seconds.into());
        gateway.set_grace(seconds);
        record.line(format!("the settings file now says grace_period_s = {seconds}: SIGHUP"));
        gateway.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(4_000));
    }
    let now = Instant::now();
    let stop_at = now + Duration::from_millis(case.summary_before);
    let first = kept.pop()?;
    let limit = Duration::from_secs(14);
    let mut threads = vec![client(record, first, now, "POST /sum/a", "summary", limit)];
    for (n, (conn, (route, after))) in kept.into_iter().zip(case.calls).enumerate() {
        let (at, limit) =
            (stop_at + Duration::from_millis(*after), Duration::from_millis(route.timeout));
        threads.push(client(record, conn, at, route.request, &format!("call{n}"), limit));
    }
    std::thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    if has_trouble() {
        record.line("SIGTERM to the gateway");
        gateway.signal(Signal::TERM);
        let mut kill_at = Some(stop_at + grace);
        while gateway.ended().is_none() {
            if kill_at.is_some_and(|at| Instant::now() >= at) {
                kill_at = None;
                record.line("SIGKILL to the gateway: the grace period is over");
                gateway.signal(Signal::KILL);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        record.line(format!(
            "the gateway has ended {} ms after SIGTERM: {:?}",
            stop_at.elapsed().as_millis(),
            gateway.ended()
        ));
    }
    let answers: Vec<(String, Got)> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
    std::thread::sleep(Duration::from_millis(FILE.work));
    let mut lost = 0;
    for (id, got) in answers {
        let runs = runner.runs_of(&id);
        let Some(run) = runs.first() else { continue };
        if !matches!(got, Got::Closed(_) | Got::Cut(..)) {
            continue;
        }
        // Excused by the rule: sent no later than 3 s after the signal, and still at work in the last sixth.
        let sent = run.begun.saturating_duration_since(stop_at);
        let ended = run.ended.unwrap_or_else(Instant::now).saturating_duration_since(stop_at);
        let is_excused = sent <= Duration::from_secs(3) && ended >= grace.mul_f64(5.0 / 6.0);
        if is_excused {
            record.line(format!("{id} is excused: at work in the last sixth of the grace period"));
            continue;
        }
        lost += 1;
        record.line(format!(
            "LOST: {id} was passed on to the runner, which was sound, and its connection ended without a complete answer"
        ));
    }
    record.line(format!("{lost} requests lost"));
    Some(i32::from(lost > 0))
}
