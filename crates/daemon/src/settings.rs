//! Settings, from flags and environment variables; all faults are listed at once.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use ebonyloft_core::config::Labels;

/// Shortest cluster key, in bytes.
pub const KEY_MIN: usize = 16;

/// A router for separate prefill and decode pools.
#[derive(Clone, Debug, Parser)]
#[command(name = "ebonyloftd", version)]
pub struct Cli {
    /// What this process does.
    #[command(subcommand)]
    pub role: RoleCommand,
}

/// What a process does.
#[derive(Clone, Debug, Subcommand)]
pub enum RoleCommand {
    /// Takes callers' and operators' requests on an entry VM
    Entry(EntrySettings),
    /// Stands beside one backend server and admits its work
    Sidecar(SidecarSettings),
}

/// Settings of every process.
#[derive(Args, Clone, Debug)]
pub struct Common {
    /// Name of this process, unique in the system
    #[arg(long, env = "EBONYLOFT_NAME")]
    pub name: String,
    /// Availability zone of this VM
    #[arg(long, env = "EBONYLOFT_ZONE")]
    pub zone: String,
    /// Address of links and datagrams of other processes, by IP
    #[arg(long, env = "EBONYLOFT_PEER_LISTEN")]
    pub peer_listen: SocketAddr,
    /// Base URL of the platform's key-value service
    #[arg(long, env = "EBONYLOFT_PLATFORM")]
    pub platform: String,
    /// Peers to ask at start beside the platform's list, comma-separated
    #[arg(long, env = "EBONYLOFT_SEEDS", value_delimiter = ',')]
    pub seeds: Vec<SocketAddr>,
    /// Key that all processes of the system share; from the environment only in practice
    #[arg(long, env = "EBONYLOFT_CLUSTER_KEY", hide_env_values = true)]
    pub cluster_key: String,
    /// Labels of this process, name=value, comma-separated
    #[arg(long, env = "EBONYLOFT_LABELS", value_delimiter = ',')]
    pub labels: Vec<String>,
    /// StatsD server for metrics
    #[arg(long, env = "EBONYLOFT_STATSD")]
    pub statsd: Option<SocketAddr>,
    /// Log filter
    #[arg(long, env = "EBONYLOFT_LOG", default_value = "info")]
    pub log: String,
    /// Longest time a graceful stop may take, in seconds
    #[arg(long, env = "EBONYLOFT_DRAIN_SECS", default_value_t = 120)]
    pub drain_secs: u64,
    /// Check the settings and stop
    #[arg(long)]
    pub check: bool,
}

/// Settings of an entry.
#[derive(Args, Clone, Debug)]
pub struct EntrySettings {
    /// Settings of every process.
    #[command(flatten)]
    pub common: Common,
    /// Address for callers
    #[arg(long, env = "EBONYLOFT_LISTEN")]
    pub listen: SocketAddr,
    /// Address for operators
    #[arg(long, env = "EBONYLOFT_ADMIN_LISTEN")]
    pub admin_listen: SocketAddr,
    /// Largest request body, in bytes
    #[arg(long, env = "EBONYLOFT_BODY_LIMIT", default_value_t = 1 << 20)]
    pub body_limit: usize,
    /// Policy that chooses backend servers
    #[arg(long, env = "EBONYLOFT_POLICY", value_enum, default_value_t = PolicyName::Default)]
    pub policy: PolicyName,
    /// Prompt tokens a prefill runner computes a second
    #[arg(long, env = "EBONYLOFT_PREFILL_RATE", default_value_t = 20_000.0)]
    pub prefill_rate: f64,
    /// KV cache bytes a token
    #[arg(long, env = "EBONYLOFT_TOKEN_BYTES", default_value_t = 131_072)]
    pub token_bytes: u64,
    /// Bytes a second that a runner's link carries
    #[arg(long, env = "EBONYLOFT_LINK_RATE", default_value_t = 10e9)]
    pub link_rate: f64,
    /// Operator token that is valid while no configuration is in force, to apply the first one
    #[arg(long, env = "EBONYLOFT_FIRST_TOKEN", hide_env_values = true)]
    pub first_token: Option<String>,
}

/// How backend servers are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum PolicyName {
    /// Decode slot first, prefill just in time, cached heads
    Default,
    /// Baseline: any server
    Random,
    /// Baseline: one after the other
    RoundRobin,
    /// Baseline: least loaded by the last report
    LeastLoaded,
}

/// What stands beside a sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ServerKind {
    /// Model engine that writes answers
    Decode,
    /// Model engine that reads prompts
    Prefill,
    /// Plain service
    Plain,
}

/// Settings of a sidecar.
#[derive(Args, Clone, Debug)]
pub struct SidecarSettings {
    /// Settings of every process.
    #[command(flatten)]
    pub common: Common,
    /// Base URL of the backend server beside this process
    #[arg(long, env = "EBONYLOFT_SERVER")]
    pub server: String,
    /// What the backend server does
    #[arg(long, env = "EBONYLOFT_SERVER_KIND", value_enum)]
    pub server_kind: ServerKind,
    /// Requests that the backend server holds at once
    #[arg(long, env = "EBONYLOFT_SLOTS", default_value_t = 20)]
    pub slots: u32,
    /// Requests that may wait for a slot
    #[arg(long, env = "EBONYLOFT_QUEUE", default_value_t = 200)]
    pub queue: usize,
    /// Time of an output token, in milliseconds
    #[arg(long, env = "EBONYLOFT_TOKEN_MS", default_value_t = 20.0)]
    pub token_ms: f64,
    /// Time of a plain call, in milliseconds
    #[arg(long, env = "EBONYLOFT_CALL_MS", default_value_t = 20.0)]
    pub call_ms: f64,
    /// Prompt tokens computed a second
    #[arg(long, env = "EBONYLOFT_PREFILL_RATE", default_value_t = 20_000.0)]
    pub prefill_rate: f64,
    /// KV cache bytes a token
    #[arg(long, env = "EBONYLOFT_TOKEN_BYTES", default_value_t = 131_072)]
    pub token_bytes: u64,
    /// Bytes a second that the runner's link carries
    #[arg(long, env = "EBONYLOFT_LINK_RATE", default_value_t = 10e9)]
    pub link_rate: f64,
    /// The backend server refuses orders with an old fencing number by itself
    #[arg(long, env = "EBONYLOFT_FENCING")]
    pub fencing: bool,
}

/// A fault in a setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The flag.
    pub flag: &'static str,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.flag, self.reason)
    }
}

impl Common {
    /// Labels as a map, the zone among them.
    pub fn label_map(&self) -> Labels {
        let pairs = self.labels.iter().filter_map(|l| l.split_once('='));
        let mut map: Labels = pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        map.insert("zone".to_owned(), self.zone.clone());
        map
    }

    /// The longest time of a graceful stop.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_secs(self.drain_secs)
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        let mut add = |flag, reason: &str| {
            faults.push(Fault {
                flag,
                reason: reason.to_owned(),
            })
        };
        if self.name.is_empty() || self.name.len() > 64 {
            add("name", "must have 1 to 64 characters");
        }
        if self.zone.is_empty() {
            add("zone", "must not be empty");
        }
        if self.peer_listen.ip().is_unspecified() {
            add(
                "peer-listen",
                "must be an address that peers can dial, not the unspecified one",
            );
        }
        if !is_url(&self.platform) {
            add("platform", "must be an http:// URL");
        }
        if self.cluster_key.len() < KEY_MIN {
            add("cluster-key", "must have at least 16 characters");
        }
        if self.labels.iter().any(|l| !l.contains('=')) {
            add("labels", "each label must be name=value");
        }
        if self.drain_secs == 0 {
            add("drain-secs", "must be at least 1");
        }
    }
}

fn is_url(text: &str) -> bool {
    text.parse::<http::Uri>()
        .is_ok_and(|u| u.scheme_str() == Some("http") && u.host().is_some())
}

fn check_positive(flag: &'static str, value: f64, faults: &mut Vec<Fault>) {
    if !(value.is_finite() && value > 0.0) {
        faults.push(Fault {
            flag,
            reason: "must be a number above 0".to_owned(),
        });
    }
}

impl EntrySettings {
    /// All faults.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.common.check(&mut faults);
        if self.body_limit < 1_024 || self.body_limit > 3 << 20 {
            let reason = "must lie from 1024 to 3145728".to_owned();
            faults.push(Fault {
                flag: "body-limit",
                reason,
            });
        }
        check_positive("prefill-rate", self.prefill_rate, &mut faults);
        check_positive("link-rate", self.link_rate, &mut faults);
        faults
    }
}

impl SidecarSettings {
    /// All faults.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.common.check(&mut faults);
        if !is_url(&self.server) {
            faults.push(Fault {
                flag: "server",
                reason: "must be an http:// URL".to_owned(),
            });
        }
        if self.slots == 0 || self.slots > 4_096 {
            let reason = "must lie from 1 to 4096".to_owned();
            faults.push(Fault {
                flag: "slots",
                reason,
            });
        }
        check_positive("token-ms", self.token_ms, &mut faults);
        check_positive("call-ms", self.call_ms, &mut faults);
        check_positive("prefill-rate", self.prefill_rate, &mut faults);
        check_positive("link-rate", self.link_rate, &mut faults);
        faults
    }
}
