//! As of when the configuration in force is known to have been the newest one.
//!
//! A key that was taken away must stop running work within a bound, also at a gateway that hears nothing. So
//! a request with a key runs only while this moment lies less than the bound back. It is told from gateway
//! to gateway as an age that only grows: whoever asks counts it from when the question was sent, so that no
//! clock of another VM is trusted and time on the way is never lost.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// A store that drops its history keeps changes from those who wait for them for as long before.
pub const DEAF: Duration = Duration::from_millis(1_000);
/// Part of the bound from which on others are asked.
pub const ASK_PART: f64 = 0.3;
/// Part of the bound after which who follows the store has asked it again; the rest is for others to hear.
pub const CONFIRM_PART: f64 = 0.65;
/// Shortest time between two questions.
pub const ASK_GAP: Duration = Duration::from_millis(250);
/// Questions unanswered for longer are forgotten.
const ASK_LIFE: Duration = Duration::from_secs(2);
/// Taken off the bound: clocks of two VMs run at different speeds.
const DRIFT: Duration = Duration::from_millis(100);

/// What one gateway knows of its configuration's age.
#[derive(Clone, Debug, Default)]
pub struct Recency {
    held_at: Timestamp,
    /// A newer version that others hold, and as of when that is the newest.
    ahead: Option<(u64, Timestamp)>,
    asked: HashMap<u64, Timestamp>,
    ask_at: Timestamp,
}

/// A gateway's word on its configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// Version in force there.
    pub version: u64,
    /// Time since it was known to be the newest.
    pub age: Duration,
}

impl Recency {
    /// The configuration in force was the newest one at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.held_at = self.held_at.max(at);
    }

    /// A watch that was sent at `sent`, to be answered within `wait`, has been answered.
    pub fn on_watch(&mut self, now: Timestamp, sent: Timestamp, wait: Duration, empty: bool) {
        let waited = empty && now >= sent.after(wait);
        let at = if waited { sent.after(wait) } else { sent };
        self.confirm(at.before(DEAF));
    }

    /// A configuration of this version came into force.
    pub fn on_version(&mut self, version: u64) {
        if let Some((ahead, at)) = self.ahead
            && version >= ahead
        {
            self.ahead = None;
            self.confirm(at);
        }
    }

    /// As of when the configuration is known to be the newest.
    pub fn held_at(&self) -> Timestamp {
        self.held_at
    }

    /// Time since then.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.held_at)
    }

    /// May requests with keys run, when a key that was taken away must stop within `bound`?
    pub fn holds(&self, now: Timestamp, bound: Option<Duration>) -> bool {
        bound.is_none_or(|bound| self.age(now) < bound.saturating_sub(DRIFT))
    }

    /// When the store must have been asked again.
    pub fn confirm_by(&self, bound: Duration) -> Timestamp {
        self.held_at.after(bound.mul_f64(CONFIRM_PART))
    }

    /// Should another gateway be asked now? Notes that it is, under this number.
    pub fn ask(&mut self, now: Timestamp, bound: Duration, number: u64) -> bool {
        if self.age(now) < bound.mul_f64(ASK_PART) || now < self.ask_at {
            return false;
        }
        self.ask_at = now.after(ASK_GAP);
        self.asked.retain(|_, sent| now.since(*sent) < ASK_LIFE);
        self.asked.insert(number, now);
        true
    }

    /// The answer to a question; `version` is in force here. An answer to no question is not believed.
    pub fn on_answer(&mut self, number: u64, version: u64, theirs: Held) {
        if let Some(sent) = self.asked.remove(&number) {
            self.on_held(sent, version, theirs);
        }
    }

    /// Another gateway's word, in answer to what was sent at `sent`.
    pub fn on_held(&mut self, sent: Timestamp, version: u64, theirs: Held) {
        let at = sent.before(theirs.age);
        if theirs.version <= version {
            return self.confirm(at);
        }
        let newer = self.ahead.is_none_or(|(v, t)| (theirs.version, at) > (v, t));
        if newer {
            self.ahead = Some((theirs.version, at));
        }
    }
}
