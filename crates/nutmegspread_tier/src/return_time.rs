//! When callers whose requests are refused should return.

use std::time::Duration;

/// Time over which the callers of one priority are spread.
const PRIORITY_SPREAD: Duration = Duration::from_millis(100);
/// Number of priorities that return one after the other; less urgent ones return with the last.
const PRIORITIES: u32 = 4;

/// Returns after what time a refused caller should return, if a target can take its request after
/// `wait`. Callers return spread over time, the most urgent first; `random` is from 0 to 1.
pub fn return_time(wait: Duration, priority: u32, random: f64) -> Duration {
    let rank = priority.min(PRIORITIES - 1);
    wait + PRIORITY_SPREAD * rank + PRIORITY_SPREAD.mul_f64(random.clamp(0.0, 1.0))
}
