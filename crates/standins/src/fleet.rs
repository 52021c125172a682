//! A deployment on the platform, in one process: the store, backend servers, gateways and callers.
//!
//! Each has an address of its own on the loopback network, so that ports are the same on all of
//! them, as on the platform. All tasks run on one thread; what went on is read from the stand-ins.

pub mod caller;
mod life;
pub mod peer;
pub mod runner;
mod slow;
pub mod store;

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_platform::simulation::{self, AccountSpec};
use ebonyloft_platform::store::CONFIG_KEY;
use ebonyloft_router::catalog::{
    Config, Engine, Kind, Limits, Route, Server, ServerId, Service, Split, Stage,
};
use ebonyloft_router::node::{Bounds, Excess, Node};
use ebonyloftd::gateway::{self, Options};
use futures_channel::oneshot;

use self::caller::Caller;
use self::peer::Peer;
use self::runner::{Runner, RunnerSpec};
use self::store::Store;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Name of the service of model engines.
pub const ENGINES: &str = "digest";
/// Name of the plain service.
pub const PLAIN: &str = "gate";
/// Path of summaries that may be resumed.
pub const SUMMARY: &str = "/summary/a";
/// Path of summaries that run once.
pub const ONCE_SUMMARY: &str = "/summary-once/a";
/// Path of checks that run once.
pub const CHECK: &str = "/check/a";
/// Path of look-ups that may run again.
pub const LOOKUP: &str = "/lookup/a";

/// Zone of what is started without one.
const ZONE: &str = "a";
const CALLERS_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
/// Path of checks that need no key, where there are client accounts.
pub const OPEN: &str = "/open/";
const PEER_PORT: u16 = 7_660;
const STORE_PORT: u16 = 8_142;
const RUNNER_PORT: u16 = 8_147;
const METRICS_PORT: u16 = 9_464;

/// What a deployment has.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Gateways.
    pub gateways: usize,
    /// Engines that read prompts.
    pub readers: usize,
    /// Engines that write answers.
    pub writers: usize,
    /// Plain backend servers.
    pub plain: usize,
    /// How engines and plain backend servers behave.
    pub runner: RunnerSpec,
    /// Client accounts; none where callers show no key.
    pub accounts: Option<Vec<AccountSpec>>,
    /// Within which a key that was taken away must stop running work.
    pub revoke: Option<Duration>,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let runner = RunnerSpec::default();
        FleetSpec {
            gateways: 2,
            readers: 1,
            writers: 2,
            plain: 2,
            runner,
            accounts: None,
            revoke: None,
        }
    }
}

/// A running gateway.
pub struct Gateway {
    /// Its address.
    pub ip: IpAddr,
    stop: Option<oneshot::Sender<()>>,
    done: oneshot::Receiver<()>,
}

/// A running deployment.
pub struct Fleet {
    /// The metadata store.
    pub store: Rc<Store>,
    /// Backend servers: readers, writers, plain ones.
    pub runners: Vec<Rc<Runner>>,
    /// Gateways.
    pub gateways: Vec<Gateway>,
    next_ip: u8,
    net: [u8; 2],
    revoke: Option<Duration>,
}

/// Runs a test's body on a deployment.
pub fn with_fleet<F: AsyncFnOnce(&mut Fleet)>(spec: FleetSpec, body: F) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut fleet = Fleet::start(&spec).await;
        body(&mut fleet).await;
    });
}

/// Waits until something holds.
pub async fn eventually(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + limit;
    while !holds() {
        if std::time::Instant::now() > end {
            return false;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    true
}

impl Fleet {
    /// Starts everything and waits until all gateways take callers.
    pub async fn start(spec: &FleetSpec) -> Fleet {
        let mut fleet = Fleet::without_gateways(spec).await;
        for _ in 0..spec.gateways {
            fleet.add_gateway();
        }
        for i in 0..spec.gateways {
            fleet.wait_ready(i).await;
        }
        fleet
    }

    /// Starts the store and backend servers.
    pub async fn without_gateways(spec: &FleetSpec) -> Fleet {
        // Tests run side by side as processes: each has a network of its own.
        let pid = std::process::id();
        let net = [1 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8];
        let store = Store::start(address(net, 1, STORE_PORT)).await;
        let revoke = spec.revoke;
        let mut fleet =
            Fleet { store, runners: Vec::new(), gateways: Vec::new(), next_ip: 2, net, revoke };
        match &spec.accounts {
            Some(accounts) => fleet.set_accounts(1, accounts),
            None => fleet.configure(&config(1, spec)),
        }
        for _ in 0..spec.readers {
            fleet.add_runner(Some(Stage::Prefill), &spec.runner).await;
        }
        for _ in 0..spec.writers {
            fleet.add_runner(Some(Stage::Decode), &spec.runner).await;
        }
        for _ in 0..spec.plain {
            fleet.add_runner(None, &spec.runner).await;
        }
        fleet
    }

    /// Starts and registers a backend server in the first zone.
    pub async fn add_runner(&mut self, stage: Option<Stage>, spec: &RunnerSpec) -> Rc<Runner> {
        self.add_runner_in(ZONE, stage, spec).await
    }

    /// Starts and registers a backend server.
    pub async fn add_runner_in(
        &mut self,
        zone: &str,
        stage: Option<Stage>,
        spec: &RunnerSpec,
    ) -> Rc<Runner> {
        let host = self.take_ip();
        let service = if stage.is_some() { ENGINES } else { PLAIN };
        let server = Server {
            id: ServerId::new(format!("i-{host}"), 0),
            service: service.to_owned(),
            addr: address(self.net, host, RUNNER_PORT),
            zone: zone.to_owned(),
            slots: spec.slots,
            draining: false,
            stage,
        };
        let runner = Runner::start(server, spec.clone()).await;
        runner.keep_registered(&self.store);
        self.store.register(&runner.server.borrow());
        self.runners.push(runner.clone());
        runner
    }

    /// Starts a gateway in the first zone; it may not take callers yet.
    pub fn add_gateway(&mut self) {
        self.add_gateway_in(ZONE);
    }

    /// Starts a gateway; it may not take callers yet.
    pub fn add_gateway_in(&mut self, zone: &str) {
        let host = self.take_ip();
        let node = self.node(host, zone);
        let (stop, stopped) = oneshot::channel();
        let (ended, done) = oneshot::channel();
        let ip = node.ip;
        let options = Options {
            file: "/nowhere".into(),
            metrics_port: METRICS_PORT,
            digest_key: "stand-ins".to_owned(),
        };
        compio::runtime::spawn(async move {
            let stop = async {
                let _ = stopped.await;
            };
            gateway::run(node, options, stop, std::future::pending()).await.expect("a gateway");
            let _ = ended.send(());
        })
        .detach();
        self.gateways.push(Gateway { ip, stop: Some(stop), done });
    }

    /// Starts and registers a gateway that only tells what it knows, with so many thousandths of a core.
    pub async fn add_peer(&mut self, power: u32) -> Rc<Peer> {
        let host = self.take_ip();
        let name = format!("peer-{host}");
        let peer = Peer::start(&name, address(self.net, host, PEER_PORT)).await;
        self.store.put(&format!("ebonyloft/gateways/{name}"), &peer.registration(power), 0);
        peer
    }

    /// Asks a gateway to stop, as a signal does.
    pub fn stop(&mut self, gateway: usize) {
        if let Some(stop) = self.gateways[gateway].stop.take() {
            let _ = stop.send(());
        }
    }

    /// Has a gateway ended by itself?
    pub fn ended(&mut self, gateway: usize) -> bool {
        matches!(self.gateways[gateway].done.try_recv(), Ok(Some(())))
    }

    /// A caller of one gateway, with connections of its own.
    pub fn caller(&self, gateway: usize) -> Caller {
        Caller::new((self.gateways[gateway].ip, CALLERS_PORT).into())
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: &Config) {
        self.store.put(CONFIG_KEY, &simulation::config(config), 0);
    }

    /// Puts a configuration of this version with these client accounts in force; `/open/` needs no key.
    pub fn set_accounts(&self, version: u64, accounts: &[AccountSpec]) {
        let mut config = config(version, &FleetSpec::default());
        let check = config.routes.iter().find(|r| r.name == "check").expect("a route").clone();
        let (name, prefix) = ("open".to_owned(), OPEN.to_owned());
        config.routes.push(Route { name, prefix, public: true, ..check });
        self.store.put(CONFIG_KEY, &simulation::config_with_accounts(&config, accounts), 0);
    }

    /// The status of a gateway's readiness check.
    pub async fn readiness(&self, gateway: usize) -> u16 {
        let caller = Caller::new((self.gateways[gateway].ip, READY_PORT).into());
        caller.get("/readiness").await.map_or(0, |a| a.status)
    }

    /// A gateway's metrics page.
    pub async fn metrics(&self, gateway: usize) -> String {
        let caller = Caller::new((self.gateways[gateway].ip, METRICS_PORT).into());
        let page = caller.get("/metrics").await.expect("a metrics page");
        String::from_utf8_lossy(&page.body).into_owned()
    }

    /// Waits until a gateway takes callers.
    pub async fn wait_ready(&self, gateway: usize) {
        for _ in 0..1_000 {
            if self.readiness(gateway).await == 200 {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("gateway {gateway} does not become ready");
    }

    /// How often an attempt ran, at all backend servers together.
    pub fn runs(&self, attempt: &str) -> usize {
        self.runners.iter().map(|r| r.runs(attempt)).sum()
    }

    /// Arrivals beyond the first of each attempt, at all backend servers together; the first prompt that is
    /// read is none.
    pub fn extra_arrivals(&self) -> usize {
        let mut all: HashMap<String, usize> = HashMap::new();
        let mut read: HashMap<String, usize> = HashMap::new();
        for runner in &self.runners {
            let seen = runner.seen.borrow();
            for (attempt, count) in seen.arrivals.iter().chain(&seen.lost_prompts) {
                *all.entry(attempt.clone()).or_default() += count;
            }
            for (attempt, count) in &seen.prompts {
                *read.entry(attempt.clone()).or_default() += count;
            }
        }
        let again: usize = read.values().map(|count| count.saturating_sub(1)).sum();
        again + all.values().map(|count| count.saturating_sub(1)).sum::<usize>()
    }

    fn take_ip(&mut self) -> u8 {
        self.next_ip += 1;
        self.next_ip - 1
    }

    fn node(&self, host: u8, zone: &str) -> Node {
        let ip = address(self.net, host, 0).ip();
        Node {
            name: format!("front-{zone}-{host}"),
            zone: zone.to_owned(),
            ip,
            power: 190,
            link: 10,
            callers: Some((ip, CALLERS_PORT).into()),
            ready: Some((ip, READY_PORT).into()),
            peer_port: PEER_PORT,
            store: address(self.net, 1, STORE_PORT),
            bounds: Bounds {
                budget_ratio: 0.2,
                budget_extra: 54.0,
                budget_window: Duration::from_secs(10),
                grace: Duration::from_secs(8),
                order_gap: Duration::from_secs(3),
                contact: Duration::from_secs(3),
                drain: Duration::from_secs(2),
                apply: Duration::from_secs(2),
                revoke: self.revoke,
                excess: Excess::default(),
            },
        }
    }
}

fn address(net: [u8; 2], host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, net[0], net[1], host), port).into()
}

/// A configuration with so many routes more.
pub fn large_config(version: u64, routes: usize) -> Config {
    let mut config = config(version, &FleetSpec::default());
    let route = config.routes[0].clone();
    config.routes.extend((0..routes).map(|n| {
        let (name, prefix) = (format!("more-{n}"), format!("/more-{n}/"));
        Route { name, prefix, ..route.clone() }
    }));
    config
}

/// The configuration of a deployment: four kinds of request, two services.
pub fn config(version: u64, spec: &FleetSpec) -> Config {
    let stream = |name: &str, prefix: &str, attempts, resumable| Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(14),
        goal: Duration::from_millis(900),
        priority: 1,
        split: vec![Split { service: ENGINES.to_owned(), weight: 1 }],
        attempts,
        resumable,
        public: false,
    };
    let call = |name: &str, prefix: &str, kind, attempts| Route {
        kind,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(150),
        split: vec![Split { service: PLAIN.to_owned(), weight: 1 }],
        ..stream(name, prefix, attempts, false)
    };
    let engine = Engine {
        slots: spec.runner.slots,
        tokens: spec.runner.tokens,
        stride: 12,
        handle_life: Duration::from_millis(500),
        switch: Duration::from_secs(6),
        hold: Duration::from_secs(2),
    };
    Config {
        version,
        routes: vec![
            stream("summary", "/summary/", 2, true),
            stream("summary-once", "/summary-once/", 1, false),
            call("check", "/check/", Kind::Once, 1),
            call("lookup", "/lookup/", Kind::Idempotent, 2),
        ],
        services: vec![
            Service { name: ENGINES.to_owned(), connections: 200, engine: Some(engine) },
            Service { name: PLAIN.to_owned(), connections: 100, engine: None },
        ],
        limits: Limits::default(),
        accounts: None,
    }
}
