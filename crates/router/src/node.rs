//! Settings of one process: its VM, and the bounds that the deployment must keep.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings that the platform gives to a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the VM.
    pub ip: IpAddr,
    /// CPU capacity of the VM in thousandths of a core.
    pub power: u32,
    /// Memory of the process in megabytes; zero if unknown.
    pub memory: u32,
    /// Link bandwidth of the VM in megabits per second; zero if unknown.
    pub link: u32,
    /// Address for callers; `None` on a VM that serves no callers.
    pub callers: Option<SocketAddr>,
    /// Address of the platform's readiness check.
    pub ready: Option<SocketAddr>,
    /// First port for messages between the processes of the deployment; the same on every VM.
    pub peer_port: u16,
    /// The platform's metadata store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time, so that no stream was served before.
    pub first_start: bool,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

/// Time from when the leaders of a zone notice that they receive nothing until all of its gateways have a
/// report from another gateway: 0.2 s to publish that, 0.25 s until another gateway starts to follow the
/// store, 0.15 s to read the list, 0.2 s to publish it, 0.1 s to fetch it.
const RELAY_TIME: Duration = Duration::from_millis(900);

/// Heartbeat interval of a deployment that names none.
pub const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Bounds that the deployment must keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request within a window.
    pub budget_ratio: f64,
    /// Retries allowed in any window beside that ratio, over the whole deployment.
    pub budget_extra: f64,
    /// Length of the retry window.
    pub budget_window: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Shortest time between orders from two different leaders to one backend server.
    pub order_gap: Duration,
    /// Time after the path to the store failed within which a VM must follow the store again.
    pub contact: Duration,
    /// Time after a backend server announced that it leaves within which gateways must stop sending to it.
    pub drain: Duration,
    /// Time after a change of the configuration within which it must be in force.
    pub apply: Duration,
    /// Interval at which backend servers renew their registrations.
    pub heartbeat: Duration,
    /// Time after a key was revoked from which on no request with it may run; `None` if VMs that are cut off
    /// are exempt.
    pub revoke: Option<Duration>,
    /// How far the quota of a client account may be exceeded.
    pub excess: Excess,
}

/// Tolerated excess over a quota in any window, over the whole deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Excess {
    /// Fraction of what the quota allows in the window.
    pub fraction: f64,
    /// Fixed amount beside that, in the unit of the quota.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Bounds {
    /// Shortest time in which a change must take effect.
    pub fn shortest(&self) -> Duration {
        self.contact.min(self.drain).min(self.apply)
    }

    /// Longest time for which state may be used without a confirmation. Beyond it, silence no longer means
    /// "no change". It is the shortest time in which a change must take effect, less the time for relaying
    /// it.
    pub fn staleness_bound(&self) -> Duration {
        let shortest = self.shortest();
        shortest.saturating_sub(RELAY_TIME).max(shortest / 2)
    }
}

impl Eq for Bounds {}
