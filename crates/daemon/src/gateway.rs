//! The gateway, which forwards callers' requests to backend servers. It runs on an entry VM.
//!
//! It keeps no persistent state. Its view of the system comes from the platform's store and from
//! peer gateways. Decisions are made in `ebonyloft-router`; the names on the wire are defined in
//! `ebonyloft-platform`.

pub mod announcements;
pub mod answer;
pub mod body_memory;
pub mod call;
pub mod digest;
pub mod engine_life;
pub mod gossip;
pub mod ingress;
pub mod intake;
pub mod keys;
pub mod leased_record;
pub mod limits;
pub mod orders;
pub mod origins;
pub mod part_blame;
pub mod peers;
pub mod pool;
pub mod quarantine;
pub mod quota;
pub mod registration;
pub mod request_blame;
pub mod retries;
pub mod send;
pub mod shared;
pub mod shedding;
pub mod speeds;
pub mod state_sync;
pub mod store;
pub mod stream;
pub mod uploads;
pub mod watch;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, UdpSocket};
use ebonyloft_platform::settings;
use ebonyloft_router::node::Node;
use ebonyloft_router::shutdown::Shutdown;
use futures_channel::oneshot;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::digest::Digester;
use self::shared::Shared;
use crate::clock::Clock;
use crate::metrics::{Metrics, MetricsRegistry};
use crate::settings::MigrationSetting;
use crate::{http, logs};

/// Shortest time between the stop signal and the exit: the platform notices after two readiness
/// checks, one a second; the rest is a margin.
const MIN_SHUTDOWN: Duration = Duration::from_millis(3_000);
/// Interval between checks for open requests while stopping.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Interval between upkeep rounds.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Upkeep rounds between two reads of the settings file.
const RELOAD_ROUNDS: u64 = 8;

/// Options of a gateway process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the platform's settings file.
    pub file: PathBuf,
    /// Port of the metrics page.
    pub metrics_port: u16,
    /// Key of the keyed request digests; the same at all gateways.
    pub digest_key: String,
    /// Highest share of the admitted memory that goes to urgent levels while less urgent requests
    /// wait.
    pub urgent_share: f64,
    /// Whether accounts with quotas have shares of the engines.
    pub account_shares: bool,
    /// Whether stages are planned by the speeds of engines.
    pub plan_by_speed: bool,
    /// On which services runs are moved between engines.
    pub migration: MigrationSetting,
}

/// Runs until `stop` resolves and all requests have ended, those that are being read as well. `hup`
/// handles the signals that announce a changed settings file.
pub async fn run(
    node: Node,
    options: Options,
    stop: impl Future<Output = ()>,
    hup: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    let clock = Clock::default();
    let (metrics, registry) = Metrics::in_memory(&node.name);
    let rng = ChaCha8Rng::from_os_rng();
    let digester = Digester::new(options.digest_key.as_bytes());
    let shared = Shared::new(node, clock, rng, metrics, digester);
    shared.urgent_share.set(options.urgent_share);
    shared.account_shares.set(options.account_shares);
    shared.plan_by_speed.set(options.plan_by_speed);
    shared.migration_setting.set(options.migration);
    let node = shared.node();
    let (close, closing) = oneshot::channel();
    start_tasks(&shared, &node, &options, registry, closing.shared(), hup).await?;
    tracing::info!(name = %node.name, zone = %node.zone, version = env!("CARGO_PKG_VERSION"), "started");
    stop.await;
    let shutdown = Shutdown { stopped_at: shared.now() };
    shared.shutdown.set(Some(shutdown));
    let (open, connections) = (shared.open_requests.get(), shared.open_connections.get());
    tracing::info!(open, connections, "stopping");
    // The settings may be reloaded meanwhile.
    let has_time = || shared.now() < shutdown.ends_at(shared.node().bounds.grace);
    compio::time::sleep(MIN_SHUTDOWN).await;
    while shared.open_requests.get() > 0 && has_time() {
        compio::time::sleep(STOP_POLL).await;
    }
    // Callers were accepted until now, since other gateways may be stopping too. Idle connections
    // are closed first, the others after their answers.
    let _ = close.send(());
    compio::time::sleep(STOP_POLL).await;
    // A connection whose request is still being read, or whose answer is being written, closes after the
    // answer.
    while shared.open_connections.get() > 0 && has_time() {
        compio::time::sleep(STOP_POLL).await;
    }
    let (open, connections) = (shared.open_requests.get(), shared.open_connections.get());
    tracing::info!(open, connections, "stopped");
    Ok(())
}

async fn start_tasks(
    shared: &Rc<Shared>,
    node: &Node,
    options: &Options,
    registry: MetricsRegistry,
    closing: ingress::Closing,
    hup: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    let no_address = || io::Error::other("the settings have no address for callers");
    let callers = TcpListener::bind(node.callers.ok_or_else(no_address)?).await?;
    let peer_addr = SocketAddr::from((node.ip, node.peer_port));
    let peers = TcpListener::bind(peer_addr).await?;
    let socket = Rc::new(UdpSocket::bind(peer_addr).await?);
    if let Some(addr) = node.ready {
        let ready = TcpListener::bind(addr).await?;
        let me = shared.clone();
        spawn(http::serve(ready, move |req| readiness(me.clone(), req), never_closing()));
    }
    let page = TcpListener::bind((node.ip, options.metrics_port)).await?;
    spawn(http::serve(page, move |_| metrics_page(registry.clone()), never_closing()));
    spawn(ingress::serve(shared.clone(), callers, closing));
    let sink = Box::new(watch::PrefixRouter::new(shared));
    spawn(watch::follow(shared.clone(), watch::ALL_KEYS, sink));
    spawn(registration::keep_registered(shared.clone()));
    spawn(peers::serve(shared.clone(), peers));
    spawn(peers::send_load_reports(shared.clone(), socket.clone()));
    spawn(peers::send_zone_summaries(shared.clone(), socket.clone()));
    spawn(gossip::broadcast(shared.clone(), socket.clone()));
    spawn(origins::records::report(shared.clone()));
    spawn(origins::histories::keep(shared.clone()));
    spawn(origins::records::keep(shared.clone()));
    spawn(peers::send_messages(shared.clone(), socket.clone()));
    spawn(keys::keep_fresh(shared.clone()));
    spawn(peers::receive(shared.clone(), socket));
    spawn(quarantine::run(shared.clone()));
    spawn(orders::run(shared.clone()));
    spawn(upkeep(shared.clone(), options.file.clone()));
    spawn(hup);
    Ok(())
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

fn never_closing() -> Rc<Cell<bool>> {
    Rc::new(Cell::new(false))
}

async fn readiness(shared: Rc<Shared>, _req: Request<Incoming>) -> Response<http::Body> {
    let status = if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    http::response(status, "text/plain", http::full_body(""))
}

async fn metrics_page(registry: MetricsRegistry) -> Response<http::Body> {
    http::response(StatusCode::OK, "text/plain", http::full_body(registry.render()))
}

/// Periodic upkeep: settles the server registry, drops the state of servers that are gone, closes
/// idle connections and reloads the settings.
async fn upkeep(shared: Rc<Shared>, file: PathBuf) {
    let mut round = 0_u64;
    let mut logged = 0;
    loop {
        compio::time::sleep(UPKEEP_INTERVAL).await;
        round += 1;
        shared.update_role();
        // The clock is read only here. A gateway that learns the store's state from peers dates its
        // view by when it applies their message; compared with an earlier timestamp, a missing
        // registration would never count as gone.
        let now = shared.now();
        let trusted = shared.store_state.borrow().is_trusted(now);
        let gone = match trusted {
            true => shared.registry.borrow_mut().remove_missing(),
            false => shared.registry.borrow_mut().remove_overdue(now),
        };
        for server in gone {
            tracing::info!(server, trusted, "backend server is gone: it was not registered again");
        }
        shared.pool.expire(now);
        shared.metrics.count("gateway.stray_answers", shared.pool.take_stray_count());
        shared.load_reports.borrow_mut().expire(now);
        shared.peer_uses.borrow_mut().expire(now, shared.node().bounds.budget_window);
        shared.fair_shares.borrow_mut().expire(now);
        shared.zone_summaries.borrow_mut().expire(now);
        shared.fleet.borrow_mut().expire(now);
        shared.divergence.borrow_mut().expire(now);
        shared.back_offs.borrow_mut().expire(now);
        quota::expire(&shared);
        shared.measure_memory();
        let registry = shared.registry.borrow();
        shared.plain_servers.borrow_mut().retain(|id| registry.get(id).is_some());
        shared.engines.borrow_mut().retain(|id| registry.get(id).is_some());
        shared.migrations.borrow_mut().retain(|id| registry.get(id).is_some());
        shared.engine_speeds.borrow_mut().expire(now, |id| registry.get(id).is_some());
        shared.limits.borrow_mut().retain(|id| registry.get(id).is_some());
        drop(registry);
        speeds::refresh(&shared);
        if let Some(config) = shared.config() {
            let has_route = |name: &str| config.routes.iter().any(|r| r.name == name);
            shared.caller_deadlines.borrow_mut().retain(has_route);
            let has_service = |name: &str| config.service(name).is_some();
            shared.traffic_stats.borrow_mut().retain(has_route, has_service);
            shared.admission_queues.borrow_mut().retain(|name, _| has_service(name));
            shared.urgency.borrow_mut().retain(|name, _| has_service(name));
        }
        let dropped = logs::dropped_lines();
        if dropped > logged {
            tracing::warn!(lines = dropped - logged, "log lines dropped: too many in one second");
            logged = dropped;
        }
        shared.metrics.gauge("gateway.open", shared.open_requests.get() as u64);
        shared.metrics.gauge("gateway.list_age_ms", shared.snapshot_version().age);
        shared.metrics.gauge("gateway.waiting", shared.engines.borrow().waiting() as u64);
        if round.is_multiple_of(RELOAD_ROUNDS) {
            reload(&shared, &file);
        }
    }
}

/// Reloads the settings file; the current settings stay in force if it is invalid.
fn reload(shared: &Shared, file: &std::path::Path) {
    match settings::read(file) {
        Ok(node) if node == *shared.node() => {}
        Ok(node) => {
            tracing::info!(name = %node.name, zone = %node.zone, "settings reloaded");
            shared.store_state.borrow_mut().set_heartbeat(node.bounds.heartbeat);
            *shared.node.borrow_mut() = Rc::new(node);
        }
        Err(e) => {
            tracing::error!(error = %e, "cannot reload the settings; the old ones stay in force")
        }
    }
}
