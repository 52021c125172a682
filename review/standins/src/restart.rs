//! Gateways are stopped and started in turn while clients send requests with bodies.
//!
//! A request that was passed on to a server must be answered, although its gateway is stopping: the
//! gateway has the grace period for it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Connection, DEADLINE, Deployment, Ending, GRACE, Rng, SIGTERM, seed};

const ROUNDS: usize = 12;
const CLIENTS: usize = 160;
/// How long a client takes to send a body of 64 kB, about what a mobile link carries.
const UPLOAD: Duration = Duration::from_millis(600);
const PARTS: usize = 16;
/// Work of a request at a server.
const WORK: Duration = Duration::from_millis(60);
const SERVERS: usize = 4;

struct Attempt {
    id: String,
    gateway: String,
    began: Instant,
    sent: Instant,
    ended: Instant,
    ending: Ending,
}

/// Runs the case; returns whether the rule was broken.
pub fn run(case: &str, trouble: bool) -> std::io::Result<bool> {
    let all = Arc::new(Deployment::start(case, 2, WORK)?);
    let result = play(&all, trouble);
    all.close();
    result
}

fn play(all: &Arc<Deployment>, trouble: bool) -> std::io::Result<bool> {
    let servers = (0..SERVERS).map(|_| all.start_server()).collect::<Result<Vec<_>, _>>()?;
    all.start_gateways()?;
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    for n in 0..CLIENTS {
        let (all, attempts) = (all.clone(), attempts.clone());
        thread::spawn(move || client(&all, &attempts, &mut Rng::new(seed() + n as u64)));
    }
    thread::sleep(Duration::from_secs(6));
    let mut stops = Vec::new();
    for round in 0..ROUNDS {
        let gateway = &all.gateways[round % all.gateways.len()];
        if trouble {
            let stopped = all.signal(gateway, SIGTERM);
            let ended = all.wait_for_end(gateway, stopped);
            stops.push((gateway.name.clone(), stopped, ended));
            thread::sleep(Duration::from_millis(300));
            all.start_gateway(gateway, false)?;
        } else {
            thread::sleep(Duration::from_millis(3_500));
        }
        thread::sleep(Duration::from_millis(4_000));
    }
    all.stopping.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(2_500));
    let broken = judge(all, &attempts.lock().unwrap(), &stops);
    servers.iter().for_each(|server| server.end());
    Ok(broken)
}

fn client(all: &Deployment, attempts: &Mutex<Vec<Attempt>>, rng: &mut Rng) {
    let mut open = None;
    while !all.stopping.load(Ordering::SeqCst) {
        thread::sleep(rng.pause(2.0, 10.0));
        let Some(mut connection) = Connection::reuse(open.take(), all, rng) else {
            continue;
        };
        let (id, began) = (all.new_id(), Instant::now());
        let (sent, ending) = connection.check(&id, PARTS, UPLOAD);
        let gateway = connection.gateway.name.clone();
        let ended = Instant::now();
        attempts.lock().unwrap().push(Attempt { id, gateway, began, sent, ended, ending });
        if !connection.closed {
            open = Some(connection);
        }
    }
}

fn judge(all: &Deployment, attempts: &[Attempt], stops: &[(String, Instant, Instant)]) -> bool {
    let (record, runs) = (&all.record, all.runs.lock().unwrap());
    let (mut served, mut lost, mut ran, mut unread) = (0, 0, 0, 0);
    for attempt in attempts {
        let Attempt { id, gateway, began, sent, ended, ending } = attempt;
        let all_runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        let at: Vec<f64> = all_runs.iter().map(|r| record.at(r.arrived)).collect();
        record.line(
            *ended,
            &format!(
                "request {id} at {gateway}: begun {:.3}, sent {:.3}, ran at {at:.3?}, {ending:?}",
                record.at(*began),
                record.at(*sent)
            ),
        );
        served += usize::from(matches!(ending, Ending::Status(200)));
        let Ending::Broken = ending else {
            continue;
        };
        let stop = stops.iter().find(|(name, stopped, end)| {
            name == gateway && ended >= stopped && *ended <= *end + Duration::from_millis(500)
        });
        let Some((_, stopped, end)) = stop else {
            record.line(*ended, &format!("request {id} broke off beside no stop"));
            continue;
        };
        if all_runs.is_empty() {
            unread += 1;
            continue;
        }
        if ended.saturating_duration_since(*began) >= DEADLINE {
            record.line(*ended, &format!("request {id} had reached its deadline"));
            continue;
        }
        lost += 1;
        ran += usize::from(all_runs.iter().any(|r| r.answered.is_some()));
        record.line(
            *ended,
            &format!(
                "LOST: request {id} was passed on to a server {:.0} ms before the process ended, {:.2} s after its SIGTERM (grace period {GRACE:?})",
                all_runs.first().map_or(0.0, |r| end.saturating_duration_since(r.arrived).as_secs_f64() * 1e3),
                end.saturating_duration_since(*stopped).as_secs_f64(),
            ),
        );
    }
    record.say(&format!(
        "{} requests, {served} answered 200; {} stops; {lost} requests were passed on to a server and not answered ({ran} of them ran to their end); {unread} uploads were cut before they were passed on",
        attempts.len(),
        stops.len()
    ));
    lost > 0
}
