//! How a revision kept by the platform comes into force in every process.
//!
//! In each availability zone the two members that rendezvous hashing names watch the platform; all
//! others hear of a revision from peers and pull its body from the peer that spoke of it. A lower
//! revision is never put in force. A process that heard of no check against the platform for too
//! long asks by itself, with a growing, jittered pause, so an outage does not end in a burst.

use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{MemberId, Peer, Zone};
use crate::members::{Heard, Members};
use crate::time::Moment;

/// Members a zone that watch the platform.
pub const READERS: usize = 2;
/// How long a check against the platform counts as fresh.
pub const FRESH: Duration = Duration::from_secs(12);
/// First pause between a process's own questions to the platform.
pub const PAUSE: Duration = Duration::from_secs(4);
/// Longest such pause.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// How long a pull from a peer may take.
pub const PULL_WAIT: Duration = Duration::from_secs(2);
/// Peers told at once of a new revision.
pub const FANOUT: usize = 4;

/// What the daemon must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Pull the body from this peer.
    Pull(Peer),
    /// Read the platform once.
    Read,
    /// Tell a few peers at once.
    Announce,
}

/// The spreading of one kind of document.
#[derive(Clone, Debug)]
pub struct Spread {
    revision: u64,
    wanted: u64,
    pull_until: Moment,
    source: Option<Peer>,
    checked_at: Moment,
    ask_at: Moment,
    pause: Duration,
    reads: u64,
}

impl Default for Spread {
    fn default() -> Self {
        Spread {
            revision: 0,
            wanted: 0,
            pull_until: Moment(0),
            source: None,
            checked_at: Moment(0),
            ask_at: Moment(0),
            pause: PAUSE,
            reads: 0,
        }
    }
}

impl Spread {
    /// The revision in force; zero when there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the platform was last compared, by anybody heard of.
    pub fn checked_at(&self) -> Moment {
        self.checked_at
    }

    /// Questions to the platform so far.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// A peer knows of a revision, and of a check against the platform.
    pub fn on_heard(
        &mut self,
        now: Moment,
        from: &Peer,
        revision: u64,
        checked_at: Moment,
    ) -> Vec<Effect> {
        // A clock that runs ahead must not keep this process from asking.
        self.note_check(checked_at.min(now));
        if revision > self.wanted {
            self.wanted = revision;
            self.source = Some(from.clone());
            self.pull_until = Moment(0);
        }
        self.pull(now)
    }

    /// The pull failed, or a body did not fit.
    pub fn on_pull_failed(&mut self, now: Moment) {
        self.pull_until = now.after(Duration::from_millis(200));
        self.source = None;
        self.wanted = self.revision;
    }

    /// A body arrived; true when it comes into force now.
    pub fn on_body(&mut self, revision: u64) -> (bool, Vec<Effect>) {
        if revision <= self.revision {
            return (false, Vec::new());
        }
        self.revision = revision;
        self.wanted = self.wanted.max(revision);
        self.source = None;
        (true, vec![Effect::Announce])
    }

    /// The platform answered a question or a watch.
    pub fn on_platform(&mut self, now: Moment) {
        self.note_check(now);
        self.pause = PAUSE;
    }

    /// The platform did not answer.
    pub fn on_platform_failed(&mut self) {
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Time passes.
    pub fn on_tick(&mut self, now: Moment, rng: &mut dyn rand::RngCore) -> Vec<Effect> {
        let mut out = self.pull(now);
        if self.checked_at.after(FRESH) <= now && now >= self.ask_at {
            let jitter = self.pause.mul_f64(rng.random_range(0.5..1.5));
            self.ask_at = now.after(jitter);
            self.reads += 1;
            out.push(Effect::Read);
        }
        out
    }

    fn note_check(&mut self, at: Moment) {
        self.checked_at = self.checked_at.max(at);
    }

    fn pull(&mut self, now: Moment) -> Vec<Effect> {
        if self.wanted <= self.revision || self.pull_until > now {
            return Vec::new();
        }
        let Some(source) = self.source.clone() else {
            return Vec::new();
        };
        self.pull_until = now.after(PULL_WAIT);
        vec![Effect::Pull(source)]
    }
}

/// Is this process one of the readers of its zone?
pub fn is_reader(members: &Members) -> bool {
    let me = members.me();
    let mut zone: Vec<(u64, &MemberId)> = members
        .all()
        .filter(|c| c.zone == me.zone && c.usable())
        .map(|c| (duty(&c.zone, &c.peer.id), &c.peer.id))
        .collect();
    zone.sort_unstable_by(|a, b| b.cmp(a));
    zone.iter().take(READERS).any(|(_, id)| **id == me.peer.id)
}

fn duty(zone: &Zone, id: &MemberId) -> u64 {
    xxh3_64(format!("{zone}\0{id}").as_bytes())
}

/// What a process tells its peers of both kinds of document.
pub fn heard(config: &Spread, placement: &Spread) -> Heard {
    Heard {
        config: config.revision(),
        epoch: placement.revision(),
        checked_at: config.checked_at().min(placement.checked_at()),
    }
}
