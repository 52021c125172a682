//! Rate limits shared by all gateways: quotas of client accounts, limits of backend servers.
//!
//! Each limit has an owner among the gateways, which grants token leases. A gateway that receives a request
//! asks the owner for the cost of the request, plus tokens for the demand that it expects. Each token is
//! granted once, so the sum keeps the limit wherever requests arrive. The owner follows from the list of
//! gateways alone (`ownership`). A new owner starts with the tokens that have accrued since it became the
//! owner, and so grants no second burst.

pub mod issuer;
pub mod leases;
pub mod ownership;

use std::time::Duration;

use ebonyloft_core::ids::Account as Name;
use serde::{Deserialize, Serialize};

use crate::catalog::ServerId;
use crate::divergence::stable_hash;
use crate::limits::Limit;

/// Validity of a token lease, from when it was requested.
pub const LEASE_TTL: Duration = Duration::from_millis(1_000);

/// What a rate limit applies to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LimitKey {
    /// Requests or tokens of a client account.
    #[serde(rename = "a")]
    Account(Name),
    /// Requests to a backend server.
    #[serde(rename = "s")]
    Server(ServerId),
}

impl LimitKey {
    /// Key of a client account.
    pub fn account(name: &str) -> Self {
        LimitKey::Account(name.into())
    }

    /// Hash of the key.
    pub fn number(&self) -> u64 {
        match self {
            LimitKey::Account(name) => stable_hash(name.as_str()),
            LimitKey::Server(id) => id.number(),
        }
    }
}

/// Request for a token lease, sent to the owner of a limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Identifies the request; the response carries it.
    #[serde(rename = "n")]
    pub number: u64,
    /// The rate limit.
    #[serde(rename = "a")]
    pub key: LimitKey,
    /// Cost of the caller's request.
    #[serde(rename = "w")]
    pub need: u64,
    /// Tokens for expected demand.
    #[serde(rename = "m")]
    pub prefetch: u64,
    /// Limit of a backend server as known to the sender; the owner may not have received it yet.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
}

/// Decision of an owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseDecision {
    /// Tokens granted; at least the requested cost.
    #[serde(rename = "l")]
    Lent(u64),
    /// The limit is exhausted.
    #[serde(rename = "o")]
    Over {
        /// Milliseconds until a request of this cost can be admitted.
        #[serde(rename = "r")]
        room: u32,
        /// Retry-after for the caller in milliseconds, later than that of callers refused before.
        #[serde(rename = "b")]
        back: u32,
    },
    /// This gateway does not own the limit, or does not know it.
    #[serde(rename = "e")]
    Elsewhere,
}

/// Response to a lease request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseResponse {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The decision.
    #[serde(rename = "r")]
    pub reply: LeaseDecision,
}
