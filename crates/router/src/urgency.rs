//! Urgency levels of a service's requests, and the priority that its engines are told.
//!
//! When requests need more than the engines have, those with the tightest latency goals lose first:
//! prompts of other requests queue ahead of theirs for longer than their goal. The levels follow
//! from the priorities in the configuration. A service whose requests all have the same priority
//! has one level, and is served without any of this.

pub mod arrivals;
pub mod share;

use std::time::Duration;

use crate::catalog::{Config, Route};
use crate::forecast::{MARGIN_SIGMAS, MemoryForecast, URGENT_MARGIN_SIGMAS};
use crate::precedence::Precedence;
use crate::urgency::arrivals::{Arrivals, RATE_MIN};
use crate::urgency::share::UrgentShare;

/// Priority that an engine assumes for a request without the header; 0 is the most urgent, 9 the
/// least.
pub const DEFAULT_PRIORITY: u8 = 5;
/// Priority of the most urgent level. Lower values stay free.
const TOP_PRIORITY: u8 = 2;
/// Priority of a stream that continues at another engine: its caller has part of the answer.
const RESUME_PRIORITY: u8 = 3;
/// Priority of a request of the least urgent level that is too late for its latency goal.
const LATE_PRIORITY: u8 = 7;
/// Priority of a late request of another level: after requests in time, before other late ones.
const LATE_URGENT_PRIORITY: u8 = 6;

/// What determines the priority of one send to an engine, besides the level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendState {
    /// Nothing was sent to the caller yet, and the latency goal is ahead.
    InTime,
    /// The latency goal has passed.
    Late,
    /// The caller has part of the answer.
    Resumed,
}

/// The urgency levels of one service: the distinct priorities of its requests, in order. The
/// priority of an account goes before that of the route, which orders requests of accounts with
/// equal priority.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UrgencyLevels {
    priorities: Vec<(u8, u8)>,
}

/// Returns the key by which requests are ordered; an account without a priority has that of the
/// route.
fn order(account: Option<u8>, route: u8) -> (u8, u8) {
    (account.unwrap_or(route), route)
}

impl UrgencyLevels {
    /// Returns the levels of a service.
    pub fn of(config: &Config, service: &str) -> Self {
        let serves = |r: &&Route| r.split.iter().any(|s| s.service == service && s.weight > 0);
        let accounts = config.accounts.as_ref().map_or(&[][..], |a| a.all());
        let of_route = |r: &Route| {
            let without = (accounts.is_empty() || r.public).then_some(None);
            let priorities = accounts.iter().map(|a| a.priority).chain(without);
            priorities.map(|priority| order(priority, r.priority)).collect::<Vec<_>>()
        };
        let mut priorities: Vec<(u8, u8)> =
            config.routes.iter().filter(serves).flat_map(of_route).collect();
        priorities.sort_unstable();
        priorities.dedup();
        UrgencyLevels { priorities }
    }

    /// Are there at least two levels?
    pub fn is_enabled(&self) -> bool {
        self.priorities.len() > 1
    }

    /// Returns the level of a request of this account and route; 0 is the most urgent.
    pub fn level(&self, account: Option<u8>, route: u8) -> u8 {
        let priority = order(account, route);
        let below = self.priorities.partition_point(|p| *p < priority);
        (below as u8).min(self.least())
    }

    /// Returns the least urgent level.
    pub fn least(&self) -> u8 {
        self.priorities.len().saturating_sub(1) as u8
    }

    /// Is this precedence of a level above the least urgent?
    pub fn is_urgent(&self, precedence: Precedence) -> bool {
        precedence.level < self.least()
    }

    /// Returns the priority to state to an engine; `None` for the default, which is not stated.
    pub fn engine_priority(&self, level: u8, state: SendState) -> Option<u8> {
        let least = self.least();
        let in_time = match least {
            0 => DEFAULT_PRIORITY,
            _ => {
                let span = u32::from(DEFAULT_PRIORITY - TOP_PRIORITY);
                TOP_PRIORITY + (span * u32::from(level.min(least)) / u32::from(least)) as u8
            }
        };
        let priority = match state {
            SendState::InTime => in_time,
            SendState::Late if level < least => LATE_URGENT_PRIORITY,
            SendState::Late => LATE_PRIORITY,
            SendState::Resumed => in_time.min(RESUME_PRIORITY),
        };
        (priority != DEFAULT_PRIORITY).then_some(priority)
    }
}

/// Time for which memory is reserved: the interval between two load reports, within which gateways
/// admit requests without knowing of each other. Freed memory goes to the most urgent request that
/// waits, so more would only keep engines idle.
pub const HEADROOM_TIME: Duration = Duration::from_millis(100);
/// Time for which places in prefill queues are reserved: as long as a prompt is processed there and
/// its place is seen as free.
pub const PREFILL_HEADROOM_TIME: Duration = Duration::from_millis(250);
/// Standard deviations of the number of arrivals within that time that are reserved beside it.
const PREFILL_HEADROOM_SIGMAS: f64 = 2.0;

/// What an admission decision knows of a service's demand by precedence. The default is that of a
/// service with one precedence.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgencyContext<'a> {
    /// The least urgent level; 0 if the service has only one.
    pub least: u8,
    /// Memory of a typical request.
    pub typical: MemoryForecast,
    /// Arrivals a second over all gateways in scope, by precedence.
    pub rates: &'a [(Precedence, f64)],
    /// Whether the urgent levels have used up their share: requests are then admitted in the order
    /// of their latency goals alone.
    pub by_goal: bool,
}

impl UrgencyContext<'_> {
    /// Returns the number of typical requests that must still fit after a request of this
    /// precedence is admitted. Accounts over their share reserve none for others of their level:
    /// most requests of a level are within their share, and headroom for them would leave a part
    /// of the engines idle in every burst.
    pub fn headroom(&self, precedence: Precedence) -> u32 {
        self.expected_arrivals(precedence, HEADROOM_TIME).ceil() as u32
    }

    /// Returns the number of places in prefill queues that a prompt of this precedence must leave.
    pub fn prefill_headroom(&self, precedence: Precedence) -> u32 {
        let expected = self.expected_arrivals(precedence, PREFILL_HEADROOM_TIME);
        (expected + PREFILL_HEADROOM_SIGMAS * expected.sqrt()).ceil() as u32
    }

    /// Returns the arrivals of more urgent levels that are expected within a time.
    fn expected_arrivals(&self, precedence: Precedence, within: Duration) -> f64 {
        let rate: f64 = self.more_urgent(precedence).map(|(_, rate)| rate).sum();
        if self.by_goal { 0.0 } else { rate * within.as_secs_f64() }
    }

    /// May a request of this precedence be admitted with the reduced memory margin?
    pub fn reduces_margin(&self, precedence: Precedence) -> bool {
        precedence.level < self.least && !precedence.over_share
    }

    /// Returns the margin with which that headroom is counted, in standard deviations: the one with
    /// which the requests that it is kept for may be admitted. With the usual margin, 7 in 100
    /// routine requests more are refused at twice the capacity.
    pub fn headroom_margin(&self, precedence: Precedence) -> f64 {
        match self.more_urgent(precedence).all(|(p, _)| self.reduces_margin(p)) {
            true => URGENT_MARGIN_SIGMAS,
            false => MARGIN_SIGMAS,
        }
    }

    /// Returns the demand of more urgent levels.
    fn more_urgent(&self, precedence: Precedence) -> impl Iterator<Item = (Precedence, f64)> + '_ {
        let rates = self.rates.iter().copied();
        rates.filter(move |(p, rate)| p.level < precedence.level && *rate >= RATE_MIN)
    }

    /// Returns the lowest and the highest precedence present: waiting here, or arriving lately at
    /// any gateway in scope.
    pub fn present(
        &self,
        waiting: impl Iterator<Item = Precedence>,
    ) -> Option<(Precedence, Precedence)> {
        let arriving = self.rates.iter().filter(|(_, rate)| *rate >= RATE_MIN).map(|(p, _)| *p);
        let all: Vec<Precedence> = waiting.chain(arriving).collect();
        Some((all.iter().min().copied()?, all.iter().max().copied()?))
    }
}

/// Observations of one service's demand at this gateway.
#[derive(Clone, Debug, Default)]
pub struct ServiceUrgency {
    /// Arrivals by precedence.
    pub arrivals: Arrivals,
    /// Memory admitted for urgent levels.
    pub share: UrgentShare,
}
