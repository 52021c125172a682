//! Which processes there are, learned from peers.
//!
//! Each period a member probes one random peer and passes on a fixed number of cards: those that
//! changed lately first, then a rotating part of the table. So the bytes a second do not grow with
//! the fleet. A member that hears its own suspicion answers with a higher version. A slow observer
//! doubts itself first: while most of its own probes fail it suspects nobody.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::config::Labels;
use crate::ids::{Incarnation, MemberId, Peer, Zone};
use crate::time::Moment;

/// Time between two probes of one member.
pub const PERIOD: Duration = Duration::from_millis(3_000);
/// Cards a datagram carries beside the sender's own.
pub const CARDS: usize = 5;
/// How long a suspicion lasts before the member counts as dead.
pub const SUSPICION: Duration = Duration::from_secs(6);
/// Members asked to probe a silent one.
pub const HELPERS: usize = 2;
/// How long a member's own word outweighs what others say of it.
pub const DIRECT: Duration = Duration::from_secs(5);
/// How long a dead or departed member is remembered.
pub const GRAVE: Duration = Duration::from_secs(600);
/// Probes looked back on when an observer doubts itself.
const MEMORY: u32 = 8;

/// What a process does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a backend server.
    Sidecar,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Works.
    Live,
    /// Takes no new work.
    Leaving,
    /// Did not answer lately.
    Suspect,
    /// Did not answer for too long; may come back.
    Dead,
    /// Left, or confirmed gone by the platform; this life never comes back.
    Left,
}

/// What is known of a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Card {
    /// Name and life.
    pub peer: Peer,
    /// Grows with each change that the member itself makes.
    pub version: u32,
    /// How it stands.
    pub standing: Standing,
    /// What it does.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// Address of its links and datagrams.
    pub addr: SocketAddr,
    /// Its labels.
    pub labels: Labels,
}

impl Card {
    /// Later knowledge compares greater.
    fn rank(&self) -> (Incarnation, bool, u32, Standing) {
        let left = self.standing == Standing::Left;
        (self.peer.life, left, self.version, self.standing)
    }

    /// May it get new work?
    pub fn usable(&self) -> bool {
        self.standing == Standing::Live
    }
}

/// Revisions that travel with each datagram.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heard {
    /// Newest configuration revision.
    pub config: u64,
    /// Newest placement epoch.
    pub epoch: u64,
    /// When a reader last compared them with the platform.
    pub checked_at: Moment,
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Datagram {
    /// What it asks.
    pub kind: Kind,
    /// The sender.
    pub from: Card,
    /// Revisions it knows of.
    pub heard: Heard,
    /// Cards passed on.
    pub cards: Vec<Card>,
}

/// What a datagram asks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Answer with `Ack`.
    Probe { seq: u64 },
    /// Answer to a probe.
    Ack { seq: u64 },
    /// Probe this address for me and pass the answer on.
    ProbeFor { seq: u64, target: SocketAddr },
    /// Nothing; news only.
    News,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub data: Datagram,
}

struct Known {
    card: Card,
    sends_left: u32,
    since: Moment,
    /// When it last spoke to this process itself.
    heard_at: Moment,
}

struct Probe {
    target: MemberId,
    seq: u64,
    helped: bool,
    due: Moment,
}

/// The members as one process sees them.
pub struct Members {
    me: Card,
    known: BTreeMap<MemberId, Known>,
    probe: Option<Probe>,
    next_at: Moment,
    seq: u64,
    relays: HashMap<u64, (SocketAddr, u64, Moment)>,
    cursor: Option<MemberId>,
    failures: u32,
    changes: u64,
}

impl Members {
    /// Knows only itself.
    pub fn new(me: Card) -> Self {
        Members {
            me,
            known: BTreeMap::new(),
            probe: None,
            next_at: Moment(0),
            seq: 0,
            relays: HashMap::new(),
            cursor: None,
            failures: 0,
            changes: 0,
        }
    }

    /// This process's own card.
    pub fn me(&self) -> &Card {
        &self.me
    }

    /// Grows when anything known changes.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// All members known, this process included.
    pub fn all(&self) -> impl Iterator<Item = &Card> {
        std::iter::once(&self.me).chain(self.known.values().map(|k| &k.card))
    }

    /// A member's card.
    pub fn card(&self, id: &MemberId) -> Option<&Card> {
        if *id == self.me.peer.id {
            Some(&self.me)
        } else {
            self.known.get(id).map(|k| &k.card)
        }
    }

    /// Members that may get new work, in a role.
    pub fn usable(&self, role: Role) -> impl Iterator<Item = &Card> {
        self.all().filter(move |c| c.role == role && c.usable())
    }

    /// What is known was learned from one who spreads it already: pass nothing on as news.
    pub fn settle(&mut self) {
        for known in self.known.values_mut() {
            known.sends_left = 0;
        }
    }

    /// Has this life certainly ended?
    pub fn ended(&self, peer: &Peer) -> bool {
        self.card(&peer.id).is_some_and(|c| {
            c.peer.life > peer.life || (c.peer == *peer && c.standing == Standing::Left)
        })
    }

    /// This process changes its own standing.
    pub fn set_standing(&mut self, standing: Standing) {
        self.me.standing = standing;
        self.me.version += 1;
        self.changes += 1;
    }

    /// Learns a card, from a peer or a seed.
    pub fn learn(&mut self, now: Moment, card: Card) {
        if card.peer.id == self.me.peer.id {
            return self.refute(&card);
        }
        let known = self.known.get(&card.peer.id);
        let fresh = known.is_none_or(|k| card.rank() > k.card.rank());
        let hearsay = known.is_some_and(|k| {
            k.card.peer == card.peer
                && k.card.version == card.version
                && matches!(card.standing, Standing::Suspect | Standing::Dead)
                && k.heard_at.after(DIRECT) > now
        });
        if fresh && !hearsay {
            let same = known.filter(|k| k.card.peer == card.peer);
            let heard_at = same.map_or(Moment(0), |k| k.heard_at);
            let sends_left = self.sends();
            self.changes += 1;
            let id = card.peer.id.clone();
            self.known.insert(
                id,
                Known {
                    card,
                    sends_left,
                    since: now,
                    heard_at,
                },
            );
        }
    }

    /// This life spoke to this process itself, by datagram or link: it is not dead.
    pub fn on_contact(&mut self, now: Moment, peer: &Peer) {
        let Some(known) = self
            .known
            .get_mut(&peer.id)
            .filter(|k| k.card.peer == *peer)
        else {
            return;
        };
        known.heard_at = now;
        if matches!(known.card.standing, Standing::Suspect | Standing::Dead) {
            known.card.standing = Standing::Live;
            known.since = now;
            self.changes += 1;
        }
    }

    /// The platform's list confirms that this life is gone.
    pub fn confirm_gone(&mut self, now: Moment, peer: &Peer) {
        let Some(known) = self.known.get(&peer.id) else {
            return;
        };
        if known.card.peer == *peer && known.card.standing != Standing::Left {
            let card = Card {
                standing: Standing::Left,
                ..known.card.clone()
            };
            self.learn(now, card);
        }
    }

    /// Somebody says that this process is dead or suspect: say otherwise.
    fn refute(&mut self, card: &Card) {
        let same_life = card.peer.life == self.me.peer.life;
        if same_life && card.standing > self.me.standing && card.version >= self.me.version {
            self.me.version = card.version + 1;
            self.changes += 1;
        }
    }

    fn sends(&self) -> u32 {
        3 * (usize::BITS - self.known.len().leading_zeros()).max(1)
    }

    /// A datagram arrived.
    pub fn on_datagram(
        &mut self,
        now: Moment,
        src: SocketAddr,
        data: Datagram,
        heard: Heard,
    ) -> Vec<Send> {
        let sender_peer = data.from.peer.clone();
        let sender = sender_peer.id.clone();
        self.learn(now, data.from);
        for card in data.cards {
            self.learn(now, card);
        }
        let mut out = Vec::new();
        // Whoever is wrongly called dead learns of it at once, and can say otherwise.
        let wronged = self
            .known
            .get(&sender)
            .filter(|k| k.card.standing > Standing::Leaving);
        if let Some(card) = wronged.map(|k| k.card.clone()) {
            let from = self.me.clone();
            let data = Datagram {
                kind: Kind::News,
                from,
                heard,
                cards: vec![card],
            };
            out.push(Send { to: src, data });
        }
        self.on_contact(now, &sender_peer);
        match data.kind {
            Kind::Probe { seq } => out.push(self.datagram(src, Kind::Ack { seq }, heard)),
            Kind::Ack { seq } => self.on_ack(seq, heard, &mut out),
            Kind::ProbeFor { seq, target } => {
                self.seq += 1;
                self.relays.insert(self.seq, (src, seq, now.after(PERIOD)));
                let kind = Kind::Probe { seq: self.seq };
                out.push(self.datagram(target, kind, heard));
            }
            Kind::News => {}
        }
        out
    }

    fn on_ack(&mut self, seq: u64, heard: Heard, out: &mut Vec<Send>) {
        if let Some((asker, theirs, _)) = self.relays.remove(&seq) {
            let kind = Kind::Ack { seq: theirs };
            return out.push(self.datagram(asker, kind, heard));
        }
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            self.probe = None;
            self.failures = self.failures.saturating_sub(1);
        }
    }

    /// Time passes: probe, suspect, bury.
    pub fn on_tick(&mut self, now: Moment, rng: &mut dyn rand::RngCore, heard: Heard) -> Vec<Send> {
        let mut out = Vec::new();
        self.check_probe(now, rng, heard, &mut out);
        self.relays.retain(|_, (_, _, until)| *until > now);
        self.age(now);
        if now >= self.next_at {
            let jitter = Duration::from_millis(rng.random_range(0..200));
            self.next_at = now.after(PERIOD).after(jitter);
            self.begin_probe(now, rng, heard, &mut out);
        }
        out
    }

    /// News for a few random peers, at once.
    pub fn announce(
        &mut self,
        rng: &mut dyn rand::RngCore,
        heard: Heard,
        count: usize,
    ) -> Vec<Send> {
        let targets = self.random_peers(rng, count, None);
        targets
            .into_iter()
            .map(|to| self.datagram(to, Kind::News, heard))
            .collect()
    }

    fn begin_probe(
        &mut self,
        now: Moment,
        rng: &mut dyn rand::RngCore,
        heard: Heard,
        out: &mut Vec<Send>,
    ) {
        let candidates = self
            .known
            .values()
            .filter(|k| k.card.standing != Standing::Left);
        let Some(target) = candidates.choose(rng).map(|k| k.card.clone()) else {
            return;
        };
        self.seq += 1;
        let due = now.after(PERIOD / 4);
        let target_id = target.peer.id.clone();
        self.probe = Some(Probe {
            target: target_id,
            seq: self.seq,
            helped: false,
            due,
        });
        let kind = Kind::Probe { seq: self.seq };
        out.push(self.datagram(target.addr, kind, heard));
    }

    fn check_probe(
        &mut self,
        now: Moment,
        rng: &mut dyn rand::RngCore,
        heard: Heard,
        out: &mut Vec<Send>,
    ) {
        let Some(probe) = self.probe.as_mut().filter(|p| p.due <= now) else {
            return;
        };
        let (target, seq) = (probe.target.clone(), probe.seq);
        if !probe.helped {
            probe.helped = true;
            probe.due = now.after(PERIOD / 2);
            let Some(addr) = self.known.get(&target).map(|k| k.card.addr) else {
                return;
            };
            let helpers = self.random_peers(rng, HELPERS, Some(&target));
            let kind = Kind::ProbeFor { seq, target: addr };
            out.extend(helpers.into_iter().map(|to| self.datagram(to, kind, heard)));
            return;
        }
        self.probe = None;
        self.failures = (self.failures + 1).min(MEMORY);
        if self.failures <= MEMORY / 2 {
            self.mark(now, &target, Standing::Live, Standing::Suspect);
        }
    }

    fn mark(&mut self, now: Moment, id: &MemberId, from: Standing, to: Standing) {
        let Some(k) = self.known.get(id) else { return };
        if k.card.standing == from
            || (from == Standing::Live && k.card.standing == Standing::Leaving)
        {
            let card = Card {
                standing: to,
                ..k.card.clone()
            };
            self.learn(now, card);
        }
    }

    fn age(&mut self, now: Moment) {
        let late =
            |k: &Known, s: Standing, d: Duration| k.card.standing == s && k.since.after(d) <= now;
        let dead: Vec<MemberId> = self
            .known
            .values()
            .filter(|k| late(k, Standing::Suspect, SUSPICION))
            .map(|k| k.card.peer.id.clone())
            .collect();
        for id in dead {
            self.mark(now, &id, Standing::Suspect, Standing::Dead);
        }
        let before = self.known.len();
        self.known
            .retain(|_, k| !late(k, Standing::Left, GRAVE) && !late(k, Standing::Dead, GRAVE));
        self.changes += (before - self.known.len()) as u64;
    }

    fn random_peers(
        &self,
        rng: &mut dyn rand::RngCore,
        count: usize,
        not: Option<&MemberId>,
    ) -> Vec<SocketAddr> {
        self.known
            .values()
            .filter(|k| k.card.standing <= Standing::Leaving && Some(&k.card.peer.id) != not)
            .map(|k| k.card.addr)
            .choose_multiple(rng, count)
    }

    fn datagram(&mut self, to: SocketAddr, kind: Kind, heard: Heard) -> Send {
        let cards = self.pick_cards();
        Send {
            to,
            data: Datagram {
                kind,
                from: self.me.clone(),
                heard,
                cards,
            },
        }
    }

    /// Cards that changed lately, then the next ones of the table.
    fn pick_cards(&mut self) -> Vec<Card> {
        let mut hot: Vec<(u32, MemberId)> = self
            .known
            .iter()
            .filter(|(_, k)| k.sends_left > 0)
            .map(|(id, k)| (k.sends_left, id.clone()))
            .collect();
        hot.sort_by(|a, b| b.cmp(a));
        hot.truncate(CARDS);
        let mut ids: Vec<MemberId> = hot.into_iter().map(|(_, id)| id).collect();
        while ids.len() < CARDS.min(self.known.len()) {
            let Some(id) = self.next_in_turn() else { break };
            if ids.contains(&id) {
                break;
            }
            ids.push(id);
        }
        let mut cards = Vec::with_capacity(ids.len());
        for id in ids {
            if let Some(k) = self.known.get_mut(&id) {
                k.sends_left = k.sends_left.saturating_sub(1);
                cards.push(k.card.clone());
            }
        }
        cards
    }

    fn next_in_turn(&mut self) -> Option<MemberId> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.cursor.clone().unwrap_or_default();
        let next = self
            .known
            .range((Excluded(after), Unbounded))
            .next()
            .or_else(|| self.known.iter().next())
            .map(|(id, _)| id.clone());
        self.cursor = next.clone();
        next
    }
}
