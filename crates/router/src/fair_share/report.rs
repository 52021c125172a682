//! Encoding of accounts' use in load reports: eight bytes for each account.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{AccountUse, REPORTED_MAX};

/// Bytes of one account: the hash of its name and both sums.
const ENTRY_BYTES: usize = 8;
/// Cost in tokens squared below which a sum is rounded to a multiple; a usual request costs some
/// three million.
const COST_UNIT: f64 = 1_000.0;
/// Steps for each doubling of a sum. Sums are encoded on a logarithmic scale, to within 0.04 %, so
/// that the few requests of one account at each of many gateways still count in the sum.
const STEPS: f64 = 1_024.0;

/// Use of a service's largest accounts at one gateway, as encoded in load reports.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AccountUses(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

impl AccountUses {
    /// Encodes the use of at most `REPORTED_MAX` accounts.
    pub fn encode(uses: impl IntoIterator<Item = (u32, AccountUse)>) -> Self {
        let mut bytes = Vec::with_capacity(REPORTED_MAX * ENTRY_BYTES);
        for (account, used) in uses.into_iter().take(REPORTED_MAX) {
            bytes.extend(account.to_be_bytes());
            bytes.extend(to_code(used.requested).to_be_bytes());
            bytes.extend(to_code(used.admitted).to_be_bytes());
        }
        AccountUses(bytes)
    }

    /// Decodes the use of at most `REPORTED_MAX` accounts, whatever was received.
    pub fn decode(&self) -> impl Iterator<Item = (u32, AccountUse)> {
        self.0.chunks_exact(ENTRY_BYTES).take(REPORTED_MAX).map(|entry| {
            let number = |from: usize| u16::from_be_bytes([entry[from], entry[from + 1]]);
            let account = u32::from_be_bytes([entry[0], entry[1], entry[2], entry[3]]);
            let requested = from_code(number(4));
            let admitted = from_code(number(6)).min(requested);
            (account, AccountUse { requested, admitted, asking: true })
        })
    }

    /// Is no account listed?
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Encodes a sum; a larger sum never gets a smaller code.
fn to_code(sum: f64) -> u16 {
    ((sum / COST_UNIT).ln_1p() / std::f64::consts::LN_2 * STEPS).round() as u16
}

fn from_code(code: u16) -> f64 {
    (f64::from(code) / STEPS * std::f64::consts::LN_2).exp_m1() * COST_UNIT
}
