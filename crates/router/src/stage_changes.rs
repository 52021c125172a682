//! Engines that are about to change their stage, and who is told.
//!
//! Such an engine grants reservations and then accepts nothing for seconds, so the gateways that use
//! it are told. The one that orders engines reports to the gateways of its scope and to the leaders
//! of other zones; those pass on, in reports inside their zone, what they hear from another one.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::ServerId;

/// How long an engine that is reported to be changing its stage gets no requests: two reports of a
/// gateway that follows the store.
pub const STAGE_CHANGE_BACKOFF: Duration = Duration::from_millis(700);

/// Engines that change their stage, as known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct StageChanges {
    ordered: Vec<ServerId>,
    /// Reported from other zones, with the time until which they are passed on.
    relayed: BTreeMap<ServerId, Timestamp>,
}

impl StageChanges {
    /// Replaces the engines that this gateway ordered to change and that have not done so yet.
    pub fn set_ordered(&mut self, ordered: Vec<ServerId>) {
        self.ordered = ordered;
    }

    /// Returns the engines that this gateway ordered to change.
    pub fn ordered(&self) -> &[ServerId] {
        &self.ordered
    }

    /// Records what a gateway of another zone reports.
    pub fn on_report_of_other_zone(&mut self, now: Timestamp, changing: &[ServerId]) {
        let until = now.after(STAGE_CHANGE_BACKOFF);
        self.relayed.extend(changing.iter().map(|id| (id.clone(), until)));
    }

    /// Returns the engines to report; `relays` if this gateway passes on what other zones report.
    pub fn announced(&mut self, now: Timestamp, relays: bool) -> Vec<ServerId> {
        self.relayed.retain(|_, until| *until > now);
        let relayed = self.relayed.keys().filter(|id| relays && !self.ordered.contains(id));
        self.ordered.iter().chain(relayed).cloned().collect()
    }
}
