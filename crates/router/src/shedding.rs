//! New connections that an overloaded gateway closes unread, so that their callers turn to another gateway.
//!
//! A caller whose connection is closed before its request was read loses a handshake; one whose request waits
//! for processor time and is refused loses most of its deadline. A balancer may send most connections to few
//! gateways, which then have to pass on what they have no processor time for.
//!
//! Closing helps only if another gateway has room. A gateway therefore compares the requests that it reads
//! with those of its peers, by the processor time of their VMs: it closes connections only while it gets
//! clearly more than an even share, and reads at least an even share. Where all gateways are short none of
//! them closes anything. How much it closes is set by a control loop on the delay with which its tasks run.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// Time constant of the observed rates and delays.
const OBSERVED_TIME: Duration = Duration::from_millis(700);
/// Delay of tasks that is aimed at while connections are closed: a small part of an urgent call's deadline.
const DELAY_TARGET: Duration = Duration::from_millis(8);
/// Growth of the closed share in a second at twice the delay that is aimed at or more.
const GAIN: f64 = 0.8;
/// Factor on the change while the delay is shorter: new connections come back more slowly than they were closed,
/// since the delay of a gateway that is no longer overloaded does not tell how close it is.
const FALL_FACTOR: f64 = 0.25;
/// Factor on an even share beyond which connections are closed. Callers are spread by a hash, so that even
/// traffic differs from VM to VM.
const EXCESS_MIN: f64 = 1.5;
/// Factor on an even share that is read at least.
const READ_MIN: f64 = 1.1;
/// Rate that overloads no VM, in requests a second: it is read in any case, and lower ones are not reported.
const RATE_MIN: f64 = 10.0;
/// Longest time between two observations that counts; a longer one is a suspension.
const STEP_MAX: Duration = Duration::from_millis(500);

/// Exponentially decaying rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: Timestamp,
}

impl Rate {
    fn add(&mut self, now: Timestamp) {
        *self = Rate { sum: self.decayed(now) + 1.0, at: now };
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        self.sum * (-now.since(self.at).as_secs_f64() / OBSERVED_TIME.as_secs_f64()).exp()
    }

    fn per_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) / OBSERVED_TIME.as_secs_f64()
    }
}

/// Requests that a gateway reads, and the processor time of its VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadLoad {
    /// Requests read in a second.
    pub rate: f64,
    /// CPU of the VM in thousandths of a core; zero if unknown.
    pub power: u32,
}

/// Returns the rate at which a gateway of `power` would read if all requests were spread by processor time;
/// `None` if it has no peer, or the power of a VM is unknown.
pub fn even_share(own: ReadLoad, peers: impl Iterator<Item = ReadLoad>) -> Option<f64> {
    let (mut rate, mut power, mut count) = (own.rate, own.power, 0);
    for peer in peers {
        if peer.power == 0 {
            return None;
        }
        (rate, power, count) = (rate + peer.rate, power + peer.power, count + 1);
    }
    (count > 0 && own.power > 0).then(|| rate * f64::from(own.power) / f64::from(power))
}

/// Decides which new connections are closed unread.
#[derive(Clone, Debug, Default)]
pub struct Shedding {
    /// Requests that were read.
    read: Rate,
    /// New connections that were closed unread.
    closed: Rate,
    /// Mean delay of tasks in seconds.
    delay: f64,
    /// Fraction of new connections that are closed.
    share: f64,
    observed_at: Timestamp,
}

impl Shedding {
    /// Records a request that was read.
    pub fn on_read(&mut self, now: Timestamp) {
        self.read.add(now);
    }

    /// Returns the requests read in a second.
    pub fn read_rate(&self, now: Timestamp) -> f64 {
        self.read.per_second(now)
    }

    /// Returns the rate that is reported to peers, in requests a second; zero if it is too low to matter.
    pub fn reported_rate(&self, now: Timestamp) -> u64 {
        let rate = self.read_rate(now);
        if rate < RATE_MIN { 0 } else { rate as u64 }
    }

    /// Records that a task ran `delay` late; `even_share` is the rate that would be read if all requests were
    /// spread evenly.
    pub fn on_delay(&mut self, now: Timestamp, delay: Duration, even_share: Option<f64>) {
        let step = now.since(self.observed_at).min(STEP_MAX).as_secs_f64();
        self.observed_at = now;
        let weight = 1.0 - (-step / OBSERVED_TIME.as_secs_f64()).exp();
        self.delay += (delay.as_secs_f64() - self.delay) * weight;
        let target = DELAY_TARGET.as_secs_f64();
        let error = (self.delay / target - 1.0).clamp(-FALL_FACTOR, 1.0);
        let most = even_share.map_or(0.0, |even| self.share_max(now, even));
        self.share = (self.share + GAIN * error * step).clamp(0.0, most);
    }

    /// Largest fraction that may be closed with this even share.
    fn share_max(&self, now: Timestamp, even: f64) -> f64 {
        let offered = self.read.per_second(now) + self.closed.per_second(now);
        if offered <= RATE_MIN || offered <= even * EXCESS_MIN {
            return 0.0;
        }
        (1.0 - (even * READ_MIN).max(RATE_MIN) / offered).clamp(0.0, 1.0)
    }

    /// Returns the fraction of new connections that are closed.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Is a new connection to be closed unread? `draw` is uniform in 0..1.
    pub fn closes(&mut self, now: Timestamp, draw: f64) -> bool {
        let closes = draw < self.share;
        if closes {
            self.closed.add(now);
        }
        closes
    }
}
