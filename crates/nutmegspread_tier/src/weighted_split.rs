//! Distribution of requests over services by weight.

/// Smooth weighted round robin: over any stretch each part gets its share to within one request.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Picks the part for the next request, or nothing if no weight is above 0.
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
