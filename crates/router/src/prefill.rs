//! Which engine reads a prompt.
//!
//! Answers the load of prompts that clump: the engine whose queue, as all entries together know it,
//! has the prompt read first.

use std::time::Duration;

use ebonyloft_core::time::Moment;

use crate::catalog::{Server, ServerId};
use crate::share::Work;
use crate::stages::READ_RATE;

/// Time of a read beyond its tokens: the first step, and the way there and back.
pub const READ_SETUP: Duration = Duration::from_millis(30);
/// A decode engine reads at half the speed and slows its answers; it is chosen only when that is
/// this much sooner.
pub const LOCAL_MARGIN: Duration = Duration::from_millis(250);

/// When a prompt would be read by an engine with this work queued.
pub fn ready_at(now: Moment, work: Work, prompt: u64) -> Moment {
    let secs = (work.unread + prompt) as f64 / READ_RATE;
    now.after(Duration::from_secs_f64(secs)).after(READ_SETUP)
}

/// The reader with the earliest end, and that moment.
pub fn pick<'a>(
    now: Moment,
    readers: impl Iterator<Item = &'a Server>,
    work: impl Fn(&ServerId) -> Work,
    prompt: u64,
    zone: &str,
    mut draw: impl FnMut() -> f64,
) -> Option<(&'a Server, Moment)> {
    readers
        .map(|s| {
            // A transfer within the zone is half as long; ties are broken at random.
            let apart = if s.zone == zone { 0 } else { 4 };
            let jitter = Duration::from_micros(apart * 1_000 + (draw() * 6_000.0) as u64);
            (ready_at(now, work(&s.id), prompt), jitter, s)
        })
        .min_by_key(|(at, jitter, _)| at.after(*jitter))
        .map(|(at, _, s)| (s, at))
}
