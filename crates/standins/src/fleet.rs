//! A deployment on the platform in one process: the store, backend servers, gateways and callers.
//!
//! Each has its own loopback address, so that all of them use the same ports, as on the platform. All
//! tasks run on one thread. Tests read what happened from the stand-ins.

pub mod backend;
pub mod caller;
pub mod duplicates;
mod listener;
pub mod ownership;
pub mod peer;
mod slow;
pub mod store;
pub mod unframed;

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_platform::simulation::{self, AccountSpec};
use ebonyloft_platform::store::CONFIG_KEY;
use ebonyloft_router::catalog::{
    Config, Engine, Kind, Limits, Route, Server, ServerId, Service, SoftwareVersion, Split, Stage,
};
use ebonyloft_router::node::{Bounds, DEFAULT_HEARTBEAT, Excess, Node as NodeSettings};
use ebonyloft_router::urgency::share::URGENT_SHARE;
use ebonyloftd::gateway::{self, Options};
use ebonyloftd::settings::MigrationSetting;
use futures_channel::oneshot;

use self::backend::{BackendServer, BackendSpec};
use self::caller::Caller;
use self::duplicates::Duplicator;
use self::peer::Peer;
use self::store::Store;
use self::unframed::UnframedRelay;
use crate::node::{self, Node, Stop};

/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// Service of the model engines.
pub const ENGINE_SERVICE: &str = "digest";
/// The plain service.
pub const PLAIN_SERVICE: &str = "gate";
/// Path of summaries that are resumable.
pub const SUMMARY: &str = "/summary/a";
/// Path of summaries that run at most once.
pub const ONCE_SUMMARY: &str = "/summary-once/a";
/// Path of checks that run at most once.
pub const CHECK: &str = "/check/a";
/// Path of look-ups, which are idempotent.
pub const LOOKUP: &str = "/lookup/a";

/// Path prefixes of all routes.
const PREFIXES: &[&str] = &["/summary", "/check", "/lookup"];
/// Zone of processes that are started without one.
const ZONE: &str = "a";
const CALLERS_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
/// Path prefix of checks that need no API key in a deployment with client accounts.
pub const OPEN_PREFIX: &str = "/open/";
/// Port on which gateways serve their peers.
pub const PEER_PORT: u16 = 7_660;
const STORE_PORT: u16 = 8_142;
const RUNNER_PORT: u16 = 8_147;
/// Port of backend servers that stand behind a relay.
const RELAYED_PORT: u16 = 8_148;
const METRICS_PORT: u16 = 9_464;

/// Size and settings of a deployment.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
    /// Number of plain backend servers.
    pub plain_servers: usize,
    /// Capacity and timing of all backend servers.
    pub runner: BackendSpec,
    /// Client accounts; without them callers need no API key.
    pub accounts: Option<Vec<AccountSpec>>,
    /// Time within which running work of a revoked API key must stop.
    pub revoke_bound: Option<Duration>,
    /// Whether gateways run in threads of their own, so that they can be killed.
    pub threads: bool,
    /// Part of a core that each gateway gets, if it runs in a thread of its own; `None` limits nothing.
    pub cpu_share: Option<f64>,
    /// Migration setting of all gateways; with `Off` the engines can't move runs either.
    pub migration: MigrationSetting,
    /// Whether a [`Duplicator`] stands in front of each backend server.
    pub duplicators: bool,
    /// Whether answers of backend servers have neither a length nor chunks.
    pub unframed: bool,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let runner = BackendSpec::default();
        FleetSpec {
            gateways: 2,
            prefill_engines: 1,
            decode_engines: 2,
            plain_servers: 2,
            runner,
            accounts: None,
            revoke_bound: None,
            threads: false,
            cpu_share: None,
            migration: MigrationSetting::Off,
            duplicators: false,
            unframed: false,
        }
    }
}

/// A running gateway.
pub struct Gateway {
    /// Its IP address.
    pub ip: IpAddr,
    host: u8,
    zone: String,
    process: Process,
}

/// How a gateway runs.
enum Process {
    /// In tasks of the deployment's thread; its servers of peers remain after its end.
    Tasks { stop: Option<oneshot::Sender<()>>, done: oneshot::Receiver<()> },
    /// In a thread of its own, which can be killed.
    Thread(Node),
}

/// A running deployment.
pub struct Fleet {
    /// The metadata store.
    pub store: Rc<Store>,
    /// Backend servers: prefill engines, decode engines, then plain ones.
    pub backends: Vec<Rc<BackendServer>>,
    /// Relays in front of the backend servers, in the same order, if the deployment has them.
    pub duplicators: Vec<Rc<Duplicator>>,
    /// Gateways in the order of their start.
    pub gateways: Vec<Gateway>,
    /// Relays in front of the backend servers, if their answers are unframed.
    pub relays: Vec<UnframedRelay>,
    unframed: bool,
    next_free_host: u8,
    net: [u8; 2],
    revoke: Option<Duration>,
    threads: bool,
    cpu_share: Option<f64>,
    migration: MigrationSetting,
    has_duplicators: bool,
}

/// Starts a deployment and runs a test's body on it.
pub fn with_fleet<F: AsyncFnOnce(&mut Fleet)>(spec: FleetSpec, body: F) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut fleet = Fleet::start(&spec).await;
        body(&mut fleet).await;
    });
}

impl Fleet {
    /// Starts all processes and waits until all gateways are ready.
    pub async fn start(spec: &FleetSpec) -> Fleet {
        let mut fleet = Fleet::start_without_gateways(spec).await;
        for _ in 0..spec.gateways {
            fleet.add_gateway();
        }
        for i in 0..spec.gateways {
            fleet.wait_ready(i).await;
        }
        fleet
    }

    /// Starts the store and the backend servers only.
    pub async fn start_without_gateways(spec: &FleetSpec) -> Fleet {
        // Tests run in parallel processes; each process uses its own loopback network.
        let pid = std::process::id();
        let net = [1 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8];
        let store = Store::start(address(net, 1, STORE_PORT)).await;
        let revoke = spec.revoke_bound;
        let mut fleet = Fleet {
            store,
            backends: Vec::new(),
            duplicators: Vec::new(),
            gateways: Vec::new(),
            relays: Vec::new(),
            unframed: spec.unframed,
            next_free_host: 2,
            net,
            revoke,
            threads: spec.threads,
            cpu_share: spec.cpu_share,
            migration: spec.migration,
            has_duplicators: spec.duplicators,
        };
        match &spec.accounts {
            Some(accounts) => fleet.set_accounts(1, accounts),
            None => fleet.configure(&config(1, spec)),
        }
        for _ in 0..spec.prefill_engines {
            fleet.add_backend(Some(Stage::Prefill), &spec.runner).await;
        }
        for _ in 0..spec.decode_engines {
            fleet.add_backend(Some(Stage::Decode), &spec.runner).await;
        }
        for _ in 0..spec.plain_servers {
            fleet.add_backend(None, &spec.runner).await;
        }
        fleet
    }

    /// Starts and registers a backend server in the default zone.
    pub async fn add_backend(
        &mut self,
        stage: Option<Stage>,
        spec: &BackendSpec,
    ) -> Rc<BackendServer> {
        self.add_backend_in(ZONE, stage, spec).await
    }

    /// Starts and registers a backend server.
    pub async fn add_backend_in(
        &mut self,
        zone: &str,
        stage: Option<Stage>,
        spec: &BackendSpec,
    ) -> Rc<BackendServer> {
        let host = self.next_host();
        let service = if stage.is_some() { ENGINE_SERVICE } else { PLAIN_SERVICE };
        let port = if self.has_duplicators { RELAYED_PORT } else { RUNNER_PORT };
        let server = Server {
            id: ServerId::new(format!("i-{host}"), 0),
            service: service.to_owned(),
            addr: address(self.net, host, port),
            zone: zone.to_owned(),
            slots: spec.slots,
            draining: false,
            stage,
            version: SoftwareVersion::new(&*spec.version),
        };
        let backend = BackendServer::start(server, spec.clone()).await;
        if self.has_duplicators {
            let front = address(self.net, host, RUNNER_PORT);
            let target = address(self.net, host, RELAYED_PORT);
            self.duplicators.push(Duplicator::start(front, target).await);
            backend.server.borrow_mut().addr = front;
        }
        backend.register_after_crash(&self.store);
        if self.unframed {
            let addr = address(self.net, self.next_host(), RUNNER_PORT);
            let target = std::mem::replace(&mut backend.server.borrow_mut().addr, addr);
            self.relays.push(UnframedRelay::start(addr, target, PREFIXES).await);
        }
        self.store.register(&backend.server.borrow());
        self.backends.push(backend.clone());
        backend
    }

    /// Starts a gateway in the default zone without waiting until it is ready.
    pub fn add_gateway(&mut self) {
        self.add_gateway_in(ZONE);
    }

    /// Starts a gateway without waiting until it is ready.
    pub fn add_gateway_in(&mut self, zone: &str) {
        let host = self.next_host();
        self.start_gateway(host, zone, None);
    }

    /// Starts a gateway in place of the one with the index `replaced`, or as one more.
    fn start_gateway(&mut self, host: u8, zone: &str, replaced: Option<usize>) {
        let mut node = self.gateway_node(host, zone);
        node.first_start = replaced.is_none();
        let ip = node.ip;
        let name = node.name.clone();
        let options = Options {
            file: "/nowhere".into(),
            metrics_port: METRICS_PORT,
            digest_key: "stand-ins".to_owned(),
            urgent_share: URGENT_SHARE,
            account_shares: true,
            plan_by_speed: false,
            migration: self.migration,
        };
        let cpu_share = self.cpu_share.filter(|_| self.threads);
        let run = move |stop| async move {
            if let Some(share) = cpu_share {
                compio::runtime::spawn(node::limit_cpu(share)).detach();
            }
            gateway::run(node, options, stop, std::future::pending()).await.expect("a gateway");
        };
        let process = match self.threads {
            true => Process::Thread(Node::start(&name, run)),
            false => {
                let (stop, stop_requested) = oneshot::channel();
                let (finished, done) = oneshot::channel();
                let stopped = async {
                    let _ = stop_requested.await;
                };
                compio::runtime::spawn(async move {
                    run(Box::pin(stopped) as Stop).await;
                    let _ = finished.send(());
                })
                .detach();
                Process::Tasks { stop: Some(stop), done }
            }
        };
        let gateway = Gateway { ip, host, zone: zone.to_owned(), process };
        match replaced {
            Some(index) => self.gateways[index] = gateway,
            None => self.gateways.push(gateway),
        }
    }

    /// Starts and registers a [`Peer`] with `power` thousandths of a core.
    pub async fn add_peer(&mut self, power: u32) -> Rc<Peer> {
        let host = self.next_host();
        let name = format!("peer-{host}");
        let peer = Peer::start(&name, address(self.net, host, PEER_PORT)).await;
        self.store.put(&format!("ebonyloft/gateways/{name}"), &peer.registration(power), 0);
        peer
    }

    /// Starts gateways again that were killed, and waits until they are ready.
    pub async fn restart_gateways(&mut self, killed: &[usize]) {
        for gateway in killed {
            let Gateway { host, zone, .. } = &self.gateways[*gateway];
            let (host, zone) = (*host, zone.clone());
            self.start_gateway(host, &zone, Some(*gateway));
        }
        for gateway in killed {
            self.wait_ready(*gateway).await;
        }
    }

    /// Asks a gateway to stop, as SIGTERM does.
    pub fn stop(&mut self, gateway: usize) {
        match &mut self.gateways[gateway].process {
            Process::Thread(node) => node.terminate(),
            Process::Tasks { stop, .. } => {
                if let Some(stop) = stop.take() {
                    let _ = stop.send(());
                }
            }
        }
    }

    /// Returns whether a gateway has stopped.
    pub fn has_stopped(&mut self, gateway: usize) -> bool {
        match &mut self.gateways[gateway].process {
            Process::Thread(node) => node.has_ended(),
            Process::Tasks { done, .. } => matches!(done.try_recv(), Ok(Some(()))),
        }
    }

    /// Kills a gateway that runs in a thread: its connections close at once.
    pub fn kill(&mut self, gateway: usize) {
        match &mut self.gateways[gateway].process {
            Process::Thread(node) => node.kill(),
            Process::Tasks { .. } => panic!("gateway {gateway} does not run in a thread"),
        }
    }

    /// Stops a gateway that runs in a thread for a while, as SIGSTOP does: what it is sent stays in its sockets.
    pub fn pause(&self, gateway: usize, time: Duration) {
        match &self.gateways[gateway].process {
            Process::Thread(node) => node.pause(time),
            Process::Tasks { .. } => panic!("gateway {gateway} does not run in a thread"),
        }
    }

    /// Returns a caller of one gateway, with its own connections.
    pub fn caller(&self, gateway: usize) -> Caller {
        Caller::new((self.gateways[gateway].ip, CALLERS_PORT).into())
    }

    /// Writes a configuration into the store.
    pub fn configure(&self, config: &Config) {
        self.store.put(CONFIG_KEY, &simulation::config(config), 0);
    }

    /// Writes a configuration with these client accounts; paths under `/open/` need no API key.
    pub fn set_accounts(&self, version: u64, accounts: &[AccountSpec]) {
        let mut config = config(version, &FleetSpec::default());
        let check = config.routes.iter().find(|r| r.name == "check").expect("a route").clone();
        let (name, prefix) = ("open".to_owned(), OPEN_PREFIX.to_owned());
        config.routes.push(Route { name, prefix, public: true, ..check });
        self.store.put(CONFIG_KEY, &simulation::config_with_accounts(&config, accounts), 0);
    }

    /// Returns the status of a gateway's readiness check, 0 if the request fails.
    pub async fn readiness(&self, gateway: usize) -> u16 {
        let caller = Caller::new((self.gateways[gateway].ip, READY_PORT).into());
        caller.get("/readiness").await.map_or(0, |a| a.status)
    }

    /// Returns a gateway's metrics page.
    pub async fn metrics(&self, gateway: usize) -> String {
        let caller = Caller::new((self.gateways[gateway].ip, METRICS_PORT).into());
        let page = caller.get("/metrics").await.expect("a metrics page");
        String::from_utf8_lossy(&page.body).into_owned()
    }

    /// Waits until a gateway is ready; panics after 1,000 checks, about 10 s.
    pub async fn wait_ready(&self, gateway: usize) {
        for _ in 0..1_000 {
            if self.readiness(gateway).await == 200 {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("gateway {gateway} did not become ready");
    }

    /// Returns how often an attempt ran, over all backend servers.
    pub fn run_count(&self, attempt: &str) -> usize {
        self.backends.iter().map(|r| r.run_count(attempt)).sum()
    }

    /// Returns the number of retries: arrivals beyond the first of each attempt, over all backend servers.
    /// The first prompt computed for an attempt does not count.
    pub fn retry_count(&self) -> usize {
        let mut arrivals: HashMap<String, usize> = HashMap::new();
        let mut computed: HashMap<String, usize> = HashMap::new();
        for backend in &self.backends {
            let seen = backend.observed.borrow();
            for (attempt, count) in seen.arrivals.iter().chain(&seen.lost_prefills) {
                *arrivals.entry(attempt.clone()).or_default() += count;
            }
            for (attempt, count) in &seen.prefills {
                *computed.entry(attempt.clone()).or_default() += count;
            }
        }
        let repeated: usize = computed.values().map(|count| count.saturating_sub(1)).sum();
        repeated + arrivals.values().map(|count| count.saturating_sub(1)).sum::<usize>()
    }

    fn next_host(&mut self) -> u8 {
        self.next_free_host += 1;
        self.next_free_host - 1
    }

    fn gateway_node(&self, host: u8, zone: &str) -> NodeSettings {
        let ip = address(self.net, host, 0).ip();
        NodeSettings {
            name: format!("front-{zone}-{host}"),
            zone: zone.to_owned(),
            ip,
            power: 190,
            memory: 110,
            link: 10,
            callers: Some((ip, CALLERS_PORT).into()),
            ready: Some((ip, READY_PORT).into()),
            peer_port: PEER_PORT,
            store: address(self.net, 1, STORE_PORT),
            first_start: true,
            bounds: Bounds {
                budget_ratio: 0.2,
                budget_extra: 54.0,
                budget_window: Duration::from_secs(10),
                grace: Duration::from_secs(8),
                order_gap: Duration::from_secs(3),
                contact: Duration::from_secs(3),
                drain: Duration::from_secs(2),
                apply: Duration::from_secs(2),
                heartbeat: DEFAULT_HEARTBEAT,
                revoke: self.revoke,
                excess: Excess::default(),
            },
        }
    }
}

fn address(net: [u8; 2], host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, net[0], net[1], host), port).into()
}

/// Returns the configuration of a deployment with this many more routes.
pub fn large_config(version: u64, routes: usize) -> Config {
    let mut config = config(version, &FleetSpec::default());
    let route = config.routes[0].clone();
    config.routes.extend((0..routes).map(|n| {
        let (name, prefix) = (format!("more-{n}"), format!("/more-{n}/"));
        Route { name, prefix, ..route.clone() }
    }));
    config
}

/// Returns the configuration of a deployment: four kinds of request, two services.
pub fn config(version: u64, spec: &FleetSpec) -> Config {
    let stream = |name: &str, prefix: &str, attempts, resumable| Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(14),
        goal: Duration::from_millis(900),
        priority: 1,
        split: vec![Split { service: ENGINE_SERVICE.to_owned(), weight: 1 }],
        attempts,
        resumable,
        public: false,
    };
    let plain_call = |name: &str, prefix: &str, kind, attempts| Route {
        kind,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(150),
        split: vec![Split { service: PLAIN_SERVICE.to_owned(), weight: 1 }],
        ..stream(name, prefix, attempts, false)
    };
    let engine = Engine {
        slots: spec.runner.slots,
        tokens: spec.runner.memory_tokens,
        stride: 12,
        handle_life: Duration::from_millis(500),
        switch: Duration::from_secs(6),
        hold: Duration::from_secs(2),
        moves: spec.migration != MigrationSetting::Off,
    };
    Config {
        version,
        routes: vec![
            stream("summary", "/summary/", 2, true),
            stream("summary-once", "/summary-once/", 1, false),
            plain_call("check", "/check/", Kind::Once, 1),
            plain_call("lookup", "/lookup/", Kind::Idempotent, 2),
        ],
        services: vec![
            Service { name: ENGINE_SERVICE.to_owned(), connections: 200, engine: Some(engine) },
            Service { name: PLAIN_SERVICE.to_owned(), connections: 100, engine: None },
        ],
        limits: Limits::default(),
        accounts: None,
    }
}
