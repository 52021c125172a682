//! Data model of the operator's configuration and of registered backend servers, independent of the
//! formats in which they arrive.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::accounts::Accounts;
use crate::divergence::{mix, stable_hash};

/// The operator's configuration: routes, services, limits and client accounts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Grows with every change, not necessarily by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Client accounts; `None` when callers need no API key.
    #[serde(default)]
    pub accounts: Option<Accounts>,
}

/// Maps requests of one host and path prefix to services, with the rules for timeouts and retries.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether and how requests may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Latency goal: time within which the answer, or its first event, counts as in time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub goal: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests, with their weights.
    pub split: Vec<Split>,
    /// Highest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether a broken stream may continue on another backend server after its last event.
    pub resumable: bool,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Whether a request may be repeated, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each caller attempt.
    Once,
    /// An event stream; runs at most once unless the route is resumable.
    Stream,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name given by the operator.
    pub name: String,
    /// Connections that one backend server accepts from all gateways together.
    pub connections: u32,
    /// Engine parameters; set when the service's backend servers are model engines.
    pub engine: Option<Engine>,
}

/// Parameters of a service's model engines.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests that one engine processes at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub tokens: u64,
    /// Output tokens per event.
    pub stride: u32,
    /// How long a processed prompt can be fetched from a prefill engine.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub handle_life: Duration,
    /// How long an engine takes to change its stage.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub switch: Duration,
    /// Longest time for which an engine holds a memory reservation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
    /// Whether an engine can move a run with its memory to another engine.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub moves: bool,
}

/// Limits on what callers may send.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Longest time for receiving a request head.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub head_time: Duration,
    /// Longest time that a connection may be idle.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
}

impl Default for Limits {
    /// Limits of a gateway that has not received a configuration yet.
    fn default() -> Self {
        Limits {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}

/// Identifies one incarnation of a backend server. State that belongs to an incarnation (load,
/// speed factors, reservations, handles, orders) is keyed by it, so that it never applies to the
/// next one.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct ServerId {
    /// Name of the registration; a later incarnation may reuse it.
    pub name: String,
    /// Start of this incarnation in Unix milliseconds; zero when the registration does not state
    /// it.
    pub born: u64,
}

impl ServerId {
    /// Returns the id of the incarnation of `name` that started at `born`.
    pub fn new(name: impl Into<String>, born: u64) -> Self {
        ServerId { name: name.into(), born }
    }

    /// Returns a 64-bit hash of the id.
    pub fn number(&self) -> u64 {
        mix(stable_hash(&self.name) ^ self.born)
    }

    /// Returns a 32-bit hash of the id, which keeps gossip messages short.
    pub fn short_hash(&self) -> u32 {
        (self.number() >> 32) as u32
    }
}

impl From<(String, u64)> for ServerId {
    fn from((name, born): (String, u64)) -> Self {
        ServerId { name, born }
    }
}

impl From<ServerId> for (String, u64) {
    fn from(id: ServerId) -> Self {
        (id.name, id.born)
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            0 => f.write_str(&self.name),
            born => write!(f, "{}@{born}", self.name),
        }
    }
}

/// Version of a backend server's software.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(String);

/// Longest version, in bytes.
const VERSION_MAX: usize = 128;

impl SoftwareVersion {
    /// Returns the version with this text; `None` if it is empty, too long or not printable ASCII.
    pub fn new(text: impl Into<String>) -> Option<Self> {
        let text = text.into();
        let is_valid =
            (1..=VERSION_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        is_valid.then_some(SoftwareVersion(text))
    }

    /// Returns its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::new(text).ok_or("a version is 1 to 128 printable characters")
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One incarnation of a backend server, as registered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Identifies the incarnation.
    pub id: ServerId,
    /// Name of its service.
    pub service: String,
    /// Address at which it accepts connections.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub draining: bool,
    /// Current stage; set for model engines.
    pub stage: Option<Stage>,
    /// Version of its software, if a valid one is registered. Gateways of an older release do not
    /// pass it on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
}

/// Role of a model engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Processes prompts.
    Prefill,
    /// Generates answers; also processes prompts, but more slowly.
    Decode,
}

impl Stage {
    /// Returns the other stage.
    pub fn other(self) -> Stage {
        match self {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        }
    }
}
