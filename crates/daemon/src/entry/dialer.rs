//! Links from an entry to sidecars: dialled on demand, watched for silence, dialled anew.
//!
//! Questions wait while a link is dialled. When a link breaks, the questions on it are given back,
//! each with the word whether the peer's life has certainly ended.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::ids::{MemberId, Peer};
use ebonyloft_core::members::Card;
use ebonyloft_core::message::{Ask, Frame};
use ebonyloft_core::time::Moment;

use crate::link::{self, Identity, LinkSender, Sink};

/// Time between two probes of a link in use; well below the lease.
pub const PING_EVERY: Duration = Duration::from_millis(1_400);
/// Time between two probes of an idle link.
pub const IDLE_PING: Duration = Duration::from_millis(5_000);
/// Silence after a probe that ends a link.
pub const SILENCE: Duration = Duration::from_millis(1_500);
/// Pause between two dials of one peer.
pub const REDIAL: Duration = Duration::from_millis(150);
/// Longest such pause, for a peer that nothing waits for.
pub const LONGEST_REDIAL: Duration = Duration::from_secs(5);
/// How long a link outside the subset is kept without use.
pub const KEEP: Duration = Duration::from_secs(30);

/// A question that lost its link.
#[derive(Clone, Copy, Debug)]
pub struct Lost {
    /// The question.
    pub id: u64,
    /// The peer's life has ended for certain.
    pub gone: bool,
}

enum State {
    Idle { dial_at: Moment },
    Dialing,
    Open { peer: Peer, sender: LinkSender },
}

struct Line {
    state: State,
    link: u64,
    /// Questions not sent yet, with the life they are meant for.
    queue: Vec<(Option<u64>, Peer, Ask)>,
    /// Questions sent and not answered for good.
    open: HashMap<u64, Peer>,
    heard_at: Moment,
    ping_at: Moment,
    /// Until when an answer to the last probe must have come.
    silent_at: Moment,
    used_at: Moment,
    seq: u64,
    /// Dials that failed since the link was last open.
    fails: u32,
}

impl Line {
    fn new() -> Self {
        Line {
            state: State::Idle { dial_at: Moment(0) },
            link: 0,
            queue: Vec::new(),
            open: HashMap::new(),
            heard_at: Moment(0),
            ping_at: Moment(0),
            silent_at: Moment::NEVER,
            used_at: Moment(0),
            seq: 0,
            fails: 0,
        }
    }
}

/// All links of an entry.
pub struct Dialer {
    me: Rc<Identity>,
    sink: Sink,
    lines: HashMap<MemberId, Line>,
    by_link: HashMap<u64, MemberId>,
    cards: HashMap<MemberId, Card>,
    keep: HashSet<MemberId>,
    closed_bytes: u64,
}

impl Dialer {
    /// No links yet.
    pub fn new(me: Rc<Identity>, sink: Sink) -> Self {
        Dialer {
            me,
            sink,
            lines: HashMap::new(),
            by_link: HashMap::new(),
            cards: HashMap::new(),
            keep: HashSet::new(),
            closed_bytes: 0,
        }
    }

    /// The members changed; links to those in `keep` are held open.
    pub fn set_members(&mut self, cards: &[Card], keep: HashSet<MemberId>) {
        self.cards = cards
            .iter()
            .map(|c| (c.peer.id.clone(), c.clone()))
            .collect();
        self.keep = keep;
    }

    /// Sends a question; `id` is none when no answer is awaited.
    pub fn ask(&mut self, now: Moment, to: &Peer, id: Option<u64>, ask: Ask) -> Option<Lost> {
        if self.ended(to) {
            return id.map(|id| Lost { id, gone: true });
        }
        let line = self.lines.entry(to.id.clone()).or_insert_with(Line::new);
        line.used_at = now;
        match &line.state {
            State::Open { peer, sender } if peer.life == to.life => {
                let sender = sender.clone();
                send(line, &sender, id, to, ask);
            }
            State::Open { peer, .. } => {
                let gone = peer.life > to.life;
                return id.map(|id| Lost { id, gone });
            }
            State::Idle { dial_at } => {
                let dial_at = (*dial_at).min(now.after(REDIAL));
                line.state = State::Idle { dial_at };
                line.queue.push((id, to.clone(), ask));
            }
            State::Dialing => line.queue.push((id, to.clone(), ask)),
        }
        None
    }

    /// A question needs no answer any more.
    pub fn done(&mut self, to: &Peer, id: u64) {
        if let Some(line) = self.lines.get_mut(&to.id) {
            line.open.remove(&id);
            line.queue.retain(|(i, ..)| *i != Some(id));
        }
    }

    /// A link opened.
    pub fn on_up(&mut self, now: Moment, link: u64, peer: Peer, sender: LinkSender) -> Vec<Lost> {
        let Some(id) = self.by_link.get(&link).cloned() else {
            sender.close();
            return Vec::new();
        };
        let Some(line) = self.lines.get_mut(&id) else {
            return Vec::new();
        };
        line.heard_at = now;
        line.fails = 0;
        line.ping_at = now;
        line.silent_at = Moment::NEVER;
        line.state = State::Open {
            peer: peer.clone(),
            sender: sender.clone(),
        };
        let mut lost = Vec::new();
        for (id, to, ask) in std::mem::take(&mut line.queue) {
            if to == peer {
                send(line, &sender, id, &to, ask);
            } else if let Some(id) = id {
                lost.push(Lost {
                    id,
                    gone: peer.life > to.life,
                });
            }
        }
        lost
    }

    /// A frame arrived on a link; true when it is one of this entry's links.
    pub fn on_heard(&mut self, now: Moment, link: u64) -> bool {
        let Some(line) = self
            .by_link
            .get(&link)
            .and_then(|id| self.lines.get_mut(id))
        else {
            return false;
        };
        line.heard_at = now;
        line.silent_at = Moment::NEVER;
        true
    }

    /// A link ended, or a dial failed.
    pub fn on_down(&mut self, now: Moment, link: u64) -> Vec<Lost> {
        let Some(id) = self.by_link.remove(&link) else {
            return Vec::new();
        };
        let cards = &self.cards;
        let Some(line) = self.lines.get_mut(&id) else {
            return Vec::new();
        };
        if line.link != link {
            return Vec::new();
        }
        if let State::Open { sender, .. } = &line.state {
            self.closed_bytes += sender.sent();
        }
        let pause = match line.queue.is_empty() {
            true => (REDIAL * 2_u32.pow(line.fails.min(8))).min(LONGEST_REDIAL),
            false => REDIAL,
        };
        line.fails += 1;
        line.state = State::Idle {
            dial_at: now.after(pause),
        };
        let mut lost: Vec<Lost> = line
            .open
            .drain()
            .map(|(id, to)| Lost {
                id,
                gone: ended(cards, &to),
            })
            .collect();
        lost.sort_unstable_by_key(|l| l.id);
        lost.extend(drop_ended(cards, line));
        lost
    }

    /// Time passes: dial, probe, close what is silent or unused.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Lost> {
        let mut lost = Vec::new();
        for id in self.keep.clone() {
            self.lines.entry(id).or_insert_with(Line::new);
        }
        let mut silent = Vec::new();
        let ids: Vec<MemberId> = self.lines.keys().cloned().collect();
        for id in ids {
            let cards = &self.cards;
            let Some(line) = self.lines.get_mut(&id) else {
                continue;
            };
            lost.extend(drop_ended(cards, line));
            match &line.state {
                State::Idle { dial_at } if *dial_at <= now => self.dial_or_drop(&id),
                State::Open { sender, .. } => {
                    let sender = sender.clone();
                    let unused = !self.keep.contains(&id)
                        && line.open.is_empty()
                        && line.used_at.after(KEEP) <= now;
                    if unused {
                        sender.close();
                    } else if line.silent_at <= now {
                        tracing::warn!(member = %id, "link went silent");
                        silent.push(line.link);
                        sender.close();
                    } else {
                        probe(now, line, &sender);
                    }
                }
                _ => {}
            }
        }
        for link in silent {
            lost.extend(self.on_down(now, link));
        }
        lost
    }

    /// Closes all links.
    pub fn close(self) {
        for line in self.lines.values() {
            if let State::Open { sender, .. } = &line.state {
                sender.close();
            }
        }
    }

    fn ended(&self, peer: &Peer) -> bool {
        ended(&self.cards, peer)
    }

    fn dial_or_drop(&mut self, id: &MemberId) {
        let Some(line) = self.lines.get_mut(id) else {
            return;
        };
        let wanted = self.keep.contains(id) || !line.queue.is_empty();
        let Some(card) = self.cards.get(id).filter(|_| wanted) else {
            if !wanted {
                self.lines.remove(id);
            }
            return;
        };
        line.link = link::next_link();
        line.state = State::Dialing;
        self.by_link.insert(line.link, id.clone());
        link::dial(line.link, card.addr, self.me.clone(), self.sink.clone());
    }
}

/// Questions that can't be sent because the life they were meant for has ended.
fn drop_ended(cards: &HashMap<MemberId, Card>, line: &mut Line) -> Vec<Lost> {
    let mut lost = Vec::new();
    line.queue.retain(|(id, to, _)| {
        let gone = ended(cards, to);
        if gone && let Some(id) = id {
            lost.push(Lost {
                id: *id,
                gone: true,
            });
        }
        !gone
    });
    lost
}

fn ended(cards: &HashMap<MemberId, Card>, peer: &Peer) -> bool {
    use ebonyloft_core::members::Standing;
    cards.get(&peer.id).is_some_and(|c| {
        c.peer.life > peer.life || (c.peer == *peer && c.standing == Standing::Left)
    })
}

fn send(line: &mut Line, sender: &LinkSender, id: Option<u64>, to: &Peer, ask: Ask) {
    if let Some(id) = id {
        line.open.insert(id, to.clone());
    }
    sender.send(&Frame::Ask {
        id: id.unwrap_or(0),
        ask,
    });
}

/// A link in use renews its lease often; an idle one is probed seldom.
fn probe(now: Moment, line: &mut Line, sender: &LinkSender) {
    let every = if line.open.is_empty() {
        IDLE_PING
    } else {
        PING_EVERY
    };
    if line.ping_at.after(every) > now {
        return;
    }
    line.seq += 1;
    line.ping_at = now;
    if line.silent_at == Moment::NEVER {
        line.silent_at = now.after(SILENCE);
    }
    sender.send(&Frame::Ping { seq: line.seq });
}
