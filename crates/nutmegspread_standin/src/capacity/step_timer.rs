//! Processor time of short pieces of code.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Time that one measurement takes.
const ROUND_TIME: Duration = Duration::from_millis(40);
/// Measurements, of which the fastest counts: others were disturbed.
const ROUNDS: usize = 5;
/// Most repetitions in a measurement.
const MAX_REPEATS: u32 = 1_000_000;

/// Time of one call, in microseconds.
pub fn call_micros<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let mut repeats = 0;
        while repeats < MAX_REPEATS && start.elapsed() < ROUND_TIME {
            black_box(call());
            repeats += 1;
        }
        best = best.min(start.elapsed().as_secs_f64() * 1e6 / f64::from(repeats));
    }
    best
}
