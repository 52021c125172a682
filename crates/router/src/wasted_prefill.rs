//! Prefill work that no answer used, by cause.

use std::time::Duration;

/// Longest gap between two events that is no preemption: 30 to 80 tokens' time, and less than the
/// pause that callers notice.
pub const GAP_MAX: Duration = Duration::from_millis(250);

/// Why the prefill of a prompt was wasted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WastedPrefill {
    /// The handle expired before it was used.
    Expired,
    /// The decode engine did not take the request, and no other one did.
    Refused,
    /// The caller left before the run.
    Caller,
    /// The prefill engine was lost with the processed prompt.
    Engine,
    /// The run was lost, and its prompt is processed again elsewhere.
    Lost,
    /// The engine preempted the run and processed its prompt again.
    Preempted,
}

impl WastedPrefill {
    /// Returns the name of the counter of wasted tokens.
    pub fn metric(self) -> &'static str {
        match self {
            WastedPrefill::Expired => "gateway.prefill.wasted.expired",
            WastedPrefill::Refused => "gateway.prefill.wasted.refused",
            WastedPrefill::Caller => "gateway.prefill.wasted.caller",
            WastedPrefill::Engine => "gateway.prefill.wasted.engine",
            WastedPrefill::Lost => "gateway.prefill.wasted.lost",
            WastedPrefill::Preempted => "gateway.prefill.wasted.preempted",
        }
    }
}

/// Does a gap between two events of a run show that it was preempted? `prefill_time` is the time
/// that an idle prefill engine takes for its prompt.
pub fn is_preemption(gap: Duration, prefill_time: Duration) -> bool {
    gap > GAP_MAX && gap > prefill_time / 2
}
