//! The rate ledger of a link that KV caches leave by.

use std::time::Duration;

use crate::time::Moment;

/// One link of limited rate.
#[derive(Clone, Copy, Debug)]
pub struct LinkLedger {
    /// Bytes a second.
    rate: f64,
    free_at: Moment,
}

impl LinkLedger {
    /// An idle link of this many bytes a second.
    pub fn new(rate: f64) -> Self {
        LinkLedger {
            rate,
            free_at: Moment(0),
        }
    }

    /// How long `bytes` take alone.
    pub fn duration(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate.max(1.0))
    }

    /// When a transfer of `bytes` that is ready at `ready_at` would end.
    pub fn end(&self, ready_at: Moment, bytes: u64) -> Moment {
        self.free_at.max(ready_at).after(self.duration(bytes))
    }

    /// Reserves the link; `None` when the transfer can't end before `until`.
    pub fn reserve(&mut self, ready_at: Moment, bytes: u64, until: Moment) -> Option<Moment> {
        let end = self.end(ready_at, bytes);
        if end > until {
            return None;
        }
        self.free_at = end;
        Some(end)
    }
}
