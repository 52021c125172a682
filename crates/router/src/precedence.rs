//! Order in which requests of one service are admitted when there is not enough room for all.

use serde::{Deserialize, Serialize};

/// Precedence of a request; the lower one is admitted first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Precedence {
    /// Urgency level within its service; 0 is the most urgent.
    #[serde(rename = "l")]
    pub level: u8,
    /// Whether its account uses more than its share.
    #[serde(rename = "o", default)]
    pub over_share: bool,
}
