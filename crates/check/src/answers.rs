//! Simulation of how gateways react to answers and crashes of backend servers, with up to hundreds of
//! gateways, in simulated time.
//!
//! The gateways' real decisions about crashing requests, lost attempts, leaving servers and back-off are
//! driven over a network with delays and losses. Callers repeat requests that crash servers, at any gateway;
//! answers are lost, servers crash for unrelated reasons, and gateways are isolated, restarted one by one, or
//! all killed.

mod gateway;
mod simulation;

use std::time::Duration;

pub use self::gateway::{MUTANTS, Mutant};
use self::simulation::Simulation;

/// Times that a request may still be sent after the bound that follows its third crash.
pub const LATE_MAX: usize = 3;
/// Servers that one request may crash.
pub const CRASHES_MAX: usize = 6;
/// Share of the other requests that may be refused in runs with unrelated crashes; otherwise none may.
pub const REFUSED_MAX: f64 = 1e-4;
/// Time after which every gateway must refuse a request that is confirmed to crash servers.
pub const CONFIRM_BOUND: Duration = Duration::from_secs(3);
/// Time after which a server that announced its departure must receive no more requests.
pub const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct AnswersSpec {
    /// Gateways.
    pub gateways: usize,
    /// Determines the run; its remainder modulo four selects the additional faults.
    pub seed: u64,
    /// The rule to leave out.
    pub mutant: Option<Mutant>,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Servers that each crashing request crashed.
    pub crashes: Vec<usize>,
    /// Times that each crashing request was sent later than allowed.
    pub late_sends: Vec<usize>,
    /// Other requests, which crash no server.
    pub other_requests: usize,
    /// Other requests that were refused as confirmed to crash servers.
    pub refused: usize,
    /// Most quarantine rows that a gateway held: suspects and confirmed requests.
    pub rows_max: usize,
    /// Most bytes of gossip that one gateway sent in a second.
    pub worst_second: usize,
    /// Longest time from when a gateway learned from a server that it leaves to a send there, in milliseconds.
    pub leaving_ms: u64,
    /// Most sends of one gateway to a server that had asked it to back off.
    pub backoff_sends: usize,
    /// Restarted servers that were up for long and were sent nothing.
    pub unused: usize,
}

impl Tally {
    /// The first guarantee that was violated.
    pub fn violation(&self, seed: u64) -> Option<String> {
        let late = self.late_sends.iter().max().copied().unwrap_or_default();
        let ended = self.crashes.iter().max().copied().unwrap_or_default();
        let refused_max = if has_unrelated_crashes(seed) {
            REFUSED_MAX * self.other_requests as f64
        } else {
            0.0
        };
        let leaving_max = LEAVING_BOUND.as_millis() as u64;
        let checks = [
            (
                late > LATE_MAX,
                format!("a crashing request was sent {late} times later than allowed"),
            ),
            (ended > CRASHES_MAX, format!("a request crashed {ended} servers")),
            (
                self.refused as f64 > refused_max,
                format!("{} requests that crash no server were refused", self.refused),
            ),
            (
                self.leaving_ms > leaving_max,
                format!(
                    "a server was sent a request {} ms after it announced its departure",
                    self.leaving_ms
                ),
            ),
            (
                self.backoff_sends > 2,
                format!("{} sends to a server that had asked to back off", self.backoff_sends),
            ),
            (self.unused > 0, format!("{} restarted servers were never used", self.unused)),
        ];
        checks.into_iter().find(|(violated, _)| *violated).map(|(_, message)| message)
    }
}

/// Whether servers crash for unrelated reasons in this run.
fn has_unrelated_crashes(seed: u64) -> bool {
    seed % 4 == 1
}

/// Runs one simulation.
pub fn run(spec: AnswersSpec) -> Tally {
    Simulation::new(spec).run()
}
