//! How much of its time a caller has spent before, judged by the deadline that it sends.
//!
//! Answers the load of callers who come back after a refusal. They are late whatever is done, and must
//! not be placed before those who can be in time. Deadlines alone don't tell them apart: on the
//! users' larger days first attempts came with 11.9 to 14 s on one route. Compared with the route's
//! timeout, 82 of 138 requests of a day's first three seconds were taken for late ones.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// How long the longest deadline that was seen counts, at most twice; many callers come within it,
/// and a changed habit shows within it.
pub const PERIOD: Duration = Duration::from_secs(10);

/// Least time that a refused caller stayed away, with a margin for the ways: a quarter of the time that the
/// users' callers wait, and more than their first deadlines differ by.
pub const AWAY: Duration = Duration::from_millis(3_200);

#[derive(Clone, Copy, Debug)]
struct Longest {
    since: Timestamp,
    before: Duration,
    now: Duration,
}

/// The longest deadlines that callers lately sent, by route.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    routes: HashMap<String, Longest>,
}

impl Patience {
    /// Takes the deadline of a request that came now and says how much of its caller's time was
    /// spent in earlier attempts; zero when it may be the first one.
    pub fn spent(
        &mut self,
        now: Timestamp,
        route: &str,
        timeout: Duration,
        left: Duration,
    ) -> Duration {
        if !self.routes.contains_key(route) {
            let first = Longest { since: now, before: Duration::ZERO, now: Duration::ZERO };
            self.routes.insert(route.to_owned(), first);
        }
        let longest = self.routes.get_mut(route).expect("it was inserted");
        if now.since(longest.since) > PERIOD {
            *longest = Longest { since: now, before: longest.now, now: Duration::ZERO };
        }
        longest.now = longest.now.max(left);
        let usual = longest.now.max(longest.before).min(timeout);
        let missing = usual.saturating_sub(left);
        // Who was refused stays away for longer than the deadlines differ.
        if missing < AWAY { Duration::ZERO } else { missing }
    }

    /// Forgets routes that are gone.
    pub fn retain(&mut self, alive: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| alive(route));
    }
}
