//! Measures the time that a short function call takes.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Duration of one round, in which the call is repeated.
const ROUND_TIME: Duration = Duration::from_millis(40);
/// Number of rounds. The fastest one is reported, since other processes can only slow a round down.
const ROUNDS: usize = 5;
/// Largest number of calls in one round.
const MAX_REPEATS: u32 = 1_000_000;

/// Measures the mean elapsed time of a call in the fastest round, in microseconds.
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
