//! Whether a backend server ended when an answer of it broke off.
//!
//! An answer also breaks off when it is lost or spoiled on its way, when connections are reset, or when this
//! process or the path was away. Then the server is alive: it answers what is sent to it later. It has
//! ended when its registration is gone, when another life answers at its address, or when nobody listens
//! there any more. A loss of which neither is learned in time proves nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Server, ServerId};
use crate::content::Content;

/// Time from the loss of a stream until its server is asked whether it lives: what the crash of a process
/// takes to close its port.
pub const STREAM_WAIT: Duration = Duration::from_millis(30);
/// The same for a short call: by then other calls to the server mostly tell.
pub const CALL_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between the first two questions to one server; it grows by half of it with each further one.
pub const ASK_GAP: Duration = Duration::from_millis(150);
/// Questions that must find nobody listening: one may be turned away by a server that has too many
/// connections.
const REFUSALS: u32 = 2;
/// How long a loss is looked into: a registration lapses within three heartbeats, and a server that crashed
/// is back after some seconds, in another life.
pub const LOSS_LIFE: Duration = Duration::from_millis(6_000);
/// Questions to one server about one run of losses; spread over that time.
const ASKS_MAX: u32 = 10;

/// A run that broke off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    /// What was running.
    pub content: Content,
    /// It had only just begun.
    pub early: bool,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it was lost.
    pub at: Timestamp,
    /// Number of the inquiry.
    pub number: u64,
}

/// What came of a question whether a server lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Found {
    /// The life that was asked answered.
    Alive,
    /// Another life answered.
    Other,
    /// Nobody listens at its address.
    Nobody,
    /// No answer.
    Silence,
}

#[derive(Clone, Debug)]
struct Case {
    addr: SocketAddr,
    losses: Vec<Loss>,
    ask_at: Timestamp,
    asked: u32,
    refusals: u32,
}

/// Losses that are being looked into, by the server's life.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    cases: BTreeMap<ServerId, Case>,
}

impl Losses {
    /// A run at a server broke off; the server is asked after `wait` unless something is learned before.
    pub fn lost(&mut self, server: &Server, loss: Loss, wait: Duration) {
        let ask_at = loss.at.after(wait);
        let case = self.cases.entry(server.id.clone()).or_insert_with(|| Case {
            addr: server.addr,
            losses: Vec::new(),
            ask_at,
            asked: 0,
            refusals: 0,
        });
        case.ask_at = case.ask_at.min(ask_at);
        case.losses.push(loss);
    }

    /// The server answered what was sent to it at `sent`: what broke off before did not end it.
    pub fn alive(&mut self, id: &ServerId, sent: Timestamp) -> Vec<Loss> {
        let Some(case) = self.cases.get_mut(id) else {
            return Vec::new();
        };
        case.refusals = 0;
        let (cleared, left) = case.losses.drain(..).partition(|loss| loss.at <= sent);
        case.losses = left;
        if case.losses.is_empty() {
            self.cases.remove(id);
        }
        cleared
    }

    /// The server has ended, with everything that broke off there then. What was sent after the first loss met
    /// a server that was down already.
    pub fn ended(&mut self, id: &ServerId) -> Vec<Loss> {
        let mut losses = self.cases.remove(id).map_or_else(Vec::new, |case| case.losses);
        let first = losses.iter().map(|loss| loss.at).min().unwrap_or_default();
        losses.retain(|loss| loss.sent <= first);
        losses
    }

    /// The same for all lives of a name but `current`, each with its losses.
    pub fn ended_but(
        &mut self,
        name: &str,
        current: Option<&ServerId>,
    ) -> Vec<(ServerId, Vec<Loss>)> {
        let over = |id: &&ServerId| id.name == name && Some(*id) != current;
        let ids: Vec<ServerId> = self.cases.keys().filter(over).cloned().collect();
        ids.into_iter().map(|id| (id.clone(), self.ended(&id))).collect()
    }

    /// Lives that have ended since another one registered at their address.
    pub fn replaced(&self, addr: SocketAddr, by: &ServerId) -> Vec<ServerId> {
        let there = self.cases.iter().filter(|(id, case)| case.addr == addr && *id != by);
        there.map(|(id, _)| id.clone()).collect()
    }

    /// Servers to be asked now; each is asked again later unless something is learned.
    pub fn ask(&mut self, now: Timestamp) -> Vec<(ServerId, SocketAddr)> {
        let mut due = Vec::new();
        for (id, case) in &mut self.cases {
            if case.ask_at <= now && case.asked < ASKS_MAX {
                case.ask_at = now.after(ASK_GAP + ASK_GAP / 2 * case.asked);
                case.asked += 1;
                due.push((id.clone(), case.addr));
            }
        }
        due
    }

    /// When a server is to be asked next.
    pub fn next_ask(&self) -> Option<Timestamp> {
        let asks = self.cases.values().filter(|case| case.asked < ASKS_MAX);
        asks.map(|case| case.ask_at).min()
    }

    /// What a question found; true when the server has ended.
    pub fn found(&mut self, id: &ServerId, found: Found) -> bool {
        let Some(case) = self.cases.get_mut(id) else {
            return false;
        };
        match found {
            Found::Other => true,
            Found::Nobody => {
                case.refusals += 1;
                case.refusals >= REFUSALS
            }
            Found::Alive | Found::Silence => false,
        }
    }

    /// Losses of which nothing was learned in time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(ServerId, Loss)> {
        let mut over = Vec::new();
        for (id, case) in &mut self.cases {
            let (old, left) =
                case.losses.drain(..).partition(|loss| loss.at.after(LOSS_LIFE) <= now);
            case.losses = left;
            let old: Vec<Loss> = old;
            over.extend(old.into_iter().map(|loss| (id.clone(), loss)));
        }
        self.cases.retain(|_, case| !case.losses.is_empty());
        over
    }

    /// Is a run of this content being looked into?
    pub fn is_open(&self, content: &Content) -> bool {
        self.cases.values().any(|case| case.losses.iter().any(|loss| loss.content == *content))
    }
}
