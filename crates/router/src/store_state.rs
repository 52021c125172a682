//! Tracks whether the store is reachable and whether its registrations can be trusted.
//!
//! While the store is unreachable, registrations of healthy backend servers lapse. After its return
//! they register again within about two seconds, so a missing one only counts as gone after that.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::zone_leader::StoreLink;

/// How long after the store's return a missing backend server may still register again. The
/// platform states about two seconds; a tenth is added for the transfer of the change.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// Reachability of the store and age of the list of backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreState {
    unreachable_since: Option<Timestamp>,
    trusted_at: Timestamp,
    known_at: Timestamp,
}

impl StoreState {
    /// Records an answer of the store whose content is valid as of `known_at`; true when the store
    /// was unreachable before.
    pub fn on_answer(&mut self, now: Timestamp, known_at: Timestamp) -> bool {
        self.known(known_at);
        let returned = self.unreachable_since.take().is_some();
        if returned {
            self.trusted_at = now.after(REREGISTRATION_TIME);
        }
        returned
    }

    /// Records that the store came back from an older copy: registrations that it lacks are written again.
    pub fn on_restored(&mut self, now: Timestamp) {
        self.trusted_at = self.trusted_at.max(now.after(REREGISTRATION_TIME));
    }

    /// Records a failed or rejected call; true when the store counted as reachable before.
    pub fn on_failure(&mut self, now: Timestamp) -> bool {
        let was_reachable = self.unreachable_since.is_none();
        self.unreachable_since.get_or_insert(now);
        was_reachable
    }

    /// Adopts the state of the store that a peer reports, on a gateway that does not follow the
    /// store; true when the store became reachable or unreachable.
    pub fn adopt(&mut self, now: Timestamp, link: StoreLink) -> bool {
        let before = self.is_away();
        match link {
            StoreLink::Indirect => {}
            StoreLink::Away => {
                self.on_failure(now);
            }
            StoreLink::Heard { settles, .. } => {
                self.unreachable_since = None;
                self.trusted_at = now.after(Duration::from_millis(settles.into()));
            }
        }
        self.is_away() != before
    }

    /// The list of backend servers is known to contain every change up to `at`.
    pub fn known(&mut self, at: Timestamp) {
        self.known_at = self.known_at.max(at);
    }

    /// Returns what this gateway reports to its peers of the store. After `silence` without an
    /// answer it reports the store as unreachable, even while a call is pending, since its list no
    /// longer helps them.
    pub fn link(&self, now: Timestamp, silence: Duration) -> StoreLink {
        let age = now.since(self.known_at);
        if self.is_away() || age > silence {
            return StoreLink::Away;
        }
        let settles = self.trusted_at.since(now).as_millis() as u32;
        StoreLink::Heard { settles, age: age.as_millis() as u32 }
    }

    /// Returns the time as of which the list of backend servers is known to be complete.
    pub fn known_at(&self) -> Timestamp {
        self.known_at
    }

    /// Was the store never reached, or is it unreachable now?
    pub fn is_unconfirmed(&self) -> bool {
        self.is_away() || self.known_at == Timestamp::default()
    }

    /// Is the store unreachable, as far as this gateway knows?
    pub fn is_away(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Does a missing registration mean that the backend server is gone?
    pub fn is_trusted(&self, now: Timestamp) -> bool {
        self.unreachable_since.is_none() && now >= self.trusted_at
    }
}
