//! One simulated gateway: the decisions of `ebonyloft-router`, and the rules that a mutant leaves out.

use std::collections::HashSet;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::content::Content;
use ebonyloft_router::drift::Drift;
use ebonyloft_router::losses::{Loss, Losses, STREAM_WAIT};
use ebonyloft_router::outcome::Pause;
use ebonyloft_router::pauses::Pauses;
use ebonyloft_router::quarantine::{Fact, Quarantine, Standing, Word};
use ebonyloft_router::roster::Roster;

/// A rule of the gateways to leave out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// Crashes are counted by attempt instead of by request digest.
    ById,
    /// Gateways do not share the crashes that they observe.
    Alone,
    /// A restarted gateway starts without the crashes known to the store and to other gateways.
    Forgets,
    /// A lost answer counts as a crash.
    LostEnds,
    /// Every request that was running at a crash is confirmed as its cause.
    AllGuilty,
    /// A departure is recorded by address instead of by incarnation.
    LeavingByAddress,
    /// A server's departure is not checked again after the admission queue.
    LeavingOnce,
    /// Quarantine does not apply to the prefill of prompts.
    ReadingFree,
    /// Retries ignore a server's back-off.
    PauseIgnored,
}

/// All mutants.
pub const MUTANTS: [Mutant; 9] = [
    Mutant::ById,
    Mutant::Alone,
    Mutant::Forgets,
    Mutant::LostEnds,
    Mutant::AllGuilty,
    Mutant::LeavingByAddress,
    Mutant::LeavingOnce,
    Mutant::ReadingFree,
    Mutant::PauseIgnored,
];

/// State of one incarnation of a gateway.
pub struct GatewayProcess {
    /// Requests suspected or confirmed to crash servers.
    pub quarantine: Quarantine,
    /// Lost attempts whose servers are being probed.
    pub lost_attempts: Losses,
    /// Peers whose state differs.
    pub divergence: Drift,
    /// Known servers, and which of them are leaving.
    pub registry: Roster,
    /// Servers that asked to back off.
    pub backoffs: Pauses,
    /// Addresses that a mutant takes as those of leaving servers.
    pub left_addresses: HashSet<std::net::SocketAddr>,
    /// Incarnation of the process.
    pub incarnation: u32,
    /// Whether it is running.
    pub up: bool,
    /// Until when it is cut off from the network.
    pub isolated_until: Timestamp,
    /// Updates to be published.
    pub updates: Vec<Word>,
    /// Number of its latest probe; starts at a value that no other incarnation uses.
    pub probes: u64,
    mutant: Option<Mutant>,
}

impl GatewayProcess {
    /// A gateway without any state.
    pub fn new(incarnation: u32, probes: u64, mutant: Option<Mutant>) -> Self {
        GatewayProcess {
            quarantine: Quarantine::default(),
            lost_attempts: Losses::default(),
            divergence: Drift::default(),
            registry: Roster::default(),
            backoffs: Pauses::default(),
            left_addresses: HashSet::new(),
            incarnation,
            up: true,
            isolated_until: Timestamp::default(),
            updates: Vec::new(),
            probes,
            mutant,
        }
    }

    /// Whether it is running and connected.
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        self.up && self.isolated_until <= now
    }

    /// Decides how a request is treated, and starts the probe of a suspect.
    pub fn admit(&mut self, now: Timestamp, digest: Content) -> Standing {
        let standing = self.quarantine.standing(now, &digest);
        if standing == Standing::Suspect {
            self.probes += 1;
            self.record(now, digest, Duration::ZERO, Fact::Trying(self.probes));
        }
        standing
    }

    /// Whether a request is confirmed to crash servers.
    pub fn is_confirmed(&self, now: Timestamp, digest: &Content) -> bool {
        matches!(self.quarantine.standing(now, digest), Standing::Proved(_))
    }

    /// Whether a request may be sent to a server.
    pub fn may_send(&self, now: Timestamp, server: &Server, retry: bool) -> bool {
        let ignores = retry && self.mutant == Some(Mutant::PauseIgnored);
        let open = ignores || self.backoffs.is_open(now, &server.id);
        open && !self.registry.has_left(&server.id.name)
            && !self.left_addresses.contains(&server.addr)
    }

    /// An attempt broke off.
    pub fn on_attempt_lost(&mut self, server: &Server, loss: Loss) {
        let now = loss.at;
        if self.registry.has_left(&server.id.name) || self.quarantine.is_sound(now, &loss.content) {
            return;
        }
        match self.mutant {
            Some(Mutant::LostEnds) => {
                let fact = Fact::Ended(server.id.clone(), true);
                return self.record(now, loss.content, Duration::ZERO, fact);
            }
            Some(Mutant::AllGuilty) => {
                return self.record(now, loss.content, Duration::ZERO, Fact::Proved);
            }
            _ => {}
        }
        if loss.early {
            self.record(now, loss.content, Duration::ZERO, Fact::Lost(loss.number));
        }
        self.lost_attempts.lost(server, loss, STREAM_WAIT);
    }

    /// A server incarnation is known to have crashed.
    pub fn on_crash(&mut self, now: Timestamp, id: &ServerId) {
        for loss in self.lost_attempts.ended(id) {
            if self.quarantine.is_sound(loss.at, &loss.content) {
                continue;
            }
            let fact = Fact::Ended(id.clone(), loss.early);
            self.record(now, loss.content, now.since(loss.at), fact);
            if loss.early {
                self.record(now, loss.content, Duration::ZERO, Fact::Over(loss.number));
            }
        }
    }

    /// A server incarnation answered something that was sent at `sent`.
    pub fn on_alive(&mut self, now: Timestamp, id: &ServerId, sent: Timestamp) {
        for loss in self.lost_attempts.alive(id, sent) {
            self.record(now, loss.content, Duration::ZERO, Fact::Over(loss.number));
        }
    }

    /// A request was answered completely.
    pub fn on_served(&mut self, now: Timestamp, digest: Content) {
        if self.quarantine.served_here(now, digest) {
            self.record(now, digest, Duration::ZERO, Fact::Served);
        }
    }

    /// A server announced its departure; returns whether to publish it to other gateways.
    pub fn on_leaving(&mut self, server: &Server) -> bool {
        if self.mutant == Some(Mutant::LeavingByAddress) {
            self.left_addresses.insert(server.addr);
        }
        self.registry.hear_leaving(&server.id)
    }

    /// A server asked to back off for a while.
    pub fn on_backoff(&mut self, now: Timestamp, id: &ServerId, backoff: Duration) {
        self.backoffs.note(now, id, Pause::For(backoff));
    }

    /// Records a fact observed here, and queues it to be published to all gateways.
    pub fn record(&mut self, now: Timestamp, digest: Content, ago: Duration, fact: Fact) {
        let update = Word { content: digest, age: ago.as_millis() as u64, fact };
        self.quarantine.take(now, &update);
        if self.mutant != Some(Mutant::Alone) {
            self.updates.push(update);
        }
    }
}
