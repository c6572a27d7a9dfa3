//! Draws random service times and random faults from one seed.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::f64::consts::TAU;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Draws service times, which have a log-normal distribution, and random events.
pub struct RandomDraws {
    median: Duration,
    spread: f64,
    random: Mutex<Pcg64Mcg>,
}

impl RandomDraws {
    /// Creates a generator of service times and random events.
    ///
    /// Service times have the given median; `spread` is the standard deviation of their logarithm.
    pub fn new(median: Duration, spread: f64, seed: u64) -> Self {
        let random = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
        Self {
            median,
            spread,
            random,
        }
    }

    /// Draws the next service time.
    pub fn service_time(&self) -> Duration {
        let (radius, angle) = {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            (
                random.random_range(f64::EPSILON..1.0),
                random.random::<f64>(),
            )
        };
        let normal = (-2.0 * radius.ln()).sqrt() * (TAU * angle).cos();
        self.median.mul_f64((self.spread * normal).exp())
    }

    /// Draws whether an event of the given probability, 0 to 1, happens.
    pub fn event_happens(&self, probability: f64) -> bool {
        if probability <= 0.0 {
            return false;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random::<f64>() < probability
    }
}
