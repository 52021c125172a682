//! Share of the admitted memory that goes to urgent levels while less urgent requests wait.
//!
//! An urgent class that by itself exceeds the capacity of the engines must not leave the rest with
//! nothing.

use std::collections::VecDeque;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// Period over which admitted memory is counted: longer than most answers take.
pub const SHARE_WINDOW: Duration = Duration::from_secs(5);
/// Length of one count of that period.
const BUCKET: Duration = Duration::from_millis(250);
/// Default of the highest share.
pub const URGENT_SHARE: f64 = 0.8;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begin: Timestamp,
    urgent: u64,
    all: u64,
}

/// Memory admitted at this gateway for one service, while less urgent requests waited.
#[derive(Clone, Debug, Default)]
pub struct UrgentShare {
    buckets: VecDeque<Bucket>,
}

impl UrgentShare {
    /// Records that a request was admitted while requests of the least urgent level waited.
    pub fn on_admitted(&mut self, now: Timestamp, urgent: bool, memory: u64) {
        if self.buckets.back().is_none_or(|b| now.since(b.begin) >= BUCKET) {
            self.buckets.push_back(Bucket { begin: now, urgent: 0, all: 0 });
        }
        while self.buckets.front().is_some_and(|b| now.since(b.begin) > SHARE_WINDOW) {
            self.buckets.pop_front();
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.all += memory;
            bucket.urgent += if urgent { memory } else { 0 };
        }
    }

    /// Did more than the share `limit` of the memory go to urgent levels?
    pub fn is_exceeded(&self, now: Timestamp, limit: f64) -> bool {
        let recent = self.buckets.iter().filter(|b| now.since(b.begin) <= SHARE_WINDOW);
        let (urgent, all) = recent.fold((0, 0), |sum, b| (sum.0 + b.urgent, sum.1 + b.all));
        urgent as f64 > all as f64 * limit
    }
}
