//! What a home has lent of its bounds.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::limits::Bucket;
use ebonyloft_core::time::Timestamp;

use super::{Ask, Key, Reply};
use crate::node::Excess;

/// Part of a full bucket that is lent only for requests that are there, not ahead of them.
const KEPT_PART: f64 = 0.5;
/// Longest time that callers who are over a quota are spread over.
const SPREAD_MAX: Duration = Duration::from_secs(10);
/// A process that did nothing for longer was paused: others may have lent in its place.
const PAUSE: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug)]
struct Row {
    bucket: Bucket,
    /// As the operator set it.
    bound: Rate,
    /// When the last of those who were sent away comes back.
    back_at: Timestamp,
}

/// For how long a question that is asked again gets the same answer: its first answer may have been lost.
const REPEATED: Duration = Duration::from_millis(500);
/// Part of what is tolerated beyond a quota that a deputy may lend while it can't know whether the home does.
const SPARE_PART: f64 = 0.5;

/// The part of a bound that a deputy lends beside a home that may be alive.
pub fn spare(bound: &Rate, excess: &Excess) -> f64 {
    let allowed = bound.rate * excess.window.as_secs_f64() + bound.burst;
    SPARE_PART * (excess.part + excess.fixed / allowed.max(1.0)).min(1.0)
}

/// The bounds whose home this gateway is.
#[derive(Clone, Debug)]
pub struct Lender {
    rows: HashMap<Key, Row>,
    /// What was lent lately, by the question's number.
    lent: VecDeque<(Timestamp, u64, Reply)>,
    /// Since when the ranks of gateways are as they are.
    ranked_at: Timestamp,
    edition: u64,
    ticked_at: Timestamp,
}

impl Lender {
    /// Of a process that starts: it has nothing to lend yet.
    pub fn new(now: Timestamp) -> Self {
        Lender {
            rows: HashMap::new(),
            lent: VecDeque::new(),
            ranked_at: now,
            edition: 0,
            ticked_at: now,
        }
    }

    /// Time goes on; `edition` is that of the list of gateways.
    pub fn tick(&mut self, now: Timestamp, edition: u64) {
        if now.since(self.ticked_at) > PAUSE {
            self.rows.clear();
            self.ranked_at = now;
        }
        if self.edition != edition {
            self.edition = edition;
            self.ranked_at = now;
        }
        self.ticked_at = now;
    }

    /// Drops bounds that have another home now: what it lends is not known here.
    pub fn retain(&mut self, mut is_home: impl FnMut(&Key) -> bool) {
        self.rows.retain(|key, _| is_home(key));
    }

    /// Lends for a request. `part` of the bound is this home's; `first` when it ranks first for the account.
    pub fn lend(
        &mut self,
        now: Timestamp,
        ask: &Ask,
        bound: &Rate,
        part: f64,
        first: bool,
    ) -> Reply {
        if part <= 0.0 {
            return Reply::Elsewhere;
        }
        while self.lent.front().is_some_and(|(at, ..)| now.since(*at) > REPEATED) {
            self.lent.pop_front();
        }
        if let Some((.., reply)) = self.lent.iter().find(|(_, number, _)| *number == ask.number) {
            return *reply;
        }
        // A deputy does not know what was lent before; who ranks first has had the account since then.
        let since = if first { self.ranked_at } else { now };
        let rate = Rate { rate: bound.rate * part, burst: bound.burst * part };
        let row = self.rows.entry(ask.key.clone()).or_insert_with(|| Row {
            bucket: Bucket::empty(since),
            bound: *bound,
            back_at: now,
        });
        if bound.burst > row.bound.burst {
            row.bucket.refill(now, &rate);
            row.bucket.put(&rate, (bound.burst - row.bound.burst) * part);
        }
        row.bound = *bound;
        match row.bucket.take_some(now, &rate, ask.need as f64) {
            Ok(()) => {
                let spare = (row.bucket.level() - rate.burst * KEPT_PART).max(0.0);
                let more = spare.min(ask.more as f64).floor();
                row.bucket.put(&rate, -more);
                let reply = Reply::Lent(ask.need + more as u64);
                self.lent.push_back((now, ask.number, reply));
                reply
            }
            Err(at) => row.refuse(now, at, ask.need as f64 / rate.rate),
        }
    }

    /// Takes back what was lent and not used, of a bound that something was lent of here.
    pub fn take_back(&mut self, key: &Key, tokens: u64, part: f64) {
        if let Some(row) = self.rows.get_mut(key) {
            let rate = Rate { rate: row.bound.rate * part, burst: row.bound.burst * part };
            row.bucket.put(&rate, tokens as f64);
        }
    }

    /// Tokens that a bound's bucket has, by the last look.
    pub fn level(&self, key: &Key) -> Option<f64> {
        self.rows.get(key).map(|row| row.bucket.level())
    }

    /// Bounds that something was lent of.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Was nothing lent?
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl Row {
    /// Room comes at `at`; callers come back one behind the other, as fast as the bound allows.
    fn refuse(&mut self, now: Timestamp, at: Timestamp, seconds: f64) -> Reply {
        let last = now.after(SPREAD_MAX);
        let back_at = self.back_at.max(at).min(last.max(at));
        let turn = Duration::try_from_secs_f64(seconds).unwrap_or(SPREAD_MAX);
        self.back_at = back_at.after(turn).min(last);
        let millis = |at: Timestamp| at.since(now).as_millis().min(u128::from(u32::MAX)) as u32;
        Reply::Over { room: millis(at), back: millis(back_at) }
    }
}
