//! Simulation of client accounts with up to hundreds of gateways, in simulated time.
//!
//! The gateways' real decisions about API keys, the staleness of the configuration and quotas are driven
//! over a network with delays and losses. An API key is revoked and a rate limit is lowered while gateways
//! are cut off from the store or from each other, paused or killed, and while the store does not answer.

mod gateway;
mod simulation;

use std::time::Duration;

use self::simulation::Simulation;

/// Time after which a revoked API key must not start any request.
pub const REVOKE_BOUND: Duration = Duration::from_secs(5);
/// Window over which rate limits are checked.
pub const WINDOW: Duration = Duration::from_secs(8);
/// Share by which the tokens used in a window may exceed the limit.
const EXCESS_MAX: f64 = 0.05;
/// Smallest share of a rate limit that must be usable without faults, and of the requests of an account within
/// its limit that must be served.
pub const USED_MIN: f64 = 0.98;

/// A rule of the gateways to leave out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// The staleness of the configuration restarts at zero when it is passed to another gateway.
    AgeRestarts,
    /// The time for which a gateway was paused does not count as staleness.
    PauseUncounted,
    /// API keys are not checked again before the request is sent.
    CheckedOnce,
    /// An owner that has just started grants a full burst.
    StartsFull,
    /// Tokens of requests that did not run are not returned.
    Kept,
    /// Tokens of requests that did not run are returned twice.
    GivenTwice,
    /// A standby grants the full rate limit at once, to any gateway, and a burst that the owner has already
    /// granted.
    DeputyFull,
    /// A lowered rate limit takes effect only once the token bucket is empty.
    LoweredLate,
    /// Each gateway enforces an equal share of the limit, by the number of gateways.
    ByNumber,
}

/// All mutants.
pub const MUTANTS: [Mutant; 9] = [
    Mutant::AgeRestarts,
    Mutant::PauseUncounted,
    Mutant::CheckedOnce,
    Mutant::StartsFull,
    Mutant::Kept,
    Mutant::GivenTwice,
    Mutant::DeputyFull,
    Mutant::LoweredLate,
    Mutant::ByNumber,
];

/// The fault that is injected into a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// A third of the gateways is cut off from the store.
    StoreCut,
    /// A third of the gateways is cut off from the store and from all other gateways.
    Cut,
    /// A third of the gateways is paused for seconds.
    Pause,
    /// All gateways are killed at the same time, three times.
    KillAll,
    /// One account's owner and its standbys are killed one after another, a third of the gateways at once, and
    /// the store does not answer.
    KillSome,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct AccountsSpec {
    /// Gateways.
    pub gateways: usize,
    /// Client accounts, of which at most a thousand are active.
    pub accounts: usize,
    /// Determines the run, including its fault.
    pub seed: u64,
    /// The rule to leave out.
    pub mutant: Option<Mutant>,
}

impl AccountsSpec {
    /// The fault to inject.
    pub fn fault(&self) -> Fault {
        match self.seed % 6 {
            0 => Fault::None,
            1 => Fault::StoreCut,
            2 => Fault::Cut,
            3 => Fault::Pause,
            4 => Fault::KillAll,
            _ => Fault::KillSome,
        }
    }
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// How long after the revocation bound the revoked key last started a request, in milliseconds.
    pub late_ms: u64,
    /// Requests that ran with the revoked key and were sent after the revocation.
    pub ran_revoked: usize,
    /// Largest use of a window, as a share of what is tolerated.
    pub window_peak: f64,
    /// Smallest share of a rate limit that was used by accounts with more demand; 1 in runs with faults.
    pub used_share: f64,
    /// Share of its requests that were served to an account within its limit; 1 in runs with faults.
    pub served_share: f64,
    /// Bytes per second that a gateway sent for API keys and quotas: the mean, and the busiest gateway.
    pub bytes: (f64, f64),
}

impl Tally {
    /// The first guarantee that was violated.
    pub fn violation(&self) -> Option<String> {
        let checks = [
            (
                self.late_ms > 0,
                format!("a revoked key started a request {} ms after the bound", self.late_ms),
            ),
            (
                self.window_peak > 1.0,
                format!("a window used {:.3} of what is tolerated", self.window_peak),
            ),
            (
                self.used_share < USED_MIN,
                format!("only {:.3} of a rate limit could be used", self.used_share),
            ),
            (
                self.served_share < USED_MIN,
                format!("only {:.3} of the requests within a limit were served", self.served_share),
            ),
        ];
        checks.into_iter().find(|(violated, _)| *violated).map(|(_, message)| message)
    }
}

/// Runs one simulation.
pub fn run(spec: AccountsSpec) -> Tally {
    Simulation::new(spec).run()
}
