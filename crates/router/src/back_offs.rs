//! Back-off of backend servers: until when each asked this gateway to send it nothing.
//!
//! A server that rejects a request may state a back-off. This is no failure and applies to this gateway only,
//! which skips the server until the back-off ends.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::ServerId;
use crate::outcome::BackOff;

/// Longest back-off that is applied; a server that needs more states it again with the next answer.
pub const BACK_OFF_MAX: Duration = Duration::from_secs(300);
/// Back-off for a server whose stated time could not be parsed.
pub const BACK_OFF_DEFAULT: Duration = Duration::from_millis(1_000);

/// Servers in back-off.
#[derive(Clone, Debug, Default)]
pub struct BackOffs {
    until: HashMap<ServerId, Timestamp>,
}

impl BackOffs {
    /// Records the back-off that a server asked for. Returns its end, and whether it is applied as stated.
    pub fn record(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        back_off: BackOff,
    ) -> (Timestamp, bool) {
        let (time, as_stated) = match back_off {
            BackOff::For(time) => (time.min(BACK_OFF_MAX), time <= BACK_OFF_MAX),
            BackOff::Unreadable => (BACK_OFF_DEFAULT, false),
        };
        let until = now.after(time);
        if time > Duration::ZERO {
            self.until.insert(id.clone(), until);
        }
        (until, as_stated)
    }

    /// Whether requests may be sent to a server.
    pub fn is_available(&self, now: Timestamp, id: &ServerId) -> bool {
        self.until(now, id).is_none()
    }

    /// End of the back-off of a server; `None` if it has none.
    pub fn until(&self, now: Timestamp, id: &ServerId) -> Option<Timestamp> {
        self.until.get(id).copied().filter(|until| *until > now)
    }

    /// Drops back-offs that ended.
    pub fn expire(&mut self, now: Timestamp) {
        self.until.retain(|_, until| *until > now);
    }
}

/// Earliest end of the given back-offs; `None` if a server has no back-off, or there is no server.
pub fn first_available(servers: impl Iterator<Item = Option<Timestamp>>) -> Option<Timestamp> {
    let mut first: Option<Timestamp> = None;
    for until in servers {
        let until = until?;
        first = Some(first.map_or(until, |f| f.min(until)));
    }
    first
}
