//! A whole deployment in one process: platform, backend servers, sidecars and entries, each a node.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Parser;
use compio::net::TcpListener;
use ebonyloft_core::time::Moment;
use ebonyloftd::entry::{self, Sockets};
use ebonyloftd::settings::{Cli, RoleCommand};
use ebonyloftd::sidecar;
use serde_json::{Value, json};

use crate::engine::{Engine, EngineSpec, SharedStats};
use crate::node::Node;
use crate::platform::{Platform, SharedSwitches, Vm};
use crate::relay::{self, RelaySwitch};
use crate::service::{self, ServiceSpec, SharedRuns};

/// Key that all processes of a site share.
pub const CLUSTER_KEY: &str = "only for stand-ins, not secret";
/// Token of the first operator.
pub const FIRST_TOKEN: &str = "first-operator-token";
/// Token of the operator in the site's document.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Token of the caller in the site's document.
pub const CALLER_TOKEN: &str = "caller-token";

/// What a site has.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// Entries.
    pub entries: usize,
    /// Engines that write.
    pub decode: usize,
    /// Engines that read.
    pub prefill: usize,
    /// Plain services.
    pub plain: usize,
    /// Availability zones.
    pub zones: usize,
    /// Policy of the entries.
    pub policy: String,
    /// How engines behave.
    pub engine: EngineSpec,
    /// Time of a plain call.
    pub call: Duration,
    /// Prompts up to this many tokens are read on the decode engine.
    pub short_prompt: u32,
    /// Weights of the measures: goodput, waste.
    pub weights: (f64, f64),
    /// Requests that may wait at a sidecar.
    pub queue: usize,
    /// Put a relay before the links of these nodes.
    pub relays: Vec<String>,
    /// Log filter; empty for none.
    pub log: String,
}

impl Default for SiteSpec {
    fn default() -> Self {
        SiteSpec {
            entries: 2,
            decode: 2,
            prefill: 1,
            plain: 1,
            zones: 2,
            policy: "default".to_owned(),
            engine: EngineSpec::default(),
            call: Duration::from_millis(15),
            short_prompt: 256,
            weights: (1.0, 1.0),
            queue: 200,
            relays: Vec::new(),
            log: String::new(),
        }
    }
}

type Make = Arc<dyn Fn() -> Node + Send + Sync>;

struct Place {
    node: Node,
    make: Make,
}

/// A running site.
pub struct Site {
    spec: SiteSpec,
    net: (u8, u8),
    places: BTreeMap<String, Place>,
    /// The platform's switches.
    pub switches: SharedSwitches,
    /// Counters of the engines.
    pub engines: BTreeMap<String, SharedStats>,
    /// Runs of the plain services.
    pub runs: SharedRuns,
    /// Switches of the relays.
    pub relays: BTreeMap<String, RelaySwitch>,
}

static NEXT_NET: AtomicU32 = AtomicU32::new(0);

impl Site {
    /// Starts all nodes.
    pub fn start(spec: SiteSpec) -> Site {
        let pid = std::process::id();
        // Networks of processes that run at the same time must differ.
        let count = NEXT_NET.fetch_add(1, Ordering::Relaxed);
        let net = (20 + (pid % 200) as u8, ((pid / 200 + count) % 250) as u8);
        let mut site = Site {
            spec,
            net,
            places: BTreeMap::new(),
            switches: SharedSwitches::default(),
            engines: BTreeMap::new(),
            runs: SharedRuns::default(),
            relays: BTreeMap::new(),
        };
        site.start_platform();
        for i in 0..site.spec.decode {
            site.start_engine(&format!("decode-{i}"), 20 + i as u8);
            site.start_sidecar(&format!("write-{i}"), "decode", 100 + i as u8, 20 + i as u8, i);
        }
        for i in 0..site.spec.prefill {
            site.start_engine(&format!("prefill-{i}"), 50 + i as u8);
            site.start_sidecar(&format!("read-{i}"), "prefill", 130 + i as u8, 50 + i as u8, i);
        }
        for i in 0..site.spec.plain {
            site.start_service(&format!("service-{i}"), 80 + i as u8);
            site.start_sidecar(&format!("gate-{i}"), "plain", 160 + i as u8, 80 + i as u8, i);
        }
        for i in 0..site.spec.entries {
            site.start_entry(&format!("entry-{i}"), 200 + i as u8, i);
        }
        site
    }

    fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, host)), port)
    }

    /// Address for callers of an entry.
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.addr(200 + i as u8, 8_000)
    }

    /// Addresses for callers of all entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..self.spec.entries).map(|i| self.entry(i)).collect()
    }

    /// Address for operators of an entry.
    pub fn admin(&self, i: usize) -> SocketAddr {
        self.addr(200 + i as u8, 8_001)
    }

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.addr(10, 8_500)
    }

    /// Address of an engine.
    pub fn engine(&self, i: usize) -> SocketAddr {
        self.addr(20 + i as u8, 9_000)
    }

    /// Names of all nodes.
    pub fn names(&self) -> Vec<String> {
        self.places.keys().cloned().collect()
    }

    fn put(&mut self, name: &str, make: Make) {
        let node = make();
        self.places.insert(name.to_owned(), Place { node, make });
    }

    fn start_platform(&mut self) {
        let (addr, switches) = (self.platform(), self.switches.clone());
        self.put(
            "platform",
            Arc::new(move || {
                let switches = switches.clone();
                Node::start("platform", move |_| async move {
                    Platform::new(switches).serve(listen(addr).await).await;
                })
            }),
        );
    }

    fn start_engine(&mut self, name: &str, host: u8) {
        let addr = self.addr(host, 9_000);
        let spec = EngineSpec { seed: u64::from(host), ..self.spec.engine };
        let stats = SharedStats::default();
        self.engines.insert(name.to_owned(), stats.clone());
        let node = name.to_owned();
        self.put(
            name,
            Arc::new(move || {
                let stats = stats.clone();
                stats.lock().expect("stats lock").running = 0;
                Node::start(&node, move |_| async move {
                    Engine::new(spec, stats).serve(listen(addr).await).await;
                })
            }),
        );
    }

    fn start_service(&mut self, name: &str, host: u8) {
        let addr = self.addr(host, 9_000);
        let (spec, runs) = (ServiceSpec { call: self.spec.call }, self.runs.clone());
        let node = name.to_owned();
        self.put(
            name,
            Arc::new(move || {
                let runs = runs.clone();
                Node::start(&node, move |_| async move {
                    service::serve(listen(addr).await, spec, runs).await;
                })
            }),
        );
    }

    /// Flags that every process gets.
    fn common(&self, name: &str, host: u8, i: usize) -> Vec<String> {
        let zone = format!("zone-{}", (b'a' + (i % self.spec.zones) as u8) as char);
        let mut flags = vec![
            format!("--name={name}"),
            format!("--zone={zone}"),
            format!("--peer-listen={}", self.addr(host, 7_000)),
            format!("--platform=http://{}", self.platform()),
            format!("--cluster-key={CLUSTER_KEY}"),
        ];
        if host != 200 {
            flags.push(format!("--seeds={}", self.addr(200, 7_000)));
        }
        flags
    }

    fn start_sidecar(&mut self, name: &str, kind: &str, host: u8, server: u8, i: usize) {
        let engine = self.spec.engine;
        let real = self.addr(host, 7_000);
        let relayed = self.spec.relays.iter().any(|r| r == name);
        let mut flags = vec!["ebonyloftd".to_owned(), "sidecar".to_owned()];
        // Behind a relay the process listens elsewhere, and the relay takes its address.
        flags.extend(self.common(name, host, i));
        let slots = if kind == "plain" { 64 } else { engine.slots };
        flags.extend([
            format!("--server=http://{}", self.addr(server, 9_000)),
            format!("--server-kind={kind}"),
            format!("--labels=job={kind}"),
            format!("--slots={slots}"),
            format!("--queue={}", self.spec.queue),
            format!("--token-ms={}", engine.token.as_secs_f64() * 1e3),
            format!("--call-ms={}", self.spec.call.as_secs_f64() * 1e3),
            format!("--prefill-rate={}", engine.prefill_rate),
            format!("--token-bytes={}", engine.token_bytes),
            format!("--link-rate={}", engine.link_rate),
        ]);
        let hidden = self.addr(host, 7_001);
        if relayed {
            let switch = RelaySwitch::default();
            self.relays.insert(name.to_owned(), switch.clone());
            self.put(
                &format!("relay-{name}"),
                Arc::new(move || {
                    let switch = switch.clone();
                    Node::start("relay", move |_| async move {
                        relay::serve(listen(real).await, hidden, switch).await;
                    })
                }),
            );
        }
        let listen_at = if relayed { hidden } else { real };
        let node = name.to_owned();
        self.note_vm(name, real);
        self.put(
            name,
            Arc::new(move || {
                let flags = flags.clone();
                Node::start(&node, move |stop| async move {
                    let cli = Cli::try_parse_from(flags).expect("flags");
                    let RoleCommand::Sidecar(settings) = cli.role else {
                        return;
                    };
                    assert!(settings.faults().is_empty(), "{:?}", settings.faults());
                    let listener = listen(listen_at).await;
                    sidecar::run(settings, listener, stop).await.expect("sidecar");
                })
            }),
        );
    }

    fn start_entry(&mut self, name: &str, host: u8, i: usize) {
        let engine = self.spec.engine;
        let mut flags = vec!["ebonyloftd".to_owned(), "entry".to_owned()];
        flags.extend(self.common(name, host, i));
        flags.extend([
            format!("--listen={}", self.entry(i)),
            format!("--admin-listen={}", self.admin(i)),
            format!("--policy={}", self.spec.policy),
            format!("--prefill-rate={}", engine.prefill_rate),
            format!("--token-bytes={}", engine.token_bytes),
            format!("--link-rate={}", engine.link_rate),
            format!("--first-token={FIRST_TOKEN}"),
        ]);
        let node = name.to_owned();
        self.note_vm(name, self.addr(host, 7_000));
        self.put(
            name,
            Arc::new(move || {
                let flags = flags.clone();
                Node::start(&node, move |stop| async move {
                    let cli = Cli::try_parse_from(flags).expect("flags");
                    let RoleCommand::Entry(settings) = cli.role else {
                        return;
                    };
                    assert!(settings.faults().is_empty(), "{:?}", settings.faults());
                    let sockets = Sockets {
                        callers: listen(settings.listen).await,
                        admin: listen(settings.admin_listen).await,
                        peers: listen(settings.common.peer_listen).await,
                    };
                    entry::run(settings, sockets, stop).await.expect("entry");
                })
            }),
        );
    }

    fn note_vm(&self, name: &str, addr: SocketAddr) {
        let mut s = self.switches.lock().expect("switches lock");
        s.vms.push(Vm {
            name: name.to_owned(),
            state: "live",
            since: wall(),
            addr,
            shown_at: None,
        });
    }

    /// Ends a node at once. The platform's list shows it after `lag`, or never.
    pub fn kill(&mut self, name: &str, lag: Option<Duration>) {
        let place = self.places.get_mut(name).expect("node");
        place.node.kill();
        let mut s = self.switches.lock().expect("switches lock");
        if let (Some(lag), Some(vm)) = (lag, s.vms.iter().rfind(|v| v.name == name).cloned()) {
            let shown_at = Some(Instant::now() + lag);
            s.vms.push(Vm { state: "gone", since: wall(), shown_at, ..vm });
        }
    }

    /// Starts a node again.
    pub fn restart(&mut self, name: &str) {
        let place = self.places.get_mut(name).expect("node");
        place.node.kill();
        place.node = (place.make)();
        let mut s = self.switches.lock().expect("switches lock");
        if let Some(vm) = s.vms.iter().rfind(|v| v.name == name).cloned() {
            s.vms.push(Vm { state: "live", since: wall(), shown_at: None, ..vm });
        }
    }

    /// Freezes a node.
    pub fn pause(&self, name: &str, time: Duration) {
        self.places.get(name).expect("node").node.pause(time);
    }

    /// Asks a node to stop gracefully.
    pub fn terminate(&mut self, name: &str) {
        self.places.get_mut(name).expect("node").node.terminate();
    }

    /// Has a node ended?
    pub fn ended(&self, name: &str) -> bool {
        self.places.get(name).expect("node").node.ended()
    }

    /// How often a subject ran at the plain services.
    pub fn runs_of(&self, subject: &str) -> u64 {
        self.runs.lock().expect("runs lock").get(subject).copied().unwrap_or(0)
    }

    /// The sidecar whose engine writes now; the first of several.
    pub fn writing(&self) -> Option<usize> {
        (0..self.spec.decode).find(|i| {
            let stats = &self.engines[&format!("decode-{i}")];
            stats.lock().expect("stats lock").running > 0
        })
    }

    /// Engine memory held now, over all engines.
    pub fn held(&self) -> u64 {
        self.engines.values().map(|s| s.lock().expect("stats lock").running).sum()
    }

    /// The site's document.
    pub fn document(&self) -> Value {
        document(self.spec.short_prompt, self.spec.weights)
    }

    /// Applies the document and waits until all entries are ready.
    pub async fn open(&self) {
        let client = cyper::Client::builder().no_proxy().build().expect("plain client");
        let form = json!({ "from": 0, "change": "first", "document": self.document() });
        let until = Instant::now() + Duration::from_secs(30);
        let mut applied = false;
        loop {
            if !applied {
                let url = format!("http://{}/admin/config", self.admin(0));
                let sent = async {
                    let req = client.post(&url).ok()?.bearer_auth(FIRST_TOKEN).ok()?;
                    let res = req.json(&form).ok()?.send().await.ok()?;
                    Some(res.status().as_u16())
                };
                applied = sent.await == Some(200);
            }
            if applied && self.ready(&client).await {
                return;
            }
            assert!(Instant::now() < until, "the site did not become ready");
            compio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn ready(&self, client: &cyper::Client) -> bool {
        let servers = self.spec.decode + self.spec.prefill + self.spec.plain;
        for i in 0..self.spec.entries {
            let sent = async {
                let url = format!("http://{}/ready", self.entry(i));
                let res = client.get(&url).ok()?.send().await.ok()?;
                Some(res.status().as_u16())
            };
            if sent.await != Some(200) {
                return false;
            }
            let status = admin_get(client, self.admin(i), "status").await.unwrap_or_default();
            let known = status["members"].as_array().map_or(0, Vec::len);
            if known < servers + self.spec.entries {
                return false;
            }
        }
        true
    }
}

/// Starts a site, opens it and runs `body` on it.
pub fn with_site<F, T>(spec: SiteSpec, body: F) -> T
where
    F: AsyncFnOnce(&mut Site) -> T,
{
    let mut site = Site::start(spec);
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        site.open().await;
        body(&mut site).await
    })
}

/// Waits until `done`; false when `limit` passes first.
pub async fn eventually(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    done()
}

/// Asks an entry's administration interface.
pub async fn admin_get(client: &cyper::Client, admin: SocketAddr, path: &str) -> Option<Value> {
    let url = format!("http://{admin}/admin/{path}");
    let res = client.get(&url).ok()?.bearer_auth(OPERATOR_TOKEN).ok()?.send().await.ok()?;
    res.json().await.ok()
}

/// The document of a site: one caller, one operator, both deployments' kinds of work.
pub fn document(short_prompt: u32, weights: (f64, f64)) -> Value {
    let digest = |t: &str| ebonyloft_core::ids::Digest::of(t.as_bytes()).to_string();
    let model = |prefill: Value| json!({ "model": { "decode": "write", "prefill": prefill, "short_prompt": short_prompt } });
    let gate = json!({ "plain": { "pool": "gate" } });
    json!({
        "pools": {
            "write": { "kind": "decode", "select": { "job": "decode" } },
            "read": { "kind": "prefill", "select": { "job": "prefill" } },
            "gate": { "kind": "plain", "select": { "job": "plain" } },
        },
        "routes": [
            { "name": "checks", "select": { "kind": ["badge-check", "permit-check"] }, "target": gate,
              "class": "urgent", "repeat": "once", "deadline_ms": 1500, "first_ms": 500, "token_ms": 500 },
            { "name": "renewals", "select": { "kind": "renewal" }, "target": gate,
              "class": "slow", "repeat": "once", "deadline_ms": 10000, "first_ms": 2000, "token_ms": 2000 },
            { "name": "lookups", "select": { "kind": ["queue-slot", "stall-map"] }, "target": model(Value::Null),
              "class": "urgent", "repeat": "idempotent", "deadline_ms": 2000, "first_ms": 350, "token_ms": 32 },
            { "name": "summaries", "select": {}, "target": model(json!("read")),
              "class": "slow", "repeat": "idempotent", "deadline_ms": 30000, "first_ms": 3000, "token_ms": 32 },
        ],
        "operators": { "ops": { "token": digest(OPERATOR_TOKEN), "rights": ["read", "write", "order"] } },
        "weights": { "goodput": weights.0, "waste": weights.1 },
        "accounts": { "desk": { "token": digest(CALLER_TOKEN), "labels": { "team": "desk" }, "bound": null } },
    })
}

fn wall() -> Moment {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment(since.as_micros() as u64)
}

/// Binds, waiting for the address to come free after a restart.
async fn listen(addr: SocketAddr) -> TcpListener {
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(e) if Instant::now() > until => panic!("cannot listen on {addr}: {e}"),
            Err(_) => compio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Shared counters of a service, for those that only read.
pub type Runs = Arc<Mutex<std::collections::HashMap<String, u64>>>;
