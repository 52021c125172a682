//! The operators' configuration document.
//!
//! Pools select backend servers by label, routes select requests by label, limits bound accounts
//! and labels. A document is checked whole (`check`) before it is accepted, compared (`diff`) when
//! two operators race, and stored in parts (`parts`) below the platform's value limit.

pub mod check;
pub mod diff;
pub mod parts;
pub mod select;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{Account, Digest, PoolName};
use crate::message::Repeat;
use select::Selector;

/// Labels of a thing: name to value.
pub type Labels = BTreeMap<String, String>;

/// How urgent work is.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Somebody stands and waits.
    Urgent,
    /// May wait, must complete.
    #[default]
    Slow,
}

/// What the backend servers of a pool do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that write answers.
    Decode,
    /// Plain services.
    Plain,
    /// Model engines that read prompts and export their KV cache.
    Prefill,
}

/// A group of backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What its backend servers do.
    pub kind: PoolKind,
    /// Which backend servers belong to it, by label.
    pub select: Selector,
}

/// Where a request goes: a plain service, or a decode pool with its prefill pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Target {
    /// Model engines; short prompts skip the prefill pool.
    Model {
        /// Writes the answer.
        decode: PoolName,
        /// Reads long prompts.
        prefill: Option<PoolName>,
        /// Prompts up to this many tokens are read on the decode engine.
        #[serde(default)]
        short_prompt: u32,
    },
    /// A plain service.
    Plain {
        /// Its pool.
        pool: PoolName,
    },
}

/// A rule that says which requests go where, first match first.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique in the document.
    pub name: String,
    /// Which requests it takes, by label.
    #[serde(default)]
    pub select: Selector,
    /// Where they go.
    pub target: Target,
    /// Their class.
    pub class: Class,
    /// May they run again after a fault?
    pub repeat: Repeat,
    /// Time an answer may take when the caller states no deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline_ms: Duration,
    /// Target for the first token, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_ms: Duration,
    /// Target between tokens, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub token_ms: Duration,
}

/// A bound on a rate, with the burst it allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Requests a second over all entries.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// A bound on all requests that a selector takes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name, unique in the document.
    pub name: String,
    /// Which requests count.
    pub select: Selector,
    /// The bound.
    pub bound: Rate,
}

/// A caller's account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRule {
    /// SHA-256 of the bearer token.
    pub token: Digest,
    /// Labels of the caller.
    #[serde(default)]
    pub labels: Labels,
    /// Bound of this account.
    pub bound: Option<Rate>,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Right {
    /// Drain members and order engines.
    Order,
    /// Read configuration, members and requests.
    Read,
    /// Change the configuration.
    Write,
}

/// An operator of the administration API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRule {
    /// SHA-256 of the bearer token.
    pub token: Digest,
    /// What the operator may do.
    pub rights: BTreeSet<Right>,
}

/// How much each measure weighs in decisions that trade one for the other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Goodput under both latency targets.
    pub goodput: f64,
    /// Wasted prefill.
    pub waste: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            goodput: 1.0,
            waste: 1.0,
        }
    }
}

/// The whole document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, Pool>,
    /// Routes in order.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Limits by label.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Operators by name.
    #[serde(default)]
    pub operators: BTreeMap<String, OperatorRule>,
    /// Weights of the measures.
    #[serde(default)]
    pub weights: Weights,
    /// Loads from the weight store at once, over all engines.
    #[serde(default = "default_loads")]
    pub weight_loads: usize,
    /// Accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<Account, AccountRule>,
}

fn default_loads() -> usize {
    4
}

impl Default for Document {
    fn default() -> Self {
        Document {
            pools: BTreeMap::new(),
            routes: Vec::new(),
            limits: Vec::new(),
            operators: BTreeMap::new(),
            weights: Weights::default(),
            weight_loads: default_loads(),
            accounts: BTreeMap::new(),
        }
    }
}

impl Document {
    /// The first route that takes a request with these labels.
    pub fn route(&self, labels: &Labels) -> Option<&Route> {
        self.routes.iter().find(|r| r.select.matches(labels))
    }
}
