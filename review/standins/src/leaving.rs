//! Servers leave while the store cuts waiting watches.
//!
//! A server's entry is removed without a report that it drains; it goes on serving for the drain
//! timeout and a little longer, then it ends. No request may reach it later than the drain timeout
//! after the removal was acknowledged.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Connection, Deployment, Ending, Rng, seed};

/// `drain_timeout_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How much longer a server goes on serving.
const LONGER: Duration = Duration::from_millis(1_000);
/// Pause between two cuts of the watches.
const CUT_EVERY: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 8;
const CLIENTS: usize = 30;

/// Runs the case; returns whether the rule was broken.
pub fn run(case: &str, trouble: bool) -> std::io::Result<bool> {
    let all = Arc::new(Deployment::start(case, 2, Duration::from_millis(60))?);
    let result = play(&all, trouble);
    all.close();
    result
}

fn play(all: &Arc<Deployment>, trouble: bool) -> std::io::Result<bool> {
    let mut servers = vec![all.start_server()?, all.start_server()?, all.start_server()?];
    all.start_gateways()?;
    let endings: Arc<Mutex<Vec<(String, Instant, Ending)>>> = Arc::default();
    for n in 0..CLIENTS {
        let (all, endings) = (all.clone(), endings.clone());
        thread::spawn(move || client(&all, &endings, &mut Rng::new(seed() + n as u64)));
    }
    // Instead of regularly, the watches are cut just once before each removal.
    let once = std::env::var("CUTS").is_ok_and(|value| value == "once");
    if trouble && !once {
        let all = all.clone();
        thread::spawn(move || {
            while !all.stopping.load(Ordering::SeqCst) {
                thread::sleep(CUT_EVERY);
                let cut = all.store.cut_watches();
                all.record.line(Instant::now(), &format!("the store cuts {cut} waiting watches"));
            }
        });
    }
    thread::sleep(Duration::from_secs(8));
    let mut left = Vec::new();
    for _ in 0..ROUNDS {
        servers.push(all.start_server()?);
        thread::sleep(Duration::from_millis(3_500));
        let server = servers.remove(0);
        if trouble && once {
            let cut = all.store.cut_watches();
            all.record.line(Instant::now(), &format!("the store cuts {cut} waiting watches"));
            thread::sleep(Duration::from_millis(50));
        }
        all.store.remove(&format!("servers/{}", server.id));
        let removed = Instant::now();
        all.record.line(removed, &format!("the entry of server {} is removed", server.id));
        thread::sleep(DRAIN + LONGER);
        server.end();
        all.record.line(Instant::now(), &format!("server {} has ended", server.id));
        left.push((server.number, removed));
        thread::sleep(Duration::from_millis(1_500));
    }
    all.stopping.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_200));
    Ok(judge(all, &endings.lock().unwrap(), &left))
}

fn client(all: &Deployment, endings: &Mutex<Vec<(String, Instant, Ending)>>, rng: &mut Rng) {
    let mut open = None;
    while !all.stopping.load(Ordering::SeqCst) {
        thread::sleep(rng.pause(0.3, 2.0));
        let Some(mut connection) = Connection::reuse(open.take(), all, rng) else {
            continue;
        };
        let id = all.new_id();
        let (_, ending) = connection.check(&id, 0, Duration::ZERO);
        endings.lock().unwrap().push((id, Instant::now(), ending));
        if !connection.closed {
            open = Some(connection);
        }
    }
}

fn judge(
    all: &Deployment,
    endings: &[(String, Instant, Ending)],
    left: &[(usize, Instant)],
) -> bool {
    let (record, runs) = (&all.record, all.runs.lock().unwrap());
    let (mut late, mut latest, mut lost, mut served) = (0, Duration::ZERO, 0, 0);
    for (id, ended, ending) in endings {
        let all_runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        let at: Vec<String> = all_runs
            .iter()
            .map(|r| format!("server i-{:08x} at {:.3}", r.server, record.at(r.arrived)))
            .collect();
        record.line(*ended, &format!("request {id}: {ending:?}; ran: {at:?}"));
        served += usize::from(matches!(ending, Ending::Status(200)));
        for run in all_runs {
            let Some((_, removed)) = left.iter().find(|(number, _)| *number == run.server) else {
                continue;
            };
            let after = run.arrived.saturating_duration_since(*removed);
            if after > DRAIN {
                late += 1;
                latest = latest.max(after);
                let is_lost = run.answered.is_none();
                lost += usize::from(is_lost);
                let text =
                    format!("DRAIN: request {id} reached a server {after:?} after its removal");
                record.line(run.arrived, &if is_lost { text + ", and is lost" } else { text });
            }
        }
    }
    record.say(&format!(
        "{} requests, {served} answered 200; {} servers left; {late} requests reached one later than {DRAIN:?} after the removal (the latest {latest:?}), {lost} of them were lost with it",
        endings.len(),
        left.len()
    ));
    late > 0
}
