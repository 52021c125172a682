//! How often gateways report their load, and for how long a report counts.

use std::time::Duration;

/// Interval between two load reports to each peer while there is load: a tenth of the delay of the
/// engines' own reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the load of a peer without a newer report is dropped; ten rounds at the usual
/// interval.
pub const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);
