//! Who may order engines to change their stage.
//!
//! One process holds the right by a lease in the store, under a fencing token that grows with each
//! holder. It stops well before its lease can have lapsed, and a new holder waits until an order of
//! the one before it is old enough, so that two holders never take turns at an engine.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::{ServerId, Stage};

/// Length of the holder's lease: three renewals, and longer than one slow call.
pub const LEASE: Duration = Duration::from_millis(4_000);
/// Pause between two renewals.
pub const RENEW: Duration = Duration::from_millis(1_200);
/// The holder stops this long before its lease can have lapsed: the longest wait for an order.
pub const MARGIN: Duration = Duration::from_millis(1_000);

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine, by its life.
    pub to: ServerId,
    /// The stage that it is to have.
    pub stage: Stage,
    /// Who orders.
    pub holder: String,
    /// Grows with each holder.
    pub fence: u64,
}

/// The record of all holders, kept for good.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Fencing token given last.
    pub fence: u64,
    /// Who has it.
    pub holder: String,
}

/// The right as this process has it.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Fencing token.
    pub fence: u64,
    /// The lease in the store.
    pub lease: u64,
    /// When the lease lapses at the earliest.
    ends_at: Timestamp,
    /// When the first order may go out.
    orders_at: Timestamp,
}

impl Held {
    /// The right was taken by a call sent at `sent`, answered at `now`; `first` when nobody ever
    /// held it before.
    pub fn taken(
        sent: Timestamp,
        now: Timestamp,
        fence: u64,
        lease: u64,
        gap: Duration,
        first: bool,
    ) -> Self {
        let orders_at = if first { now } else { now.after(gap) };
        Held { fence, lease, ends_at: sent.after(LEASE), orders_at }
    }

    /// A renewal sent at `sent` was acknowledged.
    pub fn renewed(&mut self, sent: Timestamp) {
        self.ends_at = self.ends_at.max(sent.after(LEASE));
    }

    /// May an order go out now?
    pub fn may_order(&self, now: Timestamp) -> bool {
        now >= self.orders_at && now < self.ends_at.before(MARGIN)
    }

    /// Has the lease lapsed for certain, as far as this process can tell?
    pub fn lapsed(&self, now: Timestamp) -> bool {
        now >= self.ends_at
    }
}
