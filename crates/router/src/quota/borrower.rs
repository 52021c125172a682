//! What a gateway has borrowed of bounds and not used yet.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use super::{Key, LOAN_LIFE};

/// Time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(1_000);
/// Demand that is borrowed ahead.
const AHEAD: Duration = Duration::from_millis(300);
/// A bound that was not asked for so long is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// Tokens of one loan, and until when they may be used.
#[derive(Clone, Copy, Debug)]
struct Lot {
    tokens: u64,
    ends_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Row {
    lots: VecDeque<Lot>,
    /// Tokens a second, as of `seen_at`.
    demand: f64,
    seen_at: Timestamp,
    /// Until when the home has no room, and when a caller should come back.
    over: Option<(Timestamp, Timestamp)>,
}

/// The tokens that a gateway holds, by bound.
#[derive(Clone, Debug, Default)]
pub struct Borrower {
    rows: HashMap<Key, Row>,
}

impl Borrower {
    /// A request asks for so much: true when that is held here, and is taken.
    pub fn take(&mut self, now: Timestamp, key: &Key, need: u64) -> bool {
        let row = self.row(key);
        row.note(now, need);
        row.take(now, need)
    }

    /// Takes what a request needs from what a loan brought.
    pub fn take_lent(&mut self, now: Timestamp, key: &Key, need: u64) -> bool {
        self.row(key).take(now, need)
    }

    /// Is the bound known to be used up now? Until when, and when to come back.
    pub fn over(&self, now: Timestamp, key: &Key) -> Option<(Timestamp, Timestamp)> {
        let (room_at, back_at) = self.rows.get(key)?.over?;
        (now < room_at).then_some((room_at, back_at))
    }

    /// What is worth borrowing beside the request that is there.
    pub fn more(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |row| (row.demand * AHEAD.as_secs_f64()) as u64)
    }

    /// The home lent so much, asked at `asked`.
    pub fn lent(&mut self, key: &Key, asked: Timestamp, tokens: u64) {
        let row = self.row(key);
        row.over = None;
        row.lots.push_back(Lot { tokens, ends_at: asked.after(LOAN_LIFE) });
    }

    /// The home has no room.
    pub fn refused(&mut self, key: &Key, room_at: Timestamp, back_at: Timestamp) {
        self.row(key).over = Some((room_at, back_at));
    }

    /// A request did not run: what it took can be used by another one.
    pub fn give_back(&mut self, now: Timestamp, key: &Key, tokens: u64) {
        self.row(key).lots.push_back(Lot { tokens, ends_at: now.after(LOAN_LIFE) });
    }

    /// Tokens held of a bound.
    pub fn held(&self, now: Timestamp, key: &Key) -> u64 {
        let lots = self.rows.get(key).map(|row| &row.lots).into_iter().flatten();
        lots.filter(|lot| now < lot.ends_at).map(|lot| lot.tokens).sum()
    }

    /// Takes out what would lapse unused within `soon`: it goes back to its home, which can lend it anew.
    pub fn unused(&mut self, now: Timestamp, soon: Duration) -> Vec<(Key, u64)> {
        let end = now.after(soon);
        let rows = self.rows.iter_mut().map(|(key, row)| (key, row.cut(now, end)));
        rows.filter(|(_, tokens)| *tokens > 0).map(|(key, tokens)| (key.clone(), tokens)).collect()
    }

    /// Forgets bounds that nothing is asked of.
    pub fn expire(&mut self, now: Timestamp) {
        self.rows.retain(|_, row| now.since(row.seen_at) < FORGET);
    }

    fn row(&mut self, key: &Key) -> &mut Row {
        if !self.rows.contains_key(key) {
            self.rows.insert(key.clone(), Row::default());
        }
        self.rows.get_mut(key).expect("it was put in")
    }
}

impl Row {
    fn note(&mut self, now: Timestamp, need: u64) {
        let span = DEMAND_SPAN.as_secs_f64();
        let kept = (-now.since(self.seen_at).as_secs_f64() / span).exp();
        self.demand = self.demand * kept + need as f64 / span;
        self.seen_at = now;
    }

    /// Takes out what ends before `end`, of what has not lapsed.
    fn cut(&mut self, now: Timestamp, end: Timestamp) -> u64 {
        let ends = |lot: &&Lot| now < lot.ends_at && lot.ends_at <= end;
        let tokens = self.lots.iter().filter(ends).map(|lot| lot.tokens).sum();
        self.lots.retain(|lot| lot.ends_at > end);
        tokens
    }

    fn take(&mut self, now: Timestamp, need: u64) -> bool {
        self.lots.retain(|lot| now < lot.ends_at);
        let held = self.lots.iter().fold(0_u64, |sum, lot| sum.saturating_add(lot.tokens));
        if held < need {
            return false;
        }
        let mut left = need;
        while let Some(lot) = self.lots.front_mut()
            && left > 0
        {
            let used = left.min(lot.tokens);
            lot.tokens -= used;
            left -= used;
            if lot.tokens == 0 {
                self.lots.pop_front();
            }
        }
        true
    }
}
