//! How far the store can be believed after it was out of reach.
//!
//! While the store is away, registrations lapse of backend servers that are well. After its return
//! they register anew within about two seconds, so what is missing is only taken as gone after that.

use std::time::Duration;

use ebonyloft_core::time::Moment;

use crate::delegate::Link;

/// How long after the store's return a missing backend server may still register anew. The platform
/// says about two seconds; a tenth is added for the way of the news.
pub const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Tracks when the store was last out of reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    away_since: Option<Moment>,
    settles_at: Moment,
    heard_at: Moment,
}

impl Freshness {
    /// The store answered. True when it was away before.
    pub fn on_answer(&mut self, now: Moment) -> bool {
        self.heard_at = now;
        let back = self.away_since.take().is_some();
        if back {
            self.settles_at = now.after(RETURN_TIME);
        }
        back
    }

    /// A call failed or was turned away. True when the store counted as well before.
    pub fn on_failure(&mut self, now: Moment) -> bool {
        let first = self.away_since.is_none();
        self.away_since.get_or_insert(now);
        first
    }

    /// What a peer that follows the store says of it, for a process that does not. True when the
    /// store changed between heard and away.
    pub fn adopt(&mut self, now: Moment, link: Link) -> bool {
        let before = self.is_away();
        match link {
            Link::Indirect => {}
            Link::Away => {
                self.on_failure(now);
            }
            Link::Heard { settles } => {
                self.away_since = None;
                self.heard_at = now;
                self.settles_at = now.after(Duration::from_millis(settles.into()));
            }
        }
        self.is_away() != before
    }

    /// How this process hears of the store, for its peers.
    pub fn link(&self, now: Moment) -> Link {
        match self.away_since {
            Some(_) => Link::Away,
            None => Link::Heard { settles: self.settles_at.since(now).as_millis() as u32 },
        }
    }

    /// When the store answered last.
    pub fn heard_at(&self) -> Moment {
        self.heard_at
    }

    /// Is the store out of reach, as far as this process knows?
    pub fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// Does a missing registration mean that the backend server is gone?
    pub fn settled(&self, now: Moment) -> bool {
        self.away_since.is_none() && now >= self.settles_at
    }
}
