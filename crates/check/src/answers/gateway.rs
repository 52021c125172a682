//! One simulated gateway: the decisions of `ebonyloft-router`, and the rules that a mutant leaves out.

use std::collections::HashSet;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::back_offs::BackOffs;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::divergence::DivergenceDetector;
use ebonyloft_router::lost_attempts::{LostAttempt, LostAttempts, STREAM_PROBE_DELAY};
use ebonyloft_router::outcome::BackOff;
use ebonyloft_router::quarantine::{Fact, Quarantine, QuarantineState, QuarantineUpdate};
use ebonyloft_router::registry::ServerRegistry;
use ebonyloft_router::request_digest::RequestDigest;

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
    pub lost_attempts: LostAttempts,
    /// Peers whose state differs.
    pub divergence: DivergenceDetector,
    /// Known servers, and which of them are leaving.
    pub registry: ServerRegistry,
    /// Servers that asked to back off.
    pub backoffs: BackOffs,
    /// Addresses that a mutant takes as those of leaving servers.
    pub left_addresses: HashSet<std::net::SocketAddr>,
    /// Incarnation of the process.
    pub incarnation: u32,
    /// Whether it is running.
    pub up: bool,
    /// Until when it is cut off from the network.
    pub isolated_until: Timestamp,
    /// Updates to be published.
    pub updates: Vec<QuarantineUpdate>,
    /// Number of its latest probe; starts at a value that no other incarnation uses.
    pub probes: u64,
    mutant: Option<Mutant>,
}

impl GatewayProcess {
    /// A gateway without any state.
    pub fn new(incarnation: u32, probes: u64, mutant: Option<Mutant>) -> Self {
        GatewayProcess {
            quarantine: Quarantine::default(),
            lost_attempts: LostAttempts::default(),
            divergence: DivergenceDetector::default(),
            registry: ServerRegistry::default(),
            backoffs: BackOffs::default(),
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
    pub fn admit(&mut self, now: Timestamp, digest: RequestDigest) -> QuarantineState {
        let standing = self.quarantine.state(now, &digest);
        if standing == QuarantineState::Suspect {
            self.probes += 1;
            self.record(now, digest, Duration::ZERO, Fact::Trying(self.probes));
        }
        standing
    }

    /// Whether a request is confirmed to crash servers.
    pub fn is_confirmed(&self, now: Timestamp, digest: &RequestDigest) -> bool {
        matches!(self.quarantine.state(now, digest), QuarantineState::Confirmed(_))
    }

    /// Whether a request may be sent to a server.
    pub fn may_send(&self, now: Timestamp, server: &Server, retry: bool) -> bool {
        let ignores = retry && self.mutant == Some(Mutant::PauseIgnored);
        let open = ignores || self.backoffs.is_available(now, &server.id);
        open && !self.registry.has_left(&server.id.name)
            && !self.left_addresses.contains(&server.addr)
    }

    /// An attempt broke off.
    pub fn on_attempt_lost(&mut self, server: &Server, loss: LostAttempt) {
        let now = loss.at;
        if self.registry.has_announced(&server.id) || self.quarantine.is_healthy(now, &loss.digest)
        {
            return;
        }
        match self.mutant {
            Some(Mutant::LostEnds) => {
                let fact = Fact::Ended(server.id.clone(), true);
                return self.record(now, loss.digest, Duration::ZERO, fact);
            }
            Some(Mutant::AllGuilty) => {
                return self.record(now, loss.digest, Duration::ZERO, Fact::Proved);
            }
            _ => {}
        }
        if loss.early {
            self.record(now, loss.digest, Duration::ZERO, Fact::Lost(loss.number));
        }
        self.lost_attempts.add(server, loss, STREAM_PROBE_DELAY);
    }

    /// A server incarnation is known to have crashed.
    pub fn on_crash(&mut self, now: Timestamp, id: &ServerId) {
        for loss in self.lost_attempts.on_crash(id) {
            if self.quarantine.is_healthy(loss.at, &loss.digest) {
                continue;
            }
            let fact = Fact::Ended(id.clone(), loss.early);
            self.record(now, loss.digest, now.since(loss.at), fact);
            if loss.early {
                self.record(now, loss.digest, Duration::ZERO, Fact::Over(loss.number));
            }
        }
    }

    /// A server incarnation answered something that was sent at `sent`.
    pub fn on_alive(&mut self, now: Timestamp, id: &ServerId, sent: Timestamp) {
        for loss in self.lost_attempts.on_answer(id, sent) {
            self.record(now, loss.digest, Duration::ZERO, Fact::Over(loss.number));
        }
    }

    /// A request was answered completely.
    pub fn on_served(&mut self, now: Timestamp, digest: RequestDigest) {
        if self.quarantine.on_served(now, digest) {
            self.record(now, digest, Duration::ZERO, Fact::Served);
        }
    }

    /// A server announced its departure; returns whether to publish it to other gateways.
    pub fn on_leaving(&mut self, server: &Server) -> bool {
        if self.mutant == Some(Mutant::LeavingByAddress) {
            self.left_addresses.insert(server.addr);
        }
        self.registry.on_leaving(&server.id)
    }

    /// A server asked to back off for a while.
    pub fn on_backoff(&mut self, now: Timestamp, id: &ServerId, backoff: Duration) {
        self.backoffs.record(now, id, BackOff::For(backoff));
    }

    /// Records a fact observed here, and queues it to be published to all gateways.
    pub fn record(&mut self, now: Timestamp, digest: RequestDigest, ago: Duration, fact: Fact) {
        let update = QuarantineUpdate { digest, age: ago.as_millis() as u64, fact };
        self.quarantine.apply(now, &update);
        if self.mutant != Some(Mutant::Alone) {
            self.updates.push(update);
        }
    }
}
