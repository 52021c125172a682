//! How far the store can be believed after it was out of reach.
//!
//! While the store is away, registrations lapse of backend servers that are well. After its return
//! they register anew within about two seconds, so what is missing is only taken as gone after that.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::delegate::Link;

/// How long after the store's return a missing backend server may still register anew. The platform
/// says about two seconds; a tenth is added for the way of the news.
pub const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Tracks when the store was last out of reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    away_since: Option<Timestamp>,
    settles_at: Timestamp,
    known_at: Timestamp,
}

impl Freshness {
    /// The store answered; what it said holds as of `known_at`. True when it was away before.
    pub fn on_answer(&mut self, now: Timestamp, known_at: Timestamp) -> bool {
        self.known(known_at);
        let back = self.away_since.take().is_some();
        if back {
            self.settles_at = now.after(RETURN_TIME);
        }
        back
    }

    /// A call failed or was turned away. True when the store counted as well before.
    pub fn on_failure(&mut self, now: Timestamp) -> bool {
        let first = self.away_since.is_none();
        self.away_since.get_or_insert(now);
        first
    }

    /// What a peer that follows the store says of it, for a process that does not. True when the
    /// store changed between heard and away.
    pub fn adopt(&mut self, now: Timestamp, link: Link) -> bool {
        let before = self.is_away();
        match link {
            Link::Indirect => {}
            Link::Away => {
                self.on_failure(now);
            }
            Link::Heard { settles, .. } => {
                self.away_since = None;
                self.settles_at = now.after(Duration::from_millis(settles.into()));
            }
        }
        self.is_away() != before
    }

    /// The list of backend servers holds as of this moment: nothing that the store said by then is
    /// missing.
    pub fn known(&mut self, at: Timestamp) {
        self.known_at = self.known_at.max(at);
    }

    /// How this process hears of the store, for its peers: it does not help them when it has heard nothing
    /// for longer than `silence`, whatever it waits for.
    pub fn link(&self, now: Timestamp, silence: Duration) -> Link {
        let age = now.since(self.known_at);
        if self.is_away() || age > silence {
            return Link::Away;
        }
        let settles = self.settles_at.since(now).as_millis() as u32;
        Link::Heard { settles, age: age.as_millis() as u32 }
    }

    /// As of when the list of backend servers is known to hold.
    pub fn known_at(&self) -> Timestamp {
        self.known_at
    }

    /// Is nothing known to hold as of now: was the store never heard, or is it out of reach?
    pub fn is_unsure(&self) -> bool {
        self.is_away() || self.known_at == Timestamp::default()
    }

    /// Is the store out of reach, as far as this process knows?
    pub fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// Does a missing registration mean that the backend server is gone?
    pub fn settled(&self, now: Timestamp) -> bool {
        self.away_since.is_none() && now >= self.settles_at
    }
}
