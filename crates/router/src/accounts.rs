//! Client accounts: finds the account of an API key, and the cost of a request against its quota.
//!
//! Only digests of keys are kept. They are compared in constant time, so that response times reveal nothing
//! about existing keys.

use ebonyloft_core::config::Rate;
use ebonyloft_core::ids::{Account as Name, Digest};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Highest cost of one request; a request that states a larger size is malformed.
pub const COST_MAX: u64 = 1 << 32;

/// A client account from the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Set by the operator and passed on to backend servers.
    pub name: Name,
    /// Digests of the account's API keys.
    pub keys: Vec<Digest>,
    /// Overrides the priority of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota over all gateways; `None` means unlimited.
    pub quota: Option<Quota>,
}

/// Rate limit of an account over all gateways.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Rate and burst, in `unit`.
    pub bound: Rate,
    /// What the quota counts.
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Unit {
    /// Each request costs 1.
    Requests,
    /// Prompt tokens plus the longest output; a request that states neither costs `plain`.
    Tokens {
        /// Cost of a request that states no token counts.
        plain: u64,
    },
}

/// Size of a request as stated by its headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Size {
    /// No size was stated.
    #[default]
    Unstated,
    /// Tokens of the prompt plus the longest output.
    Tokens(u64),
    /// Not two numbers, or larger than any valid request.
    Malformed,
}

/// API key found in a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// No key.
    #[default]
    Absent,
    /// Digest of the one key.
    Key(Digest),
    /// More than one key, or not in the form of a key.
    Malformed,
}

impl Unit {
    /// Cost of a request of this size; `None` if the size is malformed or above `COST_MAX`.
    pub fn cost(self, size: Size) -> Option<u64> {
        match (self, size) {
            (Unit::Requests, _) => Some(1),
            (Unit::Tokens { plain }, Size::Unstated) => Some(plain),
            (Unit::Tokens { .. }, Size::Tokens(tokens)) => (tokens <= COST_MAX).then_some(tokens),
            (Unit::Tokens { .. }, Size::Malformed) => None,
        }
    }
}

/// All accounts of a configuration, indexed by key digest.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Vec<Account>", into = "Vec<Account>")]
pub struct Accounts {
    all: Vec<Account>,
    /// Sorted key digests, each with the index of its account in `all`.
    keys: Vec<(Digest, u32)>,
}

impl Accounts {
    /// Finds the account of a key.
    pub fn find_by_key(&self, key: &Digest) -> Option<&Account> {
        let prefix = |digest: &Digest| u64::from_be_bytes(std::array::from_fn(|i| digest.0[i]));
        let key_prefix = prefix(key);
        let first = self.keys.partition_point(|(digest, _)| prefix(digest) < key_prefix);
        let candidates =
            self.keys[first..].iter().take_while(|(digest, _)| prefix(digest) == key_prefix);
        let mut found = None;
        for (digest, index) in candidates {
            if bool::from(digest.0.ct_eq(&key.0)) {
                found = found.or(Some(*index));
            }
        }
        self.all.get(found? as usize)
    }

    /// Finds an account by name.
    pub fn named(&self, name: &Name) -> Option<&Account> {
        self.all.iter().find(|a| a.name == *name)
    }

    /// All accounts in configuration order.
    pub fn all(&self) -> &[Account] {
        &self.all
    }

    /// Number of keys of all accounts.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }
}

impl PartialEq for Accounts {
    fn eq(&self, other: &Self) -> bool {
        self.all == other.all
    }
}

impl From<Vec<Account>> for Accounts {
    fn from(all: Vec<Account>) -> Self {
        let indexed = all.iter().zip(0_u32..);
        let mut keys: Vec<(Digest, u32)> =
            indexed.flat_map(|(a, index)| a.keys.iter().map(move |key| (*key, index))).collect();
        keys.sort();
        Accounts { all, keys }
    }
}

impl From<Accounts> for Vec<Account> {
    fn from(accounts: Accounts) -> Self {
        accounts.all
    }
}

/// Result of identifying the caller of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Identity<'a> {
    /// No account is needed: none are configured, or the route is public.
    Anyone,
    /// The caller's account.
    Account(&'a Account),
    /// A key is needed, but it is absent or malformed.
    Unidentified,
    /// No configured account has the key.
    Unknown,
}

/// Identifies the caller by its credential; a caller of a `public` route needs none.
pub fn identify<'a>(
    accounts: Option<&'a Accounts>,
    public: bool,
    credential: &Credential,
) -> Identity<'a> {
    let Some(accounts) = accounts else {
        return Identity::Anyone;
    };
    let identity = match credential {
        Credential::Key(key) => {
            accounts.find_by_key(key).map_or(Identity::Unknown, Identity::Account)
        }
        Credential::Absent | Credential::Malformed => Identity::Unidentified,
    };
    match (public, identity) {
        (true, Identity::Unidentified | Identity::Unknown) => Identity::Anyone,
        (_, identity) => identity,
    }
}
