//! The process's clock: wall time read once, then the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ebonyloft_core::time::Moment;

/// Gives the present moment.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Moment,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall: Moment(wall.as_micros() as u64),
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The present moment.
    pub fn now(&self) -> Moment {
        self.wall.after(self.start.elapsed())
    }
}
