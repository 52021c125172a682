//! Runs that are moved between engines, stage orders, and engines that start again meanwhile.
//!
//! Runs are moved because a stand-in gateway reports that it uses nearly all memory of an engine. Orders are
//! due because the length of prompts changes, and engines that start again have their first stage.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonyloft_platform::simulation::CallKind;
use ebonyloft_router::catalog::{Config, Stage};
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_standins::fleet::backend::{BackendServer, BackendSpec, Fault, OrderFault};
use ebonyloft_standins::fleet::duplicates::Duplicate;
use ebonyloft_standins::fleet::peer::Peer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::cluster::{Cluster, Counts, Gateway, RECOVERY_TIMEOUT, SUMMARY_TOKENS, VERSIONS};
use crate::faults::random_duplicates;

/// Stages of the backend servers at the start: more prefill engines than are wanted.
pub const FIRST_STAGES: [Option<Stage>; 8] = {
    const PREFILL: Option<Stage> = Some(Stage::Prefill);
    const DECODE: Option<Stage> = Some(Stage::Decode);
    [PREFILL, DECODE, DECODE, None, None, PREFILL, PREFILL, DECODE]
};
/// Time in which engines change their stage.
pub const CHANGE_TIME: Duration = Duration::from_millis(500);
const PEER_PORT: u16 = 7_660;
/// Memory of an engine that the stand-in gateway leaves free.
const FREE_TOKENS: u64 = 1_000;
/// Longest wait for the end of gateways that were told to stop: beyond the default grace period.
const STOP_TIMEOUT: Duration = Duration::from_millis(8_500);
/// Tokens of summaries that fill an engine two at a time.
const LONG_PROMPTS: (u64, u64) = (16_000, 2_040);
/// Tokens of summaries that take longer to answer than to read.
const SHORT_PROMPTS: (u64, u64) = (500, 2_040);

const MOVE_FAULTS: [Fault; 5] = [
    Fault::CopiesLate,
    Fault::CopiesSilently,
    Fault::KeepsMemory,
    Fault::StopsSilently,
    Fault::CrashesAfterCopy,
];
const ORDER_FAULTS: [OrderFault; 3] =
    [OrderFault::AnswersLate, OrderFault::AnswersNever, OrderFault::ActsLate];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Timing under which a run lasts long enough to be moved, and prefill is worth more than one engine.
pub fn engine_spec() -> BackendSpec {
    BackendSpec { event_interval: ms(40), prefill_time: ms(80), ..BackendSpec::default() }
}

/// Makes requests differ in urgency, so that runs are moved, and lets a lost order be repeated soon.
pub fn adapt_config(config: &mut Config) {
    config.routes[0].priority += 1;
    for engine in config.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
        engine.switch = CHANGE_TIME;
    }
}

/// Starts the stand-in gateway, which sends gossip to all others.
pub async fn start_peer(ip: Ipv4Addr, gateways: Vec<IpAddr>) -> Rc<Peer> {
    let peer = Peer::start(&format!("peer-{ip}"), (ip, PEER_PORT).into()).await;
    compio::runtime::spawn(peer.clone().send_gossip_to_all(gateways)).detach();
    peer
}

/// Waits until an engine was ordered. Without requests the engines are divided by the first guess of their shape.
pub async fn wait_for_order(cluster: &Cluster) {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    while engines(cluster).all(|e| e.observed.borrow().orders.is_empty()) {
        assert!(Instant::now() < end, "seed {}: no order without faults", cluster.plan.seed);
        compio::time::sleep(ms(10)).await;
    }
}

/// Waits until a run was moved.
pub async fn wait_for_move(cluster: &Cluster) {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    while engines(cluster).all(|e| e.observed.borrow().continued.is_empty()) {
        assert!(Instant::now() < end, "seed {}: no move without faults", cluster.plan.seed);
        fill_busiest(cluster, ms(200)).await;
    }
}

/// Injects a fault of one of the kinds from 25 to 31.
pub async fn inject(cluster: &Cluster, kind: u32, rng: &mut ChaCha8Rng, duration: Duration) {
    match kind {
        25 => fill_busiest(cluster, duration).await,
        26 => {
            let fault = MOVE_FAULTS[rng.random_range(0..MOVE_FAULTS.len())];
            if let Some(source) = busiest(cluster) {
                source.set_fault(fault);
                fill(cluster, &source, duration).await;
                source.set_fault(Fault::None);
            }
        }
        27 => restart_during_move(cluster, rng, duration).await,
        28 => {
            let fault = ORDER_FAULTS[rng.random_range(0..ORDER_FAULTS.len())];
            let set_all = |fault| engines(cluster).for_each(|engine| engine.set_order_fault(fault));
            set_all(fault);
            answer_twice(cluster, rng, duration * 2, |rule| rule.kind == CallKind::Order).await;
            set_all(OrderFault::None);
        }
        29 => {
            let tokens = [SHORT_PROMPTS, SUMMARY_TOKENS, LONG_PROMPTS];
            cluster.summary_tokens.set(tokens[rng.random_range(0..tokens.len())]);
            compio::time::sleep(duration * 2).await;
            cluster.summary_tokens.set(SUMMARY_TOKENS);
        }
        30 => {
            let one = rng.random_range(0..cluster.gateways.len());
            let gateways = &cluster.gateways[..];
            stop(cluster, if rng.random() { &gateways[one..=one] } else { gateways }).await;
        }
        _ => answer_twice(cluster, rng, duration, |_| true).await,
    }
}

/// All servers answer calls of random kinds twice for a while, if the rule is `wanted`.
async fn answer_twice(
    cluster: &Cluster,
    rng: &mut ChaCha8Rng,
    duration: Duration,
    wanted: impl Fn(&Duplicate) -> bool,
) {
    for duplicator in &cluster.duplicators {
        let mut rules = random_duplicates(rng);
        rules.retain(&wanted);
        duplicator.set(&rules);
    }
    compio::time::sleep(duration).await;
    cluster.duplicators.iter().for_each(|duplicator| duplicator.set(&[]));
}

/// Counts the moves, orders and their effects, and prints them.
pub fn count(cluster: &Cluster) -> Counts {
    let mut counts = Counts::default();
    let (mut copies, mut stops, mut changed) = (0, 0, 0);
    for engine in engines(cluster) {
        let seen = engine.observed.borrow();
        counts.moved += seen.continued.values().sum::<usize>();
        counts.orders += seen.orders.len();
        copies += seen.moves.iter().filter(|(_, is_last)| !is_last).count();
        stops += seen.moves.iter().filter(|(_, is_last)| *is_last).count();
        changed += engine.changed_stages();
    }
    if cluster.plan.has_moves() {
        let (seed, Counts { moved, orders, .. }) = (cluster.plan.seed, counts);
        println!(
            "seed {seed}: {copies} copies, {stops} stops, {moved} runs moved, {orders} orders, \
             {changed} stages changed"
        );
    }
    counts
}

fn engines(cluster: &Cluster) -> impl Iterator<Item = &Rc<BackendServer>> {
    let all = cluster.runners.iter().map(|(runner, _)| runner);
    all.filter(|runner| runner.server.borrow().stage.is_some())
}

/// The decode engine with the most runs.
fn busiest(cluster: &Cluster) -> Option<Rc<BackendServer>> {
    let decodes = |e: &&Rc<BackendServer>| e.server.borrow().stage == Some(Stage::Decode);
    engines(cluster).filter(decodes).max_by_key(|e| e.running()).cloned()
}

async fn fill_busiest(cluster: &Cluster, duration: Duration) {
    if let Some(engine) = busiest(cluster) {
        fill(cluster, &engine, duration).await;
    }
}

/// Reports for a while that an engine's memory is nearly used up.
async fn fill(cluster: &Cluster, engine: &BackendServer, duration: Duration) {
    let Some(peer) = &cluster.peer else {
        return;
    };
    let id = engine.server.borrow().id.clone();
    let memory = MemoryForecast::constant(engine_spec().memory_tokens - FREE_TOKENS);
    peer.set_load(&id, EngineLoad { memory, ..EngineLoad::default() });
    compio::time::sleep(duration).await;
    peer.set_load(&id, EngineLoad::default());
}

/// While runs are moved from an engine, it, one that holds copies or one that holds prompts starts again at its
/// address, up to three times in series.
async fn restart_during_move(cluster: &Cluster, rng: &mut ChaCha8Rng, duration: Duration) {
    let Some(source) = busiest(cluster) else {
        return;
    };
    let copies = |e: &BackendServer| e.observed.borrow().moves.len();
    let (before, started_at) = (copies(&source), Instant::now());
    let restart = async {
        while copies(&source) == before && started_at.elapsed() < duration {
            compio::time::sleep(ms(1)).await;
        }
        let with_stage = |stage| {
            let others = engines(cluster).filter(|e| !Rc::ptr_eq(e, &source));
            let others = others.filter(move |e| e.server.borrow().stage == Some(stage));
            others.max_by_key(|e| e.reservation_count()).unwrap_or(&source)
        };
        let stages = [Stage::Decode, Stage::Prefill];
        let ends = match rng.random_range(0..3) {
            2 => &source,
            n => with_stage(stages[n]),
        };
        for _ in 0..rng.random_range(1..4) {
            compio::time::sleep(ms(rng.random_range(0..80))).await;
            start_again(cluster, ends, rng.random_range(0..3)).await;
            compio::time::sleep(ms(rng.random_range(0..400))).await;
        }
    };
    futures_util::join!(fill(cluster, &source, duration), restart);
}

/// Starts an engine again with its first stage: under its name, under another one, or after a crash.
async fn start_again(cluster: &Cluster, engine: &Rc<BackendServer>, how: u32) {
    if !engine.is_up() {
        return;
    }
    let index = cluster.runners.iter().position(|(runner, _)| Rc::ptr_eq(runner, engine));
    engine.server.borrow_mut().stage = index.and_then(|i| FIRST_STAGES[i]);
    match how {
        0 => engine.restart_as(VERSIONS[0]).await,
        1 => engine.replace_with(VERSIONS[0]).await,
        _ => engine.crash("the end of a life"),
    }
}

/// Stops gateways by SIGTERM at the same time; each starts again once it has ended.
async fn stop(cluster: &Cluster, gateways: &[Gateway]) {
    cluster.mark_stale(STOP_TIMEOUT);
    gateways.iter().for_each(|gateway| gateway.signal(Signal::TERM));
    let mut stopping: Vec<&Gateway> = gateways.iter().collect();
    let started_at = Instant::now();
    while started_at.elapsed() < STOP_TIMEOUT && !stopping.is_empty() {
        compio::time::sleep(ms(50)).await;
        stopping.retain(|gateway| !gateway.has_ended());
        gateways.iter().for_each(Gateway::restart_if_ended);
    }
}
