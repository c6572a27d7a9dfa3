//! One-sided test whether a share of bad answers is larger than a reference allows.

/// Standard deviations added to the old version's share for its own uncertainty.
const REFERENCE_DEVIATIONS: f64 = 3.0;
/// Largest reference share, so that the logarithms stay finite.
const LARGEST_REFERENCE: f64 = 0.99;

/// Bad answers out of all answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BadShare {
    /// Bad answers.
    pub bad: u64,
    /// All answers.
    pub total: u64,
}

impl BadShare {
    /// Upper estimate of the true share; 1 without answers.
    fn upper_estimate(self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        let total = self.total as f64;
        let share = self.bad as f64 / total;
        let deviation = (share * (1.0 - share) / total).sqrt();
        share + REFERENCE_DEVIATIONS * deviation + REFERENCE_DEVIATIONS / total
    }
}

/// Negative logarithm of a bound on the chance of a false alarm.
///
/// If the new version's true share were at most the old one's plus `margin`, a share as high as
/// the one seen would come up with a chance of at most `exp(-strength)` (Chernoff bound).
pub fn excess_strength(new: BadShare, old: BadShare, margin: f64) -> f64 {
    if new.total == 0 {
        return 0.0;
    }
    let reference = (old.upper_estimate() + margin).min(LARGEST_REFERENCE);
    let share = new.bad as f64 / new.total as f64;
    if share <= reference {
        return 0.0;
    }
    new.total as f64 * divergence(share, reference)
}

/// Kullback-Leibler divergence of two coins.
fn divergence(share: f64, reference: f64) -> f64 {
    let bad = share * (share / reference).ln();
    if share >= 1.0 {
        return bad;
    }
    bad + (1.0 - share) * ((1.0 - share) / (1.0 - reference)).ln()
}
