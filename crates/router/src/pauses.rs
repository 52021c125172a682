//! Until when backend servers want nothing from this process.
//!
//! A server that turns a request away may say for how long. That is no fault of it, and concerns nobody
//! else: it is passed over until then.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Moment;

use crate::catalog::{Server, ServerId};
use crate::outcome::Pause;

/// Longest pause that is believed; whoever means more says so again when it is asked then.
pub const PAUSE_MAX: Duration = Duration::from_secs(300);
/// Pause of a server that said something that is no time.
pub const PAUSE_UNREADABLE: Duration = Duration::from_millis(1_000);

/// Servers that want nothing for a while.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    until: HashMap<ServerId, Moment>,
}

impl Pauses {
    /// A server said that it wants nothing; gives until when, and whether that is what it said.
    pub fn note(&mut self, now: Moment, id: &ServerId, pause: Pause) -> (Moment, bool) {
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
    pub fn is_open(&self, now: Moment, id: &ServerId) -> bool {
        self.until.get(id).is_none_or(|until| *until <= now)
    }

    /// When the first of these servers takes something again; none when one does now, or there is none.
    pub fn soonest<'a>(
        &self,
        now: Moment,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Option<Moment> {
        let mut first: Option<Moment> = None;
        for server in servers {
            let until = self.until.get(&server.id).copied().filter(|until| *until > now)?;
            first = Some(first.map_or(until, |f| f.min(until)));
        }
        first
    }

    /// Forgets pauses that are over.
    pub fn expire(&mut self, now: Moment) {
        self.until.retain(|_, until| *until > now);
    }
}
