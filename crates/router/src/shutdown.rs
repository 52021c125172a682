//! What a process that was told to stop still takes, and when it ends.
//!
//! The platform kills the process at the end of the grace period. What the process has taken must be answered before, and
//! a request that can't be is refused at once: its caller can go elsewhere. Both are decided by the same end.
//! The grace period is passed in each time, since it may change while the process stops.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::Kind;

/// Time before the end of the grace period at which the process ends.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time for an answer to leave before the process ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// How long requests are taken that may last longer than the process. The platform sends callers elsewhere after two
/// readiness checks, one a second; what is taken by then has most of the grace period left.
const LONG_TAKEN: Duration = Duration::from_millis(2_800);
/// Least time that a call must have which may last longer than the process.
const LONG_CALL_MIN: Duration = Duration::from_millis(1_500);

/// A shutdown under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// When the process was told to stop.
    pub stopped_at: Timestamp,
}

impl Shutdown {
    /// When the process ends, whatever is still open.
    pub fn ends_at(self, grace: Duration) -> Timestamp {
        self.stopped_at.after(grace).before(END_MARGIN)
    }

    /// The deadline of a request that comes now and has `deadline` by itself; none if it is not taken. A stream keeps
    /// its deadline, as its events reach the caller until the end.
    pub fn admit(
        self,
        now: Timestamp,
        grace: Duration,
        kind: Kind,
        deadline: Timestamp,
    ) -> Option<Timestamp> {
        let last = self.ends_at(grace).before(ANSWER_MARGIN);
        let is_early = now < self.stopped_at.after(LONG_TAKEN);
        match kind {
            Kind::Stream => (is_early && now < last).then_some(deadline),
            Kind::Idempotent | Kind::Once if deadline <= last => Some(deadline),
            Kind::Idempotent | Kind::Once => {
                (is_early && now.after(LONG_CALL_MIN) <= last).then_some(last)
            }
        }
    }
}
