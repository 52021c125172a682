//! Routing decisions of the gateway: which backend server takes a request, when a request is
//! refused, and what may be retried.
//!
//! Nothing here opens a socket, reads a clock or uses global randomness. Each module makes one kind
//! of decision; the daemon passes in the current time and carries out the result.

pub mod accounts;
pub mod admission_queue;
pub mod answer_length;
pub mod back_offs;
pub mod budget;
pub mod caller_deadlines;
pub mod catalog;
pub mod correlation;
pub mod demand;
pub mod divergence;
pub mod engine_load;
pub mod engine_speeds;
pub mod engines;
pub mod events;
pub mod fair_share;
pub mod fetches;
pub mod fleet;
pub mod forecast;
pub mod leadership;
pub mod learned;
pub mod limits;
pub mod load_report;
pub mod lost_attempts;
pub mod membership;
pub mod memory_threshold;
pub mod migration;
pub mod node;
pub mod outcome;
pub mod part_blame;
pub mod plain_servers;
pub mod precedence;
pub mod prefill;
pub mod prefill_speed;
pub mod quarantine;
pub mod quota;
pub mod registry;
pub mod report_timing;
pub mod request_digest;
pub mod response_head;
pub mod retry_after;
pub mod revision;
pub mod routes;
pub mod sampling;
pub mod shedding;
pub mod shutdown;
pub mod stage_changes;
pub mod stages;
pub mod staleness;
pub mod store_state;
pub mod stream_origin;
pub mod urgency;
pub mod varint;
pub mod wasted_prefill;
pub mod zone_leader;
pub mod zones;
