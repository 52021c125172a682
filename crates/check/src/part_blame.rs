//! Simulation of how gateways blame parts of prompts for crashes of backend servers, in simulated time.
//!
//! The gateways' real decisions about parts and lost attempts are driven over a network with delays and losses.
//! Callers send requests with a part on which servers crash, no two alike, and sound ones that share all their other
//! parts. Answers are lost, servers crash for unrelated reasons, alone or a zone of them at once, end silently or are
//! replaced by another version; gateways are cut off, restarted one by one, killed all at once, or of a release
//! that knows nothing of parts. Both rules are checked in the same run: how often such a part is still sent, and how
//! often sound requests begin.

mod gateway;
mod simulation;

use std::time::Duration;

pub use self::gateway::{MUTANTS, Mutant};
use self::simulation::Simulation;

/// Crashes after which the bound on sends begins.
pub const CRASHES: usize = 5;
/// Time after the last of these crashes from which sends count, and for which a gateway has to be undisturbed.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Sends that may come later.
pub const LATE_MAX: usize = 3;
/// Smallest share of the sound requests that begin, of that in calm.
pub const BEGUN_MIN: f64 = 0.5;
/// Smallest number of sound requests that are compared.
pub const SOUND_MIN: usize = 20;

/// What disturbs a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing but lost answers.
    None,
    /// Servers crash for unrelated reasons, and once all those of a zone at the same time.
    Unrelated,
    /// Servers that crash leave their connections open.
    Silent,
    /// Gateways are cut off, and restarted one by one.
    Gateways,
    /// All gateways are killed at once, after an outage of the store.
    LossOfAll,
    /// Two parts crash servers, and a third one always comes with one of them.
    TwoParts,
    /// Servers are replaced by those of another version.
    Upgrade,
    /// Servers of another version, which do not crash, serve side by side.
    SoundElsewhere,
    /// The first part of a route begins to crash servers.
    FirstPart,
    /// A repeated request crashes servers whatever its parts are.
    WholeRequest,
    /// A part of the gateways is of the release before, and replaced later.
    OlderRelease,
}

/// All faults.
pub const FAULTS: [Fault; 11] = [
    Fault::None,
    Fault::Unrelated,
    Fault::Silent,
    Fault::Gateways,
    Fault::LossOfAll,
    Fault::TwoParts,
    Fault::Upgrade,
    Fault::SoundElsewhere,
    Fault::FirstPart,
    Fault::WholeRequest,
    Fault::OlderRelease,
];

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct BlameSpec {
    /// Gateways.
    pub gateways: usize,
    /// Determines the run; its remainder modulo the number of faults selects the fault.
    pub seed: u64,
    /// The rule to leave out.
    pub mutant: Option<Mutant>,
}

impl BlameSpec {
    /// What disturbs the run.
    pub fn fault(&self) -> Fault {
        FAULTS[(self.seed % FAULTS.len() as u64) as usize]
    }
}

/// Sound requests that were sent, and those of them that began at their first attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Begun {
    /// Requests sent.
    pub sent: usize,
    /// Requests that began.
    pub begun: usize,
}

impl Begun {
    /// Adds a request.
    pub fn add(&mut self, begun: bool) {
        self.sent += 1;
        self.begun += usize::from(begun);
    }

    fn share(&self) -> f64 {
        self.begun as f64 / self.sent.max(1) as f64
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Servers that crashed under each such part.
    pub crashes: Vec<usize>,
    /// Times that each such part was sent later than allowed.
    pub late_sends: Vec<usize>,
    /// Sound requests in calm, by such part.
    pub calm: Vec<Begun>,
    /// Sound requests with the same first part in the time that counts.
    pub beside: Vec<Begun>,
    /// Parts that were confirmed and crash no server.
    pub wrong: usize,
    /// Most histories of candidates that a gateway held.
    pub rows_max: usize,
    /// Most bytes of gossip that one gateway sent in a second.
    pub worst_second: usize,
    /// Bytes of all gossip about parts, of all gateways.
    pub bytes: usize,
    /// Exchanges of full states between two gateways.
    pub exchanges: usize,
    /// Writes to the store.
    pub writes: usize,
}

impl Tally {
    /// The first guarantee that was violated.
    pub fn violation(&self) -> Option<String> {
        if let Some(late) = self.late_sends.iter().find(|late| **late > LATE_MAX) {
            return Some(format!(
                "a part that crashes servers was sent {late} times later than allowed"
            ));
        }
        if self.wrong > 0 {
            return Some(format!("{} parts that crash no server were confirmed", self.wrong));
        }
        let pairs = self.calm.iter().zip(&self.beside);
        let counts = |(calm, beside): &(&Begun, &Begun)| {
            calm.sent.min(beside.sent) >= SOUND_MIN && beside.share() < BEGUN_MIN * calm.share()
        };
        let mut pairs = pairs.filter(counts);
        let (calm, beside) = pairs.next()?;
        Some(format!(
            "{} of {} sound requests began, {} of {} in calm",
            beside.begun, beside.sent, calm.begun, calm.sent
        ))
    }
}

/// Runs one simulation.
pub fn run(spec: BlameSpec) -> Tally {
    Simulation::new(spec).run()
}
