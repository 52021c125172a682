//! Until when backend servers want nothing from this process.
//!
//! A server that turns a request away may say for how long. That is no fault of it, and concerns nobody
//! else: it is passed over until then.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::ServerId;
use crate::outcome::Pause;

/// Longest pause that is believed; whoever means more says so again when it is asked then.
pub const PAUSE_MAX: Duration = Duration::from_secs(300);
/// Pause of a server that said something that is no time.
pub const PAUSE_UNREADABLE: Duration = Duration::from_millis(1_000);

/// Servers that want nothing for a while.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    until: HashMap<ServerId, Timestamp>,
}

impl Pauses {
    /// A server said that it wants nothing; gives until when, and whether that is what it said.
    pub fn note(&mut self, now: Timestamp, id: &ServerId, pause: Pause) -> (Timestamp, bool) {
        let (time, as_said) = match pause {
            Pause::For(time) => (time.min(PAUSE_MAX), time <= PAUSE_MAX),
            Pause::Unreadable => (PAUSE_UNREADABLE, false),
        };
        let until = now.after(time);
        if time > Duration::ZERO {
            self.until.insert(id.clone(), until);
        }
        (until, as_said)
    }

    /// May a server be sent something?
    pub fn is_open(&self, now: Timestamp, id: &ServerId) -> bool {
        self.until(now, id).is_none()
    }

    /// Until when a server wants nothing; none when it takes something.
    pub fn until(&self, now: Timestamp, id: &ServerId) -> Option<Timestamp> {
        self.until.get(id).copied().filter(|until| *until > now)
    }

    /// Forgets pauses that are over.
    pub fn expire(&mut self, now: Timestamp) {
        self.until.retain(|_, until| *until > now);
    }
}

/// When the first of some servers takes something again, by when each does; none when one does now, or there
/// is none.
pub fn soonest(servers: impl Iterator<Item = Option<Timestamp>>) -> Option<Timestamp> {
    let mut first: Option<Timestamp> = None;
    for until in servers {
        let until = until?;
        first = Some(first.map_or(until, |f| f.min(until)));
    }
    first
}
