//! Leadership over model engines: which process may order them to change their stage.
//!
//! One process is the leader through a lease in the store, under a fencing token that grows with
//! each leader. It stops giving orders well before its lease can have expired, and a new leader
//! waits until its predecessor's last order is old enough, so that two leaders never alternate at
//! an engine.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::{ServerId, Stage};

/// Length of the leader's lease: three renewals, and longer than one slow call.
pub const LEASE: Duration = Duration::from_millis(4_000);
/// Interval between two renewals.
pub const RENEW: Duration = Duration::from_millis(1_200);
/// The leader stops giving orders this long before its lease can have expired: the longest wait for
/// an order.
pub const STOP_MARGIN: Duration = Duration::from_millis(1_000);

/// Bits of a fencing token below the era of the store: more leaders than an era has.
const ERA_SHIFT: u32 = 20;

/// Returns the fencing token of the leader after the one with `last`. A store that comes back from a copy may
/// have lost the last token; those of a later era are larger than all before.
pub fn next_fence(last: u64, era: u64) -> u64 {
    (last + 1).max(era << ERA_SHIFT)
}

/// Returns how long a new leader waits before its first order. The lease of its predecessor has expired, unless
/// the store lost it at `restored_at`: the predecessor may then give orders for as long as its lease would have
/// lasted.
pub fn order_gap(gap: Duration, now: Timestamp, restored_at: Option<Timestamp>) -> Duration {
    let lease = restored_at.map_or(Duration::ZERO, |at| at.after(LEASE).since(now));
    gap + lease
}

/// An order to an engine to change its stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine's incarnation.
    pub to: ServerId,
    /// The stage that it should have.
    pub stage: Stage,
    /// Name of the leader that gives the order.
    pub holder: String,
    /// Fencing token; grows with each leader.
    pub fence: u64,
}

/// Record of the latest leader in the store, which is never deleted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Latest fencing token.
    pub fence: u64,
    /// Name of the leader that has this token.
    pub holder: String,
}

/// Leadership as held by this process.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    /// Fencing token.
    pub fence: u64,
    /// Id of the lease in the store.
    pub lease: u64,
    /// Earliest time at which the lease expires.
    expires_at: Timestamp,
    /// Earliest time of the first order.
    orders_from: Timestamp,
}

impl Leadership {
    /// Leadership was acquired by a call sent at `sent` and answered at `now`; `first` when there
    /// was no leader before.
    pub fn taken(
        sent: Timestamp,
        now: Timestamp,
        fence: u64,
        lease: u64,
        gap: Duration,
        first: bool,
    ) -> Self {
        let orders_from = if first { now } else { now.after(gap) };
        Leadership { fence, lease, expires_at: sent.after(LEASE), orders_from }
    }

    /// Records a renewal that was sent at `sent` and acknowledged.
    pub fn renewed(&mut self, sent: Timestamp) {
        self.expires_at = self.expires_at.max(sent.after(LEASE));
    }

    /// May an order be sent now?
    pub fn may_order(&self, now: Timestamp) -> bool {
        now >= self.orders_from && now < self.expires_at.before(STOP_MARGIN)
    }

    /// Can the lease have expired?
    pub fn lapsed(&self, now: Timestamp) -> bool {
        now >= self.expires_at
    }
}
