//! Schedule of the arrivals of an open-loop load.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Arrival times of a Poisson process with `rate` arrivals per second, in ascending order.
///
/// The times are offsets from the start and are less than `duration`. The same seed gives the same
/// arrivals; there are none if `rate` is zero or negative.
pub fn arrival_offsets(seed: u64, rate: f64, duration: Duration) -> Vec<Duration> {
    if rate <= 0.0 {
        return Vec::new();
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut offset = 0.0;
    let next_arrival = || {
        offset -= random.random_range(f64::EPSILON..1.0).ln() / rate;
        Some(offset)
    };
    std::iter::from_fn(next_arrival)
        .take_while(|offset| *offset < duration.as_secs_f64())
        .map(Duration::from_secs_f64)
        .collect()
}
