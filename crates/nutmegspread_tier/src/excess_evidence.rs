//! Statistical evidence that a new version has a higher share of bad outcomes than the old one.

/// Number of standard deviations by which the upper estimate of a share exceeds the observed share.
/// With 3 of them, the true share rarely exceeds the estimate.
const ESTIMATE_DEVIATIONS: f64 = 3.0;
/// Largest reference share; with a reference share of 1, the divergence would be infinite.
const LARGEST_REFERENCE: f64 = 0.99;

/// Number of bad outcomes in a sample, such as failed attempts among all attempts on a version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SampleCounts {
    /// Number of bad outcomes.
    pub bad: u64,
    /// Number of all outcomes, bad ones included.
    pub total: u64,
}

impl SampleCounts {
    /// Upper estimate of the true share of bad outcomes; 1 for an empty sample. In a small sample,
    /// the estimate may be above 1.
    fn upper_estimate(self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        let total = self.total as f64;
        let share = self.bad as f64 / total;
        let deviation = (share * (1.0 - share) / total).sqrt();
        // Without bad outcomes the deviation is 0, although the true share may be above 0. The last
        // term covers this case: a true share above 3 / `total` would rarely give a sample without
        // any bad outcome.
        share + ESTIMATE_DEVIATIONS * deviation + ESTIMATE_DEVIATIONS / total
    }
}

/// Returns the strength of the evidence that the new version has too many bad outcomes, from the
/// samples of both versions.
///
/// The new version's share of bad outcomes is compared with a reference share: the upper estimate
/// of the old version's share plus `margin`. If the new version's true share were at most the
/// reference share, an observed share as high as in `new` would occur with a probability of at most
/// `exp(-strength)` (Chernoff bound). The strength is 0 if the observed share is not above the
/// reference share, or if `new` is empty.
pub fn excess_strength(new: SampleCounts, old: SampleCounts, margin: f64) -> f64 {
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

/// Kullback-Leibler divergence of the Bernoulli distribution with probability `share` from the one
/// with probability `reference`.
fn divergence(share: f64, reference: f64) -> f64 {
    let bad_term = share * (share / reference).ln();
    if share >= 1.0 {
        return bad_term;
    }
    bad_term + (1.0 - share) * ((1.0 - share) / (1.0 - reference)).ln()
}
