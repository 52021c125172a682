//! Model of two gateways that are asked to continue a stream while versions of its service come and go,
//! in ticks of a second. The testimonies and their conclusion are those of the router.
//!
//! Gateways may be cut off from the store or killed, also all at once. The invariants: no gateway
//! concludes that a version began the stream which did not, and one that reaches a gateway with the record
//! of the stream concludes which version did.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::SoftwareVersion;
use ebonyloft_router::stream_origin::history::SoftwareHistory;
use ebonyloft_router::stream_origin::{Origin, SoftwareId, Testimony, conclude};

use crate::explore::Spec;

/// A rule of the model to leave out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// No rule is left out.
    None,
    /// A version is forgotten as soon as its last server leaves.
    ForgetsVersions,
    /// The versions of the service are not kept in the store.
    UnsavedHistory,
    /// A gateway trusts its list of servers without asking the store.
    UnconfirmedList,
    /// Of two records of one stream the first one counts.
    FirstRecord,
}

/// All mutants that leave out a rule.
pub const MUTANTS: [Mutant; 4] =
    [Mutant::ForgetsVersions, Mutant::UnsavedHistory, Mutant::UnconfirmedList, Mutant::FirstRecord];

const GATEWAYS: usize = 2;
const VERSIONS: usize = 2;
/// Ticks for which a server that has left may still serve a gateway that does not know.
const SERVES_ON: u8 = 1;
/// Ticks for which a stream may be continued.
const LIFETIME: u8 = 2;

/// Bounds of what may happen in one run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// The last tick.
    pub end: u8,
    /// Versions that join or leave.
    pub changes: u8,
    /// Gateways that are killed.
    pub kills: u8,
    /// Gateways that are cut off from the store.
    pub cuts: u8,
    /// Streams that begin under the one id.
    pub streams: usize,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Gateway {
    up: bool,
    /// Whether it reaches the store.
    connected: bool,
    /// The versions that it knows as registered.
    registered: [bool; VERSIONS],
    history: SoftwareHistory,
    record: Testimony,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StreamOrigin {
    mutant: Mutant,
    bounds: Bounds,
    now: u8,
    gateways: [Gateway; GATEWAYS],
    registered: [bool; VERSIONS],
    /// When each version last joined or left; one that joins stays for a tick at least.
    changed_at: [u8; VERSIONS],
    /// The history and the record in the store.
    saved: SoftwareHistory,
    saved_record: Testimony,
    /// The versions that began streams under the one id, and when the last of them did.
    begun: Vec<usize>,
    begun_at: u8,
    changes: u8,
    kills: u8,
    cuts: u8,
}

fn software(version: usize) -> SoftwareId {
    let version = SoftwareVersion::new(format!("v{version}")).expect("a valid version");
    SoftwareId::new("s", &version)
}

fn merge(known: Testimony, record: Testimony) -> Testimony {
    match (known, record) {
        (Testimony::Nothing, other) | (other, Testimony::Nothing) => other,
        (a, b) if a == b => a,
        _ => Testimony::Contradictory,
    }
}

impl StreamOrigin {
    /// The initial state: both gateways run, and version 0 has served for long.
    pub fn new(mutant: Mutant, bounds: Bounds) -> Self {
        let gateway = Gateway {
            up: true,
            connected: true,
            registered: [true, false],
            history: SoftwareHistory::default(),
            record: Testimony::Nothing,
        };
        let mut state = StreamOrigin {
            mutant,
            bounds,
            now: 0,
            gateways: [gateway.clone(), gateway],
            registered: [true, false],
            changed_at: [0; VERSIONS],
            saved: SoftwareHistory::default(),
            saved_record: Testimony::Nothing,
            begun: Vec::new(),
            begun_at: 0,
            changes: 0,
            kills: 0,
            cuts: 0,
        };
        state.exchange();
        state
    }

    fn time(&self) -> Timestamp {
        Timestamp::default().after(Duration::from_secs(100 + u64::from(self.now)))
    }

    /// One watch of the store brings the list of servers and the history.
    fn watch_store(&self, gateway: &mut Gateway) {
        gateway.registered = self.registered;
        if self.mutant != Mutant::UnsavedHistory {
            gateway.history.merge(&self.saved);
        }
    }

    /// A gateway that reaches the store learns what is registered, and keeps the history there.
    fn read_store(&mut self, gateway: usize) {
        let mut g = self.gateways[gateway].clone();
        if !g.up || !g.connected {
            return;
        }
        self.watch_store(&mut g);
        g.record = merge(g.record, self.saved_record);
        observe(&mut g, self.time(), self.mutant);
        if !g.history.is_covered_by(&self.saved) {
            self.saved = g.history.clone();
        }
        if g.history.is_mixed() {
            self.saved_record = merge(self.saved_record, g.record);
        }
        self.gateways[gateway] = g;
    }

    /// One round of messages: gateways read the store and report records to each other.
    fn exchange(&mut self) {
        (0..GATEWAYS).for_each(|i| self.read_store(i));
        if self.gateways.iter().all(|g| g.up) {
            let all = self.gateways.iter().fold(Testimony::Nothing, |all, g| merge(all, g.record));
            self.gateways.iter_mut().for_each(|g| g.record = all);
        }
        (0..GATEWAYS).for_each(|i| self.read_store(i));
    }

    /// What a gateway answers to a question now. It waits until the store has confirmed its list.
    fn testimony(&self, gateway: usize) -> Testimony {
        let mut g = self.gateways[gateway].clone();
        // A gateway that was killed has no record.
        if !g.up || g.record != Testimony::Nothing {
            return g.record;
        }
        if self.mutant != Mutant::UnconfirmedList {
            if !g.connected {
                return Testimony::Nothing;
            }
            self.watch_store(&mut g);
        }
        observe(&mut g, self.time(), self.mutant);
        g.history.testimony(self.time())
    }

    fn conclusion(&self) -> Origin {
        let known = (0..GATEWAYS).map(|i| self.testimony(i));
        match self.mutant {
            Mutant::FirstRecord => {
                let is_record = |t: &Testimony| matches!(t, Testimony::Recorded(_));
                let all: Vec<Testimony> = known.collect();
                conclude(all.iter().copied().filter(is_record).take(1).chain(
                    all.iter().copied().filter(|t| !is_record(t) && *t != Testimony::Contradictory),
                ))
            }
            _ => conclude(known),
        }
    }

    fn with(&self, change: impl FnOnce(&mut StreamOrigin)) -> StreamOrigin {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn kill(&mut self, gateway: usize) {
        let connected = self.gateways[gateway].connected;
        self.gateways[gateway] = Gateway {
            up: false,
            connected,
            registered: [false; VERSIONS],
            history: SoftwareHistory::default(),
            record: Testimony::Nothing,
        };
    }
}

fn observe(gateway: &mut Gateway, now: Timestamp, mutant: Mutant) {
    let lifetime = match mutant {
        Mutant::ForgetsVersions => Duration::ZERO,
        _ => Duration::from_secs((LIFETIME + SERVES_ON).into()),
    };
    let registered = (0..VERSIONS).filter(|v| gateway.registered[*v]);
    gateway.history.observe(now, lifetime, registered.map(software));
}

impl Spec for StreamOrigin {
    type Label = String;

    fn successors(&self) -> Vec<(String, Self)> {
        if self.now >= self.bounds.end {
            return Vec::new();
        }
        let mut out = vec![(
            format!("tick {}", self.now + 1),
            self.with(|next| {
                next.now += 1;
                next.exchange();
            }),
        )];
        let mut step = |label: String, state| out.push((label, state));
        for version in (0..VERSIONS).filter(|_| self.changes < self.bounds.changes) {
            let joins = !self.registered[version];
            if joins || self.now > self.changed_at[version] {
                let word = if joins { "joins" } else { "leaves" };
                let change = |next: &mut StreamOrigin| {
                    next.changes += 1;
                    next.registered[version] = joins;
                    next.changed_at[version] = next.now;
                };
                step(format!("version {version} {word}"), self.with(change));
            }
        }
        for (i, g) in self.gateways.iter().enumerate() {
            let serves =
                |v: &usize| self.registered[*v] || self.now - self.changed_at[*v] <= SERVES_ON;
            let known = (0..VERSIONS).filter(|v| g.up && g.registered[*v]);
            for version in known.filter(serves).filter(|_| self.begun.len() < self.bounds.streams) {
                let begin = |next: &mut StreamOrigin| {
                    next.begun.push(version);
                    next.begun_at = next.now;
                    let record = Testimony::Recorded(software(version));
                    next.gateways[i].record = merge(next.gateways[i].record, record);
                };
                step(format!("gateway {i} begins a stream at version {version}"), self.with(begin));
            }
            if g.up && self.kills < self.bounds.kills {
                let kill = |next: &mut StreamOrigin| {
                    next.kills += 1;
                    next.kill(i);
                };
                step(format!("gateway {i} is killed"), self.with(kill));
            }
            if !g.up && g.connected {
                let start = |next: &mut StreamOrigin| {
                    next.gateways[i].up = true;
                    next.read_store(i);
                };
                step(format!("gateway {i} starts"), self.with(start));
            }
            if self.cuts < self.bounds.cuts || !g.connected {
                let cut = |next: &mut StreamOrigin| {
                    next.cuts += u8::from(g.connected);
                    next.gateways[i].connected = !g.connected;
                };
                step(format!("gateway {i} and the store: {}", !g.connected), self.with(cut));
            }
        }
        out
    }

    fn violation(&self) -> Option<&'static str> {
        if self.begun.is_empty() || self.now > self.begun_at + LIFETIME {
            return None;
        }
        let records: Vec<Testimony> =
            self.gateways.iter().filter(|g| g.up).map(|g| g.record).collect();
        let has = |version| records.contains(&Testimony::Recorded(software(version)));
        let is_ambiguous = records.contains(&Testimony::Contradictory) || has(0) && has(1);
        let is_recorded = has(0) || has(1);
        match self.conclusion() {
            Origin::Software(_) if is_ambiguous => {
                Some("a stream is continued though two versions used its id")
            }
            Origin::Software(id) if !self.begun.iter().any(|version| software(*version) == id) => {
                Some("a stream is continued by another version than the one that began it")
            }
            Origin::Unknown if is_recorded && !is_ambiguous => {
                Some("a stream of which a gateway has the record is not continued")
            }
            _ => None,
        }
    }
}
