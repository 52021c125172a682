//! The tested system: a store and backend servers in this process, gateways as child processes, and
//! relays on the network paths between them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use ebonyloft_core::handle_audit::HandleAudit;
use ebonyloft_platform::servers;
use ebonyloft_platform::simulation::{self, AccountSpec};
use ebonyloft_platform::store::CONFIG_KEY;
use ebonyloft_router::catalog::{Server, ServerId, SoftwareVersion, Stage};
use ebonyloft_standins::fleet::backend::{self, BackendServer, BackendSpec};
use ebonyloft_standins::fleet::caller::Caller;
use ebonyloft_standins::fleet::duplicates::Duplicator;
use ebonyloft_standins::fleet::peer::Peer;
use ebonyloft_standins::fleet::store::{self, Store};
use ebonyloft_standins::fleet::{
    CHECK, ENGINE_SERVICE, FleetSpec, ONCE_SUMMARY, PLAIN_SERVICE, SUMMARY, config,
};
use ebonyloft_standins::relay::{self, RelaySwitch};
use ebonyloftd::settings::MigrationSetting;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};

use crate::callers::{Expectations, send_requests};
use crate::faults::inject_faults;
use crate::moves;

/// Time after the last fault within which every gateway must serve again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after a fault that outdates server lists until all gateways are up to date again.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Most engines of one stage.
const ENGINES_MAX: usize = 9;
/// Tokens of summaries: in the prompt, and the most in the answer.
pub const SUMMARY_TOKENS: (u64, u64) = (3_000, 2_040);

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    /// How long faults are injected.
    pub faults: Duration,
    pub gateways: usize,
    /// Kinds of faults to draw from: numbers of the arms in `faults::inject_fault`. Each list is
    /// fixed, so that a seed plays the same faults after new kinds were added.
    pub kinds: &'static [u32],
}

/// Faults of gateways, the store, network paths and servers. Used by the regression seeds.
pub const BASIC_KINDS: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/// These, and servers that restart under their name or have an invalid registration.
pub const REGISTRATION_KINDS: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];
/// These, and servers that drain while every second gateway is cut off from the store.
pub const GENERAL_KINDS: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13];
/// Servers that drain while every second gateway is cut off from the store, with the faults that
/// leave those gateways another way to learn of it.
pub const DRAINING_KINDS: &[u32] = &[0, 1, 3, 6, 8, 10, 11, 12, 13, 13, 13];

/// Requests that crash servers, and servers that announce a drain or a pause in their answers, with
/// the faults that leave all gateways a way to learn of it.
pub const RESPONSE_KINDS: &[u32] = &[3, 6, 8, 10, 14, 14, 15, 15, 16];
/// Requests that crash servers while gateways are killed and stopped and the store is unavailable.
pub const CRASH_KINDS: &[u32] = &[0, 1, 3, 4, 6, 8, 10, 11, 14, 14, 14];
/// Servers that announce rate limits, with faults of gateways, of the store and of network paths.
pub const RATE_LIMIT_KINDS: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 17, 17, 17, 17];

/// Keys that are revoked and quotas that are exceeded, with faults of gateways, of the store and of
/// network paths.
pub const ACCOUNT_KINDS: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 18, 18, 18, 19, 19];

/// Engines that are replaced by ones of other versions, and gateways that are killed all at once,
/// with faults of gateways, of the store and of network paths.
pub const VERSION_KINDS: &[u32] = &[0, 1, 2, 3, 4, 6, 8, 9, 10, 20, 20, 20, 20, 21];
/// Servers that answer twice, with faults of gateways, of the store, of network paths and of servers.
pub const DUPLICATE_KINDS: &[u32] =
    &[0, 1, 2, 3, 4, 6, 8, 9, 10, 11, 12, 15, 16, 22, 22, 22, 22, 22, 22, 22];
/// Engines that end and start again at the same address, and gateways that lose power all at once, with other
/// faults of gateways, of the store, of network paths and of servers.
pub const ENDING_KINDS: &[u32] = &[0, 4, 6, 11, 21, 21, 23, 23, 23, 23, 23, 23, 23];
/// These, and servers that answer twice, prefill engines above all.
pub const FOREIGN_PROMPT_KINDS: &[u32] =
    &[0, 4, 6, 11, 21, 21, 22, 22, 23, 23, 23, 23, 24, 24, 24, 24, 24, 24];
/// Runs that are moved, stage orders and engines that start again, with second answers and with gateways that
/// are stopped and killed, one by one and all at once.
pub const MOVE_KINDS: &[u32] = &[
    0, 3, 4, 6, 8, 10, 16, 21, 25, 25, 25, 25, 25, 26, 26, 26, 26, 27, 27, 28, 28, 28, 29, 29, 30,
    31, 31, 31, 31, 31,
];
/// A store that comes back from an older copy, and most callers at one gateway, beside gateways that are killed,
/// stopped and suspended, one by one and all at once, and other faults of the store and of network paths.
pub const STORE_COPY_KINDS: &[u32] =
    &[0, 0, 1, 1, 2, 3, 4, 5, 6, 8, 10, 13, 13, 21, 32, 32, 32, 32, 32, 33, 33, 33];
/// Watches that are cut while servers leave without an announcement, and servers that send bytes without an end,
/// with the faults that leave all gateways a way to learn of it, and a few of the store.
pub const REMOVAL_KINDS: &[u32] =
    &[0, 0, 1, 1, 3, 3, 4, 6, 6, 8, 8, 10, 10, 34, 34, 34, 34, 34, 34, 34, 34, 35, 35, 35, 35, 35];
/// Fraction of the callers that come to the preferred gateway.
const PREFERENCE: f64 = 0.9;
/// Versions that engines are replaced by.
pub const VERSIONS: [&str; 5] = ["v1", "v2", "v3", "v4", "v5"];

/// Key of an account without a quota.
pub const UNLIMITED_KEY: &str = "steady";
/// Key of an account with a quota.
pub const QUOTA_KEY: &str = "bounded";
/// Tokens that one call to a plain service counts.
pub const TOKENS_PER_CALL: u64 = 200;
/// Quota of that account: tokens per second, and burst.
pub const QUOTA: (u64, u64) = (4_000, 4_000);
/// Time after its revocation by which no gateway may accept a key.
pub const REVOKE_BOUND: Duration = Duration::from_millis(3_000);

/// A gateway process, which can be restarted under the same settings.
pub struct Gateway {
    ip: Ipv4Addr,
    child: RefCell<Child>,
    file: PathBuf,
    log: Option<Log>,
}

/// The log of a gateway; all its lives append to it.
struct Log {
    path: PathBuf,
    /// Length that earlier runs left.
    start: usize,
}

/// All processes, stand-ins and counters of a run.
pub struct Cluster {
    pub plan: Plan,
    pub store: Rc<Store>,
    /// On the path of all gateways to the store.
    pub store_relay: RelaySwitch,
    /// On the path of every second gateway, in front of `store_relay`.
    pub second_relay: RelaySwitch,
    /// Until when a gateway may use an outdated server list, since it was stopped or the store
    /// could not be reached by any gateway.
    pub stale_until: Cell<Instant>,
    /// Drained servers for which the checks saw no late requests.
    pub drains_checked: Cell<u32>,
    /// Removals without an announcement that were checked.
    pub removals_checked: Cell<u32>,
    /// Names of servers whose removal is being checked.
    pub checked_servers: RefCell<HashSet<String>>,
    /// Request contents that crash servers, so far.
    pub crash_contents: Cell<u32>,
    /// Keys in force that a fault will revoke.
    pub revocable_keys: RefCell<BTreeSet<String>>,
    /// Is a fault exceeding the quota now? Only one may at a time.
    pub flooding: Cell<bool>,
    /// Checks of revoked keys and of quotas that passed.
    pub account_checks: Cell<u32>,
    /// Names of servers that announce a rate limit now.
    pub limited_servers: RefCell<HashSet<String>>,
    /// The gateway that most callers come to, if there is one.
    pub preferred_gateway: Cell<Option<usize>>,
    pub runners: Vec<(Rc<BackendServer>, RelaySwitch)>,
    /// Relays between the runners and their network paths that send answers twice, in the order of the
    /// runners; none unless the plan needs them.
    pub duplicators: Vec<Rc<Duplicator>>,
    pub gateways: Vec<Gateway>,
    /// Reports memory in use at engines, as one more gateway; none unless the plan needs it.
    pub peer: Option<Rc<Peer>>,
    /// Tokens of summaries: in the prompt, and the most in the answer.
    pub summary_tokens: Cell<(u64, u64)>,
    pub expectations: RefCell<Expectations>,
    pub config_version: Cell<u64>,
    /// Callers send requests while this is true.
    pub callers_running: Cell<bool>,
}

impl Plan {
    /// Does the configuration have accounts, so that callers need keys?
    pub fn needs_keys(&self) -> bool {
        self.kinds.contains(&18)
    }

    /// Do servers answer twice?
    pub fn has_duplicates(&self) -> bool {
        [22, 24, 31].iter().any(|kind| self.kinds.contains(kind))
    }

    /// Do engines end and start again at the same address?
    pub fn has_ending_engines(&self) -> bool {
        self.kinds.contains(&23)
    }

    /// Are runs moved, and do engines carry out stage orders?
    pub fn has_moves(&self) -> bool {
        self.kinds.contains(&25)
    }

    /// Stages of the backend servers; more engines where they end, for more gateways.
    fn stages(&self) -> Vec<Option<Stage>> {
        let (prefill, decode) = (Some(Stage::Prefill), Some(Stage::Decode));
        if self.has_moves() {
            return moves::FIRST_STAGES.to_vec();
        }
        if self.has_ending_engines() {
            let engines = (2 + self.gateways / 2).min(ENGINES_MAX);
            let stages = [vec![prefill; engines], vec![decode; engines], vec![None]];
            return stages.concat();
        }
        let mut stages = vec![prefill, decode, decode, None, None];
        if self.has_versions() {
            stages.extend([decode; 4]);
        }
        stages
    }

    /// Callers that send their requests one after the other, at each gateway.
    pub fn callers(&self) -> usize {
        if self.has_ending_engines() || self.has_moves() { 4 } else { 2 }
    }

    /// Folder of the gateways' logs. Second answers are looked for in the logs too.
    fn log_folder(&self) -> Option<PathBuf> {
        let folder = std::env::var_os("EBONYLOFT_SOAK_LOGS").map(PathBuf::from);
        folder.or_else(|| self.has_duplicates().then(std::env::temp_dir))
    }

    /// Are engines of several versions side by side, and do callers take up streams that break off?
    pub fn has_versions(&self) -> bool {
        self.kinds.contains(&20)
    }

    /// Does the store come back from older copies?
    pub fn has_store_copies(&self) -> bool {
        self.kinds.contains(&32)
    }
}

/// A configuration as an operator writes it, with the given revocable keys.
fn configuration(version: u64, plan: Plan, keys: &BTreeSet<String>) -> Vec<u8> {
    let migration = if plan.has_moves() { MigrationSetting::Auto } else { MigrationSetting::Off };
    let mut config = config(version, &FleetSpec { migration, ..FleetSpec::default() });
    if plan.has_moves() {
        moves::adapt_config(&mut config);
    }
    if !plan.needs_keys() {
        return simulation::config(&config);
    }
    let account = |name: &str, keys: Vec<String>, quota| AccountSpec {
        name: name.to_owned(),
        keys,
        quota,
        plain: TOKENS_PER_CALL,
        ..AccountSpec::default()
    };
    let accounts = [
        account("steady", vec![UNLIMITED_KEY.to_owned()], None),
        account("bounded", vec![QUOTA_KEY.to_owned()], Some(QUOTA)),
        account("short", keys.iter().cloned().collect(), None),
    ];
    simulation::config_with_accounts(&config, &accounts)
}

/// What happened in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Second answers that came while another answer was due.
    pub second_answers: usize,
    /// Runs that went on from a copy of their memory.
    pub moved: usize,
    /// Stage orders that reached an engine.
    pub orders: usize,
    /// Removals without an announcement that were checked.
    pub removals: u32,
}

/// Runs one plan. Failures name the seed. Returns the number of second answers that came while another
/// answer was due.
pub fn run_plan(plan: Plan) -> usize {
    run_counted(plan).second_answers
}

/// Runs one plan and counts what happened. Failures name the seed.
pub fn run_counted(plan: Plan) -> Counts {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let cluster = Rc::new(Cluster::start(plan).await);
        cluster.wait_ready().await;
        if plan.has_moves() {
            moves::wait_for_order(&cluster).await;
        }
        let callers: Vec<_> = (0..plan.gateways * plan.callers())
            .map(|n| compio::runtime::spawn(send_requests(cluster.clone(), n)))
            .collect();
        if plan.has_moves() {
            moves::wait_for_move(&cluster).await;
        }
        inject_faults(&cluster).await;
        cluster.check_recovery().await;
        cluster.callers_running.set(false);
        for caller in callers {
            caller.await.expect("a caller's task");
        }
        cluster.check_idle().await;
        cluster.kill_gateways();
        cluster.check_logs();
        let second_answers = cluster.expectations.borrow().count_second_answers(&cluster);
        let removals = cluster.removals_checked.get();
        Counts { second_answers, removals, ..moves::count(&cluster) }
    })
}

impl Cluster {
    async fn start(plan: Plan) -> Cluster {
        let pid = std::process::id();
        let net = [128 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8];
        let ip = |host: u8| Ipv4Addr::new(127, net[0], net[1], host);
        let store = Store::start((ip(1), 8_142).into()).await;
        store.put(CONFIG_KEY, &configuration(1, plan, &BTreeSet::new()), 0);
        let store_relay = start_relay((ip(2), 8_142).into(), (ip(1), 8_142).into()).await;
        let second_relay = start_relay((ip(3), 8_142).into(), (ip(2), 8_142).into()).await;
        let (mut runners, mut duplicators) = (Vec::new(), Vec::new());
        for (i, stage) in plan.stages().into_iter().enumerate() {
            let host = 10 + i as u8;
            let server = Server {
                id: ServerId::new(format!("i-{host}"), 0),
                service: if stage.is_some() { ENGINE_SERVICE } else { PLAIN_SERVICE }.to_owned(),
                addr: (ip(host), 8_147).into(),
                zone: "a".to_owned(),
                slots: 12,
                draining: false,
                stage,
                // The engines that are added for several versions come in pairs.
                version: match plan.has_versions() {
                    true => SoftwareVersion::new(VERSIONS[i.saturating_sub(3) / 2]),
                    false => SoftwareVersion::new(VERSIONS[0]),
                },
            };
            let spec = if plan.has_moves() { moves::engine_spec() } else { BackendSpec::default() };
            let runner = BackendServer::start(server, spec).await;
            if plan.has_moves() && stage.is_some() {
                runner.carry_out_orders(moves::CHANGE_TIME);
            }
            let front: SocketAddr = (ip(host + 20), 8_147).into();
            let mut target: SocketAddr = (ip(host), 8_147).into();
            if plan.has_duplicates() {
                let relay: SocketAddr = (ip(host + 40), 8_147).into();
                duplicators.push(Duplicator::start(relay, target).await);
                target = relay;
            }
            let switch = start_relay(front, target).await;
            runner.server.borrow_mut().addr = front;
            runner.register_after_crash(&store);
            store.register(&runner.server.borrow());
            runners.push((runner, switch));
        }
        let logs = plan.log_folder();
        let start =
            |n: usize| Gateway::start(ip(100 + n as u8), ip(2 + n as u8 % 2), logs.as_deref());
        let gateways: Vec<Gateway> = (0..plan.gateways).map(start).collect();
        let mut peer = None;
        if plan.has_moves() {
            let addresses = gateways.iter().map(|gateway| gateway.ip.into()).collect();
            peer = Some(moves::start_peer(ip(4), addresses).await);
        }
        Cluster {
            plan,
            store,
            store_relay,
            second_relay,
            stale_until: Cell::new(Instant::now()),
            drains_checked: Cell::default(),
            removals_checked: Cell::default(),
            checked_servers: RefCell::default(),
            crash_contents: Cell::default(),
            revocable_keys: RefCell::default(),
            flooding: Cell::default(),
            account_checks: Cell::default(),
            limited_servers: RefCell::default(),
            preferred_gateway: Cell::default(),
            runners,
            duplicators,
            gateways,
            peer,
            summary_tokens: Cell::new(SUMMARY_TOKENS),
            expectations: RefCell::default(),
            config_version: Cell::new(1),
            callers_running: Cell::new(true),
        }
    }

    /// Stores a configuration whose version is higher by `steps`.
    pub fn configure(&self, steps: u64) {
        self.config_version.set(self.config_version.get() + steps);
        let text =
            configuration(self.config_version.get(), self.plan, &self.revocable_keys.borrow());
        self.store.put(CONFIG_KEY, &text, 0);
    }

    /// The gateway that the next request comes to, if most of them come to one.
    pub fn draw_preferred(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        self.preferred_gateway.get().filter(|_| rng.random_bool(PREFERENCE))
    }

    /// The store comes back from a copy, and the operator and the servers write again what is true now.
    pub fn restore_store(&self) {
        self.mark_stale(Duration::ZERO);
        self.store.restore_copy();
        self.configure(0);
        for (runner, _) in self.runners.iter().filter(|(runner, _)| runner.is_up()) {
            self.store.register(&runner.server.borrow());
        }
    }

    /// Registrations of servers that have ended expire, as far as the copy has brought them back.
    pub fn expire_registrations(&self) {
        let current: HashSet<String> =
            self.runners.iter().map(|(r, _)| r.server.borrow().id.name.clone()).collect();
        for key in self.store.keys(servers::PREFIX) {
            if !current.contains(servers::server_name(&key)) {
                self.store.remove(&key);
            }
        }
    }

    /// A caller of a gateway whose requests no quota limits.
    pub fn caller(&self, gateway: usize) -> Caller {
        let caller = Caller::new(self.address(gateway));
        if self.plan.needs_keys() { caller.with_key(UNLIMITED_KEY) } else { caller }
    }

    /// Address on which a gateway serves callers.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        (self.gateways[gateway].ip, 8_144).into()
    }

    /// How often an attempt ran, at all backend servers.
    pub fn runs(&self, attempt: &str) -> usize {
        self.runners.iter().map(|(r, _)| r.run_count(attempt)).sum()
    }

    /// Allows outdated server lists from now until the end of a fault and the settle time after it.
    pub fn mark_stale(&self, duration: Duration) {
        let until = Instant::now() + duration + SETTLE_TIME;
        self.stale_until.set(until.max(self.stale_until.get()));
    }

    /// Is a backend server available for a request? Requests that crash servers can leave no server
    /// of one kind for seconds, or only ones that fail all requests or asked to be left alone, and no
    /// gateway knows an incarnation that started while the store was away.
    pub fn is_servable(&self, path: &str) -> bool {
        let stage = (path == SUMMARY || path == ONCE_SUMMARY).then_some(Stage::Decode);
        let up = |r: &BackendServer| r.is_serving() && r.server.borrow().stage == stage;
        self.crash_contents.get() == 0
            || self.stale_until.get() < Instant::now() && self.runners.iter().any(|(r, _)| up(r))
    }

    async fn wait_ready(&self) {
        for gateway in &self.gateways {
            let caller = Caller::new((gateway.ip, 8_140).into());
            let end = Instant::now() + RECOVERY_TIMEOUT;
            while caller.get("/readiness").await.map_or(0, |a| a.status) != 200 {
                assert!(Instant::now() < end, "seed {}: a gateway is not ready", self.plan.seed);
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Checks that every gateway serves both kinds of request once the faults have ended.
    async fn check_recovery(&self) {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        for gateway in 0..self.gateways.len() {
            for (n, path) in [CHECK, SUMMARY].into_iter().enumerate() {
                let mut tries = 0;
                loop {
                    tries += 1;
                    let caller = self.caller(gateway);
                    let attempt = format!("back-{gateway}-{n}-{tries}");
                    let result = match n {
                        0 => caller.call(path, &attempt).await,
                        _ => caller.summary(path, &attempt).await,
                    };
                    if result.as_ref().is_ok_and(|a| a.status == 200 && a.complete) {
                        break;
                    }
                    let seed = self.plan.seed;
                    let body = result.map(|a| String::from_utf8_lossy(&a.body).into_owned());
                    assert!(
                        Instant::now() < end,
                        "seed {seed}: gateway {gateway} does not serve {path}: {body:?}"
                    );
                    compio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Checks that without callers no reservation or run remains, and that the promises of all
    /// answers were kept. A backend server behind a silent path can't notice that its caller
    /// disconnected: it stops only at the deadline of the request.
    async fn check_idle(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        let remaining = || {
            self.runners
                .iter()
                .map(|(r, _)| r.reservation_count() + r.running() as usize)
                .sum::<usize>()
        };
        while remaining() > 0 {
            assert!(
                Instant::now() < end,
                "seed {}: {} reservations and runs remain without callers",
                self.plan.seed,
                remaining()
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        self.expectations.borrow().check(self);
    }

    /// Checks that no gateway named a handle or a reservation of another request. Of engines that started again under
    /// their names only the owners tell, which they record themselves.
    fn check_logs(&self) {
        let mut audit = HandleAudit::default();
        let logs: Vec<&Log> = self.gateways.iter().filter_map(|g| g.log.as_ref()).collect();
        for log in &logs {
            let bytes = std::fs::read(&log.path).expect("the log of a gateway");
            let text = String::from_utf8_lossy(&bytes[log.start..]);
            text.lines().for_each(|line| audit.add_text(line));
        }
        let named = audit.report().named;
        let reused = self.runners.iter().flat_map(|(r, _)| r.reused_names());
        reused.for_each(|name| audit.exclude(&name));
        let (seed, report) = (self.plan.seed, audit.report());
        println!("seed {seed}: {report:?}");
        assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
        assert!(logs.is_empty() || named > 0, "seed {seed}: no run in the logs");
        if std::env::var_os("EBONYLOFT_SOAK_LOGS").is_none() {
            logs.iter().for_each(|log| std::fs::remove_file(&log.path).expect("its removal"));
        }
    }

    fn kill_gateways(&self) {
        for gateway in &self.gateways {
            gateway.kill();
        }
    }
}

impl Drop for Cluster {
    /// Ends the gateway processes also when a run has failed.
    fn drop(&mut self) {
        self.kill_gateways();
    }
}

impl Gateway {
    fn start(ip: Ipv4Addr, store: Ipv4Addr, logs: Option<&Path>) -> Gateway {
        let file = std::env::temp_dir().join(format!("ebonyloft-soak-{ip}.toml"));
        let text = format!(
            "node_name = \"front-{ip}\"\nzone = \"a\"\nip_address = \"{ip}\"\nport_range = [7660, 7675]\n\
             [listen]\nfront = \"{ip}:8144\"\nready = \"{ip}:8140\"\n\
             [platform]\naddress = \"{store}:8142\"\n\
             [bounds]\nstrict_revoke = true\nrevoke_ms = {}\n",
            REVOKE_BOUND.as_millis()
        );
        std::fs::write(&file, text).expect("a settings file");
        let log = logs.map(|folder| Log::open(folder.join(format!("ebonyloft-soak-{ip}.log"))));
        Gateway { ip, child: RefCell::new(spawn(&file, log.as_ref())), file, log }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child.borrow());
        // Fails if the process has just ended.
        let _ = kill_process(pid, signal);
    }

    /// Starts the process again if it has ended.
    pub fn restart_if_ended(&self) {
        let mut child = self.child.borrow_mut();
        if child.try_wait().is_ok_and(|ended| ended.is_some()) {
            *child = spawn(&self.file, self.log.as_ref());
        }
    }

    /// Has the process ended?
    pub fn has_ended(&self) -> bool {
        self.child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_some())
    }

    fn kill(&self) {
        self.signal(Signal::KILL);
        let _ = self.child.borrow_mut().wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn spawn(file: &Path, log: Option<&Log>) -> Child {
    let (level, output) = match log {
        Some(log) => ("info", Stdio::from(log.append())),
        None => ("warn", Stdio::null()),
    };
    Command::new(env!("CARGO_BIN_EXE_ebonyloftd"))
        .arg("gateway")
        .arg("--file")
        .arg(file)
        .args(["--log", level])
        .stdout(output)
        .spawn()
        .expect("a gateway process")
}

impl Log {
    fn open(path: PathBuf) -> Log {
        let start = std::fs::metadata(&path).map_or(0, |known| known.len() as usize);
        Log { path, start }
    }

    fn append(&self) -> File {
        File::options().append(true).create(true).open(&self.path).expect("a log file")
    }
}

/// Starts a relay that listens at `front` and forwards to `target`.
async fn start_relay(front: SocketAddr, target: SocketAddr) -> RelaySwitch {
    let listener = TcpListener::bind(front).await.expect("a free address");
    let switch = RelaySwitch::default();
    compio::runtime::spawn(relay::serve(listener, target, switch.clone())).detach();
    switch
}

/// Faults of the store that fault kind 4 draws from.
pub const STORE_FAULTS: [store::Fault; 3] =
    [store::Fault::Busy, store::Fault::Silent, store::Fault::Lost];
/// Faults of backend servers that fault kinds 8 and 9 draw from.
pub const RUNNER_FAULTS: [backend::Fault; 6] = [
    backend::Fault::Errors,
    backend::Fault::Hangs,
    backend::Fault::Loses,
    backend::Fault::Sheds,
    backend::Fault::Changes,
    backend::Fault::Breaks,
];
