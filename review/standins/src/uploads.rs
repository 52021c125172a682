//! Many clients upload large bodies at once, each within the configured limit.
//!
//! The platform ends a process that exceeds `memory_mb`, which counts as an end by itself: what it
//! had passed on must be answered all the same. Only anonymous memory is counted here.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Connection, DEADLINE, Deployment, Ending, Rng, SIGKILL, seed};

/// `memory_mb` of the site's gateways.
const MEMORY_MB: u64 = 110;
const ROUNDS: usize = 4;
/// Clients that send checks all the time.
const CLIENTS: usize = 60;
/// Clients that come with a form: at once, or as few as these.
const UPLOADERS: usize = 24;
const FEW_UPLOADERS: usize = 6;
/// `max_body_bytes` of the site.
const FORM_BYTES: usize = 4 << 20;
/// How long a client takes to send its form.
const UPLOAD: Duration = Duration::from_secs(4);
const WORK: Duration = Duration::from_millis(100);

struct Attempt {
    id: String,
    gateway: String,
    kept: bool,
    began: Instant,
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
    let servers = (0..4).map(|_| all.start_server()).collect::<Result<Vec<_>, _>>()?;
    all.start_gateways()?;
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    for n in 0..CLIENTS {
        let (all, attempts) = (all.clone(), attempts.clone());
        thread::spawn(move || client(&all, &attempts, &mut Rng::new(seed() + n as u64)));
    }
    let ends: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    for gateway in all.gateways.clone() {
        let (all, ends) = (all.clone(), ends.clone());
        thread::spawn(move || {
            let mut most = 0;
            let mut ever = 0;
            while !all.stopping.load(Ordering::SeqCst) {
                let memory = all.memory(&gateway) >> 10;
                if memory > most {
                    (most, ever) = (memory, memory.max(ever));
                    if memory % 10 == 0 || memory > MEMORY_MB {
                        all.record
                            .line(Instant::now(), &format!("{} has {memory} MB", gateway.name));
                    }
                }
                if memory > MEMORY_MB {
                    let at = all.signal(&gateway, SIGKILL);
                    all.record.line(at, &format!("{} exceeds {MEMORY_MB} MB", gateway.name));
                    ends.lock().unwrap().push((gateway.name.clone(), at));
                    while all.has_ended(&gateway).is_none() {
                        thread::sleep(Duration::from_millis(2));
                    }
                    thread::sleep(Duration::from_millis(300));
                    let _ = all.start_gateway(&gateway, false);
                    most = 0;
                }
                thread::sleep(Duration::from_millis(5));
            }
            all.record.say(&format!("{}: at most {ever} MB", gateway.name));
        });
    }
    thread::sleep(Duration::from_secs(6));
    for _ in 0..ROUNDS {
        let forms: Vec<_> = (0..if trouble { UPLOADERS } else { FEW_UPLOADERS })
            .map(|n| {
                let all = all.clone();
                thread::spawn(move || {
                    let mut rng = Rng::new(seed() + n as u64);
                    thread::sleep(rng.pause(0.3, 1.0));
                    let mut connection = Connection::open(&all, &mut rng)?;
                    let id = all.new_id();
                    let ending = connection.form(&id, FORM_BYTES, UPLOAD);
                    all.record.line(
                        Instant::now(),
                        &format!("form {id} at {}: {ending:?}", connection.gateway.name),
                    );
                    matches!(ending, Ending::Status(200)).then_some(())
                })
            })
            .collect();
        let count = forms.len();
        let served = forms.into_iter().filter_map(|form| form.join().ok().flatten()).count();
        all.record.say(&format!("{served} of {count} forms answered 200"));
        thread::sleep(Duration::from_secs(6));
    }
    all.stopping.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_500));
    let broken = judge(all, &attempts.lock().unwrap(), &ends.lock().unwrap());
    servers.iter().for_each(|server| server.end());
    Ok(broken)
}

fn client(all: &Deployment, attempts: &Mutex<Vec<Attempt>>, rng: &mut Rng) {
    let mut open = None;
    while !all.stopping.load(Ordering::SeqCst) {
        thread::sleep(rng.pause(0.2, 2.0));
        let kept = open.is_some();
        let Some(mut connection) = Connection::reuse(open.take(), all, rng) else {
            continue;
        };
        let (id, began) = (all.new_id(), Instant::now());
        let (_, ending) = connection.check(&id, 0, Duration::ZERO);
        let gateway = connection.gateway.name.clone();
        let ended = Instant::now();
        attempts.lock().unwrap().push(Attempt { id, gateway, kept, began, ended, ending });
        if !connection.closed {
            open = Some(connection);
        }
    }
}

fn judge(all: &Deployment, attempts: &[Attempt], ends: &[(String, Instant)]) -> bool {
    let (record, runs) = (&all.record, all.runs.lock().unwrap());
    let (mut served, mut lost) = (0, 0);
    for Attempt { id, gateway, kept, began, ended, ending } in attempts {
        let all_runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        served += usize::from(matches!(ending, Ending::Status(200)));
        let in_time = ended.saturating_duration_since(*began) < DEADLINE;
        if matches!(ending, Ending::Broken) && *kept && !all_runs.is_empty() && in_time {
            lost += 1;
            record.line(*ended, &format!("LOST: request {id} of a kept connection to {gateway} was passed on and not answered"));
        }
    }
    record.say(&format!(
        "{} checks, {served} answered 200; {} processes exceeded {MEMORY_MB} MB; {lost} checks of kept connections were passed on to a server and not answered",
        attempts.len(),
        ends.len()
    ));
    lost > 3
}
