//! Distribution of requests among parts, such as services, by weight.

/// Smooth weighted round robin: of any number of consecutive requests, each part gets a fraction in
/// proportion to its weight, to within one request.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    /// Balance of each part. Each request adds the part's weight to the balance, and the part with
    /// the largest balance is picked; the sum of all weights is then subtracted from its balance.
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Returns the index of the part that gets the next request, or `None` if no weight is above 0.
    /// `weights` holds the weight of each part; a part whose weight is not above 0 gets no
    /// requests.
    pub fn pick(&mut self, weights: impl ExactSizeIterator<Item = f64>) -> Option<usize> {
        self.credits.resize(weights.len(), 0.0);
        let mut total = 0.0;
        let mut best: Option<usize> = None;
        for (part, weight) in weights.enumerate() {
            if weight <= 0.0 || weight.is_nan() {
                continue;
            }
            total += weight;
            self.credits[part] += weight;
            if best.is_none_or(|best| self.credits[part] > self.credits[best]) {
                best = Some(part);
            }
        }
        let best = best?;
        self.credits[best] -= total;
        Some(best)
    }
}
