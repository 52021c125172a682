//! How many engines a decision compares.

/// Engines compared per decision, times the number of gateways. If many gateways with the same
/// delayed reports compared all engines, they would all choose the one with the shortest queue.
pub const COMPARISONS: usize = 4;
/// Fewest engines compared: the better of two random choices spreads load well even with delayed
/// reports.
pub const COMPARED_MIN: usize = 2;

/// Returns how many of `engines` one of `entries` gateways compares.
pub fn sample_size(engines: usize, entries: usize) -> usize {
    (engines * COMPARISONS).div_ceil(entries.max(1)).clamp(COMPARED_MIN, engines.max(COMPARED_MIN))
}
