//! Size of a simulated deployment.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Size of a simulated deployment.
#[derive(Clone, Debug)]
pub struct SimSettings {
    /// Determines all random numbers.
    pub seed: u64,
    /// Number of nodes in each failure domain.
    pub domains: Vec<usize>,
    /// Number of nodes, the first of each domain, with four times the cores of the others.
    pub large: usize,
}

impl Default for SimSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            domains: vec![3, 2, 2],
            large: 7,
        }
    }
}

impl SimSettings {
    /// Returns the size for a run with random faults.
    pub fn random(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let sizes = [vec![3, 2, 2], vec![4, 3], vec![3, 3, 3], vec![8, 7, 7]];
        let domains = sizes[random.random_range(0..sizes.len())].clone();
        let total: usize = domains.iter().sum();
        let large = [total, 5, 8][random.random_range(0..3)];
        Self {
            seed,
            domains,
            large,
        }
    }
}
