//! Which requests are admitted when memory is scarce: those of the highest value per memory.

/// Free fraction of all engines' memory below which memory is kept for requests of higher value.
/// With this much left in fragments, engines of a dozen reservations admit no further typical
/// request.
pub const FREE_SCARCE: f64 = 0.05;
/// Free fraction at which the value threshold is highest.
pub const FREE_TIGHT: f64 = 0.02;
/// Highest value threshold, relative to the typical request; nine requests in ten are below it. At
/// 4.5 times the usual rate, 4 in 100 callers more get their answer in time than without a threshold.
pub const THRESHOLD_MAX: f64 = 2.0;
/// Value of a late answer relative to one in time: a late answer counts a fifth, and refusing it is
/// not a full loss.
pub const LATE_VALUE: f64 = 0.4;

/// Returns the lowest value, relative to the typical request, that is admitted at this free
/// fraction of memory.
pub fn value_threshold(free: f64) -> f64 {
    ((FREE_SCARCE - free) / (FREE_SCARCE - FREE_TIGHT)).clamp(0.0, 1.0) * THRESHOLD_MAX
}
