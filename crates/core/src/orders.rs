//! Orders to model engines, fenced.
//!
//! An order's number comes from compare-and-swap in the platform's service and its holder has a
//! lease there. The sidecar is the only path to its engine: it refuses old numbers, refuses an order
//! whose lease ends too soon, and for an engine that ignores numbers it also waits until an order of
//! the earlier holder can't be under way any more.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::MemberId;
use crate::time::Moment;

/// Longest time between a sidecar's check of a lease and the engine taking the order.
pub const ORDER_DELAY: Duration = Duration::from_secs(5);
/// Lease of an order's holder.
pub const ORDER_LEASE: Duration = Duration::from_secs(15);

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a model version from the weight store.
    LoadModel { model: String, version: String },
    /// Load an adapter.
    LoadAdapter { model: String, adapter: String },
    /// Change between prefill and decode.
    SetRole { role: String },
}

/// A fenced order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// The sidecar it goes through.
    pub target: MemberId,
    /// Fencing number.
    pub fence: u64,
    /// Who holds the number.
    pub holder: String,
    /// When the holder's lease ends.
    pub lease_end: Moment,
    /// What to do.
    pub action: Action,
}

/// How an order went.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The engine took it.
    Done,
    /// A later number was seen; it was not sent.
    Stale { seen: u64 },
    /// The lease ends too soon; it was not sent.
    LeaseEnds,
    /// An earlier order may still be under way; worth asking again then.
    Wait { until: Moment },
    /// The sidecar does not know the highest number yet; it was not sent.
    NotReady,
    /// The engine refused or did not answer; it may have taken effect.
    Failed { detail: String },
}

/// The gate before one engine.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Does the engine itself refuse old numbers?
    refuses: bool,
    /// Highest number seen; `None` until the platform was read after a restart.
    seen: Option<u64>,
    /// Until when an order of the earlier holder may be under way.
    quiet_at: Moment,
}

impl Gate {
    /// A gate that has not read the platform yet.
    pub fn new(refuses: bool) -> Self {
        Gate {
            refuses,
            seen: None,
            quiet_at: Moment(0),
        }
    }

    /// The platform told the highest number; orders before this process's start may be under way.
    pub fn on_platform(&mut self, now: Moment, fence: u64) {
        if self.seen.is_none() {
            self.quiet_at = now.after(ORDER_DELAY);
        }
        self.seen = Some(self.seen.map_or(fence, |s| s.max(fence)));
    }

    /// May this order go to the engine now? `Ok` means that it must be sent at once.
    pub fn check(&mut self, now: Moment, order: &Order) -> Result<(), OrderResult> {
        let seen = self.seen.ok_or(OrderResult::NotReady)?;
        if order.fence < seen {
            return Err(OrderResult::Stale { seen });
        }
        if order.lease_end <= now.after(ORDER_DELAY) {
            return Err(OrderResult::LeaseEnds);
        }
        if !self.refuses && order.fence > seen {
            // Whoever held the number before may have an order between check and engine.
            self.quiet_at = self.quiet_at.max(now.after(ORDER_DELAY));
        }
        self.seen = Some(order.fence);
        if !self.refuses && now <= self.quiet_at {
            return Err(OrderResult::Wait {
                until: self.quiet_at,
            });
        }
        Ok(())
    }
}

/// How long a load from the weight store may hold its permit.
pub const PERMIT: Duration = Duration::from_secs(120);

/// Loads from the weight store under way; one small value in the platform's service, changed by
/// compare-and-swap, so that the store's rate is shared by the whole fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Permits {
    rows: Vec<Permit>,
}

/// One load under way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Permit {
    member: MemberId,
    ends_at: Moment,
}

impl Permits {
    /// The permits with one more, or the moment at which one comes free.
    pub fn take(&self, now: Moment, member: &MemberId, limit: usize) -> Result<Permits, Moment> {
        let mut rows: Vec<Permit> = self
            .rows
            .iter()
            .filter(|p| p.ends_at > now)
            .cloned()
            .collect();
        rows.retain(|p| p.member != *member);
        if rows.len() >= limit {
            let first = rows.iter().map(|p| p.ends_at).min();
            return Err(first.unwrap_or(now.after(PERMIT)));
        }
        rows.push(Permit {
            member: member.clone(),
            ends_at: now.after(PERMIT),
        });
        Ok(Permits { rows })
    }

    /// The permits without this member's.
    pub fn give(&self, member: &MemberId) -> Permits {
        Permits {
            rows: self
                .rows
                .iter()
                .filter(|p| p.member != *member)
                .cloned()
                .collect(),
        }
    }
}

impl Action {
    /// Does it read from the weight store?
    pub fn loads(&self) -> bool {
        matches!(self, Action::LoadModel { .. } | Action::LoadAdapter { .. })
    }
}
