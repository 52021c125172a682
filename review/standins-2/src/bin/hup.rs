//! The settings files of three of four gateways change twice in a row, each time with SIGHUP, while clients wait for
//! the answers to calls that may run only once. Each of the three gets 20 such pairs, so 40 signals in all.

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use ebonyloft_review_standins_2::client::{Client, Got};
use ebonyloft_review_standins_2::gateway::Gateway;
use ebonyloft_review_standins_2::record::Record;
use ebonyloft_review_standins_2::runner::{Plan, Runner};
use ebonyloft_review_standins_2::store::StoreThread;
use ebonyloft_review_standins_2::{addr, has_trouble};
use rustix::process::Signal;

const HOST: &str = "desk.example";
const DEADLINE: Duration = Duration::from_millis(1_000);
const WORK: Duration = Duration::from_millis(200);
const GATEWAYS: u8 = 4;
/// Gateways whose settings change: 0.75 of them.
const CHANGED: usize = 3;
const CLIENTS: usize = 3;
const PAIRS: usize = 20;
const PAUSE: Duration = Duration::from_millis(1_000);
/// Times between the two signals of a pair, in microseconds, in turn.
const SPACINGS: [u64; 10] = [60, 80, 100, 120, 30, 70, 90, 110, 50, 85];

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[\
         {{\"name\":\"r-check\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/check/\",\"kind\":\"non_idempotent\",\
           \"timeout_ms\":1000,\"latency_goal_ms\":500,\"priority\":1,\
           \"traffic_split\":[{{\"service\":\"app\",\"weight\":100}}],\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"app\",\"max_conns\":100,\"health_path\":\"/health\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

fn main() {
    let record = Record::create();
    let folder = std::env::temp_dir().join(format!("review-hup-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = run(&record, &folder).unwrap_or(2);
    let _ = std::fs::remove_dir_all(&folder);
    exit(code);
}

fn run(record: &Record, folder: &Path) -> Option<i32> {
    let store_addr = addr(1, 8142);
    let store = StoreThread::start(store_addr);
    std::thread::sleep(Duration::from_millis(200));
    let runner =
        Runner::start("i-10", addr(10, 8147), record, |_| Plan::Answer(WORK, "ok".to_owned()));
    let runner = Arc::new(runner);
    store.put("op/config", &config());
    store.put("servers/i-10", &runner.registration("app", "a"));
    let mut gateways: Vec<Gateway> =
        (0..GATEWAYS).map(|n| Gateway::start(100 + n, "a", store_addr, folder)).collect();
    if !gateways.iter().all(|g| g.wait_ready(Duration::from_secs(10))) {
        record.line("a gateway is not ready");
        return None;
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU32::new(0));
    let mut threads = Vec::new();
    for (g, gateway) in gateways.iter().enumerate() {
        for n in 0..CLIENTS {
            let (stop, lost, record, runner, front) =
                (stop.clone(), lost.clone(), record.clone(), runner.clone(), gateway.front());
            threads.push(std::thread::spawn(move || {
                let Ok(mut client) = Client::connect(front) else { return };
                let mut i = 0;
                while !stop.load(Ordering::Relaxed) {
                    i += 1;
                    let id = format!("g{g}c{n}-{i}");
                    if client.send("POST /check/a", HOST, &id, DEADLINE, "", "x").is_err() {
                        return;
                    }
                    let got = client.receive(DEADLINE * 2);
                    if matches!(got, Got::Answer(ref head, _) if head.status() == 200) {
                        continue;
                    }
                    let ran = runner.runs_of(&id).len();
                    record.line(format!("client of {id}: {}; it ran {ran} times", got.text()));
                    if ran > 0 && matches!(got, Got::Closed(_) | Got::Cut(..)) {
                        record.line(format!("LOST: {id} was passed on to a sound runner"));
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                    return;
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut ended = vec![false; gateways.len()];
    for pair in 0..PAIRS {
        for (n, gateway) in
            gateways.iter_mut().enumerate().take(CHANGED).filter(|(n, _)| !ended[*n])
        {
            gateway.write_settings(&format!("change {pair}"));
            if !has_trouble() {
                continue;
            }
            let spacing = SPACINGS[(pair + n) % SPACINGS.len()];
            gateway.signal(Signal::HUP);
            let until = Instant::now() + Duration::from_micros(spacing);
            while Instant::now() < until {}
            gateway.signal(Signal::HUP);
            record.line(format!("two SIGHUPs to gateway {n}, {spacing} us apart"));
        }
        std::thread::sleep(PAUSE);
        for (n, gateway) in gateways.iter_mut().enumerate() {
            if let Some(how) = gateway.ended().filter(|_| !ended[n]) {
                ended[n] = true;
                record.line(format!(
                    "gateway {n} has ended by itself after {} pairs: {how}",
                    pair + 1
                ));
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));
    let lost = lost.load(Ordering::Relaxed);
    record.line(format!(
        "{} gateways ended, {lost} requests lost",
        ended.iter().filter(|e| **e).count()
    ));
    Some(i32::from(lost > 0))
}
