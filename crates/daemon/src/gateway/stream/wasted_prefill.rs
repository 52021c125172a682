//! Counts prefill work that no answer used.

use ebonyloft_router::wasted_prefill::WastedPrefill;

use crate::gateway::shared::Shared;

/// Counts a prompt of so many tokens whose prefill was wasted.
pub fn count(shared: &Shared, id: &str, cause: WastedPrefill, tokens: u64) {
    if tokens == 0 {
        return;
    }
    shared.metrics.count(cause.metric(), tokens);
    tracing::info!(id, wasted = ?cause, tokens, "prefill wasted");
}
