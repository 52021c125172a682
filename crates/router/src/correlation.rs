//! Which answers on a connection belong to which exchange.
//!
//! A faulty server may answer an exchange twice, and the second answer may arrive while a later
//! exchange on the same connection waits for its own. Servers echo the id of an attempt, so an answer
//! to another attempt is recognised. Nothing tells two exchanges of one attempt apart, nor exchanges
//! without an id: a connection that carried one such exchange carries no other.

use crate::divergence::stable_hash;

/// Exchanges that one connection carries at most; bounds the ids kept for it.
pub const EXCHANGES_MAX: usize = 64;

/// What identifies an exchange in its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exchange<'a> {
    /// The id of a caller's attempt, which the server echoes.
    Attempt(&'a str),
    /// Nothing, and the answer takes effect.
    Unnamed,
    /// Nothing, and the answer has no effect.
    Unread,
    /// Nothing is needed: the other end is a peer or the store, which answer each exchange once.
    Trusted,
}

impl<'a> Exchange<'a> {
    /// The exchange of a caller's request, which may lack an id.
    pub fn of_attempt(attempt: Option<&'a str>) -> Exchange<'a> {
        attempt.filter(|id| !id.is_empty()).map_or(Exchange::Unnamed, Exchange::Attempt)
    }

    /// The id of its attempt.
    pub fn id(self) -> Option<&'a str> {
        match self {
            Exchange::Attempt(id) => Some(id),
            Exchange::Unnamed | Exchange::Unread | Exchange::Trusted => None,
        }
    }
}

/// The exchange that an answer names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo<'a> {
    /// None.
    Absent,
    /// This attempt.
    Attempt(&'a str),
    /// Several, or an id that is not text.
    Malformed,
}

impl<'a> Echo<'a> {
    /// The id of the attempt that it names.
    pub fn id(self) -> Option<&'a str> {
        match self {
            Echo::Attempt(id) => Some(id),
            Echo::Absent | Echo::Malformed => None,
        }
    }
}

/// The exchanges that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct Correlation {
    /// Hashes of the attempts.
    attempts: Vec<u64>,
    /// All exchanges with a backend server, the current one included.
    exchanges: usize,
    /// It is a connection to a peer or the store.
    is_trusted: bool,
    /// The answer to a call without effect may have been another exchange's, and its own may follow.
    is_uncertain: bool,
}

impl Correlation {
    /// May the connection carry this exchange? Not if a second answer to an earlier one could pass
    /// for its answer, or if the other end was another kind of process for an earlier one.
    pub fn may_carry(&self, exchange: Exchange<'_>) -> bool {
        match exchange {
            Exchange::Trusted => self.exchanges == 0,
            _ if self.is_trusted => false,
            Exchange::Attempt(id) => {
                !self.attempts.contains(&stable_hash(id)) && !self.is_exhausted()
            }
            Exchange::Unnamed => self.exchanges == 0,
            Exchange::Unread => !self.is_exhausted(),
        }
    }

    /// Exchanges that the connection has carried, the current one included.
    pub fn exchanges(&self) -> usize {
        self.exchanges
    }

    /// Has the connection carried its last exchange?
    pub fn is_exhausted(&self) -> bool {
        self.exchanges >= EXCHANGES_MAX || self.is_uncertain
    }

    /// Starts an exchange.
    pub fn begin(&mut self, exchange: Exchange<'_>) {
        if exchange == Exchange::Trusted {
            self.is_trusted = true;
            return;
        }
        self.exchanges += 1;
        self.is_uncertain |= exchange == Exchange::Unread && self.exchanges > 1;
        if let Exchange::Attempt(id) = exchange {
            self.attempts.push(stable_hash(id));
        }
    }

    /// Is an answer that names `echo` the answer to the exchange that began last? One without an id
    /// is accepted only on a connection that has carried nothing else.
    pub fn is_answer(&self, exchange: Exchange<'_>, echo: Echo<'_>) -> bool {
        let is_first = self.exchanges == 1;
        match (exchange, echo) {
            (Exchange::Trusted, _) => true,
            (Exchange::Attempt(id), Echo::Attempt(named)) => id == named,
            (Exchange::Attempt(_) | Exchange::Unnamed, Echo::Absent) => is_first,
            (Exchange::Unread, Echo::Absent) => true,
            (Exchange::Unnamed | Exchange::Unread, Echo::Attempt(_)) => false,
            (_, Echo::Malformed) => false,
        }
    }
}
