//! What a request needs from an engine.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::forecast::MemoryForecast;
use crate::memory_threshold::LATE_VALUE;
use crate::precedence::Precedence;

/// Time from the end of prefill to the first event: the transfer, the first step and the tokens of
/// one event, with a margin for the network (median 33 ms, ninth decile 64 ms).
pub const FIRST_EVENT: Duration = Duration::from_millis(130);

/// Time after its arrival by which a request whose prompt is too long to be in time has its first
/// event: callers give up after two seconds without any.
pub const FIRST_EVENT_MAX: Duration = Duration::from_millis(1_900);
/// Longest prefill queue behind which a late request is processed, its own prompt not counted: a
/// third of the usual goal, so that it does not make requests in time miss theirs.
pub const LATE_PREFILL_MAX: Duration = Duration::from_millis(300);
/// What a request needs from an engine.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Memory that it is expected to take.
    pub memory: MemoryForecast,
    /// How long an idle engine processes its prompt.
    pub read_time: Duration,
    /// Latest time at which its first event is in time.
    pub first_by: Timestamp,
    /// Deadline of its caller.
    pub ends_at: Timestamp,
    /// Value per memory if it is in time, relative to the typical request.
    pub value: f64,
    /// Whether its caller has received a part of the answer already.
    pub begun: bool,
    /// Order in which it is admitted.
    pub precedence: Precedence,
}

impl Demand {
    /// Can the first event be in time when prefill ends at `read_at`?
    pub fn in_time(&self, read_at: Timestamp) -> bool {
        read_at.after(FIRST_EVENT) <= self.first_by
    }

    /// Is the goal past, or too close to be met?
    pub fn is_late(&self, now: Timestamp) -> bool {
        self.first_by < now.after(FIRST_EVENT)
    }

    /// Is its prompt too long to be processed in time even by an idle engine?
    pub fn is_too_long(&self, now: Timestamp) -> bool {
        !self.is_late(now) && !self.in_time(now.after(self.read_time))
    }

    /// How long other prompts delay its own, when its prefill would end at `read_at`.
    pub fn queue(&self, now: Timestamp, read_at: Timestamp) -> Duration {
        read_at.since(now).saturating_sub(self.read_time)
    }

    /// Returns the value per memory, relative to the typical request.
    pub fn relative_value(&self, late: bool) -> f64 {
        if self.begun {
            return f64::INFINITY;
        }
        self.value * if late { LATE_VALUE } else { 1.0 }
    }
}
