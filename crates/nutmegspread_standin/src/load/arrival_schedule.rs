//! When the queries of an open loop are due.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Offsets from the start of a Poisson process with `rate` arrivals a second, in order.
pub fn arrival_offsets(seed: u64, rate: f64, length: Duration) -> Vec<Duration> {
    if rate <= 0.0 {
        return Vec::new();
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut offset = 0.0;
    let next = || {
        offset -= random.random_range(f64::EPSILON..1.0).ln() / rate;
        Some(offset)
    };
    std::iter::from_fn(next)
        .take_while(|offset| *offset < length.as_secs_f64())
        .map(Duration::from_secs_f64)
        .collect()
}
