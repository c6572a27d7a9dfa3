//! Distribution of requests among services by weight.

/// Smooth weighted round robin: among any number of consecutive requests, each part gets its share
/// to within one request.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    /// Balance of each part: grows by the part's weight with each request, and shrinks by the total
    /// weight when the part is picked.
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Returns the index of the part that gets the next request, or `None` if no weight is above 0.
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
