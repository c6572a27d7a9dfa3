//! One-sided statistical test of whether a new version gives more bad answers than the old one.

/// Standard deviations by which the old version's share of bad answers is raised, because it is
/// itself an estimate.
const REFERENCE_DEVIATIONS: f64 = 3.0;
/// Upper bound of the reference share, which keeps the logarithms finite.
const LARGEST_REFERENCE: f64 = 0.99;

/// Number of bad answers among a number of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BadShare {
    /// Number of bad answers.
    pub bad: u64,
    /// Number of all answers, bad ones included.
    pub total: u64,
}

impl BadShare {
    /// Upper estimate of the true share of bad answers; 1 if there are no answers.
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

/// Returns the strength of the evidence that the new version gives more bad answers than the old
/// one.
///
/// If the new version's true share of bad answers were at most the old one's plus `margin`, a share
/// as high as the observed one would occur with a probability of at most `exp(-strength)` (Chernoff
/// bound). The strength is 0 if the observed share is not above the reference, or without answers
/// of the new version.
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

/// Kullback-Leibler divergence between Bernoulli distributions with probabilities `share` and
/// `reference`.
fn divergence(share: f64, reference: f64) -> f64 {
    let bad = share * (share / reference).ln();
    if share >= 1.0 {
        return bad;
    }
    bad + (1.0 - share) * ((1.0 - share) / (1.0 - reference)).ln()
}
