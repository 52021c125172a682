//! Injects random faults drawn from the seed. Several overlap, and each ends by itself.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use ebonyloft_platform::simulation::CallKind;
use ebonyloft_router::catalog::Stage;
use ebonyloft_standins::fleet::backend::{self, BackendServer, CRASH_PREFIX};
use ebonyloft_standins::fleet::caller::Caller;
use ebonyloft_standins::fleet::duplicates::{Duplicate, Moment};
use ebonyloft_standins::fleet::store;
use ebonyloft_standins::fleet::{CHECK, LOOKUP, SUMMARY};
use ebonyloft_standins::relay::RelaySwitch;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::cluster::{
    Cluster, Gateway, QUOTA, QUOTA_KEY, REVOKE_BOUND, RUNNER_FAULTS, SETTLE_TIME, STORE_FAULTS,
    TOKENS_PER_CALL, VERSIONS,
};
use crate::moves;

/// Invalid values of a server registration in the store.
const INVALID_REGISTRATIONS: [&[u8]; 4] = [
    b"",
    b"\xff\x00",
    b"{\"service\":\"gate\"}",
    br#"{"service":"gate","address":"127.0.0.1:9","zone":"a","version":"v1","slot_count":"6",
        "state":"ready","sequence":1,"cold_remaining_ms":0}"#,
];

/// Time after a server began to leave by which it must get no more requests; the default setting.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// Time by which every gateway must know of a confirmed crashing request or of a rate limit; the
/// default setting `contact_ms`.
const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Window in which the requests to a server with a rate limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests that may arrive in the window, as a multiple of the limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Requests that may arrive in addition.
const LIMIT_SLACK: f64 = 5.0;
/// Longest time from an answer to its second copy, in milliseconds: as long as a connection may be idle.
const LATE_MAX_MS: u64 = 900;
/// Longest time for which an engine that ends is down, in milliseconds: some are back while handles of the one
/// that ended are kept, for 500 ms.
const DOWNTIME_MAX_MS: u64 = 1_100;
/// How long an account exceeds its quota.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// How often a request that crashes servers is sent, every 120 ms: for six seconds.
const CRASH_REQUESTS: usize = 50;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Injects faults for the time of the plan, and waits until all of them have ended.
pub async fn inject_faults(cluster: &Rc<Cluster>) {
    let mut rng = ChaCha8Rng::seed_from_u64(cluster.plan.seed);
    let end = Instant::now() + cluster.plan.faults;
    let mut tasks = Vec::new();
    while Instant::now() < end {
        compio::time::sleep(ms(rng.random_range(50..500))).await;
        let (cluster, seed) = (cluster.clone(), rng.random());
        tasks.push(compio::runtime::spawn(async move { inject_fault(&cluster, seed).await }));
    }
    for task in tasks {
        task.await.expect("a fault's task");
    }
    for gateway in &cluster.gateways {
        gateway.signal(Signal::CONT);
        gateway.restart_if_ended();
    }
}

/// Replaces a decode engine by one of another version, unless that is under way.
async fn replace_engine(runner: &Rc<BackendServer>, version: usize) {
    let decodes = runner.server.borrow().stage == Some(Stage::Decode);
    if decodes && runner.is_up() {
        runner.replace_with(VERSIONS[version]).await;
    }
}

async fn inject_fault(cluster: &Cluster, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let duration = ms(rng.random_range(100..2_500));
    let gateway = &cluster.gateways[rng.random_range(0..cluster.gateways.len())];
    let runner_index = rng.random_range(0..cluster.runners.len());
    let (runner, relay) = &cluster.runners[runner_index];
    let kinds = cluster.plan.kinds;
    match kinds[rng.random_range(0..kinds.len() as u32) as usize] {
        0 => {
            gateway.signal(Signal::KILL);
            compio::time::sleep(duration / 3).await;
            gateway.restart_if_ended();
        }
        1 => {
            gateway.signal(Signal::TERM);
            compio::time::sleep(ms(8_500)).await;
            gateway.restart_if_ended();
        }
        2 => {
            cluster.mark_stale(duration);
            gateway.signal(Signal::STOP);
            compio::time::sleep(duration).await;
            gateway.signal(Signal::CONT);
        }
        3 => gateway.signal(Signal::HUP),
        4 => {
            cluster.mark_stale(duration);
            cluster.store.set_fault(STORE_FAULTS[rng.random_range(0..STORE_FAULTS.len())]);
            compio::time::sleep(duration).await;
            cluster.store.set_fault(store::Fault::None);
        }
        5 => {
            cluster.mark_stale(duration);
            disturb_path(&cluster.store_relay, &mut rng, duration).await;
        }
        6 | 7 => disturb_path(relay, &mut rng, duration).await,
        8 | 9 => {
            runner.set_fault(RUNNER_FAULTS[rng.random_range(0..RUNNER_FAULTS.len())]);
            compio::time::sleep(duration).await;
            runner.set_fault(backend::Fault::None);
        }
        10 => {
            cluster.configure(rng.random_range(1..4));
            if rng.random() {
                cluster.store.compact();
            }
        }
        11 => {
            // A new incarnation starts under the same name, without the state of the old one.
            runner.set_fault(backend::Fault::Breaks);
            compio::time::sleep(duration / 10).await;
            runner.restart();
            runner.set_fault(backend::Fault::None);
            cluster.store.register(&runner.server.borrow());
        }
        13 => check_drain_in_store(cluster, runner).await,
        14 => check_crashing_request(cluster, &format!("{seed:x}"), rng.random()).await,
        15 => check_announced_drain(cluster, runner).await,
        16 => {
            runner.set_back_off(Some(&format!("{:.2}", duration.as_secs_f64())));
            compio::time::sleep(duration).await;
            runner.set_back_off(None);
        }
        18 => check_key_revocation(cluster, &format!("{seed:x}")).await,
        19 => check_quota(cluster, &format!("{seed:x}")).await,
        20 => replace_engine(runner, rng.random_range(0..VERSIONS.len())).await,
        21 => {
            cluster.mark_stale(duration);
            cluster.gateways.iter().for_each(|gateway| gateway.signal(Signal::KILL));
            compio::time::sleep(duration / 3).await;
            cluster.gateways.iter().for_each(Gateway::restart_if_ended);
        }
        22 => {
            let duplicator = &cluster.duplicators[runner_index];
            duplicator.set(&random_duplicates(&mut rng));
            compio::time::sleep(duration).await;
            duplicator.set(&[]);
        }
        23 => end_engines(cluster, &mut rng).await,
        24 => {
            let prefills = || {
                let both = cluster.runners.iter().zip(&cluster.duplicators);
                both.filter(|((r, _), _)| r.server.borrow().stage == Some(Stage::Prefill))
            };
            for (_, duplicator) in prefills() {
                duplicator.set(&[random_duplicate(&mut rng, CallKind::Prefill)]);
            }
            compio::time::sleep(duration).await;
            prefills().for_each(|(_, duplicator)| duplicator.set(&[]));
        }
        32 => {
            cluster.store.keep_copy();
            compio::time::sleep(duration).await;
            cluster.restore_store();
            compio::time::sleep(ms(1_000)).await;
            cluster.expire_registrations();
            compio::time::sleep(SETTLE_TIME).await;
            check_drain_in_store(cluster, runner).await;
        }
        33 => {
            cluster.preferred_gateway.set(Some(rng.random_range(0..cluster.gateways.len())));
            compio::time::sleep(duration * 2).await;
            cluster.preferred_gateway.set(None);
        }
        34 => check_removal(cluster, runner, &mut rng).await,
        35 => {
            runner.set_fault(backend::Fault::Floods);
            compio::time::sleep(duration).await;
            runner.set_fault(backend::Fault::None);
        }
        17 => check_rate_limit(cluster, runner, rng.random_range(2..9)).await,
        kind @ 25..=31 => moves::inject(cluster, kind, &mut rng, duration).await,
        _ => {
            let name = runner.server.borrow().id.name.clone();
            let value = INVALID_REGISTRATIONS[rng.random_range(0..INVALID_REGISTRATIONS.len())];
            cluster.store.put(&format!("servers/{name}"), value, 0);
            cluster.store.put("servers/i-nobody", value, 0);
            compio::time::sleep(duration).await;
            cluster.store.register(&runner.server.borrow());
        }
    }
}

/// Answers that a server sends twice: those to most kinds of call.
pub fn random_duplicates(rng: &mut ChaCha8Rng) -> Vec<Duplicate> {
    let mut rules = Vec::new();
    for kind in CallKind::ALL {
        let rule = random_duplicate(rng, kind);
        if rng.random_bool(0.7) {
            rules.push(rule);
        }
    }
    rules
}

fn random_duplicate(rng: &mut ChaCha8Rng, kind: CallKind) -> Duplicate {
    let moment = match rng.random_range(0..4) {
        0 => Moment::SameWrite,
        1 => Moment::After(ms(rng.random_range(0..LATE_MAX_MS))),
        2 => Moment::BeforeNext,
        _ => Moment::InsteadOfNext,
    };
    Duplicate { kind, moment, with_id: rng.random_bool(0.7) }
}

/// Some engines end one after the other and start again at the same address, before or after the handles of the
/// ones that ended have expired.
async fn end_engines(cluster: &Cluster, rng: &mut ChaCha8Rng) {
    let engines: Vec<_> = cluster.runners.iter().map(|(runner, _)| runner).collect();
    let mut tasks = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let engine = engines[rng.random_range(0..engines.len())].clone();
        let downtime = ms(rng.random_range(0..DOWNTIME_MAX_MS));
        if engine.server.borrow().stage.is_some() {
            tasks.push(compio::runtime::spawn(async move { engine.end_for(downtime).await }));
        }
        compio::time::sleep(ms(rng.random_range(0..300))).await;
    }
    for task in tasks {
        task.await.expect("an engine's task");
    }
}

/// Every second gateway is cut off from the store, and a backend server begins to leave. After the
/// bound it must get no more requests from any gateway. Later it returns.
async fn check_drain_in_store(cluster: &Cluster, runner: &Rc<BackendServer>) {
    // One at a time per server: the end of another fault would register it as ready during this
    // check.
    if std::mem::replace(&mut runner.server.borrow_mut().draining, true) {
        return;
    }
    let mute_switches = [&cluster.second_relay.mute_forward, &cluster.second_relay.mute_back];
    mute_switches.iter().for_each(|switch| switch.store(true, Ordering::Relaxed));
    compio::time::sleep(ms(500)).await;
    cluster.store.register(&runner.server.borrow());
    let leaving_at = Instant::now();
    compio::time::sleep(LEAVING_BOUND + ms(300)).await;
    let before = arrival_count(runner);
    compio::time::sleep(ms(1_500)).await;
    if cluster.stale_until.get() < leaving_at {
        let (seed, late) = (cluster.plan.seed, arrival_count(runner) - before);
        assert_eq!(late, 0, "seed {seed}: requests to a backend server that left");
        cluster.drains_checked.set(cluster.drains_checked.get() + 1);
    }
    mute_switches.iter().for_each(|switch| switch.store(false, Ordering::Relaxed));
    runner.server.borrow_mut().draining = false;
    // A copy of the store may be from before: an incarnation that was known to leave is not used again.
    match cluster.plan.has_store_copies() {
        true => runner.crash("the end of a life"),
        false => cluster.store.register(&runner.server.borrow()),
    }
}

/// Waiting watches are cut again and again, and a server is removed without an announcement. After the bound it
/// must get no more requests. Later it starts again.
async fn check_removal(cluster: &Cluster, runner: &Rc<BackendServer>, rng: &mut ChaCha8Rng) {
    let id = runner.server.borrow().id.clone();
    // One at a time per server: the end of another check would register it during this one.
    if !runner.is_up() || !cluster.checked_servers.borrow_mut().insert(id.name.clone()) {
        return;
    }
    let pause = ms(rng.random_range(100..1_500));
    let cut_until = async |time: Duration| {
        let end = Instant::now() + time;
        while Instant::now() < end {
            cluster.store.cut_watches();
            compio::time::sleep(pause.min(end.saturating_duration_since(Instant::now()))).await;
        }
    };
    cut_until(pause * 2).await;
    let removed = runner.server.borrow().clone();
    cluster.store.unregister(&removed);
    let removed_at = Instant::now();
    cut_until(LEAVING_BOUND + ms(300)).await;
    let before = arrival_count(runner);
    cut_until(ms(1_500)).await;
    let is_same = removed.id == id && runner.server.borrow().id == id;
    if is_same && cluster.stale_until.get() < removed_at {
        let (seed, late) = (cluster.plan.seed, arrival_count(runner) - before);
        assert_eq!(late, 0, "seed {seed}: requests to a backend server that was removed ({id})");
        cluster.removals_checked.set(cluster.removals_checked.get() + 1);
    }
    if is_same {
        runner.crash("the end of a life");
    }
    cluster.checked_servers.borrow_mut().remove(&id.name);
}

fn arrival_count(runner: &BackendServer) -> u64 {
    let seen = runner.observed.borrow();
    seen.prefill_count + seen.arrivals.values().sum::<usize>() as u64
}

/// A request that crashes servers is sent through all gateways in turn. Once it crashed three
/// servers and the bound has passed, it may reach servers three times more at most.
async fn check_crashing_request(cluster: &Cluster, name: &str, summary: bool) {
    cluster.crash_contents.set(cluster.crash_contents.get() + 1);
    let path = if summary { SUMMARY } else { LOOKUP };
    let body = format!("{CRASH_PREFIX}{name}");
    for n in 0..CRASH_REQUESTS {
        let caller = Caller::new(cluster.address(n % cluster.gateways.len()));
        let (attempt, body) = (format!("ends-{name}-{n}"), body.clone());
        compio::runtime::spawn(async move {
            // The answer does not matter; the gateway process may be down.
            let _ = caller.send_body(path, &attempt, body).await;
        })
        .detach();
        compio::time::sleep(ms(120)).await;
    }
    let times_of = |rows: &[(String, Instant)]| -> Vec<Instant> {
        rows.iter().filter(|(n, _)| n == name).map(|(_, at)| *at).collect()
    };
    let seen = cluster.runners.iter().map(|(r, _)| r.observed.borrow());
    let (mut crashes, mut arrivals) = (Vec::new(), Vec::new());
    for seen in seen {
        crashes.extend(times_of(&seen.crashes));
        arrivals.extend(times_of(&seen.crash_arrivals));
    }
    crashes.sort();
    let bound = crashes.get(2).map(|third| *third + CONTACT_BOUND);
    let late = bound.map_or(0, |bound| arrivals.iter().filter(|at| **at > bound).count());
    let seed = cluster.plan.seed;
    assert!(
        late <= 3,
        "seed {seed}: {name} crashed {} servers, sent {late} times late",
        crashes.len()
    );
}

/// A server announces in all its answers that it leaves, while its registration stays unchanged.
/// Gateways learn of it only from an answer, so the bound begins with the first one; after it the
/// server must get no more requests.
async fn check_announced_drain(cluster: &Cluster, runner: &Rc<BackendServer>) {
    let id = runner.server.borrow().id.clone();
    runner.announce_leaving();
    let announced_at = first_leaving_answer(runner, Instant::now()).await;
    if let Some(announced_at) = announced_at {
        compio::time::sleep(LEAVING_BOUND.saturating_sub(announced_at.elapsed())).await;
        let before = arrival_count(runner);
        compio::time::sleep(ms(1_500)).await;
        if runner.server.borrow().id == id && cluster.stale_until.get() < announced_at {
            let (seed, late) = (cluster.plan.seed, arrival_count(runner) - before);
            assert_eq!(
                late,
                0,
                "seed {seed}: requests to a server that had announced that it leaves ({id}, {:?} ago)",
                announced_at.elapsed()
            );
            cluster.drains_checked.set(cluster.drains_checked.get() + 1);
        }
    }
    runner.cancel_leaving();
    if runner.server.borrow().id == id {
        runner.crash("the end of a life");
    }
}

/// Waits for the first answer by which a server announces that it leaves; none if it gets no
/// request for as long as the whole check takes otherwise.
async fn first_leaving_answer(runner: &BackendServer, started_at: Instant) -> Option<Instant> {
    while started_at.elapsed() < LEAVING_BOUND * 2 {
        let first =
            runner.observed.borrow().leaving_answers.iter().copied().find(|at| *at >= started_at);
        if first.is_some() {
            return first;
        }
        compio::time::sleep(ms(5)).await;
    }
    None
}

/// A server announces a rate limit in all its answers. After the bound, by which the gateways must
/// keep it, no more requests reach it than the limit allows.
async fn check_rate_limit(cluster: &Cluster, runner: &Rc<BackendServer>, limit: u32) {
    let id = runner.server.borrow().id.clone();
    // One at a time per server: the end of another check would end the announcement of this one.
    if !cluster.limited_servers.borrow_mut().insert(id.name.clone()) {
        return;
    }
    runner.announce_limit(Some(&limit.to_string()));
    compio::time::sleep(CONTACT_BOUND).await;
    let since = Instant::now();
    compio::time::sleep(LIMIT_WINDOW * 2).await;
    let arrivals: Vec<Instant> =
        runner.observed.borrow().call_times.iter().copied().filter(|at| *at >= since).collect();
    let count_from = |from: Instant| {
        arrivals.iter().filter(|at| **at >= from && **at < from + LIMIT_WINDOW).count()
    };
    let most = arrivals.iter().map(|at| count_from(*at)).max().unwrap_or(0);
    let allowed = LIMIT_FACTOR * f64::from(limit) * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    let seed = cluster.plan.seed;
    if runner.server.borrow().id == id {
        assert!(
            most as f64 <= allowed,
            "seed {seed}: a server that announces {limit} a second got {most} in 4 s, allowed {allowed}"
        );
        println!(
            "seed {seed}: {id} announced {limit} a second, got {most} in 4 s, allowed {allowed}"
        );
    }
    runner.announce_limit(None);
    cluster.limited_servers.borrow_mut().remove(&id.name);
}

/// A key is added, used through all gateways and revoked. Requests with it that are sent after the
/// bound must not run at any server.
async fn check_key_revocation(cluster: &Cluster, key: &str) {
    cluster.revocable_keys.borrow_mut().insert(key.to_owned());
    cluster.configure(1);
    compio::time::sleep(ms(700)).await;
    cluster.revocable_keys.borrow_mut().remove(key);
    cluster.configure(1);
    let revoked_at = Instant::now();
    let (mut late, mut n) = (Vec::new(), 0);
    while revoked_at.elapsed() < REVOKE_BOUND * 2 {
        n += 1;
        let caller = Caller::new(cluster.address(n % cluster.gateways.len())).with_key(key);
        let attempt = format!("key-{key}-{n}");
        if revoked_at.elapsed() > REVOKE_BOUND {
            late.push(attempt.clone());
        }
        compio::runtime::spawn(async move {
            // The answer does not matter; the check counts what ran.
            let _ = caller.call(CHECK, &attempt).await;
        })
        .detach();
        compio::time::sleep(ms(25)).await;
    }
    compio::time::sleep(ms(1_500)).await;
    let ran = late.iter().filter(|attempt| cluster.runs(attempt) > 0).count();
    let seed = cluster.plan.seed;
    assert_eq!(ran, 0, "seed {seed}: {ran} of {} ran with a revoked key", late.len());
    cluster.account_checks.set(cluster.account_checks.get() + 1);
}

/// An account sends five times its quota through all gateways; no more than the quota may run.
async fn check_quota(cluster: &Cluster, name: &str) {
    if cluster.flooding.replace(true) {
        return;
    }
    let started_at = Instant::now();
    let mut attempts = Vec::new();
    while started_at.elapsed() < FLOOD_TIME {
        let n = attempts.len();
        let caller = Caller::new(cluster.address(n % cluster.gateways.len())).with_key(QUOTA_KEY);
        let attempt = format!("flood-{name}-{n}");
        attempts.push(attempt.clone());
        compio::runtime::spawn(async move {
            // The answer does not matter; the check counts what ran.
            let _ = caller.call(CHECK, &attempt).await;
        })
        .detach();
        compio::time::sleep(ms(10)).await;
    }
    compio::time::sleep(ms(1_500)).await;
    let granted = QUOTA.0 as f64 * started_at.elapsed().as_secs_f64() + QUOTA.1 as f64;
    let allowed = (granted / TOKENS_PER_CALL as f64) as usize;
    let ran = attempts.iter().filter(|attempt| cluster.runs(attempt) > 0).count();
    let seed = cluster.plan.seed;
    assert!(ran <= allowed, "seed {seed}: {ran} calls of an account, allowed {allowed}");
    println!("seed {seed}: {ran} of {} calls of an account, allowed {allowed}", attempts.len());
    cluster.account_checks.set(cluster.account_checks.get() + 1);
    cluster.flooding.set(false);
}

/// Makes a network path delayed, reset, closed to new connections, or silent in one or both
/// directions.
async fn disturb_path(relay: &RelaySwitch, rng: &mut ChaCha8Rng, duration: Duration) {
    let switches = match rng.random_range(0..6) {
        0 => vec![&relay.mute_forward],
        1 => vec![&relay.mute_back],
        2 => vec![&relay.mute_forward, &relay.mute_back],
        3 => vec![&relay.refuse],
        4 => vec![&relay.reset],
        _ => {
            relay.delay_ms.store(rng.random_range(5..150), Ordering::Relaxed);
            vec![]
        }
    };
    for switch in &switches {
        switch.store(true, Ordering::Relaxed);
    }
    compio::time::sleep(duration).await;
    for switch in &switches {
        switch.store(false, Ordering::Relaxed);
    }
    relay.delay_ms.store(0, Ordering::Relaxed);
}
