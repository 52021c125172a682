//! One gateway: the decisions of `ebonyloft-router`, and the rules that a mutant leaves out.

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

/// A rule left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// Counted by the attempt's id.
    ById,
    /// Counted by each gateway alone.
    Alone,
    /// A gateway that begins anew is told nothing.
    Forgets,
    /// A lost answer counts as an ending.
    LostEnds,
    /// Whoever was there is guilty.
    AllGuilty,
    /// A leaving is kept for the address.
    LeavingByAddress,
    /// A leaving is not looked at again behind the queue.
    LeavingOnce,
    /// The reading of prompts is not held to it.
    ReadingFree,
    /// A pause is ignored by retries.
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

/// What one gateway process knows.
pub struct Gate {
    /// Contents.
    pub quarantine: Quarantine,
    /// Losses that are looked into.
    pub losses: LostAttempts,
    /// Peers that know something else.
    pub drift: DivergenceDetector,
    /// Lives, and which said that they leave.
    pub roster: ServerRegistry,
    /// Servers that want nothing.
    pub pauses: BackOffs,
    /// Addresses that a mutant takes as left.
    pub left: HashSet<std::net::SocketAddr>,
    /// Which process it is.
    pub life: u32,
    /// It runs.
    pub up: bool,
    /// Nothing reaches it, and it reaches nobody, until then.
    pub cut_until: Timestamp,
    /// Words to be told.
    pub words: Vec<QuarantineUpdate>,
    /// Number of its last trial; begins at a draw.
    pub trials: u64,
    mutant: Option<Mutant>,
}

impl Gate {
    /// A process that knows nothing.
    pub fn new(life: u32, trials: u64, mutant: Option<Mutant>) -> Self {
        Gate {
            quarantine: Quarantine::default(),
            losses: LostAttempts::default(),
            drift: DivergenceDetector::default(),
            roster: ServerRegistry::default(),
            pauses: BackOffs::default(),
            left: HashSet::new(),
            life,
            up: true,
            cut_until: Timestamp::default(),
            words: Vec::new(),
            trials,
            mutant,
        }
    }

    /// Does it run, and is it connected?
    pub fn hears(&self, now: Timestamp) -> bool {
        self.up && self.cut_until <= now
    }

    /// How a request is treated; a suspect's trial begins.
    pub fn admit(&mut self, now: Timestamp, content: RequestDigest) -> QuarantineState {
        let standing = self.quarantine.standing(now, &content);
        if standing == QuarantineState::Suspect {
            self.trials += 1;
            self.note(now, content, Duration::ZERO, Fact::Trying(self.trials));
        }
        standing
    }

    /// Is a content proved by now?
    pub fn is_proved(&self, now: Timestamp, content: &RequestDigest) -> bool {
        matches!(self.quarantine.standing(now, content), QuarantineState::Confirmed(_))
    }

    /// May a server be sent something?
    pub fn takes(&self, now: Timestamp, server: &Server, retry: bool) -> bool {
        let ignores = retry && self.mutant == Some(Mutant::PauseIgnored);
        let open = ignores || self.pauses.is_available(now, &server.id);
        open && !self.roster.has_left(&server.id.name) && !self.left.contains(&server.addr)
    }

    /// A run broke off.
    pub fn lost(&mut self, server: &Server, loss: LostAttempt) {
        let now = loss.at;
        if self.roster.has_left(&server.id.name) || self.quarantine.is_healthy(now, &loss.content) {
            return;
        }
        match self.mutant {
            Some(Mutant::LostEnds) => {
                let fact = Fact::Ended(server.id.clone(), true);
                return self.note(now, loss.content, Duration::ZERO, fact);
            }
            Some(Mutant::AllGuilty) => {
                return self.note(now, loss.content, Duration::ZERO, Fact::Proved);
            }
            _ => {}
        }
        if loss.early {
            self.note(now, loss.content, Duration::ZERO, Fact::Lost(loss.number));
        }
        self.losses.add(server, loss, STREAM_PROBE_DELAY);
    }

    /// A life has ended.
    pub fn ended(&mut self, now: Timestamp, id: &ServerId) {
        for loss in self.losses.on_crash(id) {
            if self.quarantine.is_healthy(loss.at, &loss.content) {
                continue;
            }
            let fact = Fact::Ended(id.clone(), loss.early);
            self.note(now, loss.content, now.since(loss.at), fact);
            if loss.early {
                self.note(now, loss.content, Duration::ZERO, Fact::Over(loss.number));
            }
        }
    }

    /// A life answered what was sent then.
    pub fn alive(&mut self, now: Timestamp, id: &ServerId, sent: Timestamp) {
        for loss in self.losses.on_answer(id, sent) {
            self.note(now, loss.content, Duration::ZERO, Fact::Over(loss.number));
        }
    }

    /// A content was answered whole.
    pub fn served(&mut self, now: Timestamp, content: RequestDigest) {
        if self.quarantine.on_served(now, content) {
            self.note(now, content, Duration::ZERO, Fact::Served);
        }
    }

    /// A server said that it leaves; true when others should hear of it.
    pub fn leaving(&mut self, server: &Server) -> bool {
        if self.mutant == Some(Mutant::LeavingByAddress) {
            self.left.insert(server.addr);
        }
        self.roster.on_leaving(&server.id)
    }

    /// A server wants nothing for a while.
    pub fn paused(&mut self, now: Timestamp, id: &ServerId, pause: Duration) {
        self.pauses.record(now, id, BackOff::For(pause));
    }

    /// Takes what happened here and has it told to all.
    pub fn note(&mut self, now: Timestamp, content: RequestDigest, ago: Duration, fact: Fact) {
        let word = QuarantineUpdate { content, age: ago.as_millis() as u64, fact };
        self.quarantine.apply(now, &word);
        if self.mutant != Some(Mutant::Alone) {
            self.words.push(word);
        }
    }
}
