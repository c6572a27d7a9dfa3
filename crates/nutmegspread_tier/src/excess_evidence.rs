//! Statistical evidence that a new version has a higher fraction of bad outcomes than the old one.

/// Number of standard deviations that are added to an observed fraction to get an upper estimate of
/// the true one. With 3 of them, the true fraction is rarely above the estimate.
const ESTIMATE_DEVIATIONS: f64 = 3.0;
/// Largest reference fraction; with a reference fraction of 1, the divergence would be infinite.
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
    /// Upper estimate of the true fraction of bad outcomes; 1 for an empty sample. In a small
    /// sample, the estimate may be above 1.
    fn upper_estimate(self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        let total = self.total as f64;
        let fraction = self.bad as f64 / total;
        let deviation = (fraction * (1.0 - fraction) / total).sqrt();
        // Without bad outcomes the deviation is 0, although the true fraction may be above 0. The
        // last term covers this case: a true fraction above 3 / `total` would rarely give a sample
        // without any bad outcome.
        fraction + ESTIMATE_DEVIATIONS * deviation + ESTIMATE_DEVIATIONS / total
    }
}

/// Returns the strength of the evidence that the new version has too many bad outcomes, from the
/// samples of both versions.
///
/// The new version's fraction of bad outcomes is compared with a reference fraction: the upper
/// estimate of the old version's fraction plus `margin`. If the new version's true fraction were at
/// most the reference fraction, an observed fraction as high as in `new` would occur with a
/// probability of at most `exp(-strength)` (Chernoff bound). The strength is 0 if the observed
/// fraction is not above the reference fraction, or if `new` is empty.
pub fn excess_strength(new: SampleCounts, old: SampleCounts, margin: f64) -> f64 {
    if new.total == 0 {
        return 0.0;
    }
    let reference = (old.upper_estimate() + margin).min(LARGEST_REFERENCE);
    let fraction = new.bad as f64 / new.total as f64;
    if fraction <= reference {
        return 0.0;
    }
    new.total as f64 * divergence(fraction, reference)
}

/// Kullback-Leibler divergence of the Bernoulli distribution with probability `fraction` from the
/// one with probability `reference`.
fn divergence(fraction: f64, reference: f64) -> f64 {
    let bad_term = fraction * (fraction / reference).ln();
    if fraction >= 1.0 {
        return bad_term;
    }
    bad_term + (1.0 - fraction) * ((1.0 - fraction) / (1.0 - reference)).ln()
}
